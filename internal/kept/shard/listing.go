package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// HandleListing handles a worker's answer to a hold that was sent at sentAt. It returns the ended runs
// that were not listed before.
func (s *Shard) HandleListing(now time.Duration, id string, sentAt time.Duration, l worker.Listing) (fresh []worker.Ended) {
	h, known := s.workers[id]
	if !known {
		return nil
	}
	if !s.recordsLoaded {
		s.earlyListings[id] = earlyListing{sentAt: sentAt, listing: l}
		return nil
	}
	if !h.hasAnswered {
		h.hasAnswered = true
		h.firstAnswerAt = now
	}
	h.newestListingSentAt = max(h.newestListingSentAt, sentAt)
	h.endedInLease = false
	h.info.Born = cmp.Or(h.info.Born, l.Born)
	s.withdrawLoss(now, h)
	if h.clock.observe(sentAt, now, l.Clock) {
		h.newestClock = 0 // which was by the clock as it was set before
	}
	from, to := h.endInterval(sentAt, l)
	for _, e := range l.Ended {
		if e.Seq > h.newestEndSeq {
			h.newestEndSeq = e.Seq
			fresh = append(fresh, e)
			s.handleEnd(now, h, e, from, to)
		}
	}
	if l.Clock >= h.newestClock { // answers may arrive out of order
		h.newestClock = l.Clock
		s.reconcile(now, h, sentAt, l)
	}
	s.acknowledge()
	s.placementDue = true
	return fresh
}

// handleEnd handles a run that a worker lists as ended for the first time. It ended between the times from and to of
// the worker's clock.
func (s *Shard) handleEnd(now time.Duration, h *host, e worker.Ended, from, to time.Duration) {
	h.fullUntil = 0
	if h.strayRuns[e.Task].run == e.Run {
		s.removeStrayRun(h, e.Task)
	}
	h.clearStart(e.Task, e.Run)
	j, open := s.jobs[e.Task.ID]
	if !open {
		h.unackedEnds = append(h.unackedEnds, unackedEnd{seq: e.Seq})
		if now-h.firstAnswerAt < handoverTimeout {
			s.earlyEnds[e.Task.ID] = append(s.earlyEnds[e.Task.ID], earlyEnd{host: h, end: e, at: now})
		}
		return
	}
	h.unackedEnds = append(h.unackedEnds, unackedEnd{seq: e.Seq, job: j})
	if j.unsavedSince == 0 {
		j.unsavedSince = now
	}
	t := j.task(e.Task.Task)
	switch {
	case t == nil:
	case j.startedByOther(t, h, e.Run):
		if !t.occupies() {
			t.newestRun = max(t.newestRun, e.Run)
		}
	default:
		if e.Reason == worker.Completed && t.host == h && t.newestRun == e.Run && t.occupies() {
			s.recordSpeed(now, h, t, from, to)
		}
		s.handleTaskEnd(now, h, t, e)
	}
}

// handleTaskEnd applies an ended run to its task.
func (s *Shard) handleTaskEnd(now time.Duration, h *host, t *task, e worker.Ended) {
	current := t.host == h && t.newestRun == e.Run && t.occupies()
	if e.Run > t.newestRun {
		t.newestRun = e.Run
	}
	t.settleAttempts(e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch {
	case e.Reason == worker.Completed:
		s.handleCompleted(now, h, t, current)
		return
	case e.Reason == worker.Failed:
		s.countFailure(now, h, t, e.Run)
	}
	if current {
		s.release(now, t, RunEnded)
	}
	s.reportOutcome(t)
}

// reportOutcome reports to the home VM of a transient submission that a task has completed, or how many
// of its runs have failed.
func (s *Shard) reportOutcome(t *task) {
	if t.job.rec.Transient && !t.job.state.Final() && (t.state == taskCompleted || t.failures > 0) {
		o := OutcomeAction{Home: t.job.rec.Home, Task: t.ref}
		if t.state != taskCompleted {
			o.Failures, o.FailedRuns = t.failures, slices.Clone(t.failedRuns)
		}
		s.actions.Outcomes = append(s.actions.Outcomes, o)
	}
}

// handleCompleted completes a task. current says that the run that has completed is the one that the
// task is known to have.
func (s *Shard) handleCompleted(now time.Duration, h *host, t *task, current bool) {
	if current {
		s.recordDuration(now, h, t)
		if t.startedAt > 0 {
			t.duration = now - t.startedAt
		}
	}
	if t.state == taskCompleted {
		return
	}
	if t.occupies() && !current {
		s.orderStop(t, "another run has completed")
		s.setStrayRun(t.host, t.ref, strayRun{run: t.newestRun, stopSent: true, stopAt: now}) // it uses room until it has ended
	}
	j := t.job
	j.complete(t)
	s.reportOutcome(t)
	if j.tasksLeft == 0 && !j.state.Final() {
		s.finish(now, j)
	}
	s.removeIfDone(j)
}

// countFailure counts a failed run of a task, once. The submission fails when runs of one task have
// failed as often as its queue allows.
func (s *Shard) countFailure(now time.Duration, h *host, t *task, run uint64) {
	if slices.Contains(t.failedRuns, run) {
		return // it was recorded, and the worker has not heard that its end is acknowledged
	}
	t.failedRuns = append(t.failedRuns, run)
	t.failures++
	if first := t.job.firstFailedOn; first != nil && first != h {
		first.health.ForgiveFailure(t.job.rec.ID) // it fails on several workers, so they are not at fault
	} else {
		t.job.firstFailedOn = h
		s.settings.Policy.RecordFailure(now, &h.health, t.job.rec.ID)
	}
	t.avoidHost = h
	if t.failures >= t.job.rec.Terms.Attempts && t.state != taskCompleted && !t.job.state.Final() {
		s.endSubmission(now, t.job, submission.Failed, "a task has failed as often as its queue allows")
	}
}

// reconcile compares the runs that a worker lists with the tasks that should run there.
func (s *Shard) reconcile(now time.Duration, h *host, sentAt time.Duration, l worker.Listing) {
	listed := make(map[submission.TaskRef]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Task] = true
		s.handleListedRun(now, h, r)
		s.checkProgress(now, h, sentAt, l.Clock, r)
	}
	h.pruneToldRuns(l)
	h.hasMoreEnded = l.MoreEnded
	if h.hasMoreEnded {
		return // a run that is not listed may have ended
	}
	for ref := range h.strayRuns {
		if !listed[ref] {
			s.removeStrayRun(h, ref)
		}
	}
	for _, t := range s.tasksOn(h) {
		if !listed[t.ref] {
			s.handleUnlisted(now, h, t, sentAt, l.Clock)
		}
	}
}

