package pool

import (
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Demand is the number of tasks of a divisible submission that wait at their home VM.
type Demand struct {
	Home   string
	Number uint64      // grows with each demand of the home VM
	Tasks  int         // that wait; 0: the demand is withdrawn
	Queue  string      // of the configuration
	Caller string      // failure domain of the home VM
	Work   policy.Work // of the whole submission; its RemainingWork counts all tasks that have not begun
	Size   Size        // of each task
	Share  float64     // of the demand that counts in the load of this pool, as other pools have it too
}

// Size is what a task needs of its worker.
type Size struct {
	Service       string
	CPUMilli      int64 // in thousandths of a core
	MemMB         int64
	GPU           int64
	RequiredLabel string
	DataRack      string
}

// SizeOf returns what a task of a step needs of a worker of a service.
func SizeOf(service string, step *submission.Step) Size {
	return Size{
		Service:       service,
		CPUMilli:      step.CPUMilli,
		MemMB:         step.MemMB,
		GPU:           step.GPU,
		RequiredLabel: step.RequiredLabel,
		DataRack:      step.DataRack,
	}
}

// Grant offers room for tasks of a demand in a shard. The room is reserved until the reply.
type Grant struct {
	Home   string
	ID     submission.ID
	Shard  string
	Token  uint64 // fencing token of the shard
	Number uint64 // grows with each grant of the pool
	Tasks  int
}

// Reply says how many of the granted tasks the home VM has assigned to the shard.
type Reply struct {
	Home   string
	ID     submission.ID
	Number uint64
	Tasks  int
}
