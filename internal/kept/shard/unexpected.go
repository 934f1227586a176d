package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// UnexpectedRunAction reports a run that a worker lists as running though its task was released, or though it is not the
// task's newest run.
type UnexpectedRunAction struct {
	Worker      string // its ID
	Task        submission.TaskRef
	Run         uint64
	StartedHere bool   // this holder ordered it on that worker
	StopSent    bool   // a stop of it has been ordered
	State       string // of the task, or "not known" or "submission has left"
	NewestRun   uint64 // of the task; 0: none is known
	NewestAt    string // ID of the worker that the task occupies; "": none
	Released    ReleaseReason
	ReleasedRun uint64        // the run that the task's last release gave up
	ReleasedAgo time.Duration // negative: it was not released
}

var taskStateNames = [...]string{
	"waiting", "unlocated", "starting", "running", "unconfirmed", "stopping to restart", "stopping for good", "completed",
	"ended", "elsewhere",
}

func (s taskState) String() string { return taskStateNames[s] }

// tellStray reports a stray run, once its task is known here, its submission has left, or it is being stopped: before that
// it may belong to a transient submission whose home VM has not handed it over yet. It returns false if it is to be tried
// again.
func (s *Shard) tellStray(now time.Duration, h *host, r worker.Running, stopSent bool) bool {
	_, hasLeft := s.recentlyEnded[r.Task.ID]
	if s.knownTask(r.Task) == nil && !hasLeft && !stopSent {
		return false
	}
	s.tellUnexpected(now, h, r, stopSent)
	return true
}

// knownTask returns a task of a submission that is open here, nil if there is none.
func (s *Shard) knownTask(ref submission.TaskRef) *task {
	if j, open := s.jobs[ref.ID]; open {
		return j.task(ref.Task)
	}
	return nil
}

// tellUnexpected reports a run that a worker lists and that is not what its task should run.
func (s *Shard) tellUnexpected(now time.Duration, h *host, r worker.Running, stopSent bool) {
	a := UnexpectedRunAction{Worker: h.info.ID, Task: r.Task, Run: r.Run, StopSent: stopSent, State: "not known", ReleasedAgo: -1}
	if _, hasLeft := s.recentlyEnded[r.Task.ID]; hasLeft {
		a.State = "submission has left"
	}
	if t := s.knownTask(r.Task); t != nil {
		a.State = t.state.String()
		a.NewestRun = t.newestRun
		a.StartedHere = slices.ContainsFunc(t.startedRuns, func(o startedRun) bool {
			return o.run == r.Run && o.host.info.ID == h.info.ID
		})
		if t.host != nil {
			a.NewestAt = t.host.info.ID
		}
		if t.lastRelease.reason != NotReleased {
			a.Released, a.ReleasedRun, a.ReleasedAgo = t.lastRelease.reason, t.lastRelease.run, now-t.lastRelease.at
		}
	}
	s.actions.Unexpected = append(s.actions.Unexpected, a)
}
