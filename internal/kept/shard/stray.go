package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// strayRun is a run that a worker lists and that belongs to no task here, or to a task that must not run
// there.
type strayRun struct {
	run      uint64
	stopSent bool
	stopAt   time.Duration // when the stop was last sent
}

// strayCounts are the numbers of workers that list a stray run, by task.
type strayCounts map[submission.TaskRef]int

// setStrayRun remembers a stray run of a worker, in place of an earlier one of the same task.
func (s *Shard) setStrayRun(h *host, ref submission.TaskRef, st strayRun) {
	if _, known := h.strayRuns[ref]; !known {
		s.strayCounts[ref]++
	}
	h.strayRuns[ref] = st
}

// removeStrayRun forgets a stray run that has ended, or is none any more, and what the stray runs use.
func (s *Shard) removeStrayRun(h *host, ref submission.TaskRef) {
	if _, known := h.strayRuns[ref]; !known {
		return
	}
	delete(h.strayRuns, ref)
	h.strayCPUMilli = 0
	s.placementDue = true
	if s.strayCounts[ref]--; s.strayCounts[ref] == 0 {
		delete(s.strayCounts, ref)
	}
}

// clearStrayRuns forgets all stray runs of a worker whose runs have ended.
func (s *Shard) clearStrayRuns(h *host) {
	for ref := range h.strayRuns {
		s.removeStrayRun(h, ref)
	}
}

// hasStrayRun reports whether a worker lists a run of a task that must not go on there and has not ended yet.
func (j *job) hasStrayRun(t *task) bool { return j.strayCounts[t.ref] > 0 }

// handleStrayRun stops a run that belongs to no task here, or to one that must not run there. The task does not start
// while the run is listed. Within handoverTimeout of the worker's first answer a run of an unknown task is only
// remembered, as it may belong to a transient submission that its home VM has not handed over yet.
func (s *Shard) handleStrayRun(now time.Duration, h *host, r worker.Running) {
	st := h.strayRuns[r.Task]
	if st.run != r.Run {
		st = strayRun{run: r.Run}
	}
	_, revoked := s.revoked[r.Task.ID]
	stopDue := s.knownTask(r.Task) != nil || revoked || now-h.firstAnswerAt >= handoverTimeout
	if stopDue && (!st.stopSent || now-st.stopAt >= strayStopInterval) {
		st.stopSent = true
		st.stopAt = now
		s.actions.Stops = append(s.actions.Stops, StopAction{Worker: h.info, Task: r.Task, Run: r.Run, Reason: "the run belongs to no task that may run there"})
	}
	s.tellStray(now, h, r, st.stopSent)
	s.setStrayRun(h, r.Task, st)
}

// strayStopInterval is the time after which the stop of a stray run is repeated that its worker still lists.
const strayStopInterval = time.Second

// stopStrayRuns stops the listed runs of a submission's waiting tasks, which are from before it was assigned here.
func (s *Shard) stopStrayRuns(now time.Duration, j *job) {
	if len(s.strayCounts) == 0 {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskWaiting || !j.hasStrayRun(t) {
			continue
		}
		for _, id := range s.workerIDs {
			h := s.workers[id]
			if st, listed := h.strayRuns[t.ref]; listed {
				t.newestRun = max(t.newestRun, st.run)
				s.handleStrayRun(now, h, worker.Running{Task: t.ref, Run: st.run})
			}
		}
	}
}

// endHandover stops the runs of a worker that no home VM has handed over within handoverTimeout.
func (s *Shard) endHandover(now time.Duration, h *host) {
	if h.handoverEnded || !h.hasAnswered || now-h.firstAnswerAt < handoverTimeout {
		return
	}
	h.handoverEnded = true
	for ref, st := range h.strayRuns {
		s.handleStrayRun(now, h, worker.Running{Task: ref, Run: st.run})
	}
}

// stopRevokedRuns stops the listed runs of a submission that is not known here and was cancelled.
func (s *Shard) stopRevokedRuns(now time.Duration, id submission.ID) {
	if len(s.strayCounts) == 0 {
		return
	}
	for _, workerID := range s.workerIDs {
		h := s.workers[workerID]
		for ref, st := range h.strayRuns {
			if ref.ID == id {
				s.handleStrayRun(now, h, worker.Running{Task: ref, Run: st.run})
			}
		}
	}
}

// adoptStrayRuns assigns the worker's stray runs of a submission to its tasks. A run that is being stopped
// still runs for some time, and its task must not start before it has ended.
func (h *host) adoptStrayRuns(now time.Duration, s *Shard, j *job) {
	for ref, st := range h.strayRuns {
		t := j.task(ref.Task)
		if ref.ID != j.rec.ID || t == nil || t.occupies() || t.state == taskCompleted {
			continue
		}
		s.removeStrayRun(h, ref)
		t.newestRun = st.run
		if st.stopSent {
			t.host = h
			s.stopToRestart(now, t, "the run was being stopped when its home handed the submission over")
			continue
		}
		s.setRunning(now, h, t)
		t.startedAt = 0 // an earlier holder started it at an unknown time
	}
}
