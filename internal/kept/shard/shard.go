package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Shard is the state of a shard as its holder knows it.
type Shard struct {
	settings Settings
	token    uint64

	recordsLoaded     bool          // the records in the store have been read
	recoveredRevision uint64        // the store's revision at that read; 0: not read yet
	barrierUntil      time.Duration // when the leases that earlier holders granted have certainly expired
	barrierUp         bool          // tasks that an earlier holder may have started must not start
	evacuated         bool          // nothing may start in the failure domain
	entriesHeldBack   bool          // the list of workers has entries that contradict what runs here
	listOutdated      bool          // a newer list of workers exists than is known here

	jobs                  map[submission.ID]*job
	workers               map[string]*host
	workerIDs             []string                        // the keys of workers, sorted; replaced when they change, as a caller may be in a loop over them
	recentlyEnded         map[submission.ID]endedJob      // submissions that ended or left within endedRetention
	replacedWorkers       map[string]replacedWorker       // incarnations that another one has replaced, by worker ID
	leftoverStarts        map[string]unresolvedStarts     // of workers that have been removed, by worker ID
	earlyListings         map[string]earlyListing         // listings that arrived before the records, by worker ID
	revoked               map[submission.ID]time.Duration // cancelled transient submissions that are not known here, and when
	earlyEnds             map[submission.ID][]earlyEnd    // ended runs of submissions that are not known yet
	strayCounts           strayCounts
	transientBarrierUntil time.Duration // when unlisted runs of transient submissions have ended
	paceByQueue           map[string]*policy.Pace
	arrivals              policy.Arrivals
	freeMilli             int64                            // CPU that was free for tasks when the last placement began
	standings             map[policy.Group]policy.Standing // of the groups with waiting tasks, when they were last ordered
	recentLosses          []lostWorker                     // within endedRetention
	hasLosses             bool                             // some unfinished task here had a worker that was lost
	hasAttempts           bool                             // attempts at some task may be stored, and the task not started yet
	actions               Actions                          // since the last TakeActions
	badReports            int                              // impossible reports since one was told
	badReportToldAt       time.Duration
	nextCentreAt          time.Duration
	nextPruneAt           time.Duration
	nextSweepAt           time.Duration
	nextStrandedAt        time.Duration             // when submissions that no worker can run are searched for again
	reserved              map[string]pool.Resources // by worker ID, for tasks that are not here yet
	room                  []*candidate              // the workers after the last placement
	roomVersion           uint64
	placementDue          bool // an event may have made a task startable
}

// endedJob is what is remembered of a submission that has ended or left this shard. Without it, a
// message or an answer of the store that was sent before the end would start the submission again.
type endedJob struct {
	state              submission.State // Unknown: it was stored under another shard
	part               extent
	serial             uint64
	pastSerials        []uint64
	returned           []ReturnedTask
	tasks              int           // of the part, without the returned ones
	reassignedRevision uint64        // of the record that names another shard; 0: it ended here
	leaseLimit         time.Duration // until which leases may be extended where runs of it go on
	at                 time.Duration
}

// replacedWorker is the newest replaced incarnation under a worker ID.
type replacedWorker struct {
	born int64 // 0: not known
	at   time.Duration
}

// endedRetention is how long ended submissions are remembered. Calls to the store without an answer
// may still be carried out some seconds later.
const endedRetention = time.Minute

type earlyListing struct {
	sentAt  time.Duration // when the hold that it answers was sent
	listing worker.Listing
}

// New returns a shard under a token that its holder has just acquired. Runs that an earlier holder
// started and that no worker lists have ended by barrierAt.
func New(now time.Duration, s Settings, token uint64, barrierAt time.Duration) *Shard {
	return &Shard{
		transientBarrierUntil: min(now+transientBarrier, barrierAt),
		earlyEnds:             make(map[submission.ID][]earlyEnd),
		revoked:               make(map[submission.ID]time.Duration),
		settings:              s,
		token:                 token,
		barrierUntil:          barrierAt,
		barrierUp:             true,
		jobs:                  make(map[submission.ID]*job),
		workers:               make(map[string]*host),
		earlyListings:         make(map[string]earlyListing),
		recentlyEnded:         make(map[submission.ID]endedJob),
		replacedWorkers:       make(map[string]replacedWorker),
		leftoverStarts:        make(map[string]unresolvedStarts),
		strayCounts:           make(strayCounts),
		paceByQueue:           make(map[string]*policy.Pace),
	}
}

