package vm

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Times of the writes of a holder.
const (
	endsPause   = 40 * time.Millisecond // ends that come within it share a transaction
	endsWithin  = time.Hour             // a holder goes on trying for as long as it holds the shard
	claimWithin = 2 * time.Second
	scanPause   = 50 * time.Millisecond
	leaseSlack  = 100 * time.Millisecond // beyond the longest lease: drift and rounding
)

func (ev siteEvent) apply(e *engine) {
	var err error
	if ev.whole {
		err = e.site.Reset(e.at, ev.items)
	}
	for _, change := range ev.events {
		err = errors.Join(err, e.site.Apply(e.at, change))
		if change.Deleted && change.Key == site.MemberKey(e.vm.config.Name) {
			e.vm.sessionGone.Store(true)
		}
	}
	if err != nil {
		klog.ErrorS(err, "kept: a key of the site cannot be read")
	}
	e.site.Contact(ev.sent, e.at)
	e.followHoldings(ev.sent)
	e.followMembers()
}

// followHoldings takes up the shards that this VM holds by the store, and drops
// those that it does not. sent is when the store was asked.
func (e *engine) followHoldings(sent time.Duration) {
	for _, holding := range e.site.Holdings() {
		h := e.shards[holding.Shard]
		mine := e.site.Mine(holding)
		if h != nil && (!mine || h.holding.Token != holding.Token) {
			e.dropShard(h, holding)
			h = nil
		}
		if h != nil {
			h.confirmed = max(h.confirmed, sent)
		}
		if h == nil && mine {
			e.takeShard(holding)
		}
	}
}

// takeShard begins to hold a shard.
func (e *engine) takeShard(holding site.Holding) {
	// Runs that the earlier holder started and that no worker lists are over then.
	barrierAt := e.at + e.vm.config.LeaseMost + leaseSlack
	if !holding.Clean {
		barrierAt += authorityOver
	}
	settings := shard.DefaultSettings()
	settings.LeaseMost = e.vm.config.LeaseMost
	h := &held{
		core:      shard.New(e.at, settings, holding.Shard, holding.Token, barrierAt),
		holding:   holding,
		hands:     make(map[string]*hand),
		confirmed: e.at,
	}
	h.extend.Store(true)
	h.ctx, h.cancel = context.WithCancel(e.ctx)
	e.shards[holding.Shard] = h
	e.wantWorkers()
	for peer, up := range e.up {
		if !up {
			h.core.HomeLost(e.at, peer)
		}
	}
	e.placeWorkers(h)
	e.scan(holding.Shard, h)
	e.vm.figures.takeovers.Inc(1)
	klog.InfoS("kept: shard taken", "shard", holding.Shard, "token", holding.Token, "revision", holding.Revision,
		"workers", len(h.hands), "barrier_in", barrierAt-e.at)
}

func (e *engine) dropShard(h *held, now site.Holding) {
	h.cancel()
	delete(e.shards, h.holding.Shard)
	e.wantWorkers()
	e.vm.figures.handovers.Inc(1)
	klog.InfoS("kept: shard lost", "shard", h.holding.Shard, "token", h.holding.Token,
		"new_holder", now.Holder, "new_token", now.Token, "unfinished", len(h.core.Unfinished()))
}

// claimShards claims what is this VM's to claim.
func (e *engine) claimShards() {
	for _, c := range e.site.Decide(e.at) {
		e.claim(c)
	}
}

func (e *engine) claim(c site.Claim) {
	name := c.From.Shard
	if e.claiming[name] {
		return
	}
	e.claiming[name] = true
	klog.InfoS("kept: shard claimed", "shard", name, "for", c.To.Holder, "from", c.From.Holder,
		"token", c.To.Token, "revision", c.From.Revision, "why", c.Why)
	domain := site.DomainOf(name)
	foreign := c.To.Holder == e.vm.config.Name && domain != e.vm.config.Domain
	confirmed := e.probed[name] > 0 && e.at-e.probed[name] < probeFresh
	e.vm.duty(func() {
		ctx, cancel := context.WithTimeout(e.ctx, claimWithin)
		defer cancel()
		if foreign && !e.vm.reachesDomain(ctx, domain) {
			e.vm.post(claimedEvent{claim: c, err: errUnreachable})
			return
		}
		if foreign && !confirmed {
			e.vm.post(claimedEvent{claim: c, err: errFirstLook})
			return
		}
		rev, err := e.vm.store.Commit(ctx, store.Txn{
			Expect: []store.Condition{{Key: site.ShardKey(name), Revision: c.From.Revision}},
			Put:    []store.Put{{Key: site.ShardKey(name), Value: site.Encode(c.To)}},
		})
		e.vm.post(claimedEvent{claim: c, revision: rev, err: err})
	})
}

