package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// maxMoves is how often a task is restarted on another worker because its worker delays it. If that happens
// more than twice in a row, the task itself is at fault.
const maxMoves = 2

// checkProgress records the progress of a run that its worker reports, and restarts the task on another
// worker if its worker delays it. sentAt is when the hold was sent that the report answers, clock is the worker's when it
// answered.
//
// A worker may hang or become slow while it still answers calls. Its tasks are not done in time then, and
// one slow task is enough to make its submission late.
func (s *Shard) checkProgress(now time.Duration, h *host, sentAt, clock time.Duration, r worker.Running) {
	j, open := s.jobs[r.Task.ID]
	if !open || j.state.Final() {
		return
	}
	t := j.task(r.Task.Task)
	if t == nil || t.state != taskRunning || t.host != h || t.newestRun != r.Run || sentAt < t.stateSince {
		return
	}
	// A hold waits at the worker for a run to end, so the report describes the time of the answer, not that
	// at which the hold was sent.
	t.progress.Update(now, r.Percent)
	s.checkOverdue(now, h, t, r.Percent, clock)
	if t.startedAt == 0 || t.moveCount >= maxMoves {
		return // an earlier holder started the run, or the task was moved as often as allowed
	}
	switch p := &s.settings.Policy; {
	case p.MoveStill && s.isStalled(t):
		if !s.hasOtherProgress(h, t) {
			h.health.RecordHang(now)
		}
		s.moveTask(now, t, "the run makes no progress on its worker")
	case p.MoveSlow && s.isHeldUp(now, h, t, r.Percent, clock):
		s.moveTask(now, t, "its worker has turned slow")
	}
}

// isStalled reports whether the newest run of a task has made no progress for too long.
func (s *Shard) isStalled(t *task) bool {
	expected := timespan.Times(t.step.Estimate, s.durationFactor(t.job.rec.Queue))
	return t.progress.IsStalled(t.startedAt, expected)
}

// isHeldUp reports whether a run on a worker that has turned slow would be done sooner if it were started anew on
// another one, and one has capacity for it. A run without any progress may hang, for which isStalled is. clock is the
// worker's at its report.
func (s *Shard) isHeldUp(now time.Duration, h *host, t *task, percent int, clock time.Duration) bool {
	if !h.health.Speed.HasTurnedSlow() || !s.learnsFrom(h, t) || percent <= 0 || s.isImpossible(now, t, clock-t.acceptClock) {
		return false
	}
	age := clock - t.acceptClock
	return h.health.Speed.ShouldMove(totalAtLeast(age, percent), age, s.reference(t)) && s.fitsElsewhere(now, t)
}

// hasOtherProgress reports whether another run on the worker has made progress since this one last did. In
// that case the task is at fault, not the worker.
func (s *Shard) hasOtherProgress(h *host, t *task) bool {
	return slices.ContainsFunc(s.tasksOn(h), func(other *task) bool {
		return other != t && other.progress.AdvancedAfter(t.progress)
	})
}

// fitsElsewhere reports whether a task could be started now on another worker than its own.
func (s *Shard) fitsElsewhere(now time.Duration, t *task) bool {
	for _, c := range s.candidates(now) {
		if c.host != t.host && s.fits(now, t, c) {
			return true
		}
	}
	return false
}

// moveTask stops a run. The task is started elsewhere once the run has certainly ended.
func (s *Shard) moveTask(now time.Duration, t *task, reason string) {
	t.moveCount++
	t.avoidHost = t.host
	s.stopToRestart(now, t, reason)
}
