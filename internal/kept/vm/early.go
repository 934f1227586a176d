package vm

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
)

// Submissions that come in the first moments of a VM's life wait until the shards' holders
// are known.
//
// Without it each restart of all VMs refuses what comes until the shards are recovered, 80
// to 250 ms later, though most of that could still be done in time; and the first shard to
// be recovered would be given what belongs to all of them.

// maxDeferred bounds what waits. Beyond it submissions are refused as before.
const maxDeferred = 512

// deferAtStartup keeps a submission that came before the shards are known. It reports false if
// the submission is to be decided on now.
func (e *engine) deferAtStartup(ev submitEvent) bool {
	if len(e.deferred) >= maxDeferred || !e.worthDeferring(ev) || e.ownDomainReachable() {
		return false
	}
	e.deferred = append(e.deferred, ev)
	return true
}

// worthDeferring reports whether a submission gains by waiting for more shards: while it can
// be done in time, or nobody can take it at all.
func (e *engine) worthDeferring(ev submitEvent) bool {
	if e.now-e.startedAt >= e.vm.config.Policy.StartHold() {
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

// ownDomainReachable reports whether the holder of each shard of this VM's failure domain can be
// reached. Those of other domains are not waited for: with all of them a restart left the
// workers idle for 0.15 s longer.
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

// admitDeferred decides on the submissions that need not wait any more.
func (e *engine) admitDeferred() {
	if len(e.deferred) == 0 {
		return
	}
	known := e.ownDomainReachable()
	waiting := e.deferred
	e.deferred = nil
	for _, ev := range waiting {
		if !known && e.worthDeferring(ev) {
			e.deferred = append(e.deferred, ev)
			continue
		}
		e.admit(ev)
	}
}

// dropDeferred forgets a submission whose caller has gone. It reports whether it was there.
func (e *engine) dropDeferred(reply chan Outcome) bool {
	before := len(e.deferred)
	e.deferred = slices.DeleteFunc(e.deferred, func(ev submitEvent) bool { return ev.reply == reply })
	return len(e.deferred) < before
}
