package vm

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// planLayouts stores the number of shards of each domain that has none yet, one domain at a time.
func (e *engine) planLayouts() {
	for _, domain := range e.site.DomainsWithoutLayout(e.now) {
		if e.layoutInFlight {
			return
		}
		e.layoutInFlight = true
		minCores := e.site.MinCores(domain)
		e.vm.spawn(func() {
			err := e.vm.writeLayout(e.ctx, domain, minCores)
			e.vm.deliver(layoutWrittenEvent{domain: domain, err: err})
		})
	}
}

// Times for counting the workers of a new domain. The workers of a site that starts write their
// entries within some seconds. A domain whose number of shards followed from the first few entries
// would have one shard for ever, and one VM, perhaps one of the smallest, would hold all its workers.
// So the workers are counted until two counts in a row agree.
const (
	workerCountInterval = 1700 * time.Millisecond // more than a worker's heartbeat interval
	maxWorkerCountTime  = 5 * time.Second         // then the last count is used, so that the domain can serve
)

// writeLayout counts the workers of a domain and stores its number of shards, unless another VM has
// stored it already. minCores is the size of the domain's smallest VM.
func (v *VM) writeLayout(ctx context.Context, domain string, minCores float64) error {
	n, err := v.countWorkers(ctx, domain)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d := site.PlanLayout(domain, n, minCores)
	_, err = v.store.Commit(ctx, store.Txn{
		Expect: []store.Condition{{Key: site.DomainKey(domain)}},
		Put:    []store.Put{{Key: site.DomainKey(domain), Value: site.Encode(d)}},
	})
	if err == nil {
		klog.InfoS("kept: domain divided into shards", "domain", domain, "workers", n, "shards", d.Shards, "least_cores", minCores)
	}
	return err
}

var errNoWorkers = errors.New("no worker of the domain is listed yet")

// countWorkers counts the workers of a domain until two counts in a row agree, or for
// maxWorkerCountTime.
func (v *VM) countWorkers(ctx context.Context, domain string) (int, error) {
	startedAt := v.now()
	last := -1
	for {
		readCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		workers, err := v.readDomainWorkers(readCtx, domain, false)
		cancel()
		if err != nil {
			return 0, err
		}
		n := len(workers)
		switch timeUp := v.now()-startedAt >= maxWorkerCountTime; {
		case n == 0 && timeUp:
			return 0, errNoWorkers
		case n > 0 && (n == last || timeUp):
			return n, nil
		}
		last = n
		if !pause.For(ctx, workerCountInterval) {
			return 0, ctx.Err()
		}
	}
}

// readWorkers reads the workers of all failure domains from the list in the store.
func (v *VM) readWorkers(ctx context.Context, stale bool) ([]worker.Info, error) {
	items, _, err := v.readAll(ctx, v.config.StoreLayout.WorkerPrefix, stale)
	if err != nil {
		return nil, err
	}
	var out []worker.Info
	for _, it := range items {
		if info, ok := v.decodeEntry(it); ok {
			out = append(out, info)
		}
	}
	return out, nil
}

// readDomainWorkers reads the workers of a failure domain.
func (v *VM) readDomainWorkers(ctx context.Context, domain string, stale bool) ([]worker.Info, error) {
	all, err := v.readWorkers(ctx, stale)
	return slices.DeleteFunc(all, func(i worker.Info) bool { return i.Domain != domain }), err
}

// decodeEntry decodes an entry of the list of workers. One that describes no usable worker is logged
// the first time; ok is false.
func (v *VM) decodeEntry(it store.Item) (info worker.Info, ok bool) {
	info, err := v.config.StoreLayout.DecodeWorker(it)
	if err == nil {
		v.loggedEntries.remove(it.Key)
		return info, true
	}
	if v.loggedEntries.add(it.Key) {
		klog.ErrorS(err, "kept: entry of the worker list describes no usable worker", "key", it.Key, "revision", it.Revision)
	}
	return worker.Info{}, false
}

// loggedKeys is the set of keys of unusable entries that were logged. Such an entry is read again each
// time the list is read.
type loggedKeys struct {
	mu   sync.Mutex
	keys map[string]struct{}
}

// maxLoggedKeys bounds the memory that unusable entries take. Beyond it they are not logged.
const maxLoggedKeys = 1024

// add reports whether the key is to be logged: it is new, and there is room for it.
func (k *loggedKeys) add(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.keys[key]; known || len(k.keys) >= maxLoggedKeys {
		return false
	}
	if k.keys == nil {
		k.keys = make(map[string]struct{})
	}
	k.keys[key] = struct{}{}
	return true
}

func (k *loggedKeys) remove(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.keys, key)
}

// apply adds the services that the configuration names. Those of earlier configurations stay, as their
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

// isServed reports whether a worker belongs to a service that a configuration has named. Before the first
// configuration all do.
func (e *engine) isServed(info worker.Info) bool {
	_, named := e.services[info.Service]
	return named || len(e.services) == 0
}

// layoutWrittenEvent says how writing the number of shards of a domain went.
type layoutWrittenEvent struct {
	domain string
	err    error
}

