package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// maxResends is how often a task is started elsewhere as its worker holds it up. More than
// two in a row say that the fault is the task's own.
const maxMoves = 2

// checkProgress takes how far a worker says that a run is, and starts the task elsewhere if
// the worker holds it up.
//
// A worker may hang or turn slow while it answers calls: what it has does not end in time,
// and one slow task is enough to make its submission late.
func (s *Shard) checkProgress(now time.Duration, h *host, sent time.Duration, r worker.Running) {
	j, open := s.jobs[r.Task.ID]
	if !open || j.state.Final() {
		return
	}
	t := j.task(r.Task.Task)
	if t == nil || t.state != taskRunning || t.host != h || t.newestRun != r.Run || sent < t.stateSince {
		return
	}
	// A hold waits for an end before it answers: what it says is of now, not of when it left.
	t.progress.Update(now, r.Percent)
	if t.startedAt == 0 || t.moveCount >= maxMoves {
		return // an earlier holder started it, or it was moved before
	}
	switch p := &s.settings.Policy; {
	case p.MoveStill && s.isStalled(t):
		if !s.hasOtherProgress(h, t) {
			h.health.RecordHang(now)
		}
		s.moveTask(now, t, "it stands still at its worker")
	case p.MoveSlow && s.isHeldUp(now, t):
		s.moveTask(now, t, "its worker is slower than those of its siblings")
	}
}

func (s *Shard) isStalled(t *task) bool {
	expected := time.Duration(float64(t.step.Estimate) * s.durationFactor(t.job.rec.Queue))
	return t.progress.IsStalled(t.startedAt, expected)
}

// isHeldUp reports whether a run that was seen now would be done sooner at another worker,
// which has room.
func (s *Shard) isHeldUp(now time.Duration, t *task) bool {
	age := t.progress.Age(t.startedAt)
	total, known := t.progress.EstimatedTotal(age)
	if !known {
		return false
	}
	run := policy.Run{Total: total, Remaining: total - age, Siblings: s.siblingDurations(t)}
	return run.ShouldMove() && s.fitsElsewhere(now, t)
}

// hasOtherProgress reports whether another run at the worker has made progress since this one
// stands still. Then the fault is the task's own.
func (s *Shard) hasOtherProgress(h *host, t *task) bool {
	return slices.ContainsFunc(s.tasksOn(h), func(other *task) bool {
		return other != t && other.progress.AdvancedAfter(t.progress)
	})
}

// siblings is what other tasks of the same step take on other workers, as far as is known.
func (s *Shard) siblingDurations(t *task) []time.Duration {
	var out []time.Duration
	for _, other := range t.job.tasks {
		if other == t || other.step != t.step {
			continue
		}
		if other.state == taskCompleted && other.duration > 0 {
			out = append(out, other.duration)
			continue
		}
		if other.state != taskRunning || other.host == t.host || other.startedAt == 0 {
			continue
		}
		if total, known := other.progress.EstimatedTotal(other.progress.Age(other.startedAt)); known {
			out = append(out, total)
		}
	}
	return out
}

// fitsElsewhere reports whether a worker other than its own could take a task now.
func (s *Shard) fitsElsewhere(now time.Duration, t *task) bool {
	for _, r := range s.candidates(now) {
		if r.host != t.host && s.fits(now, t, r) {
			return true
		}
	}
	return false
}

// move stops a run; the task starts elsewhere once it is certain that it does not run.
func (s *Shard) moveTask(now time.Duration, t *task, why string) {
	t.moveCount++
	t.avoidHost = t.host
	s.stopToRestart(now, t, why)
}
