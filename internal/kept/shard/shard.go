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

	scanned   bool          // the records in the store are known
	barrierAt time.Duration // when the leases that an earlier holder gave are certainly over
	barred    bool          // tasks whose place is unknown may not start
	evacuated bool          // nothing may start in the failure domain
	outdated  bool          // a newer list of workers can be had

	jobs      map[submission.ID]*job
	workers   map[string]*host
	past      map[submission.ID]endedJob    // that ended here lately
	dead      map[string]deadWorker         // workers that another incarnation has replaced, by ID
	leftovers map[string]unlistedStarts     // of workers that are known no more, by ID
	early     map[string]earlyListing       // listings that came before the records
	orphans   map[submission.ID][]orphanEnd // ends of runs of submissions not known yet
	shortAt   time.Duration                 // when runs of transient submissions that nobody lists are over
	pace      map[string]*policy.Pace       // by queue
	losses    []lostWorker                  // lately
	anyLosses bool                          // a worker was lost under a task that is here
	out       Actions
	pruneAt   time.Duration
	sweepAt   time.Duration // when all submissions are looked through next
	dirty     bool          // something may start
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

// deadWorker is the newest incarnation of a worker that another has replaced.
type deadWorker struct {
	born int64 // 0: not known
	at   time.Duration
}

// pastFor is how long ended submissions are remembered. Calls of the store that
// had no answer may be carried out some seconds later.
const pastFor = time.Minute

type earlyListing struct {
	sent    time.Duration
	listing worker.Listing
}

// New returns a shard under a token that its holder has just acquired. Runs that
// an earlier holder has started are over by barrierAt, unless a worker lists them.
func New(now time.Duration, s Settings, token uint64, barrierAt time.Duration) *Shard {
	return &Shard{
		shortAt:   min(now+shortBarrier, barrierAt),
		orphans:   make(map[submission.ID][]orphanEnd),
		settings:  s,
		token:     token,
		barrierAt: barrierAt,
		barred:    true,
		jobs:      make(map[submission.ID]*job),
		workers:   make(map[string]*host),
		early:     make(map[string]earlyListing),
		past:      make(map[submission.ID]endedJob),
		dead:      make(map[string]deadWorker),
		leftovers: make(map[string]unlistedStarts),
		pace:      make(map[string]*policy.Pace),
	}
}

// Token is the fencing token of all orders.
func (s *Shard) Token() uint64 { return s.token }

// Take returns the actions since the last call.
func (s *Shard) TakeActions() Actions {
	out := s.out
	s.out = Actions{}
	return out
}

// Records takes the unfinished submissions of the shard as the store has them.
// Those that are known already stay as they are.
func (s *Shard) AddRecords(now time.Duration, records []StoredRecord) {
	first := !s.scanned
	s.scanned = true
	for _, r := range records {
		if !s.IsKnown(r) {
			s.adopt(now, r)
		}
	}
	if first {
		for _, id := range slices.Sorted(maps.Keys(s.early)) {
			e := s.early[id]
			s.HandleListing(now, id, e.sent, e.listing)
		}
		s.early = nil
	}
	s.dirty = true
}

// adopt takes over a submission that may have runs somewhere.
func (s *Shard) adopt(now time.Duration, r StoredRecord) {
	j := newJob(now, r, s.runBase(r.Record))
	s.add(j)
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.barred {
			t.state = taskUnlocated
		}
	}
	if j.tasksLeft == 0 {
		s.finish(now, j)
		return
	}
	s.tell(j)
}

// Remembers reports whether a stored submission is one that is known here, or that has left this
// shard for good: what was read before it left must not bring it back.
func (s *Shard) IsKnown(r StoredRecord) bool {
	if _, open := s.jobs[r.Record.ID]; open {
		return true
	}
	p, known := s.past[r.Record.ID]
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
	if state, known := s.State(r.Record.ID); known && r.Record.Transient && s.sent(now, r.Record, state) {
		return false
	}
	s.add(newJob(now, r, 0))
	s.dirty = true
	return true
}

