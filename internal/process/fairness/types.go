package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Class is how pressing a template's work is.
type Class uint8

const (
	// Urgent work has a caller waiting on the line.
	Urgent Class = iota
	// Normal work has a caller waiting, with some patience.
	Normal
	// Bulk work has no caller waiting.
	Bulk
)

// Resource is what accounts share by weight.
type Resource uint8

const (
	// Slots is the default scarce resource.
	Slots Resource = iota
	// Watts is scarce when the power cap binds before the slots do.
	Watts
)

// Reasons for a pick, and for an account that has to wait.
const (
	// ShareDue: the account is furthest behind its weighted share.
	ShareDue reason.Code = "share_due"
	// Passed: short urgent work went first, within its account's due.
	Passed reason.Code = "urgent_within_due"
	// Aged: the job's level was owed service by the shorter jobs above it.
	Aged reason.Code = "aged"
	// JobTail: only the last tasks of the job are left.
	JobTail reason.Code = "job_tail"
	// Starved: the job was parked longer than the patience.
	Starved reason.Code = "starved"
	// ArrivalOrder: the policy is first-in-first-out.
	ArrivalOrder reason.Code = "arrival_order"
	// HeldBack: other work waits while a starved job is being placed.
	HeldBack reason.Code = "held_back"
	// Waiting: the account waits for its turn.
	Waiting reason.Code = "waiting_for_share"
	// Idle: the account has nothing queued.
	Idle reason.Code = "nothing_queued"
)

// Account holds the sharing parameters of one client account.
type Account struct {
	Name string
	// Weight is relative to the siblings under the same parent; 0 counts as 1.
	Weight uint32
	// QuotaSlots bounds the slots in use of the account and those below it, over
	// all entry VMs; 0 is no bound.
	QuotaSlots uint32
	// Parent is the name of the enclosing account, or "" at the top. A parent
	// that is unknown or that forms a cycle counts as "".
	Parent string
}

// Job describes tasks of one submission. All its tasks have the same size.
type Job[K comparable] struct {
	Key      K
	Account  string
	Template string
	Class    Class
	// Slots and Milliwatts are needed by one task; 0 slots counts as 1.
	Slots      uint32
	Milliwatts uint32
	// Expected is the declared run time of one task. It is used until run times
	// of the same template and account have been seen.
	Expected time.Duration
	// JobRemaining counts the unfinished tasks of the whole submission, also
	// those at other entry VMs.
	JobRemaining int
	// Deadline ends the waiting; the zero time is none.
	Deadline time.Time
}

// Pick is the answer of Next: up to Max tasks of the job Key go next.
type Pick[K comparable] struct {
	Key K
	Max int
	Why reason.Code
}

// Usage is what one account uses at all other entry VMs together.
type Usage struct {
	Account    string
	Slots      float64
	Milliwatts float64
}

// Capacity is what the workers held by this entry VM and by those reported
// through SetRemoteUsage offer together.
type Capacity struct {
	Slots      float64
	Milliwatts float64
}

// AccountStatus shows one account's standing, for the operators' status page.
type AccountStatus struct {
	Name   string
	Weight uint32
	// SlotsInUse, QueuedTasks, QueuedJobs and ParkedJobs count this entry VM
	// only; RemoteSlots is what the other entry VMs reported.
	SlotsInUse  int
	RemoteSlots float64
	QueuedTasks int
	QueuedJobs  int
	ParkedJobs  int
	// Service is what the account was given, in share-seconds, and Due what its
	// weight entitled it to while it was active. Service below Due with nothing
	// queued means that the account asked for less.
	Service float64
	Due     float64
	// Why says why the account waits, or Idle.
	Why reason.Code
}
