package job

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Spec is what a submission asks for. It does not change.
type Spec struct {
	ID              ticket.ID
	Account         string
	Template        string
	Inputs          [][]byte
	TicketExpiry    time.Time // of the ticket
	Deadline        time.Time
	Revision        uint64   // configuration revision it was accepted under
	CloseCandidates []string // candidates to close it at, in order of preference
	SettleTimeout   time.Duration
}

// Answer is the one final result.
type Answer struct {
	Outcome    reason.Outcome
	Reason     reason.Code
	Detail     string
	RetryAfter time.Duration
	Outputs    [][]byte // one per task when complete, else nil
	FailedTask uint32   // first task that failed, when one did
	Revision   uint64
	Driver     uint64 // incarnation that drives it instead, when recovered elsewhere
}

// taskState is what the driver knows of one task.
type taskState uint8

const (
	unassigned taskState = iota // never started, free to hand out
	assigned                    // handed out, no news
	sealing                     // its batch is being sealed
	running                     // known to run on a worker, followed there
	completed
	endedWithoutOutput // failed, stopped or unknown
)

type task struct {
	state  taskState
	batch  int32 // index into Job.batches, while assigned or uncertain
	output []byte
}

// batch is a set of tasks handed out together.
type batch struct {
	owner       string
	workers     []string // where its tasks may start
	gen         ticket.Generation
	unresolved  int      // tasks of it that are assigned or uncertain
	pending     []string // workers whose seal is awaited
	unreachable bool     // a worker can not be asked any more
}

// Job is the state of one submission. It is not safe for concurrent use.
type Job struct {
	spec           Spec
	self           uint64 // incarnation of this driver
	gen            ticket.Generation
	requestedSeals map[string]ticket.Generation // highest seal asked, by worker
	tasks          []task
	batches        []batch
	counts         [endedWithoutOutput + 1]int
	started        bool // at least one task is known to have started
	// followed are the workers on which tasks were found running.
	followed       []string
	pendingEnd     *Answer
	settleDeadline time.Time
	closeAttempts  int // candidates tried for closing
	answer         *Answer
	// superseded is the author of a higher generation, 0 while there is none.
	superseded     uint64
	nextUnassigned int // lowest index that may be unassigned
	// returned: a task that was handed out came back since the last raise.
	hasReturnedTask bool
}

// Actions is what the caller has to carry out after an event.
type Actions struct {
	Seal     []Seal
	Follow   []Follow
	Withdraw []string // owners to take back every task that has not started
	Stop     []string // workers on which followed tasks are to be stopped
	Answer   *Answer  // set once
}

// Seal asks a worker to refuse lower generations and report what started.
type Seal struct {
	Worker string
	Gen    ticket.Generation
	Closed reason.Code // not empty: also ends the submission there
}

// Follow waits at a worker for tasks that run there.
type Follow struct {
	Worker  string
	Indexes []uint32
}

// New returns a job at its home: every task may be handed out under the home's
// first generation.
func New(spec Spec, self uint64) *Job {
	return newJob(spec, self, ticket.Generation{Author: self})
}

func newJob(spec Spec, self uint64, gen ticket.Generation) *Job {
	j := &Job{spec: spec, self: self, gen: gen, tasks: make([]task, len(spec.Inputs))}
	j.counts[unassigned] = len(j.tasks)
	return j
}

// Recover returns a job at an entry VM that is not its home, which can not be
// reached. Nothing is handed out before every candidate was sealed: any of them
// may run tasks of it. When incomplete is set the candidates named are not
// known to be all of them, so nothing can be proven not to have started. Its
// generation is above the given one, which must cover every generation that
// this incarnation has used for the submission before.
func Recover(spec Spec, self uint64, candidates []string, incomplete bool, above ticket.Generation) (*Job, Actions) {
	j := newJob(spec, self, ticket.Generation{})
	return j, j.TakeOver(above, candidates, incomplete)
}