// add takes a submission among the open ones.
func (s *Shard) add(j *job) {
	s.jobs[j.rec.ID] = j
	s.anyLosses = s.anyLosses || len(j.rec.Progress.Losses) > 0
}

// Knows returns the state of a submission here.
func (s *Shard) State(id submission.ID) (submission.State, bool) {
	if j, open := s.jobs[id]; open {
		return j.state, true
	}
	p, known := s.past[id]
	return p.state, known
}

// Report returns what its home is told of a submission; known is false if there is none here.
func (s *Shard) Report(id submission.ID) (a StateAction, known bool) {
	if j, open := s.jobs[id]; open {
		return StateAction{ID: id, Home: j.rec.Home, State: j.state, Serial: j.rec.Serial, Returned: j.returned}, true
	}
	p, known := s.past[id]
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
	s.halt(j, "cancelled")
	j.state = submission.Cancelled
	s.settled(now, j)
}

// FinalStored says that the end of a submission is in the store.
func (s *Shard) FinalStored(now time.Duration, id submission.ID) {
	if j, known := s.jobs[id]; known {
		s.settled(now, j)
	}
}

// settled acknowledges a submission's ends, and forgets it once nothing of it takes
// room any more.
func (s *Shard) settled(now time.Duration, j *job) {
	j.endStored = true
	s.past[j.rec.ID] = endedJob{state: j.state, part: extentOf(j.rec), serial: j.rec.Serial, returned: j.returned, at: now}
	s.acknowledge()
	s.reap(j)
	s.dirty = true
}

func (s *Shard) reap(j *job) {
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
		s.end(now, j, j.state, j.endReason) // its end waited for the new revision
	}
}

// Lost says that a record could not be changed as it is no longer what it was:
// the submission was cancelled, or ended by another holder.
func (s *Shard) RecordConflict(now time.Duration, id submission.ID) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	s.halt(j, "its record has changed")
	s.settled(now, j)
	if !j.state.Final() {
		delete(s.past, id) // what became of it stands in the store
	}
}

// acknowledge passes the ends whose effect is in the store.
func (s *Shard) acknowledge() {
	if !s.scanned {
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
			s.out.Acks = append(s.out.Acks, AckAction{Worker: id, UpTo: seen})
		}
	}
}

// end brings a submission to its final state.
func (s *Shard) end(now time.Duration, j *job, state submission.State, why string) {
	if j.state != state {
		j.state = state
		j.endReason = why
		s.halt(j, why)
		s.tell(j)
	}
	if j.rec.Transient {
		s.settled(now, j)
		return
	}
	if j.saving {
		return // its record is being written; the end follows with the new revision
	}
	s.out.Finals = append(s.out.Finals, FinalAction{ID: j.rec.ID, Revision: j.revision, State: state, Reason: why})
}

// halt stops all runs of a submission.
func (s *Shard) halt(j *job, why string) {
	for _, t := range j.tasks {
		switch t.state {
		case taskStarting, taskRunning, taskUnconfirmed:
			s.stop(t, why)
			t.state = taskStoppingForGood
			t.stopAckClock = 0
		case taskStoppingToRestart:
			t.state = taskStoppingForGood
		case taskWaiting, taskUnlocated:
			t.state = taskEnded
		}
	}
}

func (s *Shard) stop(t *task, why string) {
	s.out.Stops = append(s.out.Stops, StopAction{
		Worker: t.host.info,
		Task:   t.ref,
		Run:    t.newestRun,
		Reason: why,
	})
}

func (s *Shard) tell(j *job) {
	s.out.States = append(s.out.States, StateAction{ID: j.rec.ID, Home: j.rec.Home, State: j.state, Serial: j.rec.Serial, Returned: j.returned})
}

// finish ends a submission that has no task left here.
func (s *Shard) finish(now time.Duration, j *job) {
	if len(j.returned) > 0 {
		s.end(now, j, submission.Returned, "what was left of it was given back")
		return
	}
	s.end(now, j, submission.Done, "all tasks have completed")
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
