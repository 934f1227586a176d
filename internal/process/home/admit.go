package home

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/admission"
)

// load is what this home's open submissions ask for, per client account.
type load struct {
	accounts map[string]*accountLoad
	// meanRun is the mean expected run time of a task, over recent submissions.
	meanRun float64 // seconds
}

type accountLoad struct {
	tasks  int
	work   time.Duration // expected slot-time
	weight uint32
	quota  uint32
}

func newLoad() load { return load{accounts: make(map[string]*accountLoad)} }

// meanWeight is the part of a new submission in the mean run time.
const meanWeight = 0.05

func (l *load) opened(e *entry) {
	a := l.accounts[e.sub.Ticket.Account]
	if a == nil {
		a = &accountLoad{}
		l.accounts[e.sub.Ticket.Account] = a
	}
	a.tasks += e.tasks
	a.work += time.Duration(e.tasks) * e.sub.Expected
	a.weight, a.quota = max(e.sub.Weight, 1), e.sub.QuotaSlots
	l.meanRun += meanWeight * (e.sub.Expected.Seconds() - l.meanRun)
}

func (l *load) closed(e *entry) {
	a := l.accounts[e.sub.Ticket.Account]
	a.tasks -= e.tasks
	a.work -= time.Duration(e.tasks) * e.sub.Expected
	if a.tasks == 0 {
		delete(l.accounts, e.sub.Ticket.Account)
	}
}

// admit decides whether a submission is taken in. A recovery is not refused
// here: something of it may run already.
func (h *Home) admit(s *Submission) *admission.Refusal {
	if s.Recover {
		return nil
	}
	return h.admission.Decide(h.now, admission.Request{
		Account:     s.Ticket.Account,
		Class:       s.Class,
		Tasks:       len(s.Inputs),
		Slots:       s.Each.GetSlots(),
		MemoryBytes: uint64(s.Each.GetMemoryMib()) << 20,
		Milliwatts:  s.Each.GetMilliwatts(),
		Expected:    s.Expected,
		Deadline:    s.Deadline,
		Retry:       !s.First,
	}, h.view())
}

// view is the state that admission decides on. What waits at owners is known
// from their adverts as a count of tasks; their work is taken from the mean run
// time. An account's queue is this home's part of it only.
func (h *Home) view() *admission.View {
	v := &admission.View{Accounts: make(map[string]admission.AccountLoad, len(h.load.accounts))}
	for _, o := range h.owners.all {
		if !o.usable() {
			continue
		}
		v.QueuedTasks += o.queued + o.underway()
		v.DrainRate += float64(o.slots)
		v.Largest.Slots = max(v.Largest.Slots, o.largest.GetSlots())
		v.Largest.MemoryBytes = max(v.Largest.MemoryBytes, uint64(o.largest.GetMemoryMib())<<20)
		v.Largest.Milliwatts = max(v.Largest.Milliwatts, o.largest.GetMilliwatts())
	}
	v.QueuedWork = time.Duration(float64(v.QueuedTasks) * h.load.meanRun * float64(time.Second))
	weights := uint32(0)
	for _, a := range h.load.accounts {
		weights += a.weight
	}
	for name, a := range h.load.accounts {
		v.Accounts[name] = admission.AccountLoad{
			QueuedTasks: a.tasks,
			QueuedWork:  a.work,
			QuotaSlots:  a.quota,
			Share:       float64(a.weight) / float64(weights),
		}
	}
	return v
}
