package health

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// traffic is what a simulated entry VM is given: one failure domain of 50
// workers with 8 slots, jobs of 4 tasks at random times, exponential run times.
type traffic struct {
	seed        uint64
	jobs        float64 // a second
	length      time.Duration
	run         time.Duration // mean, of a task on a good worker
	failRate    float64       // of the good templates
	bad         int           // workers that fail everything they start, after 5 ms
	badFrom     time.Duration
	badTemplate time.Duration // from when one template in four always fails; 0: never
	eject       bool          // apply the changes of tier
}

const (
	simWorkers   = 50
	simTasks     = 4
	simTemplates = 4
	failAfter    = 5 * time.Millisecond
)

// tally is what came of it.
type tally struct {
	failedBefore []int // jobs failed by each bad worker before its first ejection
	failedByBad  int   // jobs failed by bad workers in all
	ejections    map[string]int
	held         int
	slow         int
	waiting      int // tasks that never found a slot
}

type event struct {
	at     time.Duration
	worker string // "": a job arrives
	job    int
	name   string
	run    time.Duration
	failed bool
	bad    bool // by the worker's fault
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	traffic
	rng     *rand.Rand
	placer  *placement.Placer
	table   *Table
	events  events
	queue   []event // tasks without a slot: job and template
	failed  map[string]map[int]bool
	ejected map[string]bool
	tally   tally
}

// seeds is how many runs each simulation makes; measurements use more.
var seeds = flag.Uint64("seeds", 2, "runs of each simulation")

var epoch = time.Unix(0, 0)

func (s *simulation) isBad(worker string) bool {
	var n int
	fmt.Sscanf(worker, "w%d", &n)
	return n < s.bad
}

func simulate(tr traffic) tally {
	s := &simulation{traffic: tr, rng: rand.New(rand.NewPCG(tr.seed, 0)), placer: placement.New(placement.Defaults()),
		table: New(Defaults()), failed: map[string]map[int]bool{}, ejected: map[string]bool{}}
	s.tally.ejections = map[string]int{}
	for i := range simWorkers {
		id := fmt.Sprintf("w%d", i)
		s.failed[id] = map[int]bool{}
		s.placer.SetWorker(placement.Worker{ID: id, Rack: fmt.Sprint(i / 8), Capacity: placement.Resources{Slots: 8}})
		s.apply(s.table.Joined(epoch, id, "domain"))
	}
	s.events = events{{}}
	for second := time.Duration(0); len(s.events) > 0; {
		e := heap.Pop(&s.events).(event)
		for ; second < e.at; second += time.Second {
			s.apply(s.table.Tick(epoch.Add(second)))
		}
		if e.worker == "" {
			s.arrive(e)
		} else {
			s.end(e)
		}
		s.place(e.at)
	}
	for i := range tr.bad {
		id := fmt.Sprintf("w%d", i)
		s.tally.failedByBad += len(s.failed[id])
		if !s.ejected[id] {
			s.tally.failedBefore = append(s.tally.failedBefore, len(s.failed[id]))
		}
	}
	s.tally.waiting = len(s.queue)
	return s.tally
}

func (s *simulation) arrive(e event) {
	name := fmt.Sprint("t", s.rng.IntN(simTemplates))
	for range simTasks {
		s.queue = append(s.queue, event{job: e.job, name: name})
	}
	next := e.at + time.Duration(s.rng.ExpFloat64()/s.jobs*float64(time.Second))
	if next < s.length {
		heap.Push(&s.events, event{at: next, job: e.job + 1})
	}
}

func (s *simulation) place(now time.Duration) {
	for len(s.queue) > 0 {
		count := 1
		for count < len(s.queue) && s.queue[count].job == s.queue[0].job {
			count++
		}
		out, refusal := s.placer.Place(placement.Request{Count: count, Each: placement.Resources{Slots: 1}}, nil)
		for _, a := range out {
			for range a.Count {
				s.start(now, a.Worker, s.queue[0])
				s.queue = s.queue[1:]
			}
		}
		if refusal.Reason != "" {
			return
		}
	}
}

func (s *simulation) start(now time.Duration, worker string, task event) {
	run := time.Duration(s.rng.ExpFloat64() * float64(s.run))
	failed := s.rng.Float64() < s.failRate
	if s.badTemplate > 0 && now >= s.badTemplate && task.name == "t0" {
		failed = true
	}
	bad := s.isBad(worker) && now >= s.badFrom
	if bad {
		run, failed = failAfter, true
	}
	s.table.Started(epoch.Add(now), worker, task.name, s.run)
	heap.Push(&s.events, event{now + run, worker, task.job, task.name, run, failed, bad})
}