func (ev layoutWrittenEvent) apply(e *engine) {
	e.layoutInFlight = false
	var conflict *store.ConflictError
	if ev.err != nil && !errors.As(ev.err, &conflict) {
		klog.InfoS("kept: domain not divided into shards", "domain", ev.domain, "why", ev.err)
	}
}

// updateWorkers gives a shard the workers that the list of its domain assigns to it.
func (e *engine) updateWorkers(h *heldShard) {
	var assigned []worker.Info
	domain := site.DomainOf(h.holding.Shard)
	if d, known := e.site.ShardLayout(domain); known && e.workerLists[domain] != nil {
		for _, info := range e.workerLists[domain].workersByShard(d)[h.holding.Shard] {
			if e.isServed(info) {
				assigned = append(assigned, info)
			}
		}
	}
	h.core.UpdateWorkers(e.now, assigned)
	h.listAppliedAt = e.now
	e.syncSessions(h)
	e.storeWorkers(h)
}

// syncSessions starts and ends sessions so that there is one with each worker of the shard, in the
// worker's latest incarnation.
func (e *engine) syncSessions(h *heldShard) {
	known := make(map[string]bool)
	for _, id := range h.core.WorkerIDs() {
		known[id] = true
		info, _ := h.core.WorkerInfo(id)
		ws := h.sessions[id]
		if ws != nil && info.Incarnation().Succeeds(ws.incarnation()) {
			klog.InfoS("kept: worker restarted under the same ID", "worker", info.Incarnation(), "earlier", ws.incarnation(),
				"shard", h.holding.Shard, "known_from", h.core.WorkerOrigin(id).String())
			e.vm.metrics.workersRestarted.Inc(1)
			ws.cancel()
			ws = nil
		}
		if ws == nil {
			klog.V(1).InfoS("kept: worker added", "worker", info.Incarnation(), "shard", h.holding.Shard, "domain", info.Domain,
				"cpu_milli", info.CPUMilli, "memory_mb", info.MemMB)
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

// sessionShard returns the shard that a session belongs to; nil if this VM no longer holds it, or a
// session with a later incarnation of the worker has replaced this one.
func (e *engine) sessionShard(ws *workerSession) *heldShard {
	h := e.shards[ws.shard]
	if h == nil || h.holding.Token != ws.token || h.sessions[ws.info.Load().ID] != ws {
		return nil
	}
	return h
}

// apply hands a worker's listing to its shard and counts the runs that have ended.
func (ev listingEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	id := ev.session.info.Load().ID
	for _, end := range h.core.HandleListing(e.now, id, ev.requestedAt, ev.listing) {
		e.vm.metrics.countRunEnd(end.Reason.String())
		level := klog.Level(0)
		if end.Reason == worker.Completed {
			level = 1
		}
		if v := klog.V(level); v.Enabled() {
			v.InfoS("kept: run ended", "id", end.Task.ID, "step", end.Task.Step, "index", end.Task.Index, "run", end.Run,
				"worker", id, "how", end.Reason.String(), "number", end.Seq)
		}
	}
}

func (ev workerFencedEvent) apply(e *engine) {
	if h := e.sessionShard(ev.session); h != nil {
		klog.InfoS("kept: worker has seen a higher fencing token", "worker", ev.session.info.Load().ID, "shard", ev.session.shard, "token", ev.session.token)
	}
}

func (ev workerEndedEvent) apply(e *engine) {
	if h := e.sessionShard(ev.session); h != nil {
		id := ev.session.info.Load().ID
		klog.InfoS("kept: worker refuses connections", "worker", id, "shard", ev.session.shard, "lease", "not over")
		h.core.WorkerEndedInLease(id)
	}
}

func (ev workerReplacedEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	e.replaceIncarnation(h, ev.session, ev.successor)
}

// replaceIncarnation replaces the incarnation of a session by the one that answers in its place.
func (e *engine) replaceIncarnation(h *heldShard, ws *workerSession, next worker.Incarnation) {
	gone := *ws.info.Load()
	gone.Born = ws.born.Load()
	klog.InfoS("kept: worker replaced", "worker", gone.Incarnation(), "shard", ws.shard, "successor", next, "why", "another incarnation answers")
	h.core.WorkerRestarted(e.now, gone, next)
	e.syncSessions(h)
}

// apply gives up a worker that does not answer and whose lease has certainly expired. The session tells it again if a
// start or an answer has come since, and the lease expires later.
func (ev leaseExpiredEvent) apply(e *engine) {
	h := e.sessionShard(ev.session)
	if h == nil {
		return
	}
	id := ev.session.info.Load().ID
	if over, _ := ev.session.leaseExpired(e.vm.now()); !over {
		ev.session.expiryPosted.Store(false)
		klog.InfoS("kept: worker not lost", "worker", id, "shard", ev.session.shard, "why", "its lease was extended since its expiry was noticed")
		return
	}
	e.vm.metrics.workersLost.Inc(1)
	klog.InfoS("kept: worker lost", "worker", id, "shard", ev.session.shard, "why", "no answer, and its lease has expired")
	h.core.WorkerLeaseExpired(e.now, id)
}

// apply counts a worker's answer to a start and hands it to the shard.
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
