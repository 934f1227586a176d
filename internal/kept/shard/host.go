package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// host is a worker as its holder sees it.
type host struct {
	info     worker.Info
	listed   bool          // has answered under this token
	listedAt time.Duration // when it did first
	missing  time.Duration // since when it is not in the list of workers; 0: it is there
	answered time.Duration // when its newest listing was asked for
	clock    time.Duration // the worker's clock at its newest listing
	seen     uint64        // ends acknowledged
	taken    uint64        // ends taken into account
	ends     []endEntry    // taken into account and not acknowledged, by number
	fullTill time.Duration // it refused a run for want of room
	sickTill time.Duration // it refused a run as it is not in order
	record   trust
	strays   map[submission.TaskRef]strayRun
}

type endEntry struct {
	n      uint64
	job    *job // nil: of a submission that is not open
	saving bool // in the progress that is being stored
	saved  bool
}

// settled reports whether an end may be acknowledged. That of a transient submission
// may be at once: its home is told, and the caller waits there.
func (e *endEntry) settled() bool {
	return e.job == nil || e.job.stored || e.saved || e.job.rec.Transient
}

// strayRun is a run that a worker lists and whose submission is not known here.
type strayRun struct {
	run   uint64
	since time.Duration
	asked bool // a stop was sent
}

// Bounds of a worker's use.
const (
	fullFor    = 100 * time.Millisecond // or until the next end there
	sickFor    = time.Second
	quietMost  = 700 * time.Millisecond // without an answer, a worker gets nothing new
	missingFor = 3 * time.Second        // entries that lapsed with the store are back within 2 s of its return
)

// Workers takes the list of workers of the shard. A worker that is not in it any
// more goes on until it stops answering: the list lapses while the store is down.
func (s *Shard) Workers(now time.Duration, list []worker.Info) {
	present := make(map[string]bool, len(list))
	for _, info := range newestLives(list) {
		present[info.ID] = true
		h, known := s.workers[info.ID]
		if !known {
			h = &host{strays: make(map[submission.TaskRef]strayRun)}
			s.workers[info.ID] = h
			s.replaced(now, info)
		}
		h.info = info
		h.missing = 0
	}
	for id, h := range s.workers {
		if !present[id] && h.missing == 0 {
			h.missing = now
		}
	}
	s.dirty = true
}

// newestLives drops the entries of workers that have started again at the same
// address under a new ID: their entries stay until they expire. Taking an old life
// for a new one would declare the runs of the newer life dead while they go on.
func newestLives(list []worker.Info) []worker.Info {
	newest := make(map[string]uint64, len(list))
	for _, info := range list {
		newest[info.Address] = max(newest[info.Address], info.Revision)
	}
	return slices.DeleteFunc(slices.Clone(list), func(info worker.Info) bool {
		return info.Revision < newest[info.Address]
	})
}

// Expect takes workers that earlier holders used. One that is not in the list may
// still have runs: entries lapse while the store is down.
func (s *Shard) Expect(now time.Duration, known []worker.Info) {
	for _, info := range known {
		if _, there := s.workers[info.ID]; there || s.addressTaken(info) {
			continue
		}
		s.workers[info.ID] = &host{info: info, missing: now, strays: make(map[submission.TaskRef]strayRun)}
	}
	s.dirty = true
}

func (s *Shard) addressTaken(info worker.Info) bool {
	for _, h := range s.workers {
		if h.info.Address == info.Address {
			return true
		}
	}
	return false
}

// replaced drops the workers that lived at the address of a new one.
func (s *Shard) replaced(now time.Duration, info worker.Info) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		if h := s.workers[id]; id != info.ID && h.info.Address == info.Address {
			s.WorkerGone(now, id)
		}
	}
}

// WorkerIDs returns the known workers, in order.
func (s *Shard) WorkerIDs() []string { return slices.Sorted(maps.Keys(s.workers)) }

