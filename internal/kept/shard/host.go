package shard

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// host is what the shard knows about one incarnation of a worker.
type host struct {
	info                worker.Info
	incarnation         string // its name when the worker was first known here; losses are recorded under it
	origin              Origin
	hasAnswered         bool          // it has listed its runs under this token
	firstAnswerAt       time.Duration // when it first did
	missingSince        time.Duration // when it left the list of workers; 0: it is in the list
	newestListingSentAt time.Duration // when the hold was sent that its newest listing answered
	newestClock         time.Duration // the worker's clock at its newest listing
	clock               workerClock
	ackedEndSeq         uint64        // number of the last ended run that is acknowledged
	newestEndSeq        uint64        // number of the last ended run that is processed
	hasMoreEnded        bool          // its newest listing may lack ended runs
	unackedEnds         []unackedEnd  // processed and not acknowledged, by number
	fullUntil           time.Duration // end of the backoff after it refused a run for lack of room
	unavailableUntil    time.Duration // end of the backoff after it refused a run as unavailable
	leaseExpired        bool          // its lease expired without an answer, and it has not answered since
	endedInLease        bool          // its process has ended while its lease ran, and it has not answered since
	startsVoidAt        time.Duration // when the last start order to it is void
	leaseLimit          time.Duration // until which its lease may be extended
	releaseAt           time.Duration // when its tasks are released, as its lease has expired; 0: there is no need
	health              policy.WorkerHealth
	handoverEnded       bool // its runs of submissions that are not known here are being stopped
	strayRuns           map[submission.TaskRef]strayRun
	toldRuns            map[runRef]bool // listed runs that were reported as unexpected; nil: none
	strayCPUMilli       int64           // processor that the stray runs use at least, as refused starts show
	unresolvedStarts    unresolvedStarts
	revokedRuns         map[submission.TaskRef]revokedRun
}

func newHost(info worker.Info, origin Origin) *host {
	return &host{
		info:             info,
		incarnation:      info.Incarnation().String(),
		origin:           origin,
		strayRuns:        make(map[submission.TaskRef]strayRun),
		unresolvedStarts: make(unresolvedStarts),
		revokedRuns:      make(map[submission.TaskRef]revokedRun),
	}
}

// unackedEnd is an ended run that is processed and not yet acknowledged.
type unackedEnd struct {
	seq    uint64
	job    *job // nil: of a submission that is not known here
	saving bool // part of the progress that is being stored
	saved  bool // part of the progress that has been stored
}

// canBeAcked reports whether the end may be acknowledged. The end of a transient submission's run may be
// at once: it is reported to the home VM, where the caller waits.
func (e *unackedEnd) canBeAcked() bool {
	return e.job == nil || e.job.endStored || e.saved || e.job.rec.Transient
}

// recordNoRoom learns from a start that the worker refused for want of room, while it has stray runs, how much processor
// these use at least. known is the processor of the tasks that are known to be there, in thousandths of a core. Nothing is
// learned if the step asks for a larger share of the worker's memory than of its processor, or for GPUs.
func (h *host) recordNoRoom(known int64, refused *submission.Step) {
	byProcessor := refused.GPU == 0 && refused.CPUMilli*h.info.MemMB >= refused.MemMB*h.info.CPUMilli
	if len(h.strayRuns) > 0 && byProcessor {
		h.strayCPUMilli = max(h.strayCPUMilli, h.info.CPUMilli-known-refused.CPUMilli+1)
	}
}

// Conditions under which a worker gets no new tasks.
const (
	fullBackoff        = 100 * time.Millisecond // after it had no room, or until the next run there ends
	unavailableBackoff = time.Second            // after it refused a run as unavailable
	maxSilence         = 700 * time.Millisecond // since the hold was sent that it last answered
	// missingTimeout runs from when the worker left the list. Entries that expired while the store was
	// down are back within 2 s of its return.
	missingTimeout = 3 * time.Second
)