// handleListedRun handles a run that a worker lists as running. The newest run of a task goes on if the task is, or may
// be, on that worker, or if it waits and this holder started the run. Any other is a stray run.
func (s *Shard) handleListedRun(now time.Duration, h *host, r worker.Running) {
	h.clearStart(r.Task, r.Run)
	t := s.knownTask(r.Task)
	if t == nil || r.Run < t.newestRun || t.state == taskCompleted || t.occupies() && t.host != h {
		s.handleStrayRun(now, h, r)
		return
	}
	if t.occupies() && r.Run > t.newestRun {
		s.tellUnexpected(now, h, r, false)
	}
	t.newestRun = r.Run
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	switch t.state {
	case taskStarting, taskUnconfirmed, taskUnlocated:
		s.setRunning(now, h, t)
	case taskWaiting: // the task was released though its run goes on, or began later
		if !h.isCurrentRun(t, r.Run) {
			s.handleStrayRun(now, h, r)
			return
		}
		s.tellUnexpected(now, h, r, false)
		s.takeBackRun(now, h, t)
	case taskEnded:
		s.handleStrayRun(now, h, r)
		return
	}
	if h.strayRuns[r.Task].run == r.Run {
		s.removeStrayRun(h, r.Task)
	}
}

// isCurrentRun reports whether the newest run of a waiting task, which a worker lists, may go on: this holder has started
// it there, and nothing stops it.
func (h *host) isCurrentRun(t *task, run uint64) bool {
	return !t.job.reassigning && !h.strayRuns[t.ref].stopSent && h.revokedRuns[t.ref].run < run &&
		slices.Contains(t.startedRuns, startedRun{run, h})
}

// takeBackRun records that the newest run of a waiting task goes on.
func (s *Shard) takeBackRun(now time.Duration, h *host, t *task) {
	t.attempt = noAttempt // of the next run
	if s.needsAttempt(t) {
		t.attempt = attemptWanted
		t.attemptAt = h
		s.saveAtOnce(now, t.job)
	}
	s.setRunning(now, h, t)
}

// setRunning records that the newest run of a task has begun on a worker.
func (s *Shard) setRunning(now time.Duration, h *host, t *task) {
	if t.state == taskUnlocated {
		t.startedAt = 0 // an earlier holder started it at an unknown time
	}
	t.state = taskRunning
	t.hasBegun = true
	t.host = h
	t.stateSince = now
	j := t.job
	if j.firstRunAt == 0 {
		j.firstRunAt = now
	}
	if j.state == submission.Queued {
		j.state = submission.Running
		s.reportState(j)
	}
}

// stopToRestart orders a stop of the newest run of a task, which also prevents a delayed start of it, so
// that the task can then be started again.
func (s *Shard) stopToRestart(now time.Duration, t *task, reason string) {
	t.state = taskStoppingToRestart
	t.stateSince = now
	t.stopAckClock = 0
	s.orderStop(t, reason)
}

// handleUnlisted handles a task whose run its worker does not list. sentAt is when the hold was sent
// that the listing answers, clock is the worker's clock when it answered.
func (s *Shard) handleUnlisted(now time.Duration, h *host, t *task, sentAt, clock time.Duration) {
	switch t.state {
	case taskRunning:
		// The listing counts only if the hold was sent after the run was known to have begun: the answer
		// to a hold that was waiting when the run began may lack it.
		if sentAt > t.stateSince && clock >= t.acceptClock {
			s.release(now, t, NotListed)
		}
	case taskUnconfirmed:
		if sentAt >= t.stateSince {
			s.stopToRestart(now, t, "its start had no answer")
		}
	case taskStoppingToRestart, taskStoppingForGood:
		if t.stopAckClock > 0 && sentAt >= t.stopAckAt && clock >= t.stopAckClock {
			s.release(now, t, StopConfirmed)
		}
	}
}
