package placement

import "github.com/pumiceyard/pumiceyard/internal/request/reason"

// Reasons for tasks that were not placed. Tasks that were refused with
// reason.NeverFits fit no worker even when it is idle; all others can be tried
// again after a worker was freed, joined or changed its tier.
const (
	NoFreeSlot          reason.Code = "no_free_slot"
	ShortOfMilliwatts   reason.Code = "short_of_milliwatts"
	ShortOfMemory       reason.Code = "short_of_memory"
	ShortOfCPU          reason.Code = "short_of_cpu"
	ShortOfAccelerators reason.Code = "short_of_accelerators"
	OneAtATime          reason.Code = "one_task_at_a_time"
	WorkerEjected       reason.Code = "worker_ejected"
)

// Refusal says why the tasks that Place left over were not placed. The zero
// value means that every task was placed.
type Refusal struct {
	Reason reason.Code
	Detail string // one sentence for people
}

// misfit is the verdict of one filter on one worker.
type misfit uint8

const (
	noMisfit misfit = iota
	shortOfSlots
	shortOfWatts
	shortOfMemory
	shortOfCPU
	shortOfAccelerators
	busyOnTrial
	ejected
	misfits // number of verdicts
)

var refusals = [misfits]Refusal{
	noMisfit:            {},
	shortOfSlots:        {NoFreeSlot, "every worker that may run the task has too few slots free"},
	shortOfWatts:        {ShortOfMilliwatts, "the workers with free slots have too few milliwatts left of their allotment"},
	shortOfMemory:       {ShortOfMemory, "the workers with free slots have too little memory free"},
	shortOfCPU:          {ShortOfCPU, "the workers with free slots have too little processor time free"},
	shortOfAccelerators: {ShortOfAccelerators, "the workers with free slots have too few accelerators free"},
	busyOnTrial:         {OneAtATime, "the workers left are on probation or suspect and busy with one task"},
	ejected:             {WorkerEjected, "the workers that may run the task are ejected"},
}

var (
	refusalNoWorkers  = Refusal{reason.NoWorkers, "this entry VM holds no worker that may run the task"}
	refusalNeverFits  = Refusal{reason.NeverFits, "no worker is large enough for the task, even when idle"}
	refusalNotAllowed = Refusal{reason.NotAllowedHere, "none of the workers named for the task is held here"}
)

// tally counts verdicts during one call.
type tally [misfits]uint32

// refusal returns the verdict that was given most often.
func (t *tally) refusal() Refusal {
	most := shortOfSlots
	for verdict := shortOfSlots; verdict < misfits; verdict++ {
		if t[verdict] > t[most] {
			most = verdict
		}
	}
	return refusals[most]
}
