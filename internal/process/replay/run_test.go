package replay

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
)

// end is a running task.
type end struct {
	at     time.Duration
	job    int
	worker int
	took   time.Duration
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay is one run of a trace.
type replay struct {
	mix     mix
	trace   []arrival
	policy  fairness.Policy
	admit   bool // ask admission
	queue   *fairness.Queue[int]
	control *admission.Controller
	random  *rand.Rand

	now       time.Duration
	free      []int // slots of each worker
	freeTotal int
	running   ends
	started   []int // tasks of each job
	ended     []int
	work      map[string]time.Duration // queued, by account
	tasks     map[string]int
	busy      map[string]time.Duration // service, by account
	refused   map[string]int           // by template and reason
	// ratios holds response over ideal by "account/template", and by template.
	ratios map[string][]float64
	means  map[string]time.Duration // sum of responses by template
	// waited sums, by template, each task's wait times its run time, in s². The
	// sum over all templates hardly depends on the order of work: what one kind
	// gains, the others lose.
	waited map[string]float64
}

var epoch = time.Unix(1_800_000_000, 0)

func newReplay(m mix, jobs []arrival, s fairness.Settings) *replay {
	r := &replay{
		mix: m, trace: jobs, policy: s.Policy,
		queue:   fairness.New[int](s),
		control: admission.New(admission.Defaults(), 1),
		random:  rand.New(rand.NewPCG(3, 4)),
		started: make([]int, len(jobs)), ended: make([]int, len(jobs)),
		work: map[string]time.Duration{}, tasks: map[string]int{}, busy: map[string]time.Duration{},
		refused: map[string]int{}, ratios: map[string][]float64{}, means: map[string]time.Duration{}, waited: map[string]float64{},
		freeTotal: m.place.slots(),
		free:      slices.Repeat([]int{slotsPerWorker}, m.place.workers),
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
	next, _ := slices.BinarySearchFunc(r.trace, r.now, func(a arrival, at time.Duration) int { return int(a.at - at) })
	for {
		arrives := next < len(r.trace) && (len(r.running) == 0 || r.trace[next].at <= r.running[0].at)
		switch {
		case arrives && r.trace[next].at < until:
			r.now = r.trace[next].at
			r.arrive(next)
			next++
		case !arrives && len(r.running) > 0 && r.running[0].at < until:
			r.finish(heap.Pop(&r.running).(end))
		default:
			r.now = until
			return r
		}
		r.fill()
	}
}

func (r *replay) arrive(i int) {
	a := &r.trace[i]
	s := a.stream
	refusal := r.control.Decide(r.clock(), admission.Request{
		Account: s.account, Class: admission.Class(s.class), Tasks: s.tasks, Slots: 1, Expected: s.declared,
	}, r.view())
	if r.admit && refusal != nil {
		r.refused[s.template+" "+string(refusal.Reason)]++
		return
	}
	r.queue.Push(r.clock(), fairness.Job[int]{
		Key: i, Account: s.account, Template: s.template, Class: s.class, Slots: 1, Expected: s.declared, JobRemaining: s.tasks,
	}, s.tasks)
	r.work[s.account] += s.took * time.Duration(s.tasks)
	r.tasks[s.account] += s.tasks
}

func (r *replay) view() *admission.View {
	v := &admission.View{
		Accounts:  map[string]admission.AccountLoad{},
		DrainRate: float64(r.mix.place.slots()),
		Largest:   admission.Size{Slots: slotsPerWorker},
	}
	for _, a := range r.mix.accounts {
		load := admission.AccountLoad{QueuedTasks: r.tasks[a.Name], QueuedWork: r.work[a.Name]}
		v.Accounts[a.Name] = load
		v.QueuedTasks += load.QueuedTasks
		v.QueuedWork += load.QueuedWork
	}
	return v
}

// fill starts what the queue offers on the free slots.
func (r *replay) fill() {
	for r.freeTotal > 0 {
		pick, found := r.queue.Next(r.clock())
		if !found {
			return
		}
		n := min(pick.Max, r.freeTotal)
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
	r.tasks[a.stream.account]--
	r.waited[a.stream.template] += (r.now - a.at).Seconds() * took.Seconds()
	worker := r.place()
	r.free[worker]--
	r.freeTotal--
	heap.Push(&r.running, end{r.now + took, i, worker, took})
}

func (r *replay) place() int {
	best := r.random.IntN(len(r.free))
	if r.policy == fairness.PolicyFIFO {
		for r.free[best] == 0 {
			best = r.random.IntN(len(r.free))
		}
		return best
	}
	for i, free := range r.free {
		if free > r.free[best] {
			best = i
		}
	}
	return best
}

func (r *replay) finish(e end) {
	r.now = e.at
	r.free[e.worker]++
	r.freeTotal++
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
	ratio := float64(response) / float64(a.longest()+r.mix.roundTrip)
	s := a.stream
	r.ratios[s.template] = append(r.ratios[s.template], ratio)
	r.ratios[s.account+"/"+s.template] = append(r.ratios[s.account+"/"+s.template], ratio)
	r.means[s.template] += response
}

// quantile returns a quantile of the response over ideal.
func (r *replay) quantile(of string, q float64) float64 {
	sorted := slices.Sorted(slices.Values(r.ratios[of]))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// mean returns the mean response of a template.
func (r *replay) mean(template string) time.Duration {
	return r.means[template] / time.Duration(max(1, len(r.ratios[template])))
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
