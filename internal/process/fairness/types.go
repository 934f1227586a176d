package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Class is the urgency of a template's work.
type Class uint8

const (
	// Urgent work has a caller blocked on the answer.
	Urgent Class = iota
	// Normal work has a caller that waits but tolerates some delay.
	Normal
	// Bulk work has no caller waiting.
	Bulk
)

// Resource is the resource that accounts share by weight.
type Resource uint8

const (
	// Slots is the default scarce resource.
	Slots Resource = iota
	// Watts is scarce when the power cap is reached before the slots are used up.
	Watts
)

// Reasons for a pick and for the wait of an account.
const (
	// ShareDue: the account is furthest behind its weighted share.
	ShareDue reason.Code = "share_due"
	// Passed: short urgent work went first, within its account's share.
	Passed reason.Code = "urgent_within_due"
	// Aged: the job's level has not had its guaranteed part (AgeingShare) of the
	// account's service, because of shorter jobs.
	Aged reason.Code = "aged"
	// JobTail: only the last tasks of the job remain.
	JobTail reason.Code = "job_tail"
	// Starved: the job was parked for longer than ParkPatience.
	Starved reason.Code = "starved"
	// ArrivalOrder: the policy is first-in-first-out.
	ArrivalOrder reason.Code = "arrival_order"
	// HeldBack: the work waits until a starved job has been placed.
	HeldBack reason.Code = "held_back"
	// Waiting: the account waits for its turn.
	Waiting reason.Code = "waiting_for_share"
	// Idle: the account has no queued work.
	Idle reason.Code = "nothing_queued"
)

// Account holds the sharing parameters of one client account.
type Account struct {
	Name string
	// Weight is relative to the siblings under the same parent; 0 counts as 1.
	Weight uint32
	// QuotaSlots bounds the slots in use by the account and its descendants over
	// all entry VMs; 0 is no bound.
	QuotaSlots uint32
	// Parent is the name of the parent account, or "" at the top level. An
	// unknown parent, or one that forms a cycle, counts as "".
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
	// of the same template and account have been observed.
	Expected time.Duration
	// JobRemaining counts the unfinished tasks of the whole submission,
	// including those at other entry VMs.
	JobRemaining int
	// Deadline is when queued tasks expire; zero if there is none.
	Deadline time.Time
}

// Pick is the result of Next: up to Max tasks of the job Key should start next.
type Pick[K comparable] struct {
	Key K
	Max int
	Why reason.Code
}

// Usage is the total usage of one account at all other entry VMs.
type Usage struct {
	Account    string
	Slots      float64
	Milliwatts float64
}

// Capacity is the total capacity of the workers held by this entry VM and by the
// entry VMs reported through SetRemoteUsage.
type Capacity struct {
	Slots      float64
	Milliwatts float64
}

// AccountStatus is the state of one account, for the operators' status page.
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
	// Service is the service that the account received, in share-seconds. Due is
	// the service that its weight entitled it to while it was active. Service
	// below Due with nothing queued means that the account requested less.
	Service float64
	Due     float64
	// Why is the reason for which the account waits, or Idle.
	Why reason.Code
}
