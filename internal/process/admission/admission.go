package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Class is the urgency of a template's work. Its values match those of package
// fairness.
type Class uint8

const (
	// Urgent work has a caller blocked on the answer; it is refused last.
	Urgent Class = iota
	// Normal work has a caller that waits but tolerates some delay.
	Normal
	// Bulk work has no caller waiting; it is refused first.
	Bulk

	classCount = 3
)

// RetryBudgetSpent refuses a retry beyond the account's retry budget.
const RetryBudgetSpent reason.Code = "retry_budget_spent"

// Request describes a submission to be admitted or refused.
type Request struct {
	Account string
	Class   Class
	Tasks   int
	// Slots, MemoryBytes and Milliwatts are needed by one task.
	Slots       uint32
	MemoryBytes uint64
	Milliwatts  uint32
	// Expected is the estimated run time of one task; 0 if unknown.
	Expected time.Duration
	// Deadline is when the caller has no more use for the answer; zero if there
	// is none.
	Deadline time.Time
	// Retry is set when the caller was refused before or lost the answer.
	Retry bool
}

// Size is the amount of each resource that a worker has or a task needs.
type Size struct {
	Slots       uint32
	MemoryBytes uint64
	Milliwatts  uint32
}

// AccountLoad is the load of one account at this entry VM.
type AccountLoad struct {
	// QueuedTasks counts the waiting tasks; QueuedWork is their expected
	// slot-time (run time multiplied by slots).
	QueuedTasks int
	QueuedWork  time.Duration
	// QuotaSlots bounds the slots in use by the account; 0 is no bound.
	QuotaSlots uint32
	// Share is the account's fraction of the drain rate, from 0 to 1.
	Share float64
}

// View is the snapshot of the load that a decision is based on. Decisions do not
// modify it.
type View struct {
	// Accounts holds the accounts with configured quotas or queued work. A
	// missing account has an empty queue and an equal share.
	Accounts map[string]AccountLoad
	// QueuedTasks and QueuedWork are the sums over all accounts.
	QueuedTasks int
	QueuedWork  time.Duration
	// DrainRate is the slot-time of work that can complete per second, which
	// equals the number of usable slots.
	DrainRate float64
	// Largest holds the greatest amount of each resource on any worker. Slots 0
	// means that no worker is known.
	Largest Size
	// CapMilliwatts is the power cap for tasks; 0 is no cap.
	CapMilliwatts uint64
	// Draining is set when the entry VM is shutting down.
	Draining bool
}

// Refusal says why a submission was refused. None of its tasks has run.
type Refusal struct {
	Reason reason.Code
	Detail string
	// RetryAfter is how long to wait before a retry; 0 means that the same
	// request would be refused again.
	RetryAfter time.Duration
}

// Controller makes admission decisions. See the package comment for the contract.
type Controller struct {
	settings Settings
	random   *rand.Rand
	budgets  map[string]float64 // remaining retries, by account
}

// New returns a controller whose jitter comes from the seed. It panics on
// settings that Validate refuses.
func New(s Settings, seed uint64) *Controller {
	if err := s.Validate(); err != nil {
		panic(err)
	}
	return &Controller{
		settings: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
		budgets:  make(map[string]float64),
	}
}

// Decide returns nil if the request is admitted, otherwise the refusal.
func (c *Controller) Decide(now time.Time, r Request, v *View) *Refusal {
	if refusal := neverRuns(now, r, v); refusal != nil {
		return refusal
	}
	if v.Draining {
		return c.refuse(reason.Draining, 0, "the entry VM is shutting down; another one takes the request")
	}
	if refusal := c.spendBudget(r, v); refusal != nil {
		return refusal
	}
	if refusal := c.boundQueues(r, v); refusal != nil {
		return refusal
	}
	if refusal := c.brownOut(r, v); refusal != nil {
		return refusal
	}
	return c.meetsDeadline(now, r, v)
}

// neverRuns refuses requests that no retry can make acceptable.
func neverRuns(now time.Time, r Request, v *View) *Refusal {
	quota := v.Accounts[r.Account].QuotaSlots
	switch {
	case r.Tasks < 1:
		return &Refusal{Reason: reason.MalformedRequest, Detail: "the submission has no task"}
	case v.Largest.Slots > 0 && r.Slots > v.Largest.Slots:
		return tooLarge("slots", uint64(r.Slots), uint64(v.Largest.Slots))
	case v.Largest.Slots > 0 && r.MemoryBytes > v.Largest.MemoryBytes:
		return tooLarge("bytes of memory", r.MemoryBytes, v.Largest.MemoryBytes)
	case v.Largest.Slots > 0 && r.Milliwatts > v.Largest.Milliwatts:
		return tooLarge("milliwatts", uint64(r.Milliwatts), uint64(v.Largest.Milliwatts))
	case v.CapMilliwatts > 0 && uint64(r.Milliwatts) > v.CapMilliwatts:
		return &Refusal{
			Reason: reason.NeverFits,
			Detail: fmt.Sprintf("a task needs %d milliwatts and the power cap is %d", r.Milliwatts, v.CapMilliwatts),
		}
	case quota > 0 && r.Slots > quota:
		return &Refusal{
			Reason: reason.QuotaExceeded,
			Detail: fmt.Sprintf("a task needs %d slots and the account's quota is %d", r.Slots, quota),
		}
	case !r.Deadline.IsZero() && r.Deadline.Before(now.Add(r.Expected)):
		return &Refusal{
			Reason: reason.DeadlineTooShort,
			Detail: fmt.Sprintf("a task takes about %v and the deadline is in %v", r.Expected, r.Deadline.Sub(now)),
		}
	}
	return nil
}

