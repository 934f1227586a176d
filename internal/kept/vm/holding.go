package vm

import (
	"context"
	"errors"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Times of the writes of a holder.
const (
	endsBatchDelay   = 40 * time.Millisecond // ends that come within it share a transaction
	endsWriteTimeout = time.Hour             // a holder goes on trying for as long as it holds the shard
	claimTimeout     = 2 * time.Second
	scanRetryDelay   = 50 * time.Millisecond
	leaseMargin      = 100 * time.Millisecond // beyond the longest lease: drift and rounding
)

func (ev siteEvent) apply(e *engine) {
	var err error
	if ev.whole {
		err = e.site.Reset(e.now, ev.items)
	}
	for _, change := range ev.events {
		err = errors.Join(err, e.site.Apply(e.now, change))
		if change.Deleted && change.Key == site.MemberKey(e.vm.config.Name) {
			e.vm.sessionKeyDeleted.Store(true)
		}
	}
	if err != nil {
		klog.ErrorS(err, "kept: a key of the site cannot be read")
	}
	e.site.StoreAnswered(ev.sent, e.now)
	e.applyHoldings(ev.sent)
	e.updateSitePacing()
	e.linksOutdated = true
}

// updateSitePacing says whether news of the site may reach this VM late: it holds nothing, and each shard of its
// domain has a holder that it can reach. New holders speak up by themselves.
func (e *engine) updateSitePacing() {
	calm := 0
	if n := e.site.MemberCount(); n > site.MaxFullMeshPeers && len(e.shards) == 0 && e.now-e.startedAt > startupPeriod && e.site.AllShardsHeld(e.vm.config.Domain) {
		calm = n
	}
	e.vm.relaxedSiteSize.Store(int64(calm))
}

// startupPeriod is how long after its start a VM follows the site at once: the others start with it.
const startupPeriod = 5 * time.Second

// applyHoldings takes up the shards that this VM holds by the store, and drops
// those that it does not. sent is when the store was asked.
func (e *engine) applyHoldings(sent time.Duration) {
	e.holdersChanged = true
	all := e.site.Holdings()
	e.vm.sweepsFinals.Store(len(all) > 0 && e.site.HeldBySelf(all[0]))
	for _, holding := range all {
		h := e.shards[holding.Shard]
		mine := e.site.HeldBySelf(holding)
		if h != nil && (!mine || h.holding.Token != holding.Token) {
			e.dropShard(h, holding)
			h = nil
		}
		if h != nil {
			h.confirmedAt = max(h.confirmedAt, sent)
		}
		if h == nil && mine {
			e.acquireShard(holding)
		}
	}
}

// acquireShard begins to hold a shard.
func (e *engine) acquireShard(holding site.Holding) {
	// Runs that the earlier holder started and that no worker lists are over then.
	barrierAt := e.now + e.vm.config.MaxLease + leaseMargin
	if !holding.PredecessorStopped {
		barrierAt += holdingExpiredAfter
	}
	h := &heldShard{
		core:        shard.New(e.now, e.shardSettings(), holding.Token, barrierAt),
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
	for peer, up := range e.linkUp {
		if !up {
			h.core.HomeLost(e.now, peer)
		}
	}
	e.useLastRead(site.DomainOf(holding.Shard))
	e.updateWorkers(h)
	e.scanRecords(holding.Shard, h)
	e.vm.metrics.shardsTaken.Inc(1)
	klog.InfoS("kept: shard taken", "shard", holding.Shard, "token", holding.Token, "revision", holding.Revision,
		"workers", len(h.sessions), "barrier_in", barrierAt-e.now)
}

func (e *engine) shardSettings() shard.Settings {
	s := shard.DefaultSettings()
	s.Policy = e.vm.config.Policy
	s.EnforcesCapacity = func(service string) bool { return e.services[service].GuardsRoom }
	return s
}

func (e *engine) dropShard(h *heldShard, now site.Holding) {
	h.cancel()
	delete(e.shards, h.holding.Shard)
	e.dropUnusedList(site.DomainOf(h.holding.Shard))
	e.vm.metrics.shardsLost.Inc(1)
	e.vm.metrics.shard(h.holding.Shard).set(0, &shard.Load{})
	klog.InfoS("kept: shard lost", "shard", h.holding.Shard, "token", h.holding.Token,
		"new_holder", now.Holder, "new_token", now.Token, "unfinished", len(h.core.Unfinished()))
}

// claimShards claims what is this VM's to claim.
func (e *engine) claimShards() {
	for _, c := range e.site.Decide(e.now) {
		e.claim(c)
	}
}

func (e *engine) claim(c site.Claim) {
	name := c.From.Shard
	if e.claimsInFlight[name] {
		return
	}
	e.claimsInFlight[name] = true
	klog.InfoS("kept: shard claimed", "shard", name, "for", c.To.Holder, "from", c.From.Holder,
		"token", c.To.Token, "revision", c.From.Revision, "why", c.Why)
	domain := site.DomainOf(name)
	foreign := c.To.Holder == e.vm.config.Name && domain != e.vm.config.Domain
	confirmed := e.probedAt[name] > 0 && e.now-e.probedAt[name] < maxProbeAge
	e.vm.spawn(func() {
		ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
		defer cancel()
		if foreign && !e.vm.canReachShard(ctx, name) {
			e.vm.post(claimedEvent{claim: c, err: errWorkersUnreachable})
			return
		}
		if foreign && !confirmed {
			e.vm.post(claimedEvent{claim: c, err: errFirstProbe})
			return
		}
		rev, err := e.vm.store.Commit(ctx, store.Txn{
			Expect: []store.Condition{{Key: site.ShardKey(name), Revision: c.From.Revision}},
			Put:    []store.Put{{Key: site.ShardKey(name), Value: site.Encode(c.To)}},
		})
		e.vm.post(claimedEvent{claim: c, revision: rev, err: err})
	})
}

// errFirstProbe puts a claim off until the site has been looked at twice, a second apart:
// at a heal, workers of a domain can be reached some 400 ms before the links to its VMs
// are back, and its shard would go to and fro.
var errFirstProbe = errors.New("a worker was reached for the first time; the holder may be back")

const maxProbeAge = 4 * time.Second // between the two looks

var errWorkersUnreachable = errors.New("no worker of the shard can be reached")

// maxProbes is how many workers of a shard are asked whether they can be reached. One that answers is
// enough.
const maxProbes = 4

// canReachShard reports whether a worker of a shard answers. A domain that is cut off looks from
// outside as if its VMs had died; its own holder serves on there, and a holder outside could not
// reach any worker and would end all runs after the cut.
//
// The workers are those that the last holder noted. To read the list of all workers for it takes the
// store a second's worth of its link when a domain of a large site is cut off, as several VMs look
// after each of its shards.
func (v *VM) canReachShard(ctx context.Context, name string) bool {
	workers, err := v.readStoredWorkers(ctx, name)
	if err == nil && len(workers) == 0 {
		workers, err = v.readDomainWorkers(ctx, site.DomainOf(name), true)
	}
	if err != nil {
		klog.InfoS("kept: the workers of a shard cannot be read", "shard", name, "why", err)
		return false
	}
	workers = workers[:min(len(workers), maxProbes)]
	answers := make(chan bool, maxProbes)
	for _, info := range workers {
		v.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			_, r := v.config.Orders.Hold(ctx, info, worker.Hold{})
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
		klog.ErrorS(err, "kept: a key of the site cannot be read")
		return
	}
	delete(e.probedAt, name)
	e.applyHoldings(0)
	e.requeryNewHolders()
}

// scan reads the unfinished submissions of a shard from the store.
func (e *engine) scanRecords(name string, h *heldShard) {
	h.scanning = true
	token := h.holding.Token
	// What is read later only finds records whose holder was not told of them; what
	// has ended meanwhile is remembered. Such a read costs a tenth.
	stale := h.scannedAt > 0
	e.vm.spawn(func() {
		for h.ctx.Err() == nil {
			items, _, err := e.vm.readAll(h.ctx, submission.OpenPrefix, stale)
			ev := scannedEvent{shard: name, token: token, records: decodeRecords(name, items)}
			if err == nil && !stale {
				ev.previousWorkers, err = e.vm.readStoredWorkers(h.ctx, name)
			}
			if err == nil && !stale {
				ev.evacuations, err = e.vm.readEvacuations(h.ctx)
			}
			if err == nil {
				e.vm.post(ev)
				return
			}
			pause.For(h.ctx, scanRetryDelay)
		}
	})
}

func decodeRecords(name string, items []store.Item) []shard.StoredRecord {
	var out []shard.StoredRecord
	for _, it := range items {
		id := submission.ID(strings.TrimPrefix(it.Key, submission.OpenPrefix))
		r, err := submission.DecodeRecord(id, it.Value)
		if err != nil {
			klog.ErrorS(err, "kept: a stored submission cannot be read", "id", id, "revision", it.Revision)
			continue
		}
		if r.Shard == name {
			out = append(out, shard.StoredRecord{Record: r, Revision: it.Revision})
		}
	}
	return out
}

func (ev scannedEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return
	}
	h.scanning = false
	first := h.scannedAt == 0
	h.scannedAt = e.now
	if ev.evacuations != nil {
		ev.evacuations.apply(e) // before the first start here
	}
	h.core.AddWorkersOfPreviousHolder(e.now, ev.previousWorkers)
	e.syncSessions(h)
	for _, r := range ev.records {
		if !h.core.IsKnown(r) {
			e.vm.metrics.adopted.Inc(1)
			klog.InfoS("kept: adopted", "id", r.Record.ID, "shard", ev.shard, "token", ev.token,
				"revision", r.Revision, "stored_under", r.Record.Token, "home", r.Record.Home)
		}
	}
	h.core.AddRecords(e.now, ev.records)
	if first {
		klog.InfoS("kept: shard recovered", "shard", ev.shard, "token", ev.token, "unfinished", len(ev.records))
	}
}

func (ev drainEvent) apply(e *engine) {
	e.site.StopClaiming()
	claims := e.site.HandOver()
	klog.InfoS("kept: stopping, shards are handed over", "shards", len(claims))
	for _, c := range claims {
		e.claim(c)
	}
	if len(claims) == 0 {
		close(ev.done) // there is nothing to hand over, or nobody to take it
		return
	}
	e.drained = ev.done
}