// TakeOver puts this driver above another one that does not live any more. Any
// task without an end may have been started by the other, on any candidate, so
// all candidates are sealed before one is handed out again.
func (j *Job) TakeOver(above ticket.Generation, candidates []string, incomplete bool) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	if above.Less(j.gen) {
		above = j.gen
	}
	j.gen = above.Next(j.self)
	j.closeAttempts = 0
	b := int32(len(j.batches))
	j.batches = append(j.batches, batch{workers: candidates, unreachable: incomplete})
	for i := range j.tasks {
		if s := j.tasks[i].state; s == unassigned || s == assigned || s == sealing {
			j.setState(uint32(i), assigned, b)
		}
	}
	j.sealBatch(b, &a)
	return a
}

// Generation is the one that tasks are handed out under.
func (j *Job) Generation() ticket.Generation { return j.gen }

// Answer returns the final answer, nil before there is one.
func (j *Job) Answer() *Answer { return j.answer }

// Unassigned is the number of tasks that may be handed out now.
func (j *Job) Unassigned() int {
	if j.answer != nil || j.pendingEnd != nil {
		return 0
	}
	return j.counts[unassigned]
}

// Remaining is the number of tasks that have not ended.
func (j *Job) Remaining() int {
	return len(j.tasks) - j.counts[completed] - j.counts[endedWithoutOutput]
}

// Superseded is the incarnation that drives the submission instead, or 0.
func (j *Job) Superseded() uint64 { return j.superseded }

// Assign hands out up to limit tasks to an owner, which may start them on the
// given workers only. It returns their indexes. A task that came back goes out
// again under a new generation: late word on its earlier hand-out would
// otherwise pass for word on this one.
func (j *Job) Assign(owner string, workers []string, limit int) []uint32 {
	limit = min(limit, j.Unassigned())
	if limit <= 0 || len(workers) == 0 {
		return nil
	}
	if j.hasReturnedTask {
		j.raiseGeneration()
	}
	b := int32(len(j.batches))
	j.batches = append(j.batches, batch{owner: owner, workers: workers, gen: j.gen})
	out := make([]uint32, 0, limit)
	for ; len(out) < limit; j.nextUnassigned++ {
		if j.tasks[j.nextUnassigned].state != unassigned {
			continue
		}
		j.setState(uint32(j.nextUnassigned), assigned, b)
		out = append(out, uint32(j.nextUnassigned))
	}
	return out
}

// move changes a task's state and keeps the counts.
func (j *Job) setState(index uint32, to taskState, b int32) {
	t := &j.tasks[index]
	if t.state == assigned || t.state == sealing {
		j.batches[t.batch].unresolved--
	}
	j.counts[t.state]--
	t.state = to
	j.counts[to]++
	t.batch = b
	if to == assigned || to == sealing {
		j.batches[b].unresolved++
	}
	if to == unassigned {
		j.nextUnassigned = min(j.nextUnassigned, int(index))
	}
}

// Done takes the output of a task that ran to its end, from whichever driver's
// start. A second one for the same index is dropped: counting it again would
// make a partial answer look complete.
func (j *Job) TaskDone(index uint32, output []byte) Actions {
	var a Actions
	if !j.isOpen(index) {
		return a
	}
	j.started = true
	j.tasks[index].output = output
	j.setState(index, completed, 0)
	j.resolveBatches(&a)
	j.answerIfKnown(&a)
	return a
}

// Failed takes the failure of a task that ran. The job fails with it: a task is
// not started twice, so no other try can make the answer complete.
func (j *Job) TaskFailed(index uint32, code reason.Code, detail string) Actions {
	var a Actions
	if !j.isOpen(index) {
		return a
	}
	j.started = true
	j.setState(index, endedWithoutOutput, 0)
	j.finishWithFailure(&a, Answer{Outcome: reason.Failed, Reason: code, Detail: detail, FailedTask: index})
	return a
}

// open reports whether news of a task can still change anything.
func (j *Job) isOpen(index uint32) bool {
	if j.answer != nil || int(index) >= len(j.tasks) {
		return false
	}
	return j.tasks[index].state < completed
}

