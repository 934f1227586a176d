package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Class is how pressing a template's work is. Its values match those of package
// fairness.
type Class uint8

const (
	// Urgent work has a caller waiting on the line; it is refused last.
	Urgent Class = iota
	// Normal work has a caller waiting, with some patience.
	Normal
	// Bulk work has no caller waiting; it is refused first.
	Bulk

	classCount = 3
)

// RetryBudgetSpent: the account retries more than its budget allows.
const RetryBudgetSpent reason.Code = "retry_budget_spent"

// Request is a submission that asks to be taken in.
type Request struct {
	Account string
	Class   Class
	Tasks   int
	// Slots, MemoryBytes and Milliwatts are needed by one task.
	Slots       uint32
	MemoryBytes uint64
	Milliwatts  uint32
	// Expected is the estimated run time of one task; 0 is not known.
	Expected time.Duration
	// Deadline is when the answer loses its worth; the zero time is never.
	Deadline time.Time
	// Retry says that the caller was refused before or lost the answer.
	Retry bool
}

// Size is what one worker, or one task, has or needs.
type Size struct {
	Slots       uint32
	MemoryBytes uint64
	Milliwatts  uint32
}

// AccountLoad is one account's standing at this entry VM.
type AccountLoad struct {
	// QueuedTasks are waiting, and QueuedWork is their expected slot-time.
	QueuedTasks int
	QueuedWork  time.Duration
	// QuotaSlots is the account's bound on slots in use; 0 is none.
	QuotaSlots uint32
	// Share is the part of the drain rate due to the account, from 0 to 1.
	Share float64
}

// View is the state that a decision is made on. It is a snapshot; a decision
// changes nothing in it.
type View struct {
	// Accounts holds those with configured quotas or queued work. One that is
	// missing has an empty queue and an equal share.
	Accounts map[string]AccountLoad
	// QueuedTasks and QueuedWork are the sums over all accounts.
	QueuedTasks int
	QueuedWork  time.Duration
	// DrainRate is slot-time of work ended per second, thus the number of slots
	// that are kept busy or could be.
	DrainRate float64
	// Largest holds the greatest amount of each resource on any worker. A zero
	// Slots means that no worker is known.
	Largest Size
	// CapMilliwatts is the power cap for tasks; 0 is none.
	CapMilliwatts uint64
	// Draining says that the entry VM is shutting down.
	Draining bool
}

// Refusal says why a submission was not taken in. Nothing of it has run.
type Refusal struct {
	Reason reason.Code
	Detail string
	// RetryAfter is when a retry makes sense; 0 means that the same request will
	// be refused again.
	RetryAfter time.Duration
}

// Controller makes the decisions. See the package comment for the contract.
type Controller struct {
	settings Settings
	random   *rand.Rand
	budgets  map[string]float64 // retries an account has left
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

// Decide returns nil to take the request in, or the refusal.
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

// neverRuns refuses what no retry can help.
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

// spendBudget refuses retries beyond a part of the account's first attempts.
//
// Without it, a client that retries each refusal multiplies the load that caused
// the refusal, and the overload lasts when its cause is gone; one would see the
// share of retries among the requests rise with the queues. First attempts pay
// for retries, so they stay a bounded part.
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

// earn credits a first attempt. A full budget is what an unknown account has, so
// it is not stored and the table holds only accounts that retry.
func (c *Controller) earn(account string, left float64) {
	left += c.settings.RetryRatio
	if left >= c.settings.RetryBurst {
		delete(c.budgets, account)
		return
	}
	c.budgets[account] = left
}

// boundQueues refuses what would make a queue longer than its bound.
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

// brownOut refuses the less pressing classes while too much work is queued.
//
// An account whose own queue is no longer than its share of the work is spared:
// the overload is not its doing, and the fair order will serve it.
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

// meetsDeadline refuses what would end after its deadline.
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
// at its share. Pressing work passes the account's other work and waits for
// itself only.
func (c *Controller) expectedTime(r Request, v *View) time.Duration {
	work := time.Duration(r.Tasks) * r.Expected * time.Duration(max(r.Slots, 1))
	if r.Class != Urgent {
		work += v.Accounts[r.Account].QueuedWork
	}
	return max(r.Expected, drain(work, c.accountRate(r.Account, v)))
}

// accountRate is the drain rate due to an account.
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

// refuse makes a refusal that a retry can overcome. The jitter spreads the
// retries of callers that were refused together, which would otherwise come
// back together.
func (c *Controller) refuse(why reason.Code, after time.Duration, format string, args ...any) *Refusal {
	base := min(max(after, c.settings.MinRetryAfter), c.settings.MaxRetryAfter)
	jitter := time.Duration(c.random.Int64N(int64(base)))
	return &Refusal{
		Reason:     why,
		Detail:     fmt.Sprintf(format, args...),
		RetryAfter: base + jitter,
	}
}
