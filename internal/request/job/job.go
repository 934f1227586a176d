package job

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Spec describes a submission. It does not change.
type Spec struct {
	ID              ticket.ID
	Account         string
	Template        string
	Inputs          [][]byte
	TicketExpiry    time.Time
	Deadline        time.Time
	Revision        uint64        // configuration revision it was accepted under
	CloseCandidates []string      // candidates that may record its end, in order of preference
	SettleTimeout   time.Duration // how long GiveUp may wait for the proof that no task has started
}

// Answer is the final result of a submission.
type Answer struct {
	Outcome    reason.Outcome
	Reason     reason.Code
	Detail     string
	RetryAfter time.Duration
	Outputs    [][]byte // one per task when complete, else nil
	FailedTask uint32   // task that caused the failure, if any
	Revision   uint64
	Driver     uint64 // incarnation of the driver that took over, if any
}

// taskState is what the driver knows about one task.
type taskState uint8

const (
	unassigned taskState = iota // can be assigned: no start of it can take effect
	assigned                    // assigned to an owner, no report yet
	sealing                     // the workers of its batch are being sealed
	running                     // known to run on a worker, whose result is awaited
	completed
	endedWithoutOutput // failed, stopped or unknown
)

type task struct {
	state  taskState
	batch  int32 // index into Job.batches, while assigned or sealing
	output []byte
}

// batch is a set of tasks that were assigned, or are being sealed, together.
type batch struct {
	owner       string
	workers     []string // where its tasks may start
	gen         ticket.Generation
	unresolved  int      // number of its tasks that are assigned or sealing
	pending     []string // workers whose reply to a seal is awaited
	unreachable bool     // one of its workers cannot be asked any more
}

// Job is the state of one submission. It is not safe for concurrent use.
type Job struct {
	spec           Spec
	self           uint64 // incarnation of this driver
	gen            ticket.Generation
	requestedSeals map[string]ticket.Generation // highest generation that a worker was asked to seal, by worker
	tasks          []task
	batches        []batch
	counts         [endedWithoutOutput + 1]int
	started        bool   // at least one task is known to have started
	startedOn      string // worker of such a task; "": not known
	// followed are the workers that reported running tasks when they were sealed.
	followed       []string
	stopsSent      int     // number of followed workers that were told to stop the tasks
	tookOver       bool    // another driver may still be alive, under a lower generation
	pendingEnd     *Answer // set by GiveUp: the answer that is planned, nil before
	settleDeadline time.Time
	closeAttempts  int // number of candidates asked to record the end
	answer         *Answer
	// superseded is the author of a higher generation, 0 while there is none.
	superseded     uint64
	nextUnassigned int // lowest index that may be unassigned
	// hasReturnedTask is set if an owner returned a task since the generation
	// was last raised.
	hasReturnedTask bool
}

// Actions are what the caller has to do after an event.
type Actions struct {
	Seal     []Seal
	Follow   []Follow
	Withdraw []string // owners that have to return every task that has not started
	Stop     []string // workers that have to stop the submission's tasks
	Answer   *Answer  // set in the actions of one event only
}

// Seal asks a worker to refuse starts under lower generations and to report the
// tasks that have started.
type Seal struct {
	Worker string
	Gen    ticket.Generation
	Closed reason.Code // not empty: the worker also records that the submission has ended
}

// Follow asks a worker for the results of tasks that run there.
type Follow struct {
	Worker  string
	Indexes []uint32
}

// New returns a job at its home. All tasks can be assigned at once, under the
// home's first generation.
func New(spec Spec, self uint64) *Job {
	return newJob(spec, self, ticket.Generation{Author: self})
}

func newJob(spec Spec, self uint64, gen ticket.Generation) *Job {
	j := &Job{spec: spec, self: self, gen: gen, tasks: make([]task, len(spec.Inputs))}
	j.counts[unassigned] = len(j.tasks)
	return j
}

// Recover returns a job at an entry VM that is not its home, after the home could
// not be reached. No task is assigned before every candidate has been sealed, since
// any of them may run tasks. If incomplete is set, the list of candidates may lack
// some, so it cannot be proven that a task has not started. The job's generation is
// above the given one, which must be at least as high as every generation that this
// incarnation has used for the submission.
func Recover(spec Spec, self uint64, candidates []string, incomplete bool, above ticket.Generation) (*Job, Actions) {
	j := newJob(spec, self, ticket.Generation{})
	return j, j.TakeOver(above, candidates, incomplete)
}

// TakeOver raises this driver's generation above that of another driver that is
// gone. The other may have started any unfinished task on any candidate, so all
// candidates are sealed before a task is assigned again.
func (j *Job) TakeOver(above ticket.Generation, candidates []string, incomplete bool) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	if above.Less(j.gen) {
		above = j.gen
	}
	j.gen = above.TakeoverBy(j.self)
	j.tookOver = true
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

