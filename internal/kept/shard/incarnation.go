package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// A worker that starts again under the ID that it had knows nothing of before: no runs, no stops, no
// token. An order for its earlier incarnation names the same ID, so the next one carries it out: an
// order that was sent shortly before the restart, or one that is held up on its way. What has not been
// seen of such an order is therefore settled with the next incarnation.

// lateOrderWindow is how long after it was sent an order without an answer may still be carried out.
const lateOrderWindow = 15 * time.Second

// runRef names a run of a task.
type runRef struct {
	submission.TaskRef
	run uint64
}

// Compare orders runs by task, then by number.
func (r runRef) Compare(o runRef) int {
	return cmp.Or(r.TaskRef.Compare(o.TaskRef), cmp.Compare(r.run, o.run))
}

// unlistedStarts are starts that no listing of their worker has shown yet, with the times when they were sent.
type unlistedStarts map[runRef]time.Duration

// revokedRun is a run that must not start any more. The stop is repeated until it is acknowledged.
type revokedRun struct {
	run    uint64
	since  time.Duration // when it was learnt that the order may come here
	sentAt time.Duration // when the stop left last
}

func (u unlistedStarts) has(r runRef) bool {
	_, known := u[r]
	return known
}

// recordStart remembers a start until a listing shows it.
func (h *host) recordStart(now time.Duration, ref submission.TaskRef, run uint64) {
	if h.info.Born == 0 {
		return
	}
	h.unlistedStarts[runRef{ref, run}] = now
}

// clearStart forgets a start whose outcome is known.
func (h *host) clearStart(ref submission.TaskRef, run uint64) {
	delete(h.unlistedStarts, runRef{ref, run})
}

// startRuledOut reports whether a verdict says that a start was not, and will not be, carried out.
func startRuledOut(v worker.Verdict) bool {
	switch v {
	case worker.NoRoom, worker.Unavailable, worker.Superseded, worker.DeadlinePassed, worker.Malformed, worker.Fenced:
		return true
	default:
		return false
	}
}

// admit takes a worker among the known ones. Runs that may still reach it, by an order for an earlier
// incarnation, are made void.
func (s *Shard) addWorker(now time.Duration, h *host) {
	id := h.info.ID
	s.workers[id] = h
	left := s.leftoverStarts[id]
	delete(s.leftoverStarts, id)
	for _, r := range slices.SortedFunc(maps.Keys(left), runRef.Compare) {
		s.revokeRun(now, h, r.TaskRef, r.run)
	}
}

// forgetHost drops a worker, with what was to be told to it or has come from it: its next incarnation
// numbers its ends anew.
func (s *Shard) forgetHost(now time.Duration, h *host) {
	id := h.info.ID
	delete(s.workers, id)
	delete(s.earlyListings, id)
	s.actions.Acks = slices.DeleteFunc(s.actions.Acks, func(a AckAction) bool { return a.Worker == id })
	for ref, v := range h.revokedRuns {
		h.unlistedStarts[runRef{ref, v.run}] = v.since
	}
	if len(h.unlistedStarts) > 0 {
		s.leftoverStarts[id] = h.unlistedStarts
	}
}

// replaceIncarnation replaces a worker by its next incarnation under the same ID.
func (s *Shard) replaceIncarnation(now time.Duration, old *host, info worker.Info, origin Origin) *host {
	next := newHost(info, origin)
	tasks := s.tasksOn(old)
	s.recordLoss(now, old, tasks, true)
	for _, t := range tasks {
		if run := (runRef{t.ref, t.newestRun}); old.unlistedStarts.has(run) {
			s.askWhetherRunning(now, t, next)
			delete(old.unlistedStarts, run)
			continue
		}
		s.release(now, t)
	}
	s.forgetHost(now, old)
	s.addWorker(now, next)
	s.giveUpTasks(now, tasks)
	s.actions.Probes = append(s.actions.Probes, info.ID)
	s.placementDue = true
	return next
}

// doubt has a worker asked whether it runs a task whose start may have come there.
func (s *Shard) askWhetherRunning(now time.Duration, t *task, h *host) {
	t.host = h
	t.startedRuns = append(t.startedRuns, startedRun{t.newestRun, h})
	t.acceptClock = 0
	t.stopAckClock = 0
	if t.state != taskStoppingToRestart && t.state != taskStoppingForGood {
		t.state = taskUnconfirmed
		t.stateSince = now
		return
	}
	t.stateSince = now
	s.orderStop(t, "the worker has started again")
}

// revokeRun has a worker refuse a run that may still be on its way, and the task's earlier ones.
func (s *Shard) revokeRun(now time.Duration, h *host, ref submission.TaskRef, run uint64) {
	h.revokedRuns[ref] = revokedRun{run: run, since: now}
	s.sendRevocation(now, h, ref)
}

func (s *Shard) sendRevocation(now time.Duration, h *host, ref submission.TaskRef) {
	v := h.revokedRuns[ref]
	v.sentAt = now
	h.revokedRuns[ref] = v
	s.actions.Stops = append(s.actions.Stops, StopAction{Worker: h.info, Task: ref, Run: v.run, Reason: "its order may reach the next incarnation"})
}

// repeatRevocations repeats the stops of such runs that had no answer.
func (s *Shard) repeatRevocations(now time.Duration, h *host) {
	for _, ref := range slices.SortedFunc(maps.Keys(h.revokedRuns), submission.TaskRef.Compare) {
		if v := h.revokedRuns[ref]; now-v.sentAt >= stopRetryInterval {
			s.sendRevocation(now, h, ref)
		}
	}
}

// forgetLateStarts drops starts that cannot be carried out any more.
func (s *Shard) forgetLateStarts(now time.Duration) {
	late := func(_ runRef, sent time.Duration) bool { return now-sent > lateOrderWindow }
	for _, h := range s.workers {
		maps.DeleteFunc(h.unlistedStarts, late)
	}
	for id, left := range s.leftoverStarts {
		if maps.DeleteFunc(left, late); len(left) == 0 {
			delete(s.leftoverStarts, id)
		}
	}
}

// voided takes the acknowledgement of a stop.
func (h *host) clearRevocation(ref submission.TaskRef, run uint64) {
	if v, known := h.revokedRuns[ref]; known && v.run <= run {
		delete(h.revokedRuns, ref)
	}
}
