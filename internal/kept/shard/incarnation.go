package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// A worker that restarts under the same ID knows no earlier runs, stops or fencing token. A start order
// that was sent to the previous incarnation shortly before the restart, or that is delayed on its way,
// names the same ID, so the next incarnation carries it out. A start whose outcome is not known is
// therefore revoked at the next incarnation, or the next incarnation is asked whether it runs.

// lateOrderWindow is how long after it was sent an order without an answer may still be carried out.
const lateOrderWindow = 15 * time.Second

// runRef identifies a run of a task.
type runRef struct {
	submission.TaskRef
	run uint64
}

// Compare orders runs by task, then by number.
func (r runRef) Compare(o runRef) int {
	return cmp.Or(r.TaskRef.Compare(o.TaskRef), cmp.Compare(r.run, o.run))
}

// unresolvedStarts are start orders whose outcome is not known, with the times when they were sent: their
// worker has neither refused the run nor listed it as running or ended.
type unresolvedStarts map[runRef]time.Duration

// revokedRun is a run that must not start on a worker any more. A stop of it is repeated until the worker
// accepts it.
type revokedRun struct {
	run    uint64
	since  time.Duration // when it was revoked here
	sentAt time.Duration // when the stop was last sent
}

func (u unresolvedStarts) has(r runRef) bool {
	_, known := u[r]
	return known
}

// recordStart adds a start order that is being sent to the unresolved ones. It does nothing for a worker
// whose start time is not known.
func (h *host) recordStart(now time.Duration, ref submission.TaskRef, run uint64) {
	if h.info.Born == 0 {
		return
	}
	h.unresolvedStarts[runRef{ref, run}] = now
}

// clearStart removes a start order whose outcome is known.
func (h *host) clearStart(ref submission.TaskRef, run uint64) {
	delete(h.unresolvedStarts, runRef{ref, run})
}

// startRuledOut reports whether a verdict says that a start order was not carried out and never will be.
func startRuledOut(v worker.Verdict) bool {
	switch v {
	case worker.NoRoom, worker.Unavailable, worker.Superseded, worker.DeadlinePassed, worker.Malformed, worker.Fenced:
		return true
	default:
		return false
	}
}

// addWorker adds a worker to the known ones. It revokes the runs that orders for an earlier incarnation
// may still start there.
func (s *Shard) addWorker(now time.Duration, h *host) {
	id := h.info.ID
	s.workers[id] = h
	s.workerIDs = slices.Sorted(maps.Keys(s.workers))
	left := s.leftoverStarts[id]
	delete(s.leftoverStarts, id)
	for _, r := range slices.SortedFunc(maps.Keys(left), runRef.Compare) {
		s.revokeRun(now, h, r.TaskRef, r.run)
	}
}

// forgetHost removes a worker with its early listing and the pending acknowledgements, as its next
// incarnation numbers its ended runs from the start. Its unresolved starts are kept for that incarnation.
func (s *Shard) forgetHost(now time.Duration, h *host) {
	id := h.info.ID
	s.clearStrayRuns(h)
	delete(s.workers, id)
	s.workerIDs = slices.Sorted(maps.Keys(s.workers))
	delete(s.earlyListings, id)
	s.actions.Acks = slices.DeleteFunc(s.actions.Acks, func(a AckAction) bool { return a.Worker == id })
	for ref, r := range h.revokedRuns {
		h.unresolvedStarts[runRef{ref, r.run}] = r.since
	}
	if len(h.unresolvedStarts) > 0 {
		s.leftoverStarts[id] = h.unresolvedStarts
	}
}

// replaceIncarnation replaces a worker by its next incarnation under the same ID. The tasks of the old one
// are released, except those whose start order may still reach the next one.
func (s *Shard) replaceIncarnation(now time.Duration, old *host, info worker.Info, origin Origin) *host {
	next := newHost(info, origin)
	tasks := s.tasksOn(old)
	s.recordLoss(now, old, tasks, true)
	for _, t := range tasks {
		if run := (runRef{t.ref, t.newestRun}); old.unresolvedStarts.has(run) {
			s.askWhetherRunning(now, t, next)
			delete(old.unresolvedStarts, run)
			continue
		}
		s.release(now, t, IncarnationEnded)
	}
	s.confirmLoss(now, old.incarnation)
	s.forgetHost(now, old)
	s.addWorker(now, next)
	s.giveUpTasks(now, tasks)
	s.actions.Probes = append(s.actions.Probes, info.ID)
	s.placementDue = true
	return next
}

// askWhetherRunning moves a task to the next incarnation of its worker, which may have received the start
// order, until that incarnation has answered whether it runs it.
func (s *Shard) askWhetherRunning(now time.Duration, t *task, h *host) {
	t.host = h
	t.startedRuns = append(t.startedRuns, startedRun{t.newestRun, h})
	t.acceptClock = 0
	t.stopAckClock = 0
	t.hasBegun = false
	if t.state != taskStoppingToRestart && t.state != taskStoppingForGood {
		t.state = taskUnconfirmed
		t.stateSince = now
		return
	}
	t.stateSince = now
	s.orderStop(t, "the worker has restarted")
}

// revokeRun makes a worker refuse a run whose start order may still be in flight, and all earlier runs of
// the task.
func (s *Shard) revokeRun(now time.Duration, h *host, ref submission.TaskRef, run uint64) {
	h.revokedRuns[ref] = revokedRun{run: run, since: now}
	s.sendRevocation(now, h, ref)
}

func (s *Shard) sendRevocation(now time.Duration, h *host, ref submission.TaskRef) {
	r := h.revokedRuns[ref]
	r.sentAt = now
	h.revokedRuns[ref] = r
	s.actions.Stops = append(s.actions.Stops, StopAction{Worker: h.info, Task: ref, Run: r.run, Reason: "its start order may reach the next incarnation"})
}

// repeatRevocations repeats the stops of revoked runs that the worker has not accepted.
func (s *Shard) repeatRevocations(now time.Duration, h *host) {
	if len(h.revokedRuns) == 0 {
		return
	}
	for _, ref := range slices.SortedFunc(maps.Keys(h.revokedRuns), submission.TaskRef.Compare) {
		if r := h.revokedRuns[ref]; now-r.sentAt >= stopRetryInterval {
			s.sendRevocation(now, h, ref)
		}
	}
}

// pruneStarts removes unresolved starts that can no longer be carried out.
func (s *Shard) pruneStarts(now time.Duration) {
	expired := func(_ runRef, sentAt time.Duration) bool { return now-sentAt > lateOrderWindow }
	for _, h := range s.workers {
		maps.DeleteFunc(h.unresolvedStarts, expired)
	}
	for id, left := range s.leftoverStarts {
		if maps.DeleteFunc(left, expired); len(left) == 0 {
			delete(s.leftoverStarts, id)
		}
	}
}

// clearRevocation removes the revocation of a run once the worker has accepted a stop of it, or of a later
// run of the task.
func (h *host) clearRevocation(ref submission.TaskRef, run uint64) {
	if r, known := h.revokedRuns[ref]; known && r.run <= run {
		delete(h.revokedRuns, ref)
	}
}
