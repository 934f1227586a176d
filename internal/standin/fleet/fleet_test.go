package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// A holder is paused, and a run ends by itself on a worker that nobody calls. The holder
// resumes and starts the task on another worker, as the lease has expired. If the simulated
// worker recorded the end only at the next call to it, the fleet would report two runs of the
// task at once, although the first had ended a second earlier (fault soak, seed 145).
func TestEndOfARunIsNotedWithoutACallToItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		for _, id := range []string{"w1", "w2"} {
			f.Add(worker.Info{ID: id, Address: id, Domain: "a", CPUMilli: 16000})
		}
		f.SetWork("job", runhost.Work{Time: 400 * time.Millisecond, CPUMilli: 1000})
		workers := f.ClientFrom("a")
		ref := submission.TaskRef{ID: "job"}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		start := func(id string, run uint64) {
			clock := time.Since(f.startedAt)
			r := workers.Start(ctx, worker.Info{ID: id, Address: id, Domain: "a"}, worker.Start{Task: ref, Run: run, Token: 1, Deadline: clock + 900*time.Millisecond})
			if r.Verdict != worker.Accepted {
				t.Fatalf("%s: %s", id, r.Verdict)
			}
		}
		start("w1", 1)
		time.Sleep(1400 * time.Millisecond)
		start("w2", 2)
		if faults := f.Violations(); len(faults) > 0 {
			t.Error(faults)
		}
	})
}

// crashingWorkers returns a fleet of n workers, each of which crashes under a task at the same moment.
func crashingWorkers(t *testing.T, n int) *Fleet {
	f := New()
	f.SetWork("crash", runhost.Work{CPUMilli: 1000, Crashes: true})
	for i := range n {
		info := worker.Info{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("w%d", i), Domain: "a", CPUMilli: 16000}
		f.Add(info)
		r := f.ClientFrom("a").Start(t.Context(), info, worker.Start{Task: submission.TaskRef{ID: "crash", Task: submission.Task{Index: i}}, Run: 1, Token: 1, Deadline: time.Hour})
		if r.Verdict != worker.Accepted {
			t.Fatalf("%s: %s", info.ID, r.Verdict)
		}
	}
	return f
}

// expectRestarts checks how many restarts of crashed workers there were.
func (f *Fleet) expectRestarts(t *testing.T, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarts != want {
		t.Errorf("%d restarts of crashed workers, want %d", f.restarts, want)
	}
}

// Guards against a worker that is replaced while it is up, as a call at the moment of its restart plans another one.
func TestCallsDuringARestartPlanNoOtherOne(t *testing.T) {
	for range 20 {
		synctest.Test(t, restartBesideCalls)
	}
}

// restartBesideCalls lets workers restart while others call the fleet, and checks that each restarts once.
func restartBesideCalls(t *testing.T) {
	const workers, callers = 40, 16
	f := crashingWorkers(t, workers)
	f.Running("crash")
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			time.Sleep(crashDowntime)
			for range 200 {
				f.Running("crash")
			}
		})
	}
	calls.Wait()
	time.Sleep(2 * crashDowntime)
	f.Running("crash")
	f.expectRestarts(t, workers)
}

// Guards against a worker that is replaced while it is up, as a restart was planned before it was restarted by hand.
func TestPlannedRestartLeavesAWorkerThatWasRestartedByHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := crashingWorkers(t, 1)
		f.Running("crash")
		f.RestartWorker("w0", "w0-again")
		time.Sleep(2 * crashDowntime)
		f.expectRestarts(t, 0)
	})
}
