package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// StartAction orders a run.
type StartAction struct {
	Worker     worker.Info
	Task       submission.TaskRef
	Run        uint64
	Spec       string
	Checkpoint string
	Waited     time.Duration // since the submission came to this holder
	Queue      string
	IsFirst    bool   // of the submission, here
	Origin     Origin // how the worker's entry is known
}

// Origin says how a holder knows what a worker says about itself.
type Origin uint8

// The origins of a worker's entry.
const (
	FromList                Origin = iota // the list of workers
	FromPreviousHolder                    // the shard's earlier holder, whose list was older
	FromPreviousIncarnation               // the worker's earlier incarnation
)

var originNames = [...]string{"list", "earlier holder", "earlier incarnation"}

func (o Origin) String() string { return originNames[o] }

// StopAction ends a run.
type StopAction struct {
	Worker worker.Info
	Task   submission.TaskRef
	Run    uint64
	Reason string
}

// AckAction acknowledges a worker's ends.
type AckAction struct {
	Worker string // its ID
	UpTo   uint64
}

// FinalAction stores the end of a submission.
type FinalAction struct {
	ID       submission.ID
	Revision uint64 // of its record
	State    submission.State
	Reason   string
}

// SaveAction stores the progress of an unfinished submission.
type SaveAction struct {
	Record   *submission.Record
	Revision uint64
}

// StateAction tells the submission's home how far it is.
type StateAction struct {
	ID     submission.ID
	Home   string
	State  submission.State
	Serial uint64 // of the hand-in that the state is of
	// Returned are the tasks of it that this shard has given back so far. All are named each
	// time: a message may get lost.
	Returned []ReturnedTask
}

// ReturnedTask is a task that certainly does not run and that its home is to give to another
// shard.
type ReturnedTask struct {
	Task       submission.Task
	Run        uint64            // number of its newest run; 0: it never started
	FailedRuns int               // runs that have failed
	Losses     []submission.Loss // workers that were lost under it
}

// ReassignAction stores a submission of which nothing runs here under another shard.
type ReassignAction struct {
	Record   *submission.Record
	Revision uint64
}

// OutcomeAction tells the home of a transient submission what has become of a task, so
// that a later holder can go on from there.
type OutcomeAction struct {
	Home       string
	Task       submission.TaskRef
	FailedRuns int // runs that have failed; 0: the task has completed
}

// TaskLossesAction tells the home of a transient submission which workers were lost under a task.
type TaskLossesAction struct {
	Home   string
	Task   submission.TaskRef
	Losses []submission.Loss
}

// WorkerLossAction tells of a worker that was lost with tasks on it.
type WorkerLossAction struct {
	Worker    string
	Tasks     int
	Unrelated bool // other workers were lost at the same moment: it says nothing of the tasks
}

// GivenUpAction tells of a task that starts no more, as the workers that start it are lost.
type GivenUpAction struct {
	Task   submission.TaskRef
	Losses []submission.Loss
}

// Actions are what a Shard wants done, in no order but that within each list.
type Actions struct {
	Starts    []StartAction
	Stops     []StopAction
	Probes    []string // IDs of workers to be asked for a listing at once
	Acks      []AckAction
	Finals    []FinalAction
	Saves     []SaveAction
	Reassigns []ReassignAction
	States    []StateAction
	Outcomes  []OutcomeAction

	WorkerLosses []WorkerLossAction
	TaskLosses   []TaskLossesAction
	GivenUp      []GivenUpAction
}

// Stored is a record with its revision.
type StoredRecord struct {
	Record   *submission.Record
	Revision uint64
}

// Load is what others need to know to send submissions here.
type Load struct {
	Ready            bool
	FreeMilli        []int64        // free processor of each usable worker with room, thousandths of a core
	CapacityMilli    int64          // processor of all usable workers
	Queued           []QueuedWork   // what waits for room, in the order in which it is served
	UnstartedByQueue map[string]int // submissions of each queue of which no task has started
	Services         []string       // that its workers are of, in order
}

// Queued is what waits for room in one band at one priority, but for tasks whose step has
// not begun.
type QueuedWork struct {
	Band      policy.LatenessBand
	Priority  int
	CPUMilli  int64         // processor, thousandths of a core
	DrainTime time.Duration // on all usable workers
}

// Ahead is what is served before a submission of some priority that comes now and can be
// done in time. With all, everything that waits counts.
func (l *Load) QueuedAhead(priority int, all bool) (milli int64, takes time.Duration) {
	for _, q := range l.Queued {
		if all || q.Band == policy.InTime && q.Priority <= priority {
			milli += q.CPUMilli
			takes += q.DrainTime
		}
	}
	return milli, takes
}

// Settings of a shard.
type Settings struct {
	Policy    policy.Settings
	SaveDelay time.Duration // an unfinished submission's ends are stored after this, to be acknowledged
	// EnforcesCapacity reports whether the workers of a service reject what does not fit; nil: all do.
	EnforcesCapacity func(service string) bool
}

func (s *Settings) enforcesCapacity(service string) bool {
	return s.EnforcesCapacity == nil || s.EnforcesCapacity(service)
}

// DefaultSettings are for workers with leases of a second.
func DefaultSettings() Settings {
	return Settings{Policy: policy.Defaults(), SaveDelay: 1500 * time.Millisecond}
}