func tooLarge(resource string, need, largest uint64) *Refusal {
	return &Refusal{
		Reason: reason.NeverFits,
		Detail: fmt.Sprintf("a task needs %d %s and the largest worker has %d", need, resource, largest),
	}
}

// spendBudget limits an account's retries to a fraction of its first attempts.
//
// Without the limit, a client that retries each refusal multiplies the load that
// caused the refusal, and the overload outlasts its cause. The symptom is a share
// of retries among the requests that rises with the queues. Each first attempt
// earns part of a retry, so retries stay a bounded fraction.
func (c *Controller) spendBudget(r Request, v *View) *Refusal {
	left, known := c.budgets[r.Account]
	if !known {
		left = c.settings.RetryBurst
	}
	if !r.Retry {
		c.earn(r.Account, left)
		return nil
	}
	if left < 1 {
		return c.refuse(RetryBudgetSpent, c.wait(v), "the account retries too often")
	}
	c.budgets[r.Account] = left - 1
	return nil
}

// earn credits a first attempt to the account's retry budget. An unknown account
// has a full budget, so full budgets are not stored and the table holds only
// accounts that retry.
func (c *Controller) earn(account string, left float64) {
	left += c.settings.RetryRatio
	if left >= c.settings.RetryBurst {
		delete(c.budgets, account)
		return
	}
	c.budgets[account] = left
}

// boundQueues refuses a request that would make a queue exceed its bound.
func (c *Controller) boundQueues(r Request, v *View) *Refusal {
	account := v.Accounts[r.Account]
	if r.Tasks > c.settings.MaxAccountTasks {
		return &Refusal{
			Reason: reason.TooManyTasks,
			Detail: fmt.Sprintf("the submission has %d tasks and an account may queue %d", r.Tasks, c.settings.MaxAccountTasks),
		}
	}
	if account.QueuedTasks+r.Tasks > c.settings.MaxAccountTasks {
		return c.refuse(reason.QueueFull, c.accountWait(r.Account, v), "the account's queue holds %d tasks", account.QueuedTasks)
	}
	if v.QueuedTasks+r.Tasks > c.settings.MaxQueuedTasks {
		return c.refuse(reason.QueueFull, c.wait(v), "the entry VM's queue holds %d tasks", v.QueuedTasks)
	}
	return nil
}

// brownOut sheds load by refusing the less urgent classes while too much work is
// queued.
//
// An account whose own queue would drain within the limit at its share is not
// refused: it does not cause the overload, and fair queuing will serve it.
func (c *Controller) brownOut(r Request, v *View) *Refusal {
	if v.DrainRate <= 0 {
		return c.refuse(reason.NoWorkers, c.settings.MaxRetryAfter, "no worker takes tasks now")
	}
	limit := c.settings.BrownOut[min(r.Class, Bulk)]
	wait := c.wait(v)
	if wait <= limit || c.accountWait(r.Account, v) <= limit {
		return nil
	}
	return c.refuse(reason.BrownOut, wait-limit, "queued work takes %v and this class is taken up to %v", wait, limit)
}

// meetsDeadline refuses a request that would end after its deadline.
func (c *Controller) meetsDeadline(now time.Time, r Request, v *View) *Refusal {
	if r.Deadline.IsZero() {
		return nil
	}
	end := now.Add(c.expectedTime(r, v)).Add(c.settings.DeadlineMargin)
	if !end.After(r.Deadline) {
		return nil
	}
	late := end.Sub(r.Deadline)
	return c.refuse(reason.DeadlineTooShort, late, "the queued work would end it %v after its deadline", late)
}

// expectedTime estimates how long the request takes when its account is served
// at its share. Urgent work overtakes the account's other work, so the queue does
// not count for it.
func (c *Controller) expectedTime(r Request, v *View) time.Duration {
	work := time.Duration(r.Tasks) * r.Expected * time.Duration(max(r.Slots, 1))
	if r.Class != Urgent {
		work += v.Accounts[r.Account].QueuedWork
	}
	return max(r.Expected, drain(work, c.accountRate(r.Account, v)))
}

// accountRate is the drain rate that an account is entitled to.
func (c *Controller) accountRate(account string, v *View) float64 {
	load, known := v.Accounts[account]
	share := load.Share
	if !known || share <= 0 {
		share = 1 / float64(len(v.Accounts)+1)
	}
	rate := v.DrainRate * share
	if load.QuotaSlots > 0 {
		rate = min(rate, float64(load.QuotaSlots))
	}
	return rate
}

// wait is how long the queued work of all accounts takes.
func (c *Controller) wait(v *View) time.Duration {
	return drain(v.QueuedWork, v.DrainRate)
}

// accountWait is how long the queued work of one account takes at its share.
func (c *Controller) accountWait(account string, v *View) time.Duration {
	return drain(v.Accounts[account].QueuedWork, c.accountRate(account, v))
}

// drain returns the time that work takes at a rate.
func drain(work time.Duration, rate float64) time.Duration {
	if work <= 0 {
		return 0
	}
	took := float64(work) / rate
	if !(took < float64(math.MaxInt64/2)) {
		return math.MaxInt64 / 2
	}
	return time.Duration(took)
}

// refuse returns a refusal with a retry time. The jitter spreads the retries of
// callers that were refused at the same time, which would otherwise all return at
// once.
func (c *Controller) refuse(why reason.Code, after time.Duration, format string, args ...any) *Refusal {
	base := min(max(after, c.settings.MinRetryAfter), c.settings.MaxRetryAfter)
	jitter := time.Duration(c.random.Int64N(int64(base)))
	return &Refusal{
		Reason:     why,
		Detail:     fmt.Sprintf(format, args...),
		RetryAfter: base + jitter,
	}
}
