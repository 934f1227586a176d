package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// StartAction orders a worker to start a run of a task.
type StartAction struct {
	Worker     worker.Info
	Task       submission.TaskRef
	Run        uint64
	Spec       string
	Checkpoint string
	Waited     time.Duration // since its home VM received the submission, or this holder if it is stored
	Queue      string
	IsFirst    bool   // the first start of the submission by this holder
	Serial     uint64 // of the submission attempt; 0: the submission is stored
	Home       string
	Origin     Origin // where the worker's entry comes from
}

// Origin says where a holder's entry for a worker comes from.
type Origin uint8

// The origins of a worker's entry.
const (
	FromList                Origin = iota // the list of workers in the store
	FromPreviousHolder                    // the shard's previous holder, whose list may be out of date
	FromPreviousIncarnation               // the entry of the worker's previous incarnation
)

var originNames = [...]string{"list", "earlier holder", "earlier incarnation"}

func (o Origin) String() string { return originNames[o] }

// StopAction orders a worker to stop a run.
type StopAction struct {
	Worker worker.Info
	Task   submission.TaskRef
	Run    uint64
	Reason string
}

// AckAction acknowledges the ended runs that a worker has listed.
type AckAction struct {
	Worker string // its ID
	UpTo   uint64 // number of the last end that is acknowledged
}

// FinalAction stores the final state of a submission.
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

// StateAction reports the state of a submission to its home VM.
type StateAction struct {
	ID     submission.ID
	Home   string
	State  submission.State
	Serial uint64 // of the submission attempt that the state belongs to
	// Returned are all tasks of the submission that this shard has returned so far. Each report
	// repeats them, as an earlier one may have been lost.
	Returned []ReturnedTask
	Tasks    int // number of tasks of the part as this shard has it, without the returned ones
}

// ReturnedTask is a task that certainly does not run and that its home VM has to give to another
// shard.
type ReturnedTask struct {
	Task       submission.Task
	Run        uint64            // number of its newest run; 0: it never started
	Failures   int               // number of runs that have failed
	FailedRuns []uint64          // their numbers, as far as they are known
	Losses     []submission.Loss // workers that were lost while they ran it
}

// ReassignAction stores a submission under another shard. None of its tasks runs in this one.
type ReassignAction struct {
	Record   *submission.Record
	Revision uint64
	Stranded []int // steps whose tasks no worker here can run; empty: the domain is evacuated
}

// OutcomeAction reports the outcome of a task's runs to the home VM of a transient submission, from
// which a later holder of the shard learns it.
type OutcomeAction struct {
	Home       string
	Task       submission.TaskRef
	Failures   int      // number of runs that have failed; 0: the task has completed
	FailedRuns []uint64 // their numbers, as far as they are known
}

// TaskLossesAction reports to the home VM of a transient submission which workers were lost while
// they ran a task.
type TaskLossesAction struct {
	Home   string
	Task   submission.TaskRef
	Losses []submission.Loss
}

// WorkerLossAction reports a worker that was lost while it had tasks.
type WorkerLossAction struct {
	Worker    string
	Tasks     int
	Unrelated bool // workers with other submissions were lost at the same time: no evidence against the tasks
}

// ConfirmAction asks the home VM of a transient submission whether it still waits for it.
type ConfirmAction struct {
	Home   string
	ID     submission.ID
	Serial uint64
}

// UnconfirmedAction reports a transient submission that ends as its home VM has not confirmed it.
type UnconfirmedAction struct {
	Home   string
	ID     submission.ID
	Serial uint64
	Age    time.Duration // since the newest question was sent that was answered with yes
}

// GivenUpAction reports a task that is not started again because workers are lost while they run it.
type GivenUpAction struct {
	Task   submission.TaskRef
	Losses []submission.Loss
}

// Actions are what the holder has to do for a Shard. Only the order within each list matters.
type Actions struct {
	Starts    []StartAction
	Stops     []StopAction
	Probes    []string // IDs of workers to ask for a listing at once
	Acks      []AckAction
	Finals    []FinalAction
	Saves     []SaveAction
	Reassigns []ReassignAction
	States    []StateAction
	Outcomes  []OutcomeAction
	Confirms  []ConfirmAction

	Unconfirmed  []UnconfirmedAction
	WorkerLosses []WorkerLossAction
	TaskLosses   []TaskLossesAction
	GivenUp      []GivenUpAction
	Releases     []ReleaseAction
	Unexpected   []UnexpectedRunAction

	Speeds     []SpeedAction
	BadReports []BadReport
}

// StoredRecord is a submission's record with its revision in the store.
type StoredRecord struct {
	Record   *submission.Record
	Revision uint64
}

// Load is a shard's capacity and queue, by which other VMs decide whether to send submissions to it.
type Load struct {
	Ready            bool
	FreeMilli        []int64                          // free CPU of each worker that can take a task, in thousandths of a core
	CapacityMilli    int64                            // CPU of all usable workers, in thousandths of a core
	Queued           []QueuedWork                     // tasks that wait for a worker, in the order in which they are served
	Standings        map[policy.Group]policy.Standing // of the groups of these, other than WithinShare
	Arriving         []policy.ArrivalRate
	UnstartedByQueue map[string]int // submissions of each queue of which no run has begun
	Services         []string       // services of its workers, sorted
	SpeedSpread      float64        // ratio of the speeds of its fastest and slowest worker, as far as they are known; not told to other VMs
}

// QueuedWork is the sum of the tasks that wait for a worker in one band at one priority. Tasks whose
// step depends on unfinished ones are not counted.
type QueuedWork struct {
	Band      policy.LatenessBand
	Priority  int
	Standing  policy.Standing // of their groups
	CPUMilli  int64           // in thousandths of a core
	DrainTime time.Duration   // time in which all usable workers together complete it
}

// QueuedAhead sums the queued work that is served before a submission of the given priority that
// arrives now and can still be in time. If all is set, it sums all queued work.
func (l *Load) QueuedAhead(priority int, all bool) (milli int64, drainTime time.Duration) {
	for _, q := range l.Queued {
		if all || q.Band == policy.InTime && q.Priority <= priority {
			milli += q.CPUMilli
			drainTime = timespan.Add(drainTime, q.DrainTime)
		}
	}
	return milli, drainTime
}

// Settings are the settings of a shard.
type Settings struct {
	Policy policy.Settings
	// SaveDelay is how long after a run of an unfinished stored submission has ended its progress is saved.
	// Only then is the end acknowledged to the worker.
	SaveDelay time.Duration
	// EnforcesCapacity reports whether the workers of a service refuse tasks that exceed their free
	// capacity; nil: all do.
	EnforcesCapacity func(service string) bool
	// Shares measures what groups are served, where the policy has floors for them; nil: there are none.
	Shares *policy.Shares
	// DomainOf returns the failure domain of an entry VM; nil: not known.
	DomainOf func(vm string) string
}

func (s *Settings) enforcesCapacity(service string) bool {
	return s.EnforcesCapacity == nil || s.EnforcesCapacity(service)
}

// DefaultSettings suit workers with leases of one second.
func DefaultSettings() Settings {
	return Settings{Policy: policy.Defaults(), SaveDelay: 1500 * time.Millisecond}
}