// WorkerInfo returns what is known of a worker.
func (s *Shard) WorkerInfo(id string) (worker.Info, bool) {
	h, known := s.workers[id]
	if !known {
		return worker.Info{}, false
	}
	return h.info, true
}

// WorkerGone says that a worker's incarnation has ended, with all that ran there.
func (s *Shard) WorkerGone(now time.Duration, id string) {
	h, known := s.workers[id]
	if !known {
		return
	}
	s.drop(now, h)
	delete(s.workers, id)
}

// WorkerLapsed says that a worker's lease has certainly run out: nothing that was
// started there before runs any more. One that left the list is forgotten.
func (s *Shard) WorkerLapsed(now time.Duration, id string) {
	h, known := s.workers[id]
	if !known {
		return
	}
	s.drop(now, h)
	if h.missing > 0 {
		delete(s.workers, id)
	}
}

// drop takes back all that ran on a worker.
func (s *Shard) drop(now time.Duration, h *host) {
	for _, t := range s.on(h) {
		s.release(now, t)
	}
	clear(h.strays)
	s.dirty = true
}

// on returns the tasks at a worker, in the order of their submissions.
func (s *Shard) on(h *host) []*task {
	var out []*task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		for _, t := range s.jobs[id].tasks {
			if t.occupies() && t.host == h {
				out = append(out, t)
			}
		}
	}
	return out
}

// release makes a task that certainly does not run startable again.
func (s *Shard) release(now time.Duration, t *task) {
	if t.state == ending || t.job.state.Final() {
		t.state = over
	} else {
		t.state = waiting
	}
	t.host = nil
	t.since = now
	s.dirty = true
	s.reap(t.job)
}

// Listing takes a worker's answer to a hold that was sent at a time. It returns the
// ends in it that were new.
func (s *Shard) Listing(now time.Duration, id string, sent time.Duration, l worker.Listing) (fresh []worker.Ended) {
	h, known := s.workers[id]
	if !known {
		return nil
	}
	if !s.scanned {
		s.early[id] = earlyListing{sent: sent, listing: l}
		return nil
	}
	if !h.listed {
		h.listed = true
		h.listedAt = now
	}
	h.answered = max(h.answered, sent)
	for _, e := range l.Ended {
		if e.N > h.taken {
			h.taken = e.N
			fresh = append(fresh, e)
			s.ended(now, h, e)
		}
	}
	if l.Clock >= h.clock { // answers overtake each other
		h.clock = l.Clock
		s.compare(now, h, sent, l)
	}
	s.acknowledge()
	s.dirty = true
	return fresh
}

// ended takes the end of a run.
func (s *Shard) ended(now time.Duration, h *host, e worker.Ended) {
	h.fullTill = 0
	delete(h.strays, e.Task)
	j, open := s.jobs[e.Task.ID]
	if !open {
		h.ends = append(h.ends, endEntry{n: e.N})
		if now-h.listedAt < resumeWithin {
			s.orphans[e.Task.ID] = append(s.orphans[e.Task.ID], orphanEnd{host: h, end: e, at: now})
		}
		return
	}
	h.ends = append(h.ends, endEntry{n: e.N, job: j})
	if j.unsaved == 0 {
		j.unsaved = now
	}
	t := j.task(e.Task.Task)
	if t == nil {
		return
	}
	s.endedTask(now, h, t, e)
}

