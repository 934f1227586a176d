package vm

import (
	"fmt"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

func encodeLosses(losses []submission.Loss) []*pb.KeptLoss {
	var out []*pb.KeptLoss
	for _, l := range losses {
		out = append(out, &pb.KeptLoss{Worker: l.Worker, Run: l.Run, Weight: uint32(l.Weight), Certain: l.Certain})
	}
	return out
}

func decodeLosses(in []*pb.KeptLoss) []submission.Loss {
	var out []submission.Loss
	for _, l := range in {
		out = append(out, submission.Loss{Worker: l.Worker, Run: l.Run, Weight: int(l.Weight), Certain: l.Certain})
	}
	return out
}

// logLosses logs and counts workers that were lost while tasks ran on them, and tasks that were given up for it.
func (e *engine) logLosses(name string, a shard.Actions) {
	for _, l := range a.WorkerLosses {
		e.vm.metrics.countLostTasks(l.Unrelated, l.Tasks)
		klog.InfoS("kept: worker lost while tasks ran on it", "worker", l.Worker, "shard", name, "tasks", l.Tasks, "others_lost_too", l.Unrelated)
	}
	for _, g := range a.GivenUp {
		e.vm.metrics.tasksGivenUp.Inc(1)
		klog.InfoS("kept: task given up, workers were lost while it ran", "id", g.Task.ID, "step", g.Task.Step, "index", g.Task.Index,
			"shard", name, "losses", fmt.Sprintf("%+v", g.Losses))
	}
}

// reportTaskLosses tells the home VM of a submission which workers were lost while a task ran on them.
func (e *engine) reportTaskLosses(a shard.TaskLossesAction) {
	if a.Home == e.vm.config.Name {
		e.applyTaskLosses(a.Task, a.Losses)
		return
	}
	f := e.frame(a.Home)
	f.Losses = append(f.Losses, &pb.KeptLosses{
		Id:     string(a.Task.ID),
		Step:   uint32(a.Task.Step),
		Index:  uint32(a.Task.Index),
		Losses: encodeLosses(a.Losses),
	})
}

// applyTaskLosses records which workers were lost while a task ran on them, for the next holder.
func (e *engine) applyTaskLosses(ref submission.TaskRef, losses []submission.Loss) {
	e.updateProgress(ref, func(p *submission.Progress) { p.RecordLosses(ref.Task, losses) })
}
