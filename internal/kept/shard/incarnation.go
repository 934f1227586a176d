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

// lateFor is how long after it was sent an order without an answer may still be carried out.
const lateFor = 15 * time.Second

// runRef names a run of a task.
type runRef struct {
	submission.TaskRef
	run uint64
}

// Compare orders runs by task, then by number.
func (r runRef) Compare(o runRef) int {
	return cmp.Or(r.TaskRef.Compare(o.TaskRef), cmp.Compare(r.run, o.run))
}

// unseenStarts are starts that no listing of their worker has shown yet, with the times when they were sent.
type unseenStarts map[runRef]time.Duration

// voidRun is a run that must not start any more. The stop is repeated until it is acknowledged.
type voidRun struct {
	run   uint64
	since time.Duration // when it was learnt that the order may come here
	sent  time.Duration // when the stop left last
}

func (u unseenStarts) has(r runRef) bool {
	_, known := u[r]
	return known
}

// noteStart remembers a start until a listing shows it.
func (h *host) noteStart(now time.Duration, ref submission.TaskRef, run uint64) {
	if h.info.Born == 0 {
		return
	}
	h.unseen[runRef{ref, run}] = now
}

// seenStart forgets a start whose outcome is known.
func (h *host) seenStart(ref submission.TaskRef, run uint64) {
	delete(h.unseen, runRef{ref, run})
}

// notRun reports whether a verdict says that a start was not, and will not be, carried out.
func notRun(v worker.Verdict) bool {
	switch v {
	case worker.NoRoom, worker.Unavailable, worker.Superseded, worker.DeadlinePassed, worker.Malformed, worker.Fenced:
		return true
	default:
		return false
	}
}

// admit takes a worker among the known ones. Runs that may still reach it, by an order for an earlier
// incarnation, are made void.
func (s *Shard) admit(now time.Duration, h *host) {
	id := h.info.ID
	s.workers[id] = h
	left := s.leftovers[id]
	delete(s.leftovers, id)
	for _, r := range slices.SortedFunc(maps.Keys(left), runRef.Compare) {
		s.voidAt(now, h, r.TaskRef, r.run)
	}
}

// forgetHost drops a worker, with what was to be told to it or has come from it: its next incarnation
// numbers its ends anew.
func (s *Shard) forgetHost(now time.Duration, h *host) {
	id := h.info.ID
	delete(s.workers, id)
	delete(s.early, id)
	s.out.Acks = slices.DeleteFunc(s.out.Acks, func(a AckAction) bool { return a.Worker == id })
	for ref, v := range h.voids {
		h.unseen[runRef{ref, v.run}] = v.since
	}
	if len(h.unseen) > 0 {
		s.leftovers[id] = h.unseen
	}
}

// succeedUnderID replaces a worker by its next incarnation under the same ID.
func (s *Shard) succeedUnderID(now time.Duration, old *host, info worker.Info, origin Origin) *host {
	next := newHost(info, origin)
	tasks := s.on(old)
	s.lost(now, old, tasks, true)
	for _, t := range tasks {
		if run := (runRef{t.ref, t.newestRun}); old.unseen.has(run) {
			s.doubt(now, t, next)
			delete(old.unseen, run)
			continue
		}
		s.release(now, t)
	}
	s.forgetHost(now, old)
	s.admit(now, next)
	s.giveUpTasks(now, tasks)
	s.out.Probes = append(s.out.Probes, info.ID)
	s.dirty = true
	return next
}

// doubt has a worker asked whether it runs a task whose start may have come there.
func (s *Shard) doubt(now time.Duration, t *task, h *host) {
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
	s.stop(t, "the worker has started again")
}

// voidAt has a worker refuse a run that may still be on its way, and the task's earlier ones.
func (s *Shard) voidAt(now time.Duration, h *host, ref submission.TaskRef, run uint64) {
	h.voids[ref] = voidRun{run: run, since: now}
	s.sendVoid(now, h, ref)
}

func (s *Shard) sendVoid(now time.Duration, h *host, ref submission.TaskRef) {
	v := h.voids[ref]
	v.sent = now
	h.voids[ref] = v
	s.out.Stops = append(s.out.Stops, StopAction{Worker: h.info, Task: ref, Run: v.run, Reason: "its order may reach the next incarnation"})
}

// repeatVoids repeats the stops of such runs that had no answer.
func (s *Shard) repeatVoids(now time.Duration, h *host) {
	for _, ref := range slices.SortedFunc(maps.Keys(h.voids), submission.TaskRef.Compare) {
		if v := h.voids[ref]; now-v.sent >= stopAgain {
			s.sendVoid(now, h, ref)
		}
	}
}

// forgetStarts drops starts that cannot be carried out any more.
func (s *Shard) forgetStarts(now time.Duration) {
	late := func(_ runRef, sent time.Duration) bool { return now-sent > lateFor }
	for _, h := range s.workers {
		maps.DeleteFunc(h.unseen, late)
	}
	for id, left := range s.leftovers {
		if maps.DeleteFunc(left, late); len(left) == 0 {
			delete(s.leftovers, id)
		}
	}
}

// voided takes the acknowledgement of a stop.
func (h *host) voided(ref submission.TaskRef, run uint64) {
	if v, known := h.voids[ref]; known && v.run <= run {
		delete(h.voids, ref)
	}
}
