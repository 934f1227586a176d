package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// host is a worker as its holder sees it.
type host struct {
	info                worker.Info
	incarnation         string // as it was first known here; names its losses
	origin              Origin
	hasAnswered         bool          // has answered under this token
	firstAnswerAt       time.Duration // when it did first
	missingSince        time.Duration // since when it is not in the list of workers; 0: it is there
	newestListingSentAt time.Duration // when its newest listing was asked for
	newestClock         time.Duration // the worker's clock at its newest listing
	ackedEndSeq         uint64        // ends acknowledged
	newestEndSeq        uint64        // ends taken into account
	unackedEnds         []unackedEnd  // taken into account and not acknowledged, by number
	fullUntil           time.Duration // it refused a run for want of room
	unavailableUntil    time.Duration // it refused a run as it is not in order
	leaseExpired        bool          // it did not answer until its lease was over, and has not answered since
	health              policy.WorkerHealth
	strayRuns           map[submission.TaskRef]strayRun
	unlistedStarts      unlistedStarts
	revokedRuns         map[submission.TaskRef]revokedRun
}

func newHost(info worker.Info, origin Origin) *host {
	return &host{
		info:           info,
		incarnation:    info.Incarnation().String(),
		origin:         origin,
		strayRuns:      make(map[submission.TaskRef]strayRun),
		unlistedStarts: make(unlistedStarts),
		revokedRuns:    make(map[submission.TaskRef]revokedRun),
	}
}

type unackedEnd struct {
	seq    uint64
	job    *job // nil: of a submission that is not open
	saving bool // in the progress that is being stored
	saved  bool
}

// settled reports whether an end may be acknowledged. That of a transient submission
// may be at once: its home is told, and the caller waits there.
func (e *unackedEnd) canBeAcked() bool {
	return e.job == nil || e.job.endStored || e.saved || e.job.rec.Transient
}

// strayRun is a run that a worker lists and whose submission is not known here.
type strayRun struct {
	run      uint64
	stopSent bool // a stop was sent
}

// Bounds of a worker's use.
const (
	fullBackoff        = 100 * time.Millisecond // or until the next end there
	unavailableBackoff = time.Second
	maxSilence         = 700 * time.Millisecond // without an answer, a worker gets nothing new
	missingTimeout     = 3 * time.Second        // entries that lapsed with the store are back within 2 s of its return
)

// Workers takes the list of workers of the shard. A worker that is not in it any
// more goes on until it stops answering: the list lapses while the store is down.
func (s *Shard) UpdateWorkers(now time.Duration, list []worker.Info) {
	present := make(map[string]bool, len(list))
	for _, info := range newestAtEachAddress(s.withoutReplaced(list)) {
		h, known := s.workers[info.ID]
		cold := known && h.info.Cold
		switch {
		case known && (info.Born == 0 && h.info.Born > 0 || h.info.Incarnation().Succeeds(info.Incarnation())):
			continue // it says nothing of the incarnation that is known
		case !known && s.isOutlived(info):
			continue
		case known && info.Incarnation().Succeeds(h.info.Incarnation()):
			h, cold = s.replaceIncarnation(now, h, info, FromList), false
		case !known:
			h = newHost(info, FromList)
			s.addWorker(now, h)
			s.removeOthersAt(now, info)
		}
		present[info.ID] = true
		s.confirmLossesAt(now, info)
		h.missingSince = 0
		if info.Revision < h.info.Revision {
			continue // a late word: another reader's list may be older
		}
		if info.Cold && !cold {
			h.health.BeginSlowStart()
		}
		h.info = info
		h.origin = FromList
	}
	for id, h := range s.workers {
		if !present[id] && h.missingSince == 0 {
			h.missingSince = now
		}
	}
	s.placementDue = true
}

// SetListOutdated says whether the list of workers can be had newer than it is known here. Until it is
// known, nothing starts: a worker may have given notice that it leaves, or have less room.
func (s *Shard) SetListOutdated(outdated bool) {
	s.placementDue = s.placementDue || s.listOutdated && !outdated
	s.listOutdated = outdated
}

// outlived reports whether a worker that is known at the address of another is a later one. Entries stay
// until they expire, for longer while the store is away, and the later one may have none yet.
func (s *Shard) isOutlived(info worker.Info) bool {
	for _, h := range s.workers {
		if h.info.Address != info.Address {
			continue
		}
		if h.info.Born > 0 && info.Born > 0 {
			return h.info.Born > info.Born
		}
		return h.info.Revision > info.Revision
	}
	return false
}

// living drops the entries of workers that are certainly dead: they stay in the list until they
// expire, and one of them would pass for the newest life at its address.
func (s *Shard) withoutReplaced(list []worker.Info) []worker.Info {
	if len(s.replacedWorkers) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(info worker.Info) bool { return s.isReplaced(info.Incarnation()) })
}

// isReplaced reports whether an incarnation has been replaced. Where a birth is not known, that of its ID that
// was replaced last is meant.
func (s *Shard) isReplaced(i worker.Incarnation) bool {
	d, known := s.replacedWorkers[i.ID]
	return known && (i.Born == 0 || d.born == 0 || i.Born <= d.born)
}