func (s *simulation) end(e event) {
	outcome := OK
	if e.failed {
		outcome = Failed
	}
	if e.bad {
		s.failed[e.worker][e.job] = true
	}
	s.placer.Free(e.worker, placement.Resources{Slots: 1}, 1)
	s.apply(s.table.Ended(epoch.Add(e.at), e.worker, e.name, outcome, e.run, s.run))
}

func (s *simulation) apply(changes []Change) {
	for _, c := range changes {
		if s.eject {
			s.placer.SetTier(c.Worker, c.To)
		}
		switch c.Reason {
		case AwaitingEvidence:
			s.tally.held++
		case SlowerThanOthers:
			s.tally.slow++
		}
		if c.Reason != FailsAcross {
			continue
		}
		s.tally.ejections[c.Worker]++
		if s.isBad(c.Worker) && !s.ejected[c.Worker] {
			s.tally.failedBefore = append(s.tally.failedBefore, len(s.failed[c.Worker]))
		}
		s.ejected[c.Worker] = true
	}
}

// ordinary is the stated traffic: 400 jobs of 4 tasks a second, 60% of the
// slots, 0.5% of tasks fail on good workers.
func ordinary(seed uint64) traffic {
	return traffic{seed: seed, jobs: 400, length: 30 * time.Second, run: 150 * time.Millisecond, failRate: 0.005, eject: true}
}

func (c tally) wronglyEjected(tr traffic) int {
	wrong := 0
	for id, n := range c.ejections {
		if !(&simulation{traffic: tr}).isBad(id) {
			wrong += n
		}
	}
	return wrong
}

// judged logs the figures of a run, for docs/measurements/placement.md.
func judged(t *testing.T, name string, tr traffic) tally {
	t.Helper()
	got := simulate(tr)
	t.Logf("%s, seed %d: failed before ejection %v, in all %d, ejections %d, wrong %d, held %d, slow %d, waiting %d", name,
		tr.seed, got.failedBefore, got.failedByBad, len(got.ejections), got.wronglyEjected(tr), got.held, got.slow, got.waiting)
	return got
}

func TestWorkerThatFailsEverythingCostsThreeJobs(t *testing.T) {
	// Symptom: the share of failed jobs is far above one worker's share.
	// Sequence: a worker fails each task within 5 ms, is free again at once,
	// and gets the next.
	// Cause: a free slot says nothing about whether the worker works.
	const most = 3
	for seed := range *seeds {
		for _, from := range []time.Duration{0, 10 * time.Second} {
			tr := ordinary(seed)
			tr.bad, tr.badFrom = 1, from
			got := judged(t, fmt.Sprint("bad from ", from), tr)
			if got.failedBefore[0] > most || got.ejections["w0"] == 0 {
				t.Errorf("%d failed jobs, %d ejections", got.failedBefore[0], got.ejections["w0"])
			}
			if wrong := got.wronglyEjected(tr); wrong > 0 || got.slow > 0 {
				t.Errorf("%d ejections of good workers, %d found slow", wrong, got.slow)
			}
		}
	}
}

func TestBadTemplateEjectsNoWorker(t *testing.T) {
	// Symptom: workers are ejected one after the other until none is left.
	// Sequence: a template begins to fail everywhere, at once or after it
	// worked for a while.
	// Cause: the failures were counted against the workers that ran it.
	for seed := range *seeds {
		for _, from := range []time.Duration{1, 10 * time.Second} {
			tr := ordinary(seed)
			tr.badTemplate = from
			if got := judged(t, fmt.Sprint("bad template from ", from), tr); len(got.ejections) > 0 {
				t.Errorf("ejected %v", got.ejections)
			}
		}
	}
}

// TestSimulatedVariants prints further figures: the baseline, a failing rack,
// a full fleet, and templates that fail often.
func TestSimulatedVariants(t *testing.T) {
	for seed := range *seeds {
		baseline := ordinary(seed)
		baseline.bad, baseline.eject = 1, false
		without := judged(t, "no ejection", baseline).failedByBad
		baseline.eject = true
		if with := judged(t, "ejection", baseline).failedByBad; with*20 > without {
			t.Errorf("%d jobs failed with ejection, %d without", with, without)
		}
		rack := ordinary(seed)
		rack.bad, rack.badFrom = 8, 10*time.Second
		if got := judged(t, "rack of 8", rack); len(got.ejections) != 8 {
			t.Errorf("ejected %v, want the 8 bad ones", got.ejections)
		}
		full := ordinary(seed)
		full.bad, full.badFrom, full.jobs, full.length = 1, 5*time.Second, 700, 20*time.Second
		if got := judged(t, "105% load", full); got.ejections["w0"] == 0 || got.wronglyEjected(full) > 0 {
			t.Errorf("ejected %v, want w0", got.ejections)
		}
		flaky := ordinary(seed)
		flaky.failRate = 0.3
		if got := judged(t, "30% of tasks fail", flaky); len(got.ejections) > 0 {
			t.Errorf("ejected %v", got.ejections)
		}
	}
}
