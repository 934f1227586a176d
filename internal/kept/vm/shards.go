package vm

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Delays and time-outs of holders and of claims.
const (
	endsInterval     = 40 * time.Millisecond // between writes of final states, progress and reassignments, which gather meanwhile
	endsWriteTimeout = time.Hour             // a holder retries for as long as it holds the shard
	claimTimeout     = 2 * time.Second
	scanRetryDelay   = 50 * time.Millisecond
	leaseMargin      = 100 * time.Millisecond // added to the longest lease for clock drift and rounding
)

// apply takes in changes of the site's keys, or a snapshot of all of them.
func (ev siteEvent) apply(e *engine) {
	var err error
	if ev.complete {
		err = e.site.Reset(e.now, ev.items)
	}
	for _, change := range ev.events {
		err = errors.Join(err, e.site.Apply(e.now, change))
		if change.Deleted && change.Key == site.MemberKey(e.vm.config.Name) {
			e.vm.sessionKeyDeleted.Store(true)
		}
	}
	if err != nil {
		klog.ErrorS(err, "kept: site key cannot be decoded")
	}
	e.site.StoreAnswered(ev.requestedAt, e.now)
	e.applyHoldings(ev.requestedAt)
	e.updateSitePacing()
	e.linksOutdated = true
}

// updateSitePacing decides whether changes of the site may reach this VM late. They may while it holds no
// shard and each shard of its domain has a holder that it can reach: new holders open links by themselves.
func (e *engine) updateSitePacing() {
	relaxed := 0
	if n := e.site.MemberCount(); n > site.MaxFullMeshPeers && len(e.shards) == 0 && e.now-e.startedAt > startupPeriod && e.site.AllShardsHeld(e.vm.config.Domain) {
		relaxed = n
	}
	e.vm.relaxedSiteSize.Store(int64(relaxed))
}

// startupPeriod is how long after its start a VM follows all changes of the site without delay: the other
// VMs may be starting with it.
const startupPeriod = 5 * time.Second

// applyHoldings acquires the shards that this VM holds according to the store and drops
// those that it does not. requestedAt is when the call of the store left.
func (e *engine) applyHoldings(requestedAt time.Duration) {
	e.holdersChanged = true
	all := e.site.Holdings()
	// The holder of the first shard removes old final states for the whole site.
	e.vm.sweepsFinals.Store(len(all) > 0 && e.site.HeldBySelf(all[0]))
	for _, holding := range all {
		h := e.shards[holding.Shard]
		mine := e.site.HeldBySelf(holding)
		if h != nil && (!mine || h.holding.Token != holding.Token) {
			e.dropShard(h, holding)
			h = nil
		}
		if h != nil {
			h.confirmedAt = max(h.confirmedAt, requestedAt)
		}
		if h == nil && mine {
			e.acquireShard(holding)
		}
	}
}

// acquireShard starts to serve a shard that this VM now holds.
func (e *engine) acquireShard(holding site.Holding) {
	// After barrierAt, runs that the previous holder started and that no worker lists are over.
	barrierAt := e.now + e.vm.config.MaxLease + leaseMargin
	if !holding.PredecessorStopped {
		barrierAt += holdingExpiredAfter
	}
	h := &heldShard{
		core:        shard.New(e.now, e.shardSettings(site.DomainOf(holding.Shard)), holding.Token, barrierAt),
		holding:     holding,
		sessions:    make(map[string]*workerSession),
		askers:      make(map[submission.ID][]string),
		confirmedAt: e.now,
		acquiredAt:  e.now,
	}
	h.extendLeases.Store(true)
	e.setEvacuated(h)
	h.ctx, h.cancel = context.WithCancel(e.ctx)
	e.shards[holding.Shard] = h
	e.checkAll = true
	e.joinPool(holding.Shard)
	for peer, linkUp := range e.linkUp {
		if !linkUp {
			h.core.HomeLost(e.now, peer)
		}
	}
	e.useLastRead(site.DomainOf(holding.Shard))
	e.updateWorkers(h)
	e.scanRecords(holding.Shard, h)
	e.vm.metrics.shardsAcquired.Inc(1)
	klog.InfoS("kept: shard taken", "shard", holding.Shard, "token", holding.Token, "revision", holding.Revision,
		"workers", len(h.sessions), "barrier_in", barrierAt-e.now)
}

// shardSettings returns the settings of the shards of a failure domain that are held here. Whether a service enforces
// its capacity is looked up at each use, as the configuration may change.
func (e *engine) shardSettings(domain string) shard.Settings {
	s := shard.DefaultSettings()
	s.Policy = e.vm.config.Policy
	s.Shares = e.sharesOf(domain)
	s.DomainOf = e.domainOf
	s.EnforcesCapacity = func(service string) bool { return e.services[service].GuardsRoom }
	return s
}

// heldUnder returns a shard that this VM holds under a token; nil if it does not, or not any more.
func (e *engine) heldUnder(name string, token uint64) *heldShard {
	if h := e.shards[name]; h != nil && h.holding.Token == token {
		return h
	}
	return nil
}