func (s *Shard) endedTask(now time.Duration, h *host, t *task, e worker.Ended) {
	current := t.host == h && t.run == e.Run && t.occupies()
	if e.Run > t.run {
		t.run = e.Run
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch {
	case e.How == worker.Completed:
		s.completed(now, h, t, current)
		return
	case e.How == worker.Failed:
		s.failedRun(now, h, t, e.Run)
	}
	if current {
		s.release(now, t)
	}
	s.note(t)
}

// note tells the home of a transient submission how far a task is.
func (s *Shard) note(t *task) {
	if t.job.rec.Transient && !t.job.state.Final() && (t.state == complete || t.fails > 0) {
		fails := t.fails
		if t.state == complete {
			fails = 0
		}
		s.out.Notes = append(s.out.Notes, NoteAction{Home: t.job.rec.Home, Task: t.ref, Fails: fails})
	}
}

func (s *Shard) completed(now time.Duration, h *host, t *task, current bool) {
	if current {
		s.learn(now, h, t)
	}
	if t.state == complete {
		return
	}
	if t.occupies() && !current {
		s.stop(t, "another run has completed")
	}
	j := t.job
	j.complete(t)
	s.note(t)
	if j.left == 0 && !j.state.Final() {
		s.end(now, j, submission.Done, "all tasks have completed")
	}
	s.reap(j)
}

// failedRun counts a failed run. A task whose runs have failed as often as the
// queue allows ends its submission.
func (s *Shard) failedRun(now time.Duration, h *host, t *task, run uint64) {
	if _, counted := t.failed[run]; counted {
		return
	}
	if t.failed == nil {
		t.failed = make(map[uint64]struct{})
	}
	t.failed[run] = struct{}{}
	t.fails++
	if first := t.job.blamed; first != nil && first != h {
		first.record.pardon(t.job) // it fails on several workers: the fault is its own
	} else {
		t.job.blamed = h
		h.record.failed(now, t.job)
	}
	t.avoid = h
	if t.fails >= t.job.rec.Terms.Attempts && t.state != complete && !t.job.state.Final() {
		s.end(now, t.job, submission.Failed, "a task has failed as often as its queue allows")
	}
}

// compare holds what a worker lists as running against what should run there.
func (s *Shard) compare(now time.Duration, h *host, sent time.Duration, l worker.Listing) {
	listed := make(map[submission.TaskRef]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Task] = true
		s.found(now, h, r)
	}
	for ref := range h.strays {
		if !listed[ref] {
			delete(h.strays, ref)
		}
	}
	for _, t := range s.on(h) {
		if !listed[t.ref] {
			s.absent(now, h, t, sent, l.Clock)
		}
	}
}

// found takes a run that a worker lists.
func (s *Shard) found(now time.Duration, h *host, r worker.Running) {
	j, open := s.jobs[r.Task.ID]
	if !open {
		s.stray(now, h, r)
		return
	}
	t := j.task(r.Task.Task)
	if t == nil || r.Run < t.run || t.state == complete {
		s.stray(now, h, r)
		return
	}
	if t.occupies() && t.host != h {
		s.stray(now, h, r)
		return
	}
	t.run = r.Run
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	if r.Percent != t.percent || t.movedAt == 0 {
		t.percent = r.Percent
		t.movedAt = now
	}
	switch t.state {
	case starting, unsure, astray:
		s.nowRunning(now, h, t)
	case over, waiting:
		s.stray(now, h, r) // a late order that was carried out all the same
	}
}

func (s *Shard) nowRunning(now time.Duration, h *host, t *task) {
	if t.state == astray {
		t.startedAt = 0 // how long it has run is not known
	}
	t.state = running
	t.host = h
	t.since = now
	t.movedAt = now
	j := t.job
	if j.firstRun == 0 {
		j.firstRun = now
	}
	if j.state == submission.Queued {
		j.state = submission.Running
		s.tell(j)
	}
}

// stray stops a run that nobody wants. Soon after the worker was first reached the run
// may be of a transient submission whose home has not handed it over yet.
func (s *Shard) stray(now time.Duration, h *host, r worker.Running) {
	st, known := h.strays[r.Task]
	if !known || st.run != r.Run {
		st = strayRun{run: r.Run, since: now}
	}
	if !st.asked && now-h.listedAt >= resumeWithin {
		st.asked = true
		s.out.Stops = append(s.out.Stops, StopAction{Worker: h.info, Task: r.Task, Run: r.Run, Why: "no such run is wanted"})
	}
	h.strays[r.Task] = st
}

