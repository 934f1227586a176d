package vm

import (
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
)

// logSpeeds logs and counts workers that have turned slow or recovered, and reports of workers that cannot be true.
func (e *engine) logSpeeds(name string, a shard.Actions) {
	for _, s := range a.Speeds {
		if s.Change == policy.TurnedSlow {
			e.vm.metrics.workersTurnedSlow.Inc(1)
		}
		klog.InfoS("kept: speed of a worker changed", "worker", s.Worker, "shard", name, "how", s.Change.String(), "slowness", s.Slowness,
			"id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index, "took", s.Took, "usual", s.Usual)
	}
	for _, b := range a.BadReports {
		klog.InfoS("kept: impossible report of a worker ignored", "worker", b.Worker, "shard", name,
			"id", b.Task.ID, "step", b.Task.Step, "index", b.Task.Index, "why", b.What, "since_the_last", b.Count)
	}
}