// Token returns the fencing token of all orders.
func (s *Shard) Token() uint64 { return s.token }

// TakeActions returns the actions since the last call.
func (s *Shard) TakeActions() Actions {
	out := s.actions
	s.actions = Actions{}
	return out
}

// Recover adopts the unfinished submissions of the shard that earlier holders have left, by a linearizable read of the
// store at a revision. They are all that there were by then: an older record that turns up later has ended.
func (s *Shard) Recover(now time.Duration, records []StoredRecord, revision uint64) {
	s.AddRecords(now, records)
	s.recoveredRevision = revision
}

// AddRecords adopts unfinished submissions of the shard that were read from the store.
// Submissions that are already known are left as they are.
func (s *Shard) AddRecords(now time.Duration, records []StoredRecord) {
	first := !s.recordsLoaded
	s.recordsLoaded = true
	for _, r := range records {
		if !s.IsKnown(r) {
			s.adopt(now, r)
		}
	}
	if first {
		for _, id := range slices.Sorted(maps.Keys(s.earlyListings)) {
			e := s.earlyListings[id]
			s.HandleListing(now, id, e.sentAt, e.listing)
		}
		s.earlyListings = nil
	}
	s.placementDue = true
}

// adopt adds a submission of which an earlier holder may have started runs.
func (s *Shard) adopt(now time.Duration, r StoredRecord) {
	j := newJob(now, r, s.runBase(r.Record))
	s.add(j)
	s.adoptAttempts(j)
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.barrierUp {
			t.state = taskUnlocated
		}
	}
	if j.tasksLeft == 0 {
		s.finish(now, j)
		return
	}
	s.reportState(j)
}

// IsKnown reports whether a stored submission is known here or has left this shard for good, also under an earlier
// holder. A record that was read before it left must not bring it back.
func (s *Shard) IsKnown(r StoredRecord) bool {
	if _, open := s.jobs[r.Record.ID]; open {
		return true
	}
	if s.recoveredRevision > 0 && r.Revision <= s.recoveredRevision {
		return true
	}
	past, known := s.recentlyEnded[r.Record.ID]
	return known && (past.reassignedRevision == 0 || r.Revision <= past.reassignedRevision)
}

// runBase returns the number above which run numbers begin, so that they are higher than those of
// earlier holders, including runs that no worker lists. A worker refuses a run whose number is not
// higher than that of a run of the same task that ended there.
func (s *Shard) runBase(r *submission.Record) uint64 { return runBaseUnder(r, s.token) }

// runBaseUnder returns the number above which run numbers begin under a token.
func runBaseUnder(r *submission.Record, token uint64) uint64 {
	if token <= r.Token {
		return 0
	}
	return (token - r.Token) * runsPerToken
}

// runsPerToken is how many run numbers are reserved for one task under one token. Runs that are
// stopped or whose lease expires do not count as attempts, but 64 of them take longer than any
// submission waits.
const runsPerToken = 64

// Assign adds a submission of which nothing has run yet. It reports false if the submission was
// already known.
func (s *Shard) Assign(now time.Duration, r StoredRecord) bool {
	if !r.Record.Transient && s.IsKnown(r) {
		return false
	}
	if state, known := s.State(r.Record.ID); known && r.Record.Transient && s.handleRepeated(now, r.Record, state) {
		return false
	}
	j := newJob(now, r, 0)
	past := s.recentlyEnded[r.Record.ID]
	j.pastSerials = past.allSerials()
	if _, revoked := s.revoked[r.Record.ID]; revoked && s.barrierUp {
		s.awaitEarlierRuns(j) // of an attempt that was cancelled under an earlier holder
	}
	s.add(j)
	s.stopStrayRuns(now, j)
	s.recordArrival(now, j)
	s.placementDue = true
	return true
}