// TaskNotStarted takes an owner's word that a task was not started under the given
// generation and never will be. Word on an older hand-out is dropped.
func (j *Job) TaskNotStarted(owner string, gen ticket.Generation, index uint32, code reason.Code, worker string) Actions {
	var a Actions
	if !j.isOpen(index) || !j.isAssigned(owner, gen, index) {
		return a
	}
	t := &j.tasks[index]
	foreign := code == reason.Sealed && !gen.Less(j.requestedSeals[worker])
	if (foreign || code == reason.DuplicateTask) && worker != "" {
		// The worker refused a generation this driver did not seal off, or has
		// a record this driver does not know: another entry VM drives the
		// submission. Handing the task out again would fight it; the worker's
		// answer to a seal under the present generation tells.
		j.sealTask(index, worker, &a)
		return a
	}
	j.setState(index, unassigned, t.batch)
	j.hasReturnedTask = true
	j.answerIfKnown(&a)
	return a
}

// isAssigned reports whether the task is assigned to owner under gen.
func (j *Job) isAssigned(owner string, gen ticket.Generation, index uint32) bool {
	t := &j.tasks[index]
	if t.state != assigned {
		return false
	}
	b := &j.batches[t.batch]
	return b.owner == owner && b.gen == gen
}

// Lost takes an owner's word that starts were sent to a worker and no answer
// can be had from there. The worker is asked again, under a new generation.
func (j *Job) StartsUnanswered(owner string, gen ticket.Generation, indexes []uint32, worker string) Actions {
	var a Actions
	for _, index := range indexes {
		if j.isOpen(index) && j.isAssigned(owner, gen, index) {
			j.sealTask(index, worker, &a)
		}
	}
	return a
}

// raise makes later hand-outs and seals use a new generation.
func (j *Job) raiseGeneration() {
	j.gen = j.gen.Raised()
	j.hasReturnedTask = false
}

// doubt moves one task into a batch that is sealed at one worker, above the
// generation that the task was handed out under: a seal under the same one
// would still let a late start of it through. It joins the batch whose seal was
// asked last, when that is above.
func (j *Job) sealTask(index uint32, worker string, a *Actions) {
	under := j.batches[j.tasks[index].batch].gen
	for b := range j.batches {
		at := &j.batches[b]
		if under.Less(at.gen) && at.gen == j.gen && len(at.pending) == 1 && at.pending[0] == worker && len(at.workers) == 1 {
			j.setState(index, sealing, int32(b))
			return
		}
	}
	j.raiseGeneration()
	j.batches = append(j.batches, batch{workers: []string{worker}, gen: j.gen})
	b := int32(len(j.batches) - 1)
	j.setState(index, sealing, b)
	j.sealBatch(b, a)
}

// OwnerLost takes the news that an owner can not be heard any more. Whatever it
// was given may have been started on any worker that was allowed, so all of
// these are sealed before a task is handed out again.
func (j *Job) OwnerLost(owner string) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	raised := false
	for b := range j.batches {
		at := &j.batches[b]
		if at.owner != owner || at.unresolved == 0 || len(at.pending) > 0 {
			continue
		}
		if !raised {
			j.raiseGeneration()
			raised = true
		}
		at.owner = ""
		j.sealBatch(int32(b), &a)
	}
	return a
}

// fence notes that a worker is asked to refuse generations below the present
// one, so that such a refusal is told from one that another driver asked for.
func (j *Job) recordSeal(worker string) {
	if j.requestedSeals == nil {
		j.requestedSeals = make(map[string]ticket.Generation)
	}
	j.requestedSeals[worker] = j.gen
}

// sealBatch turns a batch uncertain and asks its workers.
func (j *Job) sealBatch(b int32, a *Actions) {
	at := &j.batches[b]
	at.gen = j.gen
	at.pending = slices.Clone(at.workers)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.batch == b && t.state == assigned {
			j.setState(uint32(i), sealing, b)
		}
	}
	for _, w := range at.workers {
		j.recordSeal(w)
		a.Seal = append(a.Seal, Seal{Worker: w, Gen: j.gen})
	}
	if len(at.workers) == 0 {
		j.resolveBatches(a)
		j.answerIfKnown(a)
	}
}
