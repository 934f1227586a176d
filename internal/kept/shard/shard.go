package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Shard is the state of a shard at its holder.
type Shard struct {
	settings Settings
	token    uint64

	recordsLoaded bool          // the records in the store are known
	barrierUntil  time.Duration // when the leases that an earlier holder gave are certainly over
	barrierUp     bool          // tasks whose place is unknown may not start
	evacuated     bool          // nothing may start in the failure domain
	listOutdated  bool          // a newer list of workers can be had

	jobs                  map[submission.ID]*job
	workers               map[string]*host
	recentlyEnded         map[submission.ID]endedJob   // that ended here lately
	replacedWorkers       map[string]replacedWorker    // workers that another incarnation has replaced, by ID
	leftoverStarts        map[string]unlistedStarts    // of workers that are known no more, by ID
	earlyListings         map[string]earlyListing      // listings that came before the records
	earlyEnds             map[submission.ID][]earlyEnd // ends of runs of submissions not known yet
	transientBarrierUntil time.Duration                // when runs of transient submissions that nobody lists are over
	paceByQueue           map[string]*policy.Pace      // by queue
	recentLosses          []lostWorker                 // lately
	hasLosses             bool                         // a worker was lost under a task that is here
	actions               Actions
	nextPruneAt           time.Duration
	nextSweepAt           time.Duration // when all submissions are looked through next
	placementDue          bool          // something may start
}

// endedJob is what is remembered of a submission that has ended here. A message
// or an answer of the store that left before its end would start it again.
type endedJob struct {
	state              submission.State // Unknown: it was stored under another shard
	part               extent
	serial             uint64
	returned           []ReturnedTask
	reassignedRevision uint64 // revision of the record that names another shard; 0: it ended here
	at                 time.Duration
}

// replacedWorker is the newest incarnation of a worker that another has replaced.
type replacedWorker struct {
	born int64 // 0: not known
	at   time.Duration
}

// endedRetention is how long ended submissions are remembered. Calls of the store that
// had no answer may be carried out some seconds later.
const endedRetention = time.Minute

type earlyListing struct {
	sent    time.Duration
	listing worker.Listing
}

// New returns a shard under a token that its holder has just acquired. Runs that
// an earlier holder has started are over by barrierUntil, unless a worker lists them.
func New(now time.Duration, s Settings, token uint64, barrierAt time.Duration) *Shard {
	return &Shard{
		transientBarrierUntil: min(now+transientBarrier, barrierAt),
		earlyEnds:             make(map[submission.ID][]earlyEnd),
		settings:              s,
		token:                 token,
		barrierUntil:          barrierAt,
		barrierUp:             true,
		jobs:                  make(map[submission.ID]*job),
		workers:               make(map[string]*host),
		earlyListings:         make(map[string]earlyListing),
		recentlyEnded:         make(map[submission.ID]endedJob),
		replacedWorkers:       make(map[string]replacedWorker),
		leftoverStarts:        make(map[string]unlistedStarts),
		paceByQueue:           make(map[string]*policy.Pace),
	}
}

// Token is the fencing token of all orders.
func (s *Shard) Token() uint64 { return s.token }

// Take returns the actions since the last call.
func (s *Shard) TakeActions() Actions {
	out := s.actions
	s.actions = Actions{}
	return out
}

// Records takes the unfinished submissions of the shard as the store has them.
// Those that are known already stay as they are.
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
			s.HandleListing(now, id, e.sent, e.listing)
		}
		s.earlyListings = nil
	}
	s.placementDue = true
}