// Generation returns the generation that tasks are assigned under.
func (j *Job) Generation() ticket.Generation { return j.gen }

// Answer returns the final answer, nil before there is one.
func (j *Job) Answer() *Answer { return j.answer }

// Unassigned returns the number of tasks that can be assigned now.
func (j *Job) Unassigned() int {
	if j.answer != nil || j.pendingEnd != nil {
		return 0
	}
	return j.counts[unassigned]
}

// Remaining returns the number of tasks that have not ended.
func (j *Job) Remaining() int {
	return len(j.tasks) - j.counts[completed] - j.counts[endedWithoutOutput]
}

// Superseded returns the incarnation of the driver that took over, or 0.
func (j *Job) Superseded() uint64 { return j.superseded }

// Assign assigns up to limit tasks to an owner, which may start them on the given
// workers only, and returns their indexes. A returned task is reassigned under a
// new generation: otherwise a late report on its earlier assignment would be taken
// for a report on the new one.
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

// setState changes the state and batch of a task and updates the counts.
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

// TaskDone records the output of a task that completed on a worker, no matter which driver
// started it. A second output for the same index is ignored: counting it again
// would make a partial answer look complete.
func (j *Job) TaskDone(index uint32, worker string, output []byte) Actions {
	var a Actions
	if !j.isOpen(index) {
		return a
	}
	j.recordStart(worker)
	j.tasks[index].output = output
	j.setState(index, completed, 0)
	j.resolveBatches(&a)
	j.answerIfKnown(&a)
	return a
}

// TaskFailed records the failure of a task that ran. The job fails as well: a
// task is not started twice, so the answer cannot become complete.
func (j *Job) TaskFailed(index uint32, code reason.Code, detail string) Actions {
	var a Actions
	if !j.isOpen(index) {
		return a
	}
	j.recordStart("")
	j.setState(index, endedWithoutOutput, 0)
	j.finishWithFailure(&a, Answer{Outcome: reason.Failed, Reason: code, Detail: detail, FailedTask: index})
	return a
}

// recordStart records that a task is known to have started on a worker; "": which is not known.
func (j *Job) recordStart(worker string) {
	j.started = true
	if j.startedOn == "" {
		j.startedOn = worker
	}
}

// isOpen reports whether a report on a task can still change anything.
func (j *Job) isOpen(index uint32) bool {
	if j.answer != nil || int(index) >= len(j.tasks) {
		return false
	}
	return j.tasks[index].state < completed
}

// TaskNotStarted handles an owner's report that a task was not started under the given
// generation and never will be. A report on an older assignment is ignored.
func (j *Job) TaskNotStarted(owner string, gen ticket.Generation, index uint32, code reason.Code, worker string) Actions {
	var a Actions
	if !j.isOpen(index) || !j.isAssigned(owner, gen, index) {
		return a
	}
	t := &j.tasks[index]
	sealedByOther := code == reason.Sealed && !gen.Less(j.requestedSeals[worker])
	if (sealedByOther || code == reason.DuplicateTask) && worker != "" {
		// The worker refused a generation that this driver has not asked it to
		// refuse, or has a record that this driver does not know: another entry VM
		// drives the submission. Reassigning the task would compete with it. The
		// worker's reply to a seal under a new generation tells what started.
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

// StartsUnanswered handles an owner's report that it sent starts to a worker and
// can get no reply. The worker is sealed under a new generation.
func (j *Job) StartsUnanswered(owner string, gen ticket.Generation, indexes []uint32, worker string) Actions {
	var a Actions
	for _, index := range indexes {
		if j.isOpen(index) && j.isAssigned(owner, gen, index) {
			j.sealTask(index, worker, &a)
		}
	}
	return a
}

// raiseGeneration makes later assignments and seals use a new generation.
func (j *Job) raiseGeneration() {
	j.gen = j.gen.Raised()
	j.hasReturnedTask = false
}

// sealTask moves a task into a batch that is sealed at one worker, above the
// generation that the task was assigned under: a seal under the same generation
// would still let a late start of the task through. The task joins an existing
// batch if that one awaits a seal of the same worker under the job's current
// generation and this is above the task's.
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

// OwnerLost handles the loss of the connection to an owner. Its tasks may have been
// started on any worker allowed for them, so all of these workers are sealed before
// a task is reassigned.
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

// recordSeal records that this driver asks a worker to refuse generations below the
// current one, to distinguish such refusals from those caused by another driver.
func (j *Job) recordSeal(worker string) {
	if j.requestedSeals == nil {
		j.requestedSeals = make(map[string]ticket.Generation)
	}
	j.requestedSeals[worker] = j.gen
}

// sealBatch seals the workers of a batch to find out which of its tasks started.
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
