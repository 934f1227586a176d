package vm

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
)

// Holders of another build, or with another setting, may form no pools. Nobody there would answer a demand.

// poolOf returns the pool that has a shard, if its holder has pools.
func (e *engine) poolOf(shard string) poolKey {
	return poolKey{holder: e.loads[shard].holder, domain: site.DomainOf(shard)}
}

// grants reports whether a pool may grant room: its holder reports it, or its first report on a new link may be on its
// way. A holder with another build or setting has none.
func (e *engine) grants(k poolKey) bool {
	if k.holder == e.vm.config.Name {
		return e.heldPools[k.domain] != nil
	}
	if known := e.pools[k]; known != nil {
		return e.isFresh(known)
	}
	at, reached := e.linkUpAt[k.holder]
	return reached && e.now-at <= maxLoadAge
}

// bindWithoutGrant assigns waiting tasks to shards that no pool has: to their free capacity if there are pools that may
// grant room, and otherwise so that they wait there. They join no part, as an earlier build does not know of that. Nor is
// a submission that is being refused assigned again, of which one part has come back.
func (e *engine) bindWithoutGrant(t *transientSubmission, shards []policy.Candidate, poolsGrant bool) {
	open := slices.DeleteFunc(slices.Clone(shards), func(c policy.Candidate) bool {
		return e.grants(e.poolOf(c.Shard)) || t.hasUnfinishedPart(c.Shard)
	})
	if len(open) == 0 || !t.anyStarted() && e.keepWaiting(t).Refused() {
		return
	}
	n := t.unassignedCount()
	allocations := e.vm.config.Policy.Fit(open, n)
	if !poolsGrant {
		allocations = e.vm.config.Policy.Split(open, n, true, longestEstimate(t.record))
	}
	for _, a := range allocations {
		bound := e.bind(t, a.Shard, a.Tasks)
		klog.InfoS("kept: tasks assigned to a shard without a pool", "id", t.record.ID, "shard", a.Shard, "holder", e.loads[a.Shard].holder,
			"tasks", bound, "after", e.now-t.receivedAt)
	}
}