// adopt takes over a submission that may have runs somewhere.
func (s *Shard) adopt(now time.Duration, r StoredRecord) {
	j := newJob(now, r, s.runBase(r.Record))
	s.add(j)
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

// Remembers reports whether a stored submission is one that is known here, or that has left this
// shard for good: what was read before it left must not bring it back.
func (s *Shard) IsKnown(r StoredRecord) bool {
	if _, open := s.jobs[r.Record.ID]; open {
		return true
	}
	p, known := s.recentlyEnded[r.Record.ID]
	return known && (p.reassignedRevision == 0 || r.Revision <= p.reassignedRevision)
}

// runBase keeps run numbers above those of earlier holders, also of runs that no
// worker lists: a worker refuses a run that is not higher than one that ended there.
func (s *Shard) runBase(r *submission.Record) uint64 {
	if s.token <= r.Token {
		return 0
	}
	return (s.token - r.Token) * runsPerToken
}

// runsPerToken is the most runs of one task under one token that run numbers
// leave room for. Runs that are stopped or lapse are not counted against the
// attempts; 64 of them take longer than any submission waits.
const runsPerToken = 64

// Assign takes a submission of which nothing has run yet. It reports false if the
// submission was known already.
func (s *Shard) Assign(now time.Duration, r StoredRecord) bool {
	if !r.Record.Transient && s.IsKnown(r) {
		return false
	}
	if state, known := s.State(r.Record.ID); known && r.Record.Transient && s.handleRepeated(now, r.Record, state) {
		return false
	}
	s.add(newJob(now, r, 0))
	s.placementDue = true
	return true
}

// add takes a submission among the open ones.
func (s *Shard) add(j *job) {
	s.jobs[j.rec.ID] = j
	s.hasLosses = s.hasLosses || len(j.rec.Progress.Losses) > 0
}

// Knows returns the state of a submission here.
func (s *Shard) State(id submission.ID) (submission.State, bool) {
	if j, open := s.jobs[id]; open {
		return j.state, true
	}
	p, known := s.recentlyEnded[id]
	return p.state, known
}

// Report returns what its home is told of a submission; known is false if there is none here.
func (s *Shard) Report(id submission.ID) (a StateAction, known bool) {
	if j, open := s.jobs[id]; open {
		return StateAction{ID: id, Home: j.rec.Home, State: j.state, Serial: j.rec.Serial, Returned: j.returned}, true
	}
	p, known := s.recentlyEnded[id]
	return StateAction{ID: id, State: p.state, Serial: p.serial, Returned: p.returned}, known
}

// Cancel stops the runs of a submission whose cancellation has been stored.
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

// FinalStored says that the end of a submission is in the store.
func (s *Shard) FinalStored(now time.Duration, id submission.ID) {
	if j, known := s.jobs[id]; known {
		s.settle(now, j)
	}
}

// settled acknowledges a submission's ends, and forgets it once nothing of it takes
// room any more.
func (s *Shard) settle(now time.Duration, j *job) {
	j.endStored = true
	s.recentlyEnded[j.rec.ID] = endedJob{state: j.state, part: extentOf(j.rec), serial: j.rec.Serial, returned: j.returned, at: now}
	s.acknowledge()
	s.removeIfDone(j)
	s.placementDue = true
}

func (s *Shard) removeIfDone(j *job) {
	if j.endStored && !j.hasRunsOnWorkers() {
		delete(s.jobs, j.rec.ID)
	}
}

// Saved says that the progress of a submission is in the store.
func (s *Shard) ProgressSaved(now time.Duration, id submission.ID, revision uint64) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.revision = revision
	j.saving = false
	for _, h := range s.workers {
		for i := range h.unackedEnds {
			if h.unackedEnds[i].job == j && h.unackedEnds[i].saving {
				h.unackedEnds[i].saved = true
			}
		}
	}
	s.acknowledge()
	if j.state.Final() {
		s.endSubmission(now, j, j.state, j.endReason) // its end waited for the new revision
	}
}

// Lost says that a record could not be changed as it is no longer what it was:
// the submission was cancelled, or ended by another holder.
func (s *Shard) RecordConflict(now time.Duration, id submission.ID) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	s.stopAllRuns(j, "its record has changed")
	s.settle(now, j)
	if !j.state.Final() {
		delete(s.recentlyEnded, id) // what became of it stands in the store
	}
}

// acknowledge passes the ends whose effect is in the store.
func (s *Shard) acknowledge() {
	if !s.recordsLoaded {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[id]
		seen := h.ackedEnd
		for len(h.unackedEnds) > 0 && h.unackedEnds[0].canBeAcked() {
			seen = h.unackedEnds[0].n
			h.unackedEnds = h.unackedEnds[1:]
		}
		if seen != h.ackedEnd {
			h.ackedEnd = seen
			s.actions.Acks = append(s.actions.Acks, AckAction{Worker: id, UpTo: seen})
		}
	}
}

// end brings a submission to its final state.
func (s *Shard) endSubmission(now time.Duration, j *job, state submission.State, why string) {
	if j.state != state {
		j.state = state
		j.endReason = why
		s.stopAllRuns(j, why)
		s.reportState(j)
	}
	if j.rec.Transient {
		s.settle(now, j)
		return
	}
	if j.saving {
		return // its record is being written; the end follows with the new revision
	}
	s.actions.Finals = append(s.actions.Finals, FinalAction{ID: j.rec.ID, Revision: j.revision, State: state, Reason: why})
}

// halt stops all runs of a submission.
func (s *Shard) stopAllRuns(j *job, why string) {
	for _, t := range j.tasks {
		switch t.state {
		case taskStarting, taskRunning, taskUnconfirmed:
			s.orderStop(t, why)
			t.state = taskStoppingForGood
			t.stopAckClock = 0
		case taskStoppingToRestart:
			t.state = taskStoppingForGood
		case taskWaiting, taskUnlocated:
			t.state = taskEnded
		}
	}
}

func (s *Shard) orderStop(t *task, why string) {
	s.actions.Stops = append(s.actions.Stops, StopAction{
		Worker: t.host.info,
		Task:   t.ref,
		Run:    t.newestRun,
		Reason: why,
	})
}

func (s *Shard) reportState(j *job) {
	s.actions.States = append(s.actions.States, StateAction{ID: j.rec.ID, Home: j.rec.Home, State: j.state, Serial: j.rec.Serial, Returned: j.returned})
}

// finish ends a submission that has no task left here.
func (s *Shard) finish(now time.Duration, j *job) {
	if len(j.returned) > 0 {
		s.endSubmission(now, j, submission.Returned, "what was left of it was given back")
		return
	}
	s.endSubmission(now, j, submission.Done, "all tasks have completed")
}

// Unfinished returns the submissions that have not ended, in order.
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

// HasStored reports whether an unfinished submission here is a stored one.
func (s *Shard) HasStored() bool {
	for _, j := range s.jobs {
		if !j.rec.Transient {
			return true
		}
	}
	return false
}

// Size is the number of submissions that are known and not yet settled.
func (s *Shard) Size() int { return len(s.jobs) }
