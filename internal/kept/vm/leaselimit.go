package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

const maxHeldLeaseLines = 50 // a second

// limitLeases sets the limits of the leases at the shard's workers, before the orders of the round are sent, and has those
// extended at once that were held back.
func (e *engine) limitLeases(h *heldShard) {
	for id, ws := range h.sessions {
		limit := h.core.LeaseLimit(id)
		switch ws.setLeaseLimit(e.now, limit) {
		case leaseHeldBack:
			e.vm.metrics.heldLeases.Inc(1)
			if omitted, allowed := e.heldLeaseLines.allow(e.now, maxHeldLeaseLines); allowed {
				klog.InfoS("kept: lease held back, a home VM has not confirmed what runs there", "worker", id, "shard", h.holding.Shard,
					"token", h.holding.Token, "ends_in", max(limit-e.now, 0), "omitted", omitted)
			}
		case leaseReleased:
			e.sendOrder(h, id, func(ws *workerSession) { ws.listNow(h.ctx) })
		}
	}
}

// renewedDeadline returns the deadline, on the worker's clock, which is known, of a renewal that leaves at a time; 0: it
// extends nothing. Even on the slowest clock the lease ends by its limit.
func (ws *workerSession) renewedDeadline(at time.Duration) time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return min(ws.earliestClock(at)+onSlowestClock(min(ws.vm.config.MaxLease, shard.MaxRenewal)), ws.limitOnClock(at))
}

// limitOnClock returns what the worker's clock shows at the limit of its lease, if it is slow; 0 if the limit has passed at a
// time. The worker's clock is known, and the caller holds the mutex.
func (ws *workerSession) limitOnClock(at time.Duration) time.Duration {
	switch limit := time.Duration(ws.leaseLimit.Load()); {
	case limit == shard.NoLeaseLimit:
		return limit
	case limit <= at:
		return 0
	default:
		return ws.earliestClock(at) + onSlowestClock(limit-at)
	}
}

// onSlowestClock returns by how much a worker's clock goes on at least in a time.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - worker.MaxClockDrift))
}

// leaseLimitChange is what a new limit of a lease means for its renewal.
type leaseLimitChange uint8

const (
	leaseAsBefore leaseLimitChange = iota
	leaseHeldBack                  // it may end before the next renewal can extend it
	leaseReleased                  // it may be extended again, and should be at once
)

// setLeaseLimit sets the limit of the lease.
func (ws *workerSession) setLeaseLimit(now, limit time.Duration) leaseLimitChange {
	next := now + renewWait + renewTimeout // when the renewal has ended that is under way
	ws.leaseLimit.Store(int64(limit))
	wasShort := ws.leaseIsShort
	ws.leaseIsShort = limit < next
	switch {
	case wasShort == ws.leaseIsShort:
		return leaseAsBefore
	case wasShort:
		return leaseReleased
	default:
		return leaseHeldBack
	}
}

// startDeadline returns the time on the worker's clock until which it may carry out a start that was decided at
// decidedAt; 0 if its clock is not known, or its lease may not be extended. The engine calls it before the order is sent, so
// that no expiry that it applies later passes over the order.
func (ws *workerSession) startDeadline(decidedAt time.Duration) time.Duration {
	d := ws.validityOnClock(decidedAt)
	if d == 0 {
		return 0
	}
	ws.recordDeadline(d)
	ws.expiryPosted.Store(false)
	return d
}

// validityOnClock returns the time on the worker's clock until which a start that was decided at decidedAt is valid; 0 if
// that is not known.
func (ws *workerSession) validityOnClock(decidedAt time.Duration) time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.lastClock == 0 {
		return 0
	}
	return min(ws.latestClock(decidedAt)+worker.StartValidity, ws.limitOnClock(decidedAt))
}