// dropShard ends the work on a shard that this VM no longer holds.
func (e *engine) dropShard(h *heldShard, now site.Holding) {
	h.cancel()
	delete(e.shards, h.holding.Shard)
	e.checkAll = true
	e.leavePool(h.holding.Shard)
	e.dropUnusedList(site.DomainOf(h.holding.Shard))
	e.vm.metrics.shardsLost.Inc(1)
	e.vm.metrics.shard(h.holding.Shard).set(0, &shard.Load{})
	klog.InfoS("kept: shard lost", "shard", h.holding.Shard, "token", h.holding.Token,
		"new_holder", now.Holder, "new_token", now.Token, "unfinished", len(h.core.Unfinished()))
}

// claimShards makes the claims that are due: shards that this VM takes over or hands to another.
func (e *engine) claimShards() {
	for _, c := range e.site.Decide(e.now) {
		e.claim(c)
	}
}

// claim writes a claim to the store. A shard of another domain is claimed for this VM only if one of its
// workers answers, twice in a row.
func (e *engine) claim(c site.Claim) {
	name := c.From.Shard
	if e.claimsInFlight[name] {
		return
	}
	e.claimsInFlight[name] = true
	klog.InfoS("kept: shard claimed", "shard", name, "for", c.To.Holder, "from", c.From.Holder,
		"token", c.To.Token, "revision", c.From.Revision, "why", c.Why)
	domain := site.DomainOf(name)
	otherDomain := c.To.Holder == e.vm.config.Name && domain != e.vm.config.Domain
	reachedBefore := e.probedAt[name] > 0 && e.now-e.probedAt[name] < maxProbeAge
	e.vm.spawn(func() {
		ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
		defer cancel()
		if otherDomain && !e.vm.canReachShard(ctx, name) {
			e.vm.deliver(claimedEvent{claim: c, err: errWorkersUnreachable})
			return
		}
		if otherDomain && !reachedBefore {
			e.vm.deliver(claimedEvent{claim: c, err: errFirstProbe})
			return
		}
		rev, err := e.vm.store.Commit(ctx, store.Txn{
			Expect: []store.Condition{{Key: site.ShardKey(name), Revision: c.From.Revision}},
			Put:    []store.Put{{Key: site.ShardKey(name), Value: site.Encode(c.To)}},
		})
		e.vm.deliver(claimedEvent{claim: c, revision: rev, err: err})
	})
}

// errFirstProbe defers a claim until a worker has answered two probes, about a second apart. When
// a partition heals, the workers of a domain can be reached some 400 ms before the links to its
// VMs are back, and its shards would go back and forth.
var errFirstProbe = errors.New("first successful probe of a worker; claim deferred as the holder may be back")

const maxProbeAge = 4 * time.Second // longest time between the two probes

var errWorkersUnreachable = errors.New("no worker of the shard can be reached")

// maxProbes is how many workers of a shard are probed at most. One that answers is enough.
const maxProbes = 4

// canReachShard reports whether a worker of a shard answers a probe. A domain that is cut off looks
// from outside as if its VMs had died, while its own holder goes on serving it. A holder outside
// could not reach any worker, and would end all runs once the network is back.
//
// It probes the workers that the last holder stored. Reading the list of all workers instead would
// take a second of the store's whole link when a domain of a large site is cut off, as several VMs
// check each of its shards.
func (v *VM) canReachShard(ctx context.Context, name string) bool {
	stored, err := v.readStoredWorkers(ctx, name)
	workers := infosOf(stored)
	if err == nil && len(workers) == 0 {
		workers, err = v.readDomainWorkers(ctx, site.DomainOf(name), true)
	}
	if err != nil {
		klog.InfoS("kept: workers of a shard cannot be read from the store", "shard", name, "why", err)
		return false
	}
	workers = workers[:min(len(workers), maxProbes)]
	answers := make(chan bool, maxProbes)
	for _, info := range workers {
		v.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			_, r := v.config.Workers.Hold(ctx, info, worker.Hold{})
			answers <- r.Verdict != worker.NoAnswer
		})
	}
	for range workers {
		if <-answers {
			return true
		}
	}
	return false
}

// apply puts a stored claim into effect without waiting for the watch. A failed claim may be decided on again.
func (ev claimedEvent) apply(e *engine) {
	name := ev.claim.From.Shard
	delete(e.claimsInFlight, name)
	if errors.Is(ev.err, errFirstProbe) {
		e.probedAt[name] = e.now
	}
	if ev.err != nil {
		klog.InfoS("kept: claim failed", "shard", name, "token", ev.claim.To.Token, "why", ev.err)
		return
	}
	item := store.Item{Key: site.ShardKey(name), Value: site.Encode(ev.claim.To), Revision: ev.revision}
	if err := e.site.Apply(e.now, store.Event{Item: item}); err != nil {
		klog.ErrorS(err, "kept: site key cannot be decoded")
		return
	}
	delete(e.probedAt, name)
	e.applyHoldings(0)
	e.requeryNewHolders()
}

// apply hands over all shards of this VM.
func (ev drainEvent) apply(e *engine) {
	e.site.StopClaiming()
	claims := e.site.HandOver()
	klog.InfoS("kept: stopping, handing over shards", "shards", len(claims))
	for _, c := range claims {
		e.claim(c)
	}
	if len(claims) == 0 {
		close(ev.done) // no shard to hand over, or no VM to take it
		return
	}
	e.drained = ev.done
}