// Succeed takes the incarnation that answers at the address of one that is gone. Its machine has the
// same room; what its labels are is known with its entry.
//
// A worker that has started again writes its entry within some seconds, and where the domain is cut
// off from the list nobody there reads it: its workers would be idle until the heal, all of them if
// they came back together. The new life runs nothing, and may be cold.
func (s *Shard) WorkerRestarted(now time.Duration, gone worker.Info, next worker.Incarnation) {
	s.replacedWorkers[gone.ID] = replacedWorker{born: gone.Born, at: now}
	info := gone
	info.ID, info.Born = next.ID, next.Born
	info.Labels = nil
	info.Rack = ""
	info.Leaving = false
	if next.Succeeds(gone.Incarnation()) {
		s.replaceKnownIncarnation(now, info)
		return
	}
	s.WorkerGone(now, gone.ID)
	_, known := s.workers[next.ID]
	if next.ID == "" || known || s.isReplaced(next) || s.addressTaken(gone) || !s.settings.enforcesCapacity(info.Service) {
		return
	}
	s.confirmLossesAt(now, info)
	h := newHost(info, FromPreviousIncarnation)
	h.health.BeginSlowStart()
	s.addWorker(now, h)
	s.placementDue = true
}

// replaceKnownIncarnation takes the next incarnation of a worker that has kept its ID.
func (s *Shard) replaceKnownIncarnation(now time.Duration, info worker.Info) {
	h, known := s.workers[info.ID]
	if !known || !info.Incarnation().Succeeds(h.info.Incarnation()) {
		return
	}
	if !s.settings.enforcesCapacity(info.Service) {
		info.CPUMilli, info.MemMB, info.GPU = 0, 0, 0 // its room is known with its entry
	}
	s.replaceIncarnation(now, h, info, FromPreviousIncarnation).health.BeginSlowStart()
	s.confirmLossesAt(now, info)
}

// newestAtEachAddress drops the entries of workers that have started again at the same
// address under a new ID: their entries stay until they expire. Taking an old life
// for a new one would declare the runs of the newer life dead while they go on.
func newestAtEachAddress(list []worker.Info) []worker.Info {
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
func (s *Shard) AddWorkersOfPreviousHolder(now time.Duration, known []worker.Info) {
	for _, info := range known {
		h, there := s.workers[info.ID]
		switch {
		case there && info.Incarnation().Succeeds(h.info.Incarnation()):
			h = s.replaceIncarnation(now, h, info, FromPreviousHolder)
		case there, s.addressTaken(info):
			continue
		default:
			h = newHost(info, FromPreviousHolder)
			s.addWorker(now, h)
		}
		h.missingSince = now
	}
	s.placementDue = true
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
func (s *Shard) removeOthersAt(now time.Duration, info worker.Info) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		if h := s.workers[id]; id != info.ID && h.info.Address == info.Address {
			s.WorkerGone(now, id)
		}
	}
}

// WorkerIDs returns the known workers, in order.
func (s *Shard) WorkerIDs() []string { return slices.Sorted(maps.Keys(s.workers)) }

// WorkerCount is the number of known workers.
func (s *Shard) WorkerCount() int { return len(s.workers) }

// WorkerInfo returns what is known of a worker.
func (s *Shard) WorkerInfo(id string) (worker.Info, bool) {
	h, known := s.workers[id]
	if !known {
		return worker.Info{}, false
	}
	return h.info, true
}

// WorkerOrigin returns how a worker's entry is known.
func (s *Shard) WorkerOrigin(id string) Origin {
	if h, known := s.workers[id]; known {
		return h.origin
	}
	return FromList
}

// WorkerGone says that a worker's incarnation has ended, with all that ran there.
func (s *Shard) WorkerGone(now time.Duration, id string) {
	if h, known := s.workers[id]; known {
		s.confirmLoss(now, h.incarnation)
	}
	s.remove(now, id, true)
}

// remove forgets a worker on which nothing runs any more; ended: its incarnation has certainly ended.
func (s *Shard) remove(now time.Duration, id string, ended bool) {
	h, known := s.workers[id]
	if !known {
		return
	}
	s.releaseAll(now, h, ended)
	s.forgetHost(now, h)
}

// WorkerLeaseExpired says that a worker's lease has certainly run out: nothing that was
// started there before runs any more. One that left the list is forgotten.
func (s *Shard) WorkerLeaseExpired(now time.Duration, id string) {
	h, known := s.workers[id]
	if !known {
		return
	}
	s.releaseAll(now, h, false)
	h.leaseExpired = true
	if h.missingSince > 0 {
		s.forgetHost(now, h)
	}
}

// drop takes back all that ran on a worker.
func (s *Shard) releaseAll(now time.Duration, h *host, ended bool) {
	tasks := s.tasksOn(h)
	s.recordLoss(now, h, tasks, ended)
	for _, t := range tasks {
		s.release(now, t)
	}
	clear(h.strayRuns)
	s.placementDue = true
	s.giveUpTasks(now, tasks)
}

// on returns the tasks at a worker, in the order of their submissions.
func (s *Shard) tasksOn(h *host) []*task {
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
	if t.state == taskStoppingForGood || t.job.state.Final() {
		t.state = taskEnded
	} else {
		t.state = taskWaiting
	}
	t.host = nil
	t.stateSince = now
	s.placementDue = true
	s.removeIfDone(t.job)
}
