package vm

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// divideDomains writes into how many shards a domain of a new site is divided.
func (e *engine) divideDomains() {
	for _, domain := range e.site.DomainsWithoutLayout(e.now) {
		if e.divisionInFlight {
			return
		}
		e.divisionInFlight = true
		least := e.site.MinCores(domain)
		e.vm.spawn(func() {
			err := e.vm.writeDivision(e.ctx, domain, least)
			e.vm.post(dividedEvent{domain: domain, err: err})
		})
	}
}

// Times of the division of a new domain.
const (
	// The workers of a site that starts write their entries within some seconds. A domain that
	// is divided by the first entries has one shard for ever, and one VM, perhaps one of the
	// smallest, holds all its workers. So they are counted until two counts are the same.
	workerCountInterval = 1700 * time.Millisecond // more than a worker's heartbeat
	maxWorkerCountTime  = 5 * time.Second         // then the last count is taken, so that the domain serves
)

// divide counts the workers of a domain until the count stands, and writes its division, unless
// another VM has.
func (v *VM) writeDivision(ctx context.Context, domain string, least float64) error {
	n, err := v.countWorkers(ctx, domain)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d := site.PlanLayout(domain, n, least)
	_, err = v.store.Commit(ctx, store.Txn{
		Expect: []store.Condition{{Key: site.DomainKey(domain)}},
		Put:    []store.Put{{Key: site.DomainKey(domain), Value: site.Encode(d)}},
	})
	if err == nil {
		klog.InfoS("kept: domain divided", "domain", domain, "workers", n, "shards", d.Shards, "least_cores", least)
	}
	return err
}

var errNoWorkers = errors.New("no worker of it is listed yet")

// countWorkers counts the workers of a domain until two counts are the same.
func (v *VM) countWorkers(ctx context.Context, domain string) (int, error) {
	began := v.now()
	last := -1
	for {
		lookCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		workers, err := v.readDomainWorkers(lookCtx, domain, false)
		cancel()
		if err != nil {
			return 0, err
		}
		n := len(workers)
		switch over := v.now()-began >= maxWorkerCountTime; {
		case n == 0 && over:
			return 0, errNoWorkers
		case n > 0 && (n == last || over):
			return n, nil
		}
		last = n
		if !pause.For(ctx, workerCountInterval) {
			return 0, ctx.Err()
		}
	}
}

// readDomainWorkers reads the workers of a failure domain from their list.
func (v *VM) readDomainWorkers(ctx context.Context, domain string, stale bool) ([]worker.Info, error) {
	items, _, err := v.readAll(ctx, v.config.Layout.WorkerPrefix, stale)
	if err != nil {
		return nil, err
	}
	var out []worker.Info
	for _, it := range items {
		if info, ok := v.decodeEntry(it); ok && info.Domain == domain {
			out = append(out, info)
		}
	}
	return out, nil
}

// decodeEntry reads an entry of the list of workers. One that names no worker to use is left
// out, and logged when it is read first.
func (v *VM) decodeEntry(it store.Item) (info worker.Info, ok bool) {
	info, err := v.config.Layout.DecodeWorker(it)
	if err == nil {
		v.reportedEntries.remove(it.Key)
		return info, true
	}
	if v.reportedEntries.add(it.Key) {
		klog.ErrorS(err, "kept: an entry of the list names no worker to use", "key", it.Key, "revision", it.Revision)
	}
	return worker.Info{}, false
}

// loggedKeys remembers the keys of entries that were complained of: such an entry is read
// again with each look at the list.
type loggedKeys struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

// maxLoggedKeys bounds the memory that foreign entries take. Beyond it they are not logged.
const maxLoggedKeys = 1024

func (o *loggedKeys) add(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.seen[key]; known || len(o.seen) >= maxLoggedKeys {
		return false
	}
	if o.seen == nil {
		o.seen = make(map[string]struct{})
	}
	o.seen[key] = struct{}{}
	return true
}

func (o *loggedKeys) remove(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.seen, key)
}

// apply notes which services the configuration names. What an earlier one named stays: its
// workers may still run tasks.
func (ev servicesEvent) apply(e *engine) {
	added := false
	for _, s := range ev.services {
		_, known := e.services[s.Name]
		added = added || !known
		e.services[s.Name] = s
	}
	if !added {
		return
	}
	for _, h := range e.shards {
		e.updateWorkers(h)
	}
}

// serves reports whether a worker belongs to a service that the configuration names. It is
// not asked before there is a configuration.
func (e *engine) isServed(info worker.Info) bool {
	_, named := e.services[info.Service]
	return named || len(e.services) == 0
}

type dividedEvent struct {
	domain string
	err    error
}

func (ev dividedEvent) apply(e *engine) {
	e.divisionInFlight = false
	var conflict *store.ConflictError
	if ev.err != nil && !errors.As(ev.err, &conflict) {
		klog.InfoS("kept: a domain could not be divided", "domain", ev.domain, "why", ev.err)
	}
}

