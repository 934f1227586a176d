package shard

import (
	"cmp"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Listing takes a worker's answer to a hold that was sent at a time. It returns the
// ends in it that were new.
func (s *Shard) HandleListing(now time.Duration, id string, sent time.Duration, l worker.Listing) (fresh []worker.Ended) {
	h, known := s.workers[id]
	if !known {
		return nil
	}
	if !s.recordsLoaded {
		s.earlyListings[id] = earlyListing{sentAt: sent, listing: l}
		return nil
	}
	if !h.hasAnswered {
		h.hasAnswered = true
		h.firstAnswerAt = now
	}
	h.newestListingSentAt = max(h.newestListingSentAt, sent)
	h.info.Born = cmp.Or(h.info.Born, l.Born)
	s.withdrawLoss(now, h)
	for _, e := range l.Ended {
		if e.Seq > h.newestEnd {
			h.newestEnd = e.Seq
			fresh = append(fresh, e)
			s.handleEnd(now, h, e)
		}
	}
	if l.Clock >= h.newestClock { // answers overtake each other
		h.newestClock = l.Clock
		s.reconcile(now, h, sent, l)
	}
	s.acknowledge()
	s.placementDue = true
	return fresh
}

// ended takes the end of a run.
func (s *Shard) handleEnd(now time.Duration, h *host, e worker.Ended) {
	h.fullUntil = 0
	delete(h.strayRuns, e.Task)
	h.clearStart(e.Task, e.Run)
	j, open := s.jobs[e.Task.ID]
	if !open {
		h.unackedEnds = append(h.unackedEnds, unackedEnd{n: e.Seq})
		if now-h.firstAnswerAt < handoverTimeout {
			s.earlyEnds[e.Task.ID] = append(s.earlyEnds[e.Task.ID], earlyEnd{host: h, end: e, at: now})
		}
		return
	}
	h.unackedEnds = append(h.unackedEnds, unackedEnd{n: e.Seq, job: j})
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
		s.handleTaskEnd(now, h, t, e)
	}
}

func (s *Shard) handleTaskEnd(now time.Duration, h *host, t *task, e worker.Ended) {
	current := t.host == h && t.newestRun == e.Run && t.occupies()
	if e.Run > t.newestRun {
		t.newestRun = e.Run
	}
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
		s.release(now, t)
	}
	s.reportOutcome(t)
}

// note tells the home of a transient submission how far a task is.
func (s *Shard) reportOutcome(t *task) {
	if t.job.rec.Transient && !t.job.state.Final() && (t.state == taskCompleted || t.failures > 0) {
		fails := t.failures
		if t.state == taskCompleted {
			fails = 0
		}
		s.actions.Outcomes = append(s.actions.Outcomes, OutcomeAction{Home: t.job.rec.Home, Task: t.ref, FailedRuns: fails})
	}
}

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
	}
	j := t.job
	j.complete(t)
	s.reportOutcome(t)
	if j.tasksLeft == 0 && !j.state.Final() {
		s.finish(now, j)
	}
	s.removeIfDone(j)
}

// countFailure counts a failed run. A task whose runs have failed as often as the
// queue allows ends its submission.
func (s *Shard) countFailure(now time.Duration, h *host, t *task, run uint64) {
	if _, counted := t.countedFailures[run]; counted {
		return
	}
	if t.countedFailures == nil {
		t.countedFailures = make(map[uint64]struct{})
	}
	t.countedFailures[run] = struct{}{}
	t.failures++
	if first := t.job.firstFailedOn; first != nil && first != h {
		first.health.ForgiveFailure(t.job.rec.ID) // it fails on several workers: the fault is its own
	} else {
		t.job.firstFailedOn = h
		s.settings.Policy.RecordFailure(now, &h.health, t.job.rec.ID)
	}
	t.avoidHost = h
	if t.failures >= t.job.rec.Terms.Attempts && t.state != taskCompleted && !t.job.state.Final() {
		s.endSubmission(now, t.job, submission.Failed, "a task has failed as often as its queue allows")
	}
}

