package vm

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
)

// Submissions that arrive just after the start of a VM are deferred until the holders of the shards are
// known, and those that arrive soon after it stood still until the departure of their callers would have been noticed.
//
// Without this, a restart of all VMs would refuse submissions until the shards are recovered, 80 to 250 ms
// later, though most of them could still be done in time; and the first recovered shard would get the
// submissions that should be spread over all shards.

// maxDeferred limits the submissions that are deferred at the start. Those beyond it are admitted or refused at once.
const maxDeferred = 512

// deferSubmission defers a submission that arrives before the shards of this VM's domain are reachable, or soon after a
// standstill. It returns false if the submission is to be admitted or refused now.
func (e *engine) deferSubmission(ev submitEvent) bool {
	backlog := e.mayBeBacklog(ev)
	if !backlog && (len(e.deferred) >= maxDeferred || !e.worthDeferring(ev) || e.ownDomainReachable()) {
		return false
	}
	e.deferred = append(e.deferred, ev)
	return true
}

// worthDeferring reports whether a submission should wait for more shards: it can still be done in time, or
// it is late and no shard is reachable.
func (e *engine) worthDeferring(ev submitEvent) bool {
	if e.now-e.startedAt >= e.vm.config.Policy.StartHold() || e.endsTooLate(ev.record).Refused() {
		return false
	}
	switch e.policyWork(ev.record, ev.receivedAt).Band(e.now) {
	case policy.InTime:
		return true
	case policy.Late:
		return !e.anyReachable()
	default:
		return false
	}
}

// ownDomainReachable reports whether the holder of each shard of this VM's failure domain can be reached.
// It does not wait for other domains: waiting for all of them leaves the workers idle for 0.15 s longer
// after a restart.
func (e *engine) ownDomainReachable() bool {
	known := 0
	for _, h := range e.site.Holdings() {
		if site.DomainOf(h.Shard) != e.vm.config.Domain {
			continue
		}
		if !e.reachable(h.Shard) {
			return false
		}
		known++
	}
	return known > 0
}

func (e *engine) anyReachable() bool {
	for name := range e.loads {
		if e.reachable(name) {
			return true
		}
	}
	return false
}

// admitDeferred admits or refuses the deferred submissions that need not wait any longer.
func (e *engine) admitDeferred() {
	if len(e.deferred) == 0 {
		return
	}
	known := e.ownDomainReachable()
	waiting := e.deferred
	e.deferred = nil
	for _, ev := range waiting {
		if e.mayBeBacklog(ev) || !known && e.worthDeferring(ev) {
			e.deferred = append(e.deferred, ev)
			continue
		}
		e.admit(ev)
	}
}

// dropDeferred removes a deferred submission whose caller has gone. It reports whether there was one.
func (e *engine) dropDeferred(reply chan Outcome) bool {
	before := len(e.deferred)
	e.deferred = slices.DeleteFunc(e.deferred, func(ev submitEvent) bool { return ev.reply == reply })
	return len(e.deferred) < before
}