// isMissing reports whether the worker left the list so long ago that its entry is not expected back.
func (h *host) isMissing(now time.Duration) bool {
	return h.missingSince > 0 && now-h.missingSince > missingTimeout
}

// isInService reports whether the worker has answered, its lease goes on, and it is to stay. It may be full or ejected.
func (h *host) isInService(now time.Duration) bool {
	return h.hasAnswered && !h.leaseExpired && !h.info.Leaving && !h.isMissing(now)
}

// UpdateWorkers applies the list of the shard's workers. A worker that is no longer in it stays in use
// until it stops answering, as entries expire while the store is down.
func (s *Shard) UpdateWorkers(now time.Duration, list []worker.Info) {
	present := make(map[string]bool, len(list))
	believed, heldBack := s.believedEntries(list)
	s.entriesHeldBack = heldBack
	for _, info := range believed {
		h, known := s.workers[info.ID]
		cold := known && h.info.Cold
		switch {
		case known && (info.Born == 0 && h.info.Born > 0 || h.info.Incarnation().Succeeds(info.Incarnation())):
			continue // the entry is not that of the incarnation that is known
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
			continue // the list may come from another VM that has read an older one
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

// SetListOutdated says whether a newer list of workers exists than is known here. Nothing starts until
// the newer one is known, as a worker may have announced that it leaves or that it has less capacity.
func (s *Shard) SetListOutdated(outdated bool) {
	s.placementDue = s.placementDue || s.listOutdated && !outdated
	if s.listOutdated != outdated {
		s.roomVersion++
	}
	s.listOutdated = outdated
}

// WorkerRestarted replaces a worker that is gone by the incarnation that answers at its address. It runs on
// the same machine and so has the same capacity. Its labels are not known until its entry is read.
//
// A restarted worker writes its entry within some seconds, but a domain that is cut off from the store
// cannot read it. Its workers would be idle until the partition heals, all of them if they restarted
// together. The new incarnation has no runs and may be cold.
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
	if next.ID == "" || known || s.isReplaced(next) || s.addressTaken(gone) {
		return
	}
	s.clearUnknownCapacity(&info)
	s.confirmLossesAt(now, info)
	h := newHost(info, FromPreviousIncarnation)
	h.health.BeginSlowStart()
	s.addWorker(now, h)
	s.placementDue = true
}

// replaceKnownIncarnation replaces a known worker by its next incarnation under the same ID.
func (s *Shard) replaceKnownIncarnation(now time.Duration, info worker.Info) {
	h, known := s.workers[info.ID]
	if !known || !info.Incarnation().Succeeds(h.info.Incarnation()) {
		return
	}
	s.clearUnknownCapacity(&info)
	s.replaceIncarnation(now, h, info, FromPreviousIncarnation).health.BeginSlowStart()
	s.confirmLossesAt(now, info)
}

// clearUnknownCapacity clears the capacity that a next incarnation has from the one before, if its workers carry out what
// exceeds it. It may have less, and gets no tasks until its entry is read.
func (s *Shard) clearUnknownCapacity(info *worker.Info) {
	if !s.settings.enforcesCapacity(info.Service) {
		info.CPUMilli, info.MemMB, info.GPU = 0, 0, 0
	}
}

// AddWorkersOfPreviousHolder adds the workers that earlier holders used. A worker that is not in the list
// may still have runs, as entries expire while the store is down.
func (s *Shard) AddWorkersOfPreviousHolder(now time.Duration, known []worker.Info) {
	for _, info := range known {
		h, present := s.workers[info.ID]
		switch {
		case present && info.Incarnation().Succeeds(h.info.Incarnation()):
			h = s.replaceIncarnation(now, h, info, FromPreviousHolder)
		case present, s.addressTaken(info):
			continue
		default:
			h = newHost(info, FromPreviousHolder)
			s.addWorker(now, h)
		}
		h.missingSince = now
	}
	s.placementDue = true
}

// WorkerIDs returns the IDs of the known workers, sorted. The caller must not change them.
func (s *Shard) WorkerIDs() []string { return s.workerIDs }

// WorkerCount returns the number of known workers.
func (s *Shard) WorkerCount() int { return len(s.workers) }

// WorkerInfo returns the entry of a worker.
func (s *Shard) WorkerInfo(id string) (worker.Info, bool) {
	h, known := s.workers[id]
	if !known {
		return worker.Info{}, false
	}
	return h.info, true
}

// WorkerOrigin returns where the entry of a worker comes from.
func (s *Shard) WorkerOrigin(id string) Origin {
	if h, known := s.workers[id]; known {
		return h.origin
	}
	return FromList
}

// WorkerGone handles the end of a worker's incarnation, with which all its runs have ended.
func (s *Shard) WorkerGone(now time.Duration, id string) {
	if h, known := s.workers[id]; known {
		s.confirmLoss(now, h.incarnation)
	}
	s.remove(now, id, true, IncarnationEnded)
}

// remove releases the tasks of a worker whose runs have ended, and removes it. ended says that its
// incarnation has certainly ended.
func (s *Shard) remove(now time.Duration, id string, ended bool, why ReleaseReason) {
	h, known := s.workers[id]
	if !known {
		return
	}
	s.releaseAll(now, h, ended, why)
	s.forgetHost(now, h)
}

// WorkerEndedInLease records that the process of a worker has ended before the lease of its runs could. What is at its
// address is learnt later.
func (s *Shard) WorkerEndedInLease(id string) {
	if h, known := s.workers[id]; known && !h.leaseExpired {
		h.endedInLease = true
	}
}

// WorkerLeaseExpired handles the certain expiry of a worker's lease: all runs that were started there
// before have ended. Nothing starts there until it answers. A worker that has left the list is removed.
//
// A start order extends the lease of all runs there. While one may still be carried out, the tasks are kept.
func (s *Shard) WorkerLeaseExpired(now time.Duration, id string) {
	h, known := s.workers[id]
	if !known {
		return
	}
	if !h.leaseExpired {
		h.leaseExpired = true
		h.releaseAt = max(now, h.startsVoidAt)
	}
	s.releaseExpired(now, h)
}

// startValidity is how long a start order may be carried out at least, on the slowest clock. The caller, which knows the
// worker's clock and the deadlines of the orders, concludes an expiry only when all of them have passed.
var startValidity = time.Duration(math.Ceil(float64(worker.StartValidity) / (1 - worker.MaxClockDrift)))

// releaseExpired releases the tasks of a worker whose lease has expired, once all start orders to it are void.
func (s *Shard) releaseExpired(now time.Duration, h *host) {
	switch {
	case now < h.releaseAt:
	case h.missingSince > 0:
		s.remove(now, h.info.ID, false, LeaseExpired)
	default:
		h.releaseAt = 0
		s.releaseAll(now, h, false, LeaseExpired)
	}
}

// releaseAll releases all tasks of a worker whose runs have ended, and records its loss.
func (s *Shard) releaseAll(now time.Duration, h *host, ended bool, why ReleaseReason) {
	tasks := s.tasksOn(h)
	s.recordLoss(now, h, tasks, ended)
	for _, t := range tasks {
		s.release(now, t, why)
	}
	s.clearStrayRuns(h)
	s.placementDue = true
	s.giveUpTasks(now, tasks)
}

// tasksOn returns the tasks that occupy a worker, ordered by submission ID.
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

// release makes a task that certainly does not run startable again, unless it is not to run any more.
func (s *Shard) release(now time.Duration, t *task, why ReleaseReason) {
	if t.state == taskStoppingForGood || t.job.state.Final() {
		t.state = taskEnded
	} else {
		t.state = taskWaiting
	}
	s.tellRelease(now, t, why, t.state == taskWaiting)
	t.host = nil
	t.stateSince = now
	s.placementDue = true
	s.hasAttempts = s.hasAttempts || t.reservesPlace()
	s.removeIfDone(t.job)
}