// resume makes the stray runs of a submission its own. One that is being stopped
// still runs for some time: the task must not start before it is gone.
func (h *host) resume(now time.Duration, s *Shard, j *job) {
	for ref, st := range h.strays {
		t := j.task(ref.Task)
		if ref.ID != j.rec.ID || t == nil || t.occupies() || t.state == complete {
			continue
		}
		delete(h.strays, ref)
		t.run = st.run
		if st.asked {
			t.host = h
			t.state = voiding
			t.since = now
			t.stopClock = 0
			s.stop(t, "it was being stopped when its home handed it over")
			continue
		}
		s.nowRunning(now, h, t)
		t.startedAt = 0 // how long it has run is not known
	}
}

// absent takes a run that a worker does not list, in an answer to a hold sent at
// a time and given at a time of the worker's clock.
func (s *Shard) absent(now time.Duration, h *host, t *task, sent, clock time.Duration) {
	switch t.state {
	case running:
		// An answer counts only if its call left after the run was known: a hold that
		// was waiting when the run began may answer without it.
		if sent > t.since && clock >= t.clock {
			s.release(now, t)
		}
	case unsure:
		if sent >= t.since {
			// The order may still come: the run must be made impossible first.
			t.state = voiding
			t.since = now
			t.stopClock = 0
			s.stop(t, "its start had no answer")
		}
	case voiding, ending:
		if t.stopClock > 0 && sent >= t.stopAt && clock >= t.stopClock {
			s.release(now, t)
		}
	}
}

// StartReply takes the answer to a start.
func (s *Shard) StartReply(now time.Duration, id string, ref submission.TaskRef, run uint64, r worker.Reply) {
	h, t := s.order(id, ref, run)
	if t == nil {
		return
	}
	if t.state != starting {
		if r.Verdict == worker.Accepted && t.state == running {
			t.clock = r.Clock
		}
		return
	}
	switch r.Verdict {
	case worker.Accepted:
		t.clock = r.Clock
		s.nowRunning(now, h, t)
	case worker.NoRoom:
		h.fullTill = now + fullFor
		s.release(now, t)
	case worker.Unwell:
		h.sickTill = now + sickFor
		s.release(now, t)
	case worker.Outrun, worker.Late:
		s.release(now, t)
	case worker.Malformed:
		s.release(now, t)
		s.end(now, t.job, submission.Failed, "a worker cannot read the task")
	case worker.Fenced:
		t.state = unsure // another holder decides; this one will learn it from the store
		t.since = now
	case worker.Gone:
		s.WorkerGone(now, id)
	case worker.Silent:
		t.state = unsure
		t.since = now
		s.out.Looks = append(s.out.Looks, id)
	}
}

// StopReply takes the answer to a stop. A stop without an answer is repeated.
func (s *Shard) StopReply(now time.Duration, id string, ref submission.TaskRef, run uint64, r worker.Reply) {
	h, known := s.workers[id]
	if !known {
		return
	}
	if r.Verdict == worker.Gone {
		s.WorkerGone(now, id)
		return
	}
	_, t := s.order(id, ref, run)
	if t == nil || t.state != voiding && t.state != ending {
		if st := h.strays[ref]; r.Verdict != worker.Accepted && st.run == run {
			st.asked = false // the next listing repeats it
			h.strays[ref] = st
		}
		return
	}
	if r.Verdict == worker.Accepted {
		t.stopClock = r.Clock
		t.stopAt = now
		s.out.Looks = append(s.out.Looks, id)
		return
	}
	t.since = now // Tick repeats it
}

// order finds a task by an order that was given for it.
func (s *Shard) order(id string, ref submission.TaskRef, run uint64) (*host, *task) {
	h, known := s.workers[id]
	j, open := s.jobs[ref.ID]
	if !known || !open {
		return h, nil
	}
	t := j.task(ref.Task)
	if t == nil || t.host != h || t.run != run {
		return h, nil
	}
	return h, t
}
