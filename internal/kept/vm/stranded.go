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
		workers, err := e.vm.readWorkers(ctx, true)
		e.vm.deliver(fleetReadEvent{workers: workers, err: err})
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
	byShard := e.groupByShard(ev.workers)
	for _, m := range moves {
		h := e.heldUnder(m.shard, m.token)
		if h == nil {
			continue
		}
		rec := m.action.Record
		shards := e.shardsThatCanRun(rec, m.action.Stranded, byShard)
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

// groupByShard returns the workers of each shard, without those that are about to stop.
func (e *engine) groupByShard(workers []worker.Info) map[string][]worker.Info {
	out := make(map[string][]worker.Info)
	for _, w := range workers {
		if layout, known := e.site.ShardLayout(w.Domain); known && !w.Leaving {
			name := layout.ShardOf(w.Address)
			out[name] = append(out[name], w)
		}
	}
	return out
}

// shardsThatCanRun returns the other shards with a worker that can run a task of one of the steps.
func (e *engine) shardsThatCanRun(r *submission.Record, steps []int, byShard map[string][]worker.Info) []policy.Candidate {
	canRun := func(w worker.Info) bool {
		return slices.ContainsFunc(steps, func(step int) bool { return w.SuitsStep(r.Terms.Service, &r.Steps[step]) })
	}
	return slices.DeleteFunc(e.eligibleShards(r), func(c policy.Candidate) bool {
		return c.Shard == r.Shard || !slices.ContainsFunc(byShard[c.Shard], canRun)
	})
}
