package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
)

// end is a running task.
type end struct {
	at   time.Duration
	job  int
	took time.Duration
}

// replay is one run of a trace.
type replay struct {
	mix     mix
	trace   []arrival
	admit   bool // ask admission
	queue   *fairness.Queue[int]
	control *admission.Controller

	now     time.Duration
	next    int   // arrival
	running []end // the first to end is last
	started []int // tasks of each job
	ended   []int
	work    map[string]time.Duration // queued, by account
	busy    map[string]time.Duration // service, by account
	// ratios holds response over ideal by template and by "account/template".
	ratios map[string][]float64
	sums   map[string]time.Duration // of responses, by template
	// waited sums, by template, each task's wait times its run time, in s². The
	// sum over all templates hardly depends on the order of work: what one kind
	// gains, the others lose.
	waited map[string]float64
}

var epoch = time.Unix(1_800_000_000, 0)

func newReplay(m mix, policy fairness.Policy) *replay {
	settings := fairness.Defaults()
	settings.Policy = policy
	jobs := trace(m)
	r := &replay{
		mix: m, trace: jobs,
		queue:   fairness.New[int](settings),
		control: admission.New(admission.Defaults(), seed),
		started: make([]int, len(jobs)), ended: make([]int, len(jobs)),
		work: map[string]time.Duration{}, busy: map[string]time.Duration{},
		ratios: map[string][]float64{}, sums: map[string]time.Duration{}, waited: map[string]float64{},
	}
	r.queue.SetCapacity(epoch, fairness.Capacity{Slots: float64(m.place.slots())})
	r.queue.SetAccounts(epoch, m.accounts)
	return r
}

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

// drained is later than the end of any trace.
const drained = 100 * time.Hour

// run replays the trace up to a time.
func (r *replay) run(until time.Duration) *replay {
	for {
		ends, arrives := until, until
		if last := len(r.running) - 1; last >= 0 {
			ends = r.running[last].at
		}
		if r.next < len(r.trace) {
			arrives = r.trace[r.next].at
		}
		r.now = min(ends, arrives, until)
		switch {
		case r.now == until:
			return r
		case arrives <= ends:
			r.arrive(r.next)
			r.next++
		default:
			r.finish()
		}
		r.fill()
	}
}

func (r *replay) arrive(i int) {
	s := r.trace[i].stream
	refusal := r.control.Decide(r.clock(), admission.Request{
		Account: s.account, Class: admission.Class(s.class), Tasks: s.tasks, Slots: 1, Expected: s.declared,
	}, r.view())
	if r.admit && refusal != nil {
		return
	}
	r.queue.Push(r.clock(), fairness.Job[int]{
		Key: i, Account: s.account, Template: s.template, Class: s.class, Slots: 1, Expected: s.declared, JobRemaining: s.tasks,
	}, s.tasks)
	r.work[s.account] += s.took * time.Duration(s.tasks)
}

func (r *replay) view() *admission.View {
	v := &admission.View{Accounts: map[string]admission.AccountLoad{}, DrainRate: float64(r.mix.place.slots())}
	for _, a := range r.mix.accounts {
		v.Accounts[a.Name] = admission.AccountLoad{QueuedWork: r.work[a.Name]}
		v.QueuedWork += r.work[a.Name]
	}
	return v
}

// fill starts what the queue offers on the free slots.
func (r *replay) fill() {
	for len(r.running) < r.mix.place.slots() {
		pick, found := r.queue.Next(r.clock())
		if !found {
			return
		}
		n := min(pick.Max, r.mix.place.slots()-len(r.running))
		r.queue.Start(r.clock(), pick.Key, n)
		for range n {
			r.start(pick.Key)
		}
	}
}

func (r *replay) start(i int) {
	a := &r.trace[i]
	took := a.took[r.started[i]]
	r.started[i]++
	r.work[a.stream.account] -= a.stream.took
	r.waited[a.stream.template] += (r.now - a.at).Seconds() * took.Seconds()
	e := end{r.now + took, i, took}
	at, _ := slices.BinarySearchFunc(r.running, e.at, func(other end, at time.Duration) int { return int(at - other.at) })
	r.running = slices.Insert(r.running, at, e)
}

func (r *replay) finish() {
	last := len(r.running) - 1
	e := r.running[last]
	r.running = r.running[:last]
	r.queue.Finish(r.clock(), e.job, 1, e.took, 0)
	a := &r.trace[e.job]
	r.busy[a.stream.account] += e.took
	r.ended[e.job]++
	if r.ended[e.job] == len(a.took) {
		r.record(a)
	}
}

func (r *replay) record(a *arrival) {
	response := r.now - a.at + r.mix.roundTrip
	ratio := float64(response) / float64(slices.Max(a.took)+r.mix.roundTrip)
	s := a.stream
	r.ratios[s.template] = append(r.ratios[s.template], ratio)
	r.ratios[s.name()] = append(r.ratios[s.name()], ratio)
	r.sums[s.template] += response
}

// quantile returns a quantile of the response over ideal.
func (r *replay) quantile(of string, q float64) float64 {
	sorted := slices.Sorted(slices.Values(r.ratios[of]))
	return sorted[int(q*float64(len(sorted)))]
}

// waitedAll sums the waits of all templates.
func (r *replay) waitedAll() float64 {
	total := 0.0
	for _, template := range slices.Sorted(maps.Keys(r.waited)) {
		total += r.waited[template]
	}
	return total
}

// service returns an account's slot-time up to now, running tasks included.
func (r *replay) service(account string) time.Duration {
	total := r.busy[account]
	for _, e := range r.running {
		if r.trace[e.job].stream.account == account {
			total += e.took - (e.at - r.now)
		}
	}
	return total
}