// errFirstLook puts a claim off until the site has been looked at twice, a second apart:
// at a heal, workers of a domain can be reached some 400 ms before the links to its VMs
// are back, and its shard would go to and fro.
var errFirstLook = errors.New("a worker was reached for the first time; the holder may be back")

const probeFresh = 4 * time.Second // between the two looks

var errUnreachable = errors.New("no worker of the shard can be reached")

// probeMost is how many workers of a failure domain are asked whether they can be
// reached. One that answers is enough.
const probeMost = 4

// reachesDomain reports whether a worker of a failure domain answers. A domain that is
// cut off looks from outside as if its VMs had died; its own holder serves on there,
// and a holder outside could not reach any worker and would end all runs after the cut.
func (v *VM) reachesDomain(ctx context.Context, domain string) bool {
	items, _, err := v.readAll(ctx, v.config.Lists.WorkerPrefix, true)
	if err != nil {
		return false
	}
	answers := make(chan bool, probeMost)
	asked := 0
	for _, it := range items {
		info, err := v.config.Lists.DecodeWorker(it)
		if err != nil || info.Domain != domain || asked == probeMost {
			continue
		}
		asked++
		v.duty(func() {
			ctx, cancel := context.WithTimeout(ctx, holdWithin)
			defer cancel()
			_, r := v.config.Orders.Hold(ctx, info, worker.Hold{})
			answers <- r.Verdict != worker.Silent
		})
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

func (ev claimedEvent) apply(e *engine) {
	name := ev.claim.From.Shard
	delete(e.claiming, name)
	if errors.Is(ev.err, errFirstLook) {
		e.probed[name] = e.at
	}
	if ev.err != nil {
		klog.InfoS("kept: claim failed", "shard", name, "token", ev.claim.To.Token, "why", ev.err)
		return
	}
	item := store.Item{Key: site.ShardKey(name), Value: site.Encode(ev.claim.To), Revision: ev.revision}
	if err := e.site.Apply(e.at, store.Event{Item: item}); err != nil {
		klog.ErrorS(err, "kept: a key of the site cannot be read")
		return
	}
	delete(e.probed, name)
	holding := e.site.Holding(name)
	if h := e.shards[name]; h != nil && !e.site.Mine(holding) {
		e.dropShard(h, holding)
	}
	e.followHoldings(0)
	e.rehome()
}

// scan reads the unfinished submissions of a shard from the store.
func (e *engine) scan(name string, h *held) {
	h.scanning = true
	token := h.holding.Token
	// What is read later only finds records whose holder was not told of them; what
	// has ended meanwhile is remembered. Such a read costs a tenth.
	stale := h.scannedAt > 0
	e.vm.duty(func() {
		for h.ctx.Err() == nil {
			items, _, err := e.vm.readAll(h.ctx, submission.OpenPrefix, stale)
			var known []worker.Info
			if err == nil && !stale {
				known, err = e.vm.readHands(h.ctx, name)
			}
			if err == nil {
				e.vm.post(scannedEvent{shard: name, token: token, records: recordsOf(name, items), known: known})
				return
			}
			sleep(h.ctx, scanPause)
		}
	})
}

func recordsOf(name string, items []store.Item) []shard.Stored {
	var out []shard.Stored
	for _, it := range items {
		id := submission.ID(strings.TrimPrefix(it.Key, submission.OpenPrefix))
		r, err := submission.DecodeRecord(id, it.Value)
		if err != nil {
			klog.ErrorS(err, "kept: a stored submission cannot be read", "id", id, "revision", it.Revision)
			continue
		}
		if r.Shard == name {
			out = append(out, shard.Stored{Record: r, Revision: it.Revision})
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
	h.scannedAt = e.at
	h.core.Expect(e.at, ev.known)
	e.alignHands(h)
	for _, r := range ev.records {
		if _, known := h.core.Knows(r.Record.ID); !known {
			e.vm.figures.adopted.Inc(1)
			klog.InfoS("kept: adopted", "id", r.Record.ID, "shard", ev.shard, "token", ev.token,
				"revision", r.Revision, "stored_under", r.Record.Token, "home", r.Record.Home)
		}
	}
	h.core.Records(e.at, ev.records)
	if first {
		klog.InfoS("kept: shard recovered", "shard", ev.shard, "token", ev.token, "unfinished", len(ev.records))
	}
}

// Workers.

// wantWorkers has the list of workers followed while a shard is held.
func (e *engine) wantWorkers() {
	if len(e.shards) == 0 {
		e.workers = nil // it will be out of date when the next shard is taken
	}
	select {
	case <-e.vm.wantWorkers:
	default:
	}
	e.vm.wantWorkers <- len(e.shards) > 0
}

func (ev workersEvent) apply(e *engine) {
	if len(e.shards) == 0 {
		return
	}
	e.workers = ev.list
	for _, h := range e.shards {
		e.placeWorkers(h)
	}
}

// shardOf is the shard that a worker belongs to; "" if its domain is not divided yet.
func (e *engine) shardOf(info worker.Info) string {
	d, known := e.site.Division(info.Domain)
	if !known {
		return ""
	}
	return d.ShardOf(info.Address)
}

// divideDomains writes into how many shards a domain of a new site is divided.
func (e *engine) divideDomains() {
	for _, domain := range e.site.Undivided(e.at) {
		if e.dividing {
			return
		}
		e.dividing = true
		e.vm.duty(func() {
			err := e.vm.divide(e.ctx, domain)
			e.vm.post(dividedEvent{domain: domain, err: err})
		})
	}
}

// divide counts the workers of a domain and writes its division, unless another VM has.
func (v *VM) divide(ctx context.Context, domain string) error {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	items, _, err := v.readAll(ctx, v.config.Lists.WorkerPrefix, false)
	if err != nil {
		return err
	}
	workers := 0
	for _, it := range items {
		info, err := v.config.Lists.DecodeWorker(it)
		if err != nil {
			klog.ErrorS(err, "kept: a worker's entry cannot be read", "key", it.Key)
			continue
		}
		if info.Domain == domain {
			workers++
		}
	}
	d := site.Divide(domain, workers)
	_, err = v.store.Commit(ctx, store.Txn{
		Expect: []store.Condition{{Key: site.DomainKey(domain)}},
		Put:    []store.Put{{Key: site.DomainKey(domain), Value: site.Encode(d)}},
	})
	if err == nil {
		klog.InfoS("kept: domain divided", "domain", domain, "workers", workers, "shards", d.Shards)
	}
	return err
}

type dividedEvent struct {
	domain string
	err    error
}

func (ev dividedEvent) apply(e *engine) {
	e.dividing = false
	var conflict *store.ConflictError
	if ev.err != nil && !errors.As(ev.err, &conflict) {
		klog.InfoS("kept: a domain could not be divided", "domain", ev.domain, "why", ev.err)
	}
}

// placeWorkers holds the workers of a shard.
func (e *engine) placeWorkers(h *held) {
	var own []worker.Info
	for _, info := range e.workers {
		if e.shardOf(info) == h.holding.Shard {
			own = append(own, info)
		}
	}
	h.core.Workers(e.at, own)
	e.alignHands(h)
	e.noteHands(h)
}

// alignHands makes the hands those of the workers that the core knows.
func (e *engine) alignHands(h *held) {
	known := make(map[string]bool)
	for _, id := range h.core.WorkerIDs() {
		known[id] = true
		info, _ := h.core.WorkerInfo(id)
		hd := h.hands[id]
		if hd == nil {
			h.hands[id] = startHand(h.ctx, e.vm, h.holding.Shard, info, h.holding.Token, &h.extend)
			continue
		}
		hd.info.Store(&info)
	}
	for id, hd := range h.hands {
		if !known[id] {
			hd.cancel()
			delete(h.hands, id)
			klog.InfoS("kept: worker dropped", "worker", id, "shard", h.holding.Shard)
		}
	}
}

// holder returns the shard that a hand belongs to; nil if it is held no more.
func (e *engine) holder(hd *hand) *held {
	h := e.shards[hd.shard]
	if h == nil || h.holding.Token != hd.token {
		return nil
	}
	return h
}

func (ev listingEvent) apply(e *engine) {
	h := e.holder(ev.hand)
	if h == nil {
		return
	}
	id := ev.hand.info.Load().ID
	for _, end := range h.core.Listing(e.at, id, ev.sent, ev.listing) {
		e.vm.figures.end(end.How.String())
		if end.How != worker.Completed {
			klog.InfoS("kept: run ended", "id", end.Task.ID, "step", end.Task.Step, "index", end.Task.Index, "run", end.Run,
				"worker", id, "how", end.How.String(), "number", end.N)
		}
	}
}

func (ev fencedEvent) apply(e *engine) {
	if h := e.holder(ev.hand); h != nil {
		klog.InfoS("kept: a worker has seen a higher token", "worker", ev.hand.info.Load().ID, "shard", ev.hand.shard, "token", ev.hand.token)
	}
}

func (ev goneEvent) apply(e *engine) {
	h := e.holder(ev.hand)
	if h == nil {
		return
	}
	id := ev.hand.info.Load().ID
	klog.InfoS("kept: worker gone", "worker", id, "shard", ev.hand.shard, "why", "another incarnation answers")
	h.core.WorkerGone(e.at, id)
	e.alignHands(h)
}

func (ev lapsedEvent) apply(e *engine) {
	h := e.holder(ev.hand)
	if h == nil {
		return
	}
	id := ev.hand.info.Load().ID
	e.vm.figures.workersLost.Inc(1)
	klog.InfoS("kept: worker lost", "worker", id, "shard", ev.hand.shard, "why", "it does not answer, and its lease is over")
	h.core.WorkerLapsed(e.at, id)
	e.alignHands(h)
}

func (ev startReplyEvent) apply(e *engine) {
	h := e.holder(ev.hand)
	if h == nil {
		return
	}
	id := ev.hand.info.Load().ID
	e.vm.figures.start(ev.reply.Verdict.String())
	if ev.reply.Verdict != worker.Accepted {
		klog.InfoS("kept: start not accepted", "id", ev.task.ID, "step", ev.task.Step, "index", ev.task.Index, "run", ev.run,
			"worker", id, "answer", ev.reply.Verdict)
	}
	h.core.StartReply(e.at, id, ev.task, ev.run, ev.reply)
	e.alignHands(h)
}

func (ev stopReplyEvent) apply(e *engine) {
	if h := e.holder(ev.hand); h != nil {
		h.core.StopReply(e.at, ev.hand.info.Load().ID, ev.task, ev.run, ev.reply)
		e.alignHands(h)
	}
}

// Ends and progress.

// guard is the condition that this VM still holds the shard.
func (h *held) guard() *store.Condition {
	return &store.Condition{Key: site.ShardKey(h.holding.Shard), Revision: h.holding.Revision}
}

func (e *engine) storeFinal(name string, h *held, f shard.FinalAction) {
	token := h.holding.Token
	klog.InfoS("kept: ended", "id", f.ID, "shard", name, "state", f.State.String(), "why", f.Why)
	ok := e.vm.ends.Add(&journal.Row{
		Txn:    finalTxn(f.ID, f.Revision, f.State),
		Guard:  h.guard(),
		Within: endsWithin,
		Done: func(r journal.Result) {
			e.vm.post(finalEvent{shard: name, id: string(f.ID), token: token, state: f.State, result: r})
		},
	})
	if !ok {
		// A later holder finds the ends still listed by the workers.
		klog.InfoS("kept: an end waits in memory only, the journal is full", "id", f.ID)
	}
}

// finalTxn replaces a submission's record by its final state.
func finalTxn(id submission.ID, revision uint64, state submission.State) store.Txn {
	return store.Txn{
		Expect: []store.Condition{{Key: submission.OpenKey(id), Revision: revision}},
		Put:    []store.Put{{Key: submission.FinalKey(id), Value: []byte(state.String())}},
		Delete: []string{submission.OpenKey(id)},
	}
}

func (ev finalEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return
	}
	id := submission.ID(ev.id)
	if ev.result.Outcome == journal.Stored {
		h.core.FinalStored(e.at, id)
		return
	}
	klog.InfoS("kept: an end was not stored", "id", id, "shard", ev.shard, "outcome", fmt.Sprint(ev.result.Outcome))
	if ev.result.Outcome == journal.Conflict && !guardBroken(ev.result, h) {
		h.core.Lost(e.at, id)
	}
}

// guardBroken reports whether a row failed because the shard has another holder.
func guardBroken(r journal.Result, h *held) bool {
	g := h.guard()
	for _, it := range r.Items {
		if it.Key == g.Key && it.Revision != g.Revision {
			return true
		}
	}
	return false
}

func (e *engine) storeProgress(name string, h *held, s shard.SaveAction) {
	token := h.holding.Token
	id := string(s.Record.ID)
	key := submission.OpenKey(s.Record.ID)
	e.vm.ends.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: key, Revision: s.Revision}},
			Put:    []store.Put{{Key: key, Value: s.Record.Encode()}},
		},
		Guard:  h.guard(),
		Within: endsWithin,
		Done: func(r journal.Result) {
			e.vm.post(savedEvent{shard: name, id: id, token: token, result: r})
		},
	})
}

func (ev savedEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return
	}
	id := submission.ID(ev.id)
	switch {
	case ev.result.Outcome == journal.Stored:
		h.core.Saved(e.at, id, ev.result.Revision)
	case ev.result.Outcome == journal.Conflict && !guardBroken(ev.result, h):
		h.core.Lost(e.at, id)
	}
}

func (ev drainEvent) apply(e *engine) {
	e.site.Leave()
	claims := e.site.HandOver()
	klog.InfoS("kept: stopping, shards are handed over", "shards", len(claims))
	for _, c := range claims {
		e.claim(c)
	}
	if len(claims) == 0 {
		close(ev.done) // there is nothing to hand over, or nobody to take it
		return
	}
	e.draining = ev.done
}