// updateWorkers holds the workers of a shard.
func (e *engine) updateWorkers(h *heldShard) {
	var own []worker.Info
	domain := site.DomainOf(h.holding.Shard)
	if d, known := e.site.ShardLayout(domain); known && e.workerLists[domain] != nil {
		for _, info := range e.workerLists[domain].workersByShard(d)[h.holding.Shard] {
			if e.isServed(info) {
				own = append(own, info)
			}
		}
	}
	h.core.UpdateWorkers(e.now, own)
	e.syncSessions(h)
	e.storeWorkers(h)
}

// syncSessions makes the sessions those of the workers that the core knows.
func (e *engine) syncSessions(h *heldShard) {
	known := make(map[string]bool)
	for _, id := range h.core.WorkerIDs() {
		known[id] = true
		info, _ := h.core.WorkerInfo(id)
		ws := h.sessions[id]
		if ws != nil && info.Incarnation().Succeeds(ws.incarnation()) {
			klog.InfoS("kept: worker started again under its ID", "worker", info.Incarnation(), "earlier", ws.incarnation(),
				"shard", h.holding.Shard, "known_from", h.core.WorkerOrigin(id).String())
			e.vm.metrics.workersRestarted.Inc(1)
			ws.cancel()
			ws = nil
		}
		if ws == nil {
			h.sessions[id] = startSession(h.ctx, e.vm, h.holding.Shard, info, h.holding.Token, &h.extendLeases)
			continue
		}
		ws.info.Store(&info)
	}
	for id, ws := range h.sessions {
		if !known[id] {
			ws.cancel()
			delete(h.sessions, id)
			klog.InfoS("kept: worker dropped", "worker", id, "shard", h.holding.Shard)
		}
	}
}

// holder returns the shard that a session belongs to; nil if it is held no more, or the session has
// given way to one with the worker's next incarnation.
func (e *engine) sessionShard(ws *workerSession) *heldShard {
	h := e.shards[ws.shard]
	if h == nil || h.holding.Token != ws.token || h.sessions[ws.info.Load().ID] != ws {
		return nil
	}
	return h
}

func (ev listingEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	id := ev.session.info.Load().ID
	for _, end := range h.core.HandleListing(e.now, id, ev.sent, ev.listing) {
		e.vm.metrics.countRunEnd(end.Reason.String())
		if end.Reason != worker.Completed {
			klog.InfoS("kept: run ended", "id", end.Task.ID, "step", end.Task.Step, "index", end.Task.Index, "run", end.Run,
				"worker", id, "how", end.Reason.String(), "number", end.Seq)
		}
	}
}

func (ev workerFencedEvent) apply(e *engine) {
	if h := e.sessionShard(ev.session); h != nil {
		klog.InfoS("kept: a worker has seen a higher token", "worker", ev.session.info.Load().ID, "shard", ev.session.shard, "token", ev.session.token)
	}
}

func (ev workerReplacedEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	e.replaceIncarnation(h, ev.session, ev.successor)
}

// succeed takes the incarnation that answers in place of a session's.
func (e *engine) replaceIncarnation(h *heldShard, ws *workerSession, next worker.Incarnation) {
	gone := *ws.info.Load()
	gone.Born = ws.born.Load()
	klog.InfoS("kept: worker gone", "worker", gone.Incarnation(), "shard", ws.shard, "successor", next, "why", "another incarnation answers")
	h.core.WorkerRestarted(e.now, gone, next)
	e.syncSessions(h)
}

func (ev leaseExpiredEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	id := ev.session.info.Load().ID
	e.vm.metrics.workersLost.Inc(1)
	klog.InfoS("kept: worker lost", "worker", id, "shard", ev.session.shard, "why", "it does not answer, and its lease is over")
	h.core.WorkerLeaseExpired(e.now, id)
}

func (ev startReplyEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	id := ev.session.info.Load().ID
	e.vm.metrics.countStart(ev.reply.Verdict.String())
	if ev.reply.Verdict != worker.Accepted {
		klog.InfoS("kept: start not accepted", "id", ev.task.ID, "step", ev.task.Step, "index", ev.task.Index, "run", ev.run,
			"worker", id, "answer", ev.reply.Verdict)
	}
	if ev.reply.Verdict == worker.Replaced {
		e.replaceIncarnation(h, ev.session, ev.reply.Successor)
		return
	}
	h.core.HandleStartReply(e.now, id, ev.task, ev.run, ev.reply)
}

func (ev stopReplyEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	switch {
	case h == nil:
	case ev.reply.Verdict == worker.Replaced:
		e.replaceIncarnation(h, ev.session, ev.reply.Successor)
	default:
		h.core.HandleStopReply(e.now, ev.session.info.Load().ID, ev.task, ev.run, ev.reply)
	}
}
