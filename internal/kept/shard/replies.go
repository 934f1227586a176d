package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// HandleStartReply handles a worker's answer to a start order, or the lack of one.
func (s *Shard) HandleStartReply(now time.Duration, id string, ref submission.TaskRef, run uint64, r worker.Reply) {
	h, t := s.orderedTask(id, ref, run)
	if h != nil && startRuledOut(r.Verdict) {
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
	if h.releaseAt > 0 {
		h.releaseAt = now + startValidity // the order may have been sent just before
	}
	switch r.Verdict {
	case worker.Accepted:
		t.acceptClock = r.Clock
		s.setRunning(now, h, t)
	case worker.NoRoom:
		h.fullUntil = now + fullBackoff
		s.release(now, t, RefusedNoRoom)
		h.recordNoRoom(s.cpuMilliOn(h), t.step)
	case worker.Unavailable:
		h.unavailableUntil = now + unavailableBackoff
		s.release(now, t, RefusedUnavailable)
	case worker.Superseded:
		s.release(now, t, RefusedSuperseded)
	case worker.DeadlinePassed:
		s.release(now, t, RefusedLate)
	case worker.Malformed:
		s.release(now, t, RefusedMalformed)
		s.endSubmission(now, t.job, submission.Failed, "a worker cannot read the task")
	case worker.Fenced:
		t.state = taskUnconfirmed // a newer holder decides; this one will learn of it from the store
		t.stateSince = now
	case worker.Replaced:
		s.WorkerGone(now, id)
	case worker.NoAnswer:
		t.state = taskUnconfirmed
		t.stateSince = now
		s.actions.Probes = append(s.actions.Probes, id)
	}
}

// cpuMilliOn returns the processor of the tasks that occupy a worker, in thousandths of a core.
func (s *Shard) cpuMilliOn(h *host) (sum int64) {
	for _, t := range s.tasksOn(h) {
		sum += t.step.CPUMilli
	}
	return sum
}

// HandleStopReply handles a worker's answer to a stop order, or the lack of one. A stop that was not
// accepted is repeated.
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
			st.stopSent = false // the next listing of the run repeats the stop
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
	t.stateSince = now - stopRetryInterval + failedStopDelay // Tick repeats the stop
}

// orderedTask returns the worker that an order was sent to, nil if it is not known, and the task that it
// was for, nil unless the ordered run is still the task's newest one and on that worker.
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
