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

// earlyMost bounds what waits. Beyond it submissions are refused as before.
const earlyMost = 512

// holdEarly keeps a submission that came before the shards are known. It reports false if
// the submission is to be decided on now.
func (e *engine) holdEarly(ev submitEvent) bool {
	if len(e.deferred) >= earlyMost || !e.worthHolding(ev) || e.shardsKnown() {
		return false
	}
	e.deferred = append(e.deferred, ev)
	return true
}

// worthHolding reports whether a submission gains by waiting for more shards: while it can
// be done in time, or nobody can take it at all.
func (e *engine) worthHolding(ev submitEvent) bool {
	if e.now-e.startedAt >= e.vm.config.Policy.StartHold() {
		return false
	}
	switch e.work(ev.record, ev.receivedAt).Band(e.now) {
	case policy.InTime:
		return true
	case policy.Late:
		return !e.anyReachable()
	default:
		return false
	}
}

// shardsKnown reports whether the holder of each shard of this VM's failure domain can be
// reached. Those of other domains are not waited for: with all of them a restart left the
// workers idle for 0.15 s longer.
func (e *engine) shardsKnown() bool {
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

// releaseEarly decides on the submissions that need not wait any more.
func (e *engine) releaseEarly() {
	if len(e.deferred) == 0 {
		return
	}
	known := e.shardsKnown()
	waiting := e.deferred
	e.deferred = nil
	for _, ev := range waiting {
		if !known && e.worthHolding(ev) {
			e.deferred = append(e.deferred, ev)
			continue
		}
		e.admit(ev)
	}
}

// dropEarly forgets a submission whose caller has gone. It reports whether it was there.
func (e *engine) dropEarly(reply chan Outcome) bool {
	before := len(e.deferred)
	e.deferred = slices.DeleteFunc(e.deferred, func(ev submitEvent) bool { return ev.reply == reply })
	return len(e.deferred) < before
}
