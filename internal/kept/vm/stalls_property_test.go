package vm

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

const (
	maxStall      = 2500 * ms
	maxShortStall = 20 * ms
	minSuspension = 800 * ms // of a whole VM
	maxLateness   = 30 * ms  // of calls to workers and of their answers
	maxStartDelay = 600 * ms // of starts without an answer
	stallRunFor   = 15 * time.Second
)

// stallRun is one run of random short work while goroutines and whole VMs stand still, and calls to workers and their
// answers are lost or late. What happens to a call follows from the seed, the time and the call.
type stallRun struct {
	*world
	rand  *rand.Rand
	seed  uint64
	from  time.Time // when faults begin
	until time.Time // and end
	jobs  int

	answers sync.WaitGroup // of the submissions

	mu     sync.Mutex
	stalls map[string]int // by reader of the clock
}

// hasFaults reports whether faults may happen now.
func (r *stallRun) hasFaults() bool { return !time.Now().Before(r.from) && time.Now().Before(r.until) }

// randFor returns the random numbers for something that happens now.
func (r *stallRun) randFor(what ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, time.Since(r.startedAt), what)
	return rand.New(rand.NewPCG(r.seed, h.Sum64()))
}

// stallingVM is a VM that stands still now and then, and its client of the workers.
type stallingVM struct {
	worker.Client
	suspension
	run  *stallRun
	name string
}

// now reads the VM's clock. The goroutine that reads it may stand still before or after.
func (v *stallingVM) now(clock func() time.Duration) time.Duration {
	reader := clockReader(stallableReaders)
	if reader == "" || !v.run.hasFaults() {
		return clock()
	}
	rng := v.run.randFor(v.name, reader)
	oneIn := 100 // readings of which one is accompanied by a stall
	if strings.HasPrefix(reader, "(*workerSession).start") {
		oneIn = 20
	}
	if rng.IntN(oneIn) > 0 {
		v.wait(rng)
		return clock()
	}
	v.run.mu.Lock()
	v.run.stalls[reader]++
	v.run.mu.Unlock()
	stall := time.Duration(rng.Int64N(int64([]time.Duration{maxShortStall, maxStall}[rng.IntN(2)])))
	if rng.IntN(3) == 0 {
		stall = min(minSuspension+stall, maxStall)
		v.begin(stall)
	}
	if rng.IntN(2) == 0 {
		time.Sleep(stall)
		return clock()
	}
	now := clock()
	time.Sleep(stall)
	return now
}

// call makes a call that may be lost, or its answer lost or late, and returns whether the answer has arrived. The worker's
// clock counts whole milliseconds.
func (v *stallingVM) call(ctx context.Context, to worker.Info, what any, call func() worker.Reply) (worker.Reply, bool) {
	silent := worker.Reply{Verdict: worker.NoAnswer}
	fault, rng := 0, v.run.randFor(v.name, to.ID, what)
	if v.run.hasFaults() {
		fault = rng.IntN(24)
	}
	if fault == 1 {
		<-ctx.Done()
		return silent, false
	}
	if fault == 2 && !pause.For(ctx, time.Duration(1+rng.Int64N(int64(maxLateness)))) {
		return silent, false
	}
	r := call()
	switch r.Clock = r.Clock.Truncate(ms); {
	case fault == 3:
		<-ctx.Done()
	case fault < 8 && fault > 3:
		pause.For(ctx, time.Duration(1+rng.Int64N(int64(maxLateness))))
	}
	if ctx.Err() != nil || v.wait(rng) && rng.IntN(2) == 0 {
		return silent, false
	}
	return r, true
}

func (v *stallingVM) Start(ctx context.Context, to worker.Info, s worker.Start) worker.Reply {
	r, _ := v.call(ctx, to, s.Task, func() worker.Reply { return v.Client.Start(ctx, to, s) })
	return r
}

func (v *stallingVM) Stop(ctx context.Context, to worker.Info, s worker.Stop) worker.Reply {
	r, _ := v.call(ctx, to, s, func() worker.Reply { return v.Client.Stop(ctx, to, s) })
	return r
}

func (v *stallingVM) Hold(ctx context.Context, to worker.Info, o worker.Hold) (worker.Listing, worker.Reply) {
	var l worker.Listing
	r, answered := v.call(ctx, to, o, func() (r worker.Reply) {
		l, r = v.Client.Hold(ctx, to, o)
		return r
	})
	if !answered {
		return worker.Listing{}, r
	}
	l.Clock = l.Clock.Truncate(ms)
	return l, r
}

// newStallRun returns a site of one failure domain whose VMs stand still now and then.
func newStallRun(t *testing.T, seed uint64) *stallRun {
	r := &stallRun{world: newWorld(t, "a"), rand: rand.New(rand.NewPCG(seed, 23)), seed: seed, stalls: make(map[string]int)}
	r.from = time.Now().Add(3 * time.Second)
	r.until = r.from.Add(stallRunFor)
	r.policy.LateBinding, r.policy.LateBindingShards = seed%2 == 0, 0
	r.policy.RepeatOrders = seed/2%2 == 0
	r.fleet.DelayStarts(r.startDelay)
	for i := range 4 {
		r.addDeskWorker(fmt.Sprint("a", i), "a")
	}
	clock := r.clock
	for _, name := range []string{"a1", "a2"} {
		v := &stallingVM{run: r, name: name}
		r.clock = func() time.Duration { return v.now(clock) }
		r.workers = func(c worker.Client) worker.Client {
			v.Client = c
			return v
		}
		r.boot(name)
	}
	time.Sleep(time.Until(r.from))
	return r
}

// startDelay returns how late a start reaches its worker.
func (r *stallRun) startDelay(s worker.Start) time.Duration {
	rng := r.randFor(s.Task, s.Run)
	if !r.hasFaults() || rng.IntN(40) > 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(maxStartDelay)))
}

func (r *stallRun) submitSome() {
	names := slices.Sorted(maps.Keys(r.vms))
	id := submission.ID(fmt.Sprint("s", r.jobs))
	r.jobs++
	work := runhost.Work{Time: 60*ms + time.Duration(r.rand.Int64N(int64(840*ms)))}
	out := r.submit(names[r.rand.IntN(len(names))], id, 1+r.rand.IntN(3), work, r.rand.IntN(3) > 0)
	r.answers.Go(func() { <-out })
}

// Guards against a task that runs twice at once because a goroutine, or a whole VM, stands still between two of its
// steps and takes what happened meanwhile for earlier or later than it was.
func TestRandomStallsRunNoTaskTwice(t *testing.T) {
	playSeeds(t, []uint64{20, 75}, func(t *testing.T, seed uint64) {
		r := newStallRun(t, seed)
		log := watchStarts(r.world)
		for time.Now().Before(r.until) {
			r.submitSome()
			time.Sleep(time.Duration(r.rand.Int64N(int64(300 * ms))))
		}
		r.answers.Wait()
		time.Sleep(time.Second)
		r.end()
		if len(r.stalls) < 2 {
			t.Errorf("only %v stood still", r.stalls)
		}
		for _, violation := range r.fleet.Violations() {
			id, _, _ := strings.Cut(violation, ".")
			for _, s := range log.ofSubmission(submission.ID(id)) {
				t.Logf("%s: task %d began at %v on %s", id, s.task.Index, s.at.Sub(r.startedAt), s.worker)
			}
		}
	})
}