func (s *Shard) add(j *job) {
	j.token = s.token
	j.strayCounts = s.strayCounts
	s.jobs[j.rec.ID] = j
	delete(s.revoked, j.rec.ID)
	s.hasLosses = s.hasLosses || len(j.rec.Progress.Losses) > 0
}

// State returns the state of a submission here and whether it is known.
func (s *Shard) State(id submission.ID) (submission.State, bool) {
	if j, open := s.jobs[id]; open {
		return j.shownState(), true
	}
	past, known := s.recentlyEnded[id]
	return past.state, known
}

// Report returns the state report of a submission for its home VM, without the home if the submission
// has ended here. known is false if there is no such submission.
func (s *Shard) Report(id submission.ID) (report StateAction, known bool) {
	if j, open := s.jobs[id]; open {
		return j.report(), true
	}
	past, known := s.recentlyEnded[id]
	return StateAction{ID: id, State: past.state, Serial: past.serial, Returned: past.returned, Tasks: past.tasks}, known
}

// shownState returns the state that callers may be told. The end of a stored submission is told once it is stored: if this
// holder is lost before, with the workers that list the ends of its tasks, the next holder runs them again.
func (j *job) shownState() submission.State {
	if j.state.Final() && !j.endStored {
		return submission.Running
	}
	return j.state
}

func (j *job) report() StateAction {
	return StateAction{ID: j.rec.ID, Home: j.rec.Home, State: j.shownState(), Serial: j.rec.Serial, Returned: j.returned, Tasks: j.partSize()}
}

// CancelStored cancels a submission whose cancellation is in the store. One that is not here is remembered, as its record
// may have been read, or its assignment sent, before it was cancelled.
func (s *Shard) CancelStored(now time.Duration, id submission.ID) {
	if state, _ := s.State(id); state == submission.Unknown {
		s.recentlyEnded[id] = endedJob{state: submission.Cancelled, leaseLimit: NoLeaseLimit, at: now}
	}
	s.Cancel(now, id)
}

// Cancel stops the runs of a submission.
func (s *Shard) Cancel(now time.Duration, id submission.ID) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	if j.state.Final() {
		return
	}
	s.stopAllRuns(j, "cancelled")
	j.state = submission.Cancelled
	s.settle(now, j)
}

// FinalStored records that the final state of a submission has been stored.
func (s *Shard) FinalStored(now time.Duration, id submission.ID) {
	if j, known := s.jobs[id]; known {
		s.settle(now, j)
		s.reportState(j)
	}
}

// settle acknowledges the ended runs of a submission whose end is stored, or need not be, and removes
// the submission once none of its runs occupies a worker.
func (s *Shard) settle(now time.Duration, j *job) {
	j.endStored = true
	s.recentlyEnded[j.rec.ID] = endedJob{state: j.state, part: extentOf(j.rec), serial: j.rec.Serial, pastSerials: j.pastSerials, returned: j.returned, tasks: j.partSize(), leaseLimit: j.leaseLimit(), at: now}
	s.acknowledge()
	s.removeIfDone(j)
	s.placementDue = true
}

func (s *Shard) removeIfDone(j *job) {
	if j.endStored && !j.hasRunsOnWorkers() {
		delete(s.jobs, j.rec.ID)
	}
}

// ProgressSaved records that the progress of a submission has been stored.
func (s *Shard) ProgressSaved(now time.Duration, id submission.ID, revision uint64) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.revision = revision
	j.saving = false
	j.changeAttempts(attemptSaving, attemptStored)
	s.placementDue = true
	for _, h := range s.workers {
		for i := range h.unackedEnds {
			if h.unackedEnds[i].job == j && h.unackedEnds[i].saving {
				h.unackedEnds[i].saved = true
			}
		}
	}
	s.acknowledge()
	if j.state.Final() {
		s.endSubmission(now, j, j.state, j.endReason) // storing its final state had to wait for the new revision
	}
}

// writeRetryInterval is the time until a write that could not be queued is tried again.
const writeRetryInterval = 300 * time.Millisecond

// WriteNotQueued handles a write of a submission's progress or final state that was not queued, as too many others
// wait for the store. It is tried again later.
func (s *Shard) WriteNotQueued(now time.Duration, id submission.ID) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.writeRetryAt = now + writeRetryInterval
	j.changeAttempts(attemptSaving, attemptWanted)
	j.saving = false
	if j.unsavedSince == 0 {
		j.unsavedSince = now
	}
}