// compare holds what a worker lists as running against what should run there.
func (s *Shard) reconcile(now time.Duration, h *host, sent time.Duration, l worker.Listing) {
	listed := make(map[submission.TaskRef]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Task] = true
		s.handleListedRun(now, h, r)
		s.checkProgress(now, h, sent, r)
	}
	for ref := range h.strayRuns {
		if !listed[ref] {
			delete(h.strayRuns, ref)
		}
	}
	for _, t := range s.tasksOn(h) {
		if !listed[t.ref] {
			s.handleUnlisted(now, h, t, sent, l.Clock)
		}
	}
}

// found takes a run that a worker lists.
func (s *Shard) handleListedRun(now time.Duration, h *host, r worker.Running) {
	h.clearStart(r.Task, r.Run)
	j, open := s.jobs[r.Task.ID]
	if !open {
		s.handleStrayRun(now, h, r)
		return
	}
	t := j.task(r.Task.Task)
	if t == nil || r.Run < t.newestRun || t.state == taskCompleted {
		s.handleStrayRun(now, h, r)
		return
	}
	if t.occupies() && t.host != h {
		s.handleStrayRun(now, h, r)
		return
	}
	t.newestRun = r.Run
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	switch t.state {
	case taskStarting, taskUnconfirmed, taskUnlocated:
		s.setRunning(now, h, t)
	case taskEnded, taskWaiting:
		s.handleStrayRun(now, h, r) // a late order that was carried out all the same
	}
}

func (s *Shard) setRunning(now time.Duration, h *host, t *task) {
	if t.state == taskUnlocated {
		t.startedAt = 0 // how long it has run is not known
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

// stray stops a run that nobody wants. Soon after the worker was first reached the run
// may be of a transient submission whose home has not handed it over yet.
func (s *Shard) handleStrayRun(now time.Duration, h *host, r worker.Running) {
	st, known := h.strayRuns[r.Task]
	if !known || st.run != r.Run {
		st = strayRun{run: r.Run}
	}
	if !st.stopSent && now-h.firstAnswerAt >= handoverTimeout {
		st.stopSent = true
		s.actions.Stops = append(s.actions.Stops, StopAction{Worker: h.info, Task: r.Task, Run: r.Run, Reason: "no such run is wanted"})
	}
	h.strayRuns[r.Task] = st
}

// resume makes the stray runs of a submission its own. One that is being stopped
// still runs for some time: the task must not start before it is gone.
func (h *host) adoptStrayRuns(now time.Duration, s *Shard, j *job) {
	for ref, st := range h.strayRuns {
		t := j.task(ref.Task)
		if ref.ID != j.rec.ID || t == nil || t.occupies() || t.state == taskCompleted {
			continue
		}
		delete(h.strayRuns, ref)
		t.newestRun = st.run
		if st.stopSent {
			t.host = h
			s.stopToRestart(now, t, "it was being stopped when its home handed it over")
			continue
		}
		s.setRunning(now, h, t)
		t.startedAt = 0 // how long it has run is not known
	}
}

// void makes a run impossible, or ends it, so that its task can start elsewhere.
func (s *Shard) stopToRestart(now time.Duration, t *task, why string) {
	t.state = taskStoppingToRestart
	t.stateSince = now
	t.stopAckClock = 0
	s.orderStop(t, why)
}

// absent takes a run that a worker does not list, in an answer to a hold sent at
// a time and given at a time of the worker's clock.
func (s *Shard) handleUnlisted(now time.Duration, h *host, t *task, sent, clock time.Duration) {
	switch t.state {
	case taskRunning:
		// An answer counts only if its call left after the run was known: a hold that
		// was waiting when the run began may answer without it.
		if sent > t.stateSince && clock >= t.acceptClock {
			s.release(now, t)
		}
	case taskUnconfirmed:
		if sent >= t.stateSince {
			s.stopToRestart(now, t, "its start had no answer")
		}
	case taskStoppingToRestart, taskStoppingForGood:
		if t.stopAckClock > 0 && sent >= t.stopAckAt && clock >= t.stopAckClock {
			s.release(now, t)
		}
	}
}
