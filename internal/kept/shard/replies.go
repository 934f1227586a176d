package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// HandleStartReply takes the answer to a start.
func (s *Shard) HandleStartReply(now time.Duration, id string, ref submission.TaskRef, run uint64, r worker.Reply) {
	h, t := s.orderedTask(id, ref, run)
	if h != nil && isNeverCarriedOut(r.Verdict) {
		h.clearStart(ref, run)
	}
	if t == nil {
		return
	}
	if t.state != taskStarting {
		if r.Verdict == worker.Accepted && t.state == taskRunning {
			t.acceptClock = r.Clock
		}
		return
	}
	switch r.Verdict {
	case worker.Accepted:
		t.acceptClock = r.Clock
		s.setRunning(now, h, t)
	case worker.NoRoom:
		h.fullUntil = now + fullBackoff
		s.release(now, t)
	case worker.Unavailable:
		h.unavailableUntil = now + unavailableBackoff
		s.release(now, t)
	case worker.Superseded, worker.DeadlinePassed:
		s.release(now, t)
	case worker.Malformed:
		s.release(now, t)
		s.endSubmission(now, t.job, submission.Failed, "a worker cannot read the task")
	case worker.Fenced:
		t.state = taskUnconfirmed // another holder decides; this one will learn it from the store
		t.stateSince = now
	case worker.Replaced:
		s.WorkerGone(now, id)
	case worker.NoAnswer:
		t.state = taskUnconfirmed
		t.stateSince = now
		s.actions.Probes = append(s.actions.Probes, id)
	}
}

// HandleStopReply takes the answer to a stop. A stop without an answer is repeated.
func (s *Shard) HandleStopReply(now time.Duration, id string, ref submission.TaskRef, run uint64, r worker.Reply) {
	h, known := s.workers[id]
	if !known {
		return
	}
	if r.Verdict == worker.Replaced {
		s.WorkerGone(now, id)
		return
	}
	if r.Verdict == worker.Accepted {
		h.clearRevocation(ref, run)
	}
	_, t := s.orderedTask(id, ref, run)
	if t == nil || t.state != taskStoppingToRestart && t.state != taskStoppingForGood {
		if st := h.strayRuns[ref]; r.Verdict != worker.Accepted && st.run == run {
			st.stopSent = false // the next listing repeats it
			h.strayRuns[ref] = st
		}
		return
	}
	if r.Verdict == worker.Accepted {
		t.stopAckClock = r.Clock
		t.stopAckAt = now
		s.actions.Probes = append(s.actions.Probes, id)
		return
	}
	t.stateSince = now // Tick repeats it
}

// order finds a task by an order that was given for it.
func (s *Shard) orderedTask(id string, ref submission.TaskRef, run uint64) (*host, *task) {
	h, known := s.workers[id]
	j, open := s.jobs[ref.ID]
	if !known || !open {
		return h, nil
	}
	t := j.task(ref.Task)
	if t == nil || t.host != h || t.newestRun != run {
		return h, nil
	}
	return h, t
}
