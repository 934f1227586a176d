package vm

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// fleetReadTimeout limits a read of the workers of all domains.
const fleetReadTimeout = 2 * time.Second

// strandedMove is a stored submission that no worker of its shard can run.
type strandedMove struct {
	shard  string
	token  uint64
	action shard.ReassignAction
}

// moveStranded looks for a shard whose workers can run a submission. Load reports do not tell what the workers of other
// shards are, so the list of all workers is read, once for all submissions that wait for it.
func (e *engine) moveStranded(m strandedMove) {
	e.stranded = append(e.stranded, m)
	if len(e.stranded) > 1 {
		return // the list is being read
	}
	e.vm.spawn(func() {
		ctx, cancel := context.WithTimeout(e.ctx, fleetReadTimeout)
		defer cancel()
		items, _, err := e.vm.readAll(ctx, e.vm.config.StoreLayout.WorkerPrefix, true)
		ev := fleetReadEvent{err: err}
		for _, it := range items {
			if info, ok := e.vm.decodeEntry(it); ok {
				ev.workers = append(ev.workers, info)
			}
		}
		e.vm.post(ev)
	})
}

// fleetReadEvent brings the workers of all domains.
type fleetReadEvent struct {
	workers []worker.Info
	err     error
}

func (ev fleetReadEvent) apply(e *engine) {
	moves := e.stranded
	e.stranded = nil
	for _, m := range moves {
		h := e.shards[m.shard]
		if h == nil || h.holding.Token != m.token {
			continue
		}
		rec := m.action.Record
		shards := e.shardsThatCanRun(rec, m.action.Stranded, ev.workers)
		if len(shards) == 0 {
			klog.InfoS("kept: no shard known to run a stored submission", "id", rec.ID, "shard", m.shard, "token", m.token, "steps", m.action.Stranded,
				"workers", len(ev.workers), "read_failed", ev.err, "moves", rec.Moves)
			h.core.ReassignFailed(e.now, rec.ID)
			continue
		}
		rec.Moves++
		e.storeUnder(m.shard, h, m.action, shards)
	}
}

// shardsThatCanRun returns the other shards with a worker that can run a task of one of the steps.
func (e *engine) shardsThatCanRun(r *submission.Record, steps []int, workers []worker.Info) []policy.Candidate {
	capable := make(map[string]bool)
	for i := range workers {
		w := &workers[i]
		suits := func(step int) bool {
			st := &r.Steps[step]
			return w.Suits(r.Terms.Service, st.RequiredLabel, st.CPUMilli, st.MemMB, st.GPU)
		}
		if layout, known := e.site.ShardLayout(w.Domain); known && !w.Leaving && slices.ContainsFunc(steps, suits) {
			capable[layout.ShardOf(w.Address)] = true
		}
	}
	return slices.DeleteFunc(e.eligibleShards(r), func(c policy.Candidate) bool { return c.Shard == r.Shard || !capable[c.Shard] })
}