// retryWrite repeats a write that was not queued.
func (s *Shard) retryWrite(now time.Duration, j *job) {
	if j.writeRetryAt == 0 || now < j.writeRetryAt {
		return
	}
	j.writeRetryAt = 0
	if j.state.Final() && !j.endStored {
		s.endSubmission(now, j, j.state, j.endReason)
	}
}

// RecordConflict handles a write that the store refused because the record has changed in the
// store: the submission was cancelled, or ended by another holder.
func (s *Shard) RecordConflict(now time.Duration, id submission.ID) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	s.stopAllRuns(j, "its record has changed")
	if !j.endStored && j.state.Final() {
		j.state = submission.Running // the end that was decided here is not the stored one
	}
	s.settle(now, j)
	if !j.state.Final() {
		delete(s.recentlyEnded, id) // its state is not known here, only in the store
	}
}

// acknowledge acknowledges the ended runs whose effect is stored, in the order of their numbers.
func (s *Shard) acknowledge() {
	if !s.recordsLoaded {
		return
	}
	for _, id := range s.workerIDs {
		h := s.workers[id]
		acked := h.ackedEndSeq
		for len(h.unackedEnds) > 0 && h.unackedEnds[0].canBeAcked() {
			acked = h.unackedEnds[0].seq
			h.unackedEnds = h.unackedEnds[1:]
		}
		if acked != h.ackedEndSeq {
			h.ackedEndSeq = acked
			s.actions.Acks = append(s.actions.Acks, AckAction{Worker: id, UpTo: acked})
		}
	}
}

// endSubmission gives a submission a final state, stops its runs and has the state stored.
func (s *Shard) endSubmission(now time.Duration, j *job, state submission.State, reason string) {
	changed := j.state != state
	if changed {
		j.state = state
		j.endReason = reason
		s.stopAllRuns(j, reason)
	}
	if j.rec.Transient {
		s.settle(now, j)
		if changed {
			s.reportState(j)
		}
		return
	}
	if j.saving {
		return // its record is being written: ProgressSaved stores the final state at the new revision
	}
	s.actions.Finals = append(s.actions.Finals, FinalAction{ID: j.rec.ID, Revision: j.revision, State: state, Reason: reason})
}

// stopAllRuns stops all runs of a submission for good.
func (s *Shard) stopAllRuns(j *job, reason string) {
	for _, t := range j.tasks {
		switch t.state {
		case taskStarting, taskRunning, taskUnconfirmed:
			s.orderStop(t, reason)
			t.state = taskStoppingForGood
			t.stopAckClock = 0
		case taskStoppingToRestart:
			t.state = taskStoppingForGood
		case taskWaiting, taskUnlocated:
			t.state = taskEnded
		}
	}
}

func (s *Shard) orderStop(t *task, reason string) {
	s.actions.Stops = append(s.actions.Stops, StopAction{
		Worker: t.host.info,
		Task:   t.ref,
		Run:    t.newestRun,
		Reason: reason,
	})
}

func (s *Shard) reportState(j *job) {
	s.actions.States = append(s.actions.States, j.report())
}

// finish ends a submission that has no unfinished task left in this shard.
func (s *Shard) finish(now time.Duration, j *job) {
	if len(j.returned) > 0 {
		s.endSubmission(now, j, submission.Returned, "what was left of it was given back")
		return
	}
	s.endSubmission(now, j, submission.Done, "all tasks have completed")
}

// Unfinished returns the IDs of the submissions that have not ended, sorted.
func (s *Shard) Unfinished() []submission.ID {
	var out []submission.ID
	for id, j := range s.jobs {
		if !j.state.Final() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasStored reports whether any submission here is a stored one.
func (s *Shard) HasStored() bool {
	for _, j := range s.jobs {
		if !j.rec.Transient {
			return true
		}
	}
	return false
}

// Size returns the number of submissions that have not ended, whose end is not stored yet, or whose
// runs are still being stopped.
func (s *Shard) Size() int { return len(s.jobs) }
