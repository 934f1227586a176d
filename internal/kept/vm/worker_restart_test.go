package vm

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// testWorldWithIncarnations runs a scenario on a site of one domain whose workers report their start time, so that
// the incarnations under one ID can be told apart.
func testWorldWithIncarnations(t *testing.T, workers int, scenario func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithIncarnations(t, workers)
		scenario(w)
		w.end()
	})
}

func newWorldWithIncarnations(t testing.TB, workers int) *world {
	w := newWorld(t, "a")
	for i := range workers {
		name := fmt.Sprintf("a%d", i)
		w.addWorker(worker.Info{
			ID: "w-" + name, Born: time.Now().UnixMilli(), Service: "desk", Address: "worker-" + name, Domain: "a",
			CPUMilli: 16000, MemMB: 65536,
		})
	}
	w.boot("a1")
	w.boot("a2")
	time.Sleep(3 * time.Second)
	return w
}

// restartWorker ends a worker's incarnation and begins the next one under the same ID. If listed is set, the
// worker updates its entry in the store at once.
func (w *world) restartWorker(name string, listed bool) {
	w.t.Helper()
	info := w.fleet.RestartWorker("worker-"+name, "w-"+name)
	if listed {
		w.putWorkerEntry(info)
	}
}

// Guards against tasks that hang, or whose results are lost, because a worker that restarted under the same ID
// numbers the ends of its runs from the beginning again.
func TestRestartUnderTheSameIDEndsAllRuns(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("entry first %v", listed), func(t *testing.T) {
			testWorldWithIncarnations(t, 1, func(w *world) {
				for i := range 6 {
					w.wantEnd(w.submit("a1", submission.ID(fmt.Sprintf("before%d", i)), 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
				}
				out := w.submit("a1", "during", 2, runhost.Work{Time: 400 * ms}, true)
				time.Sleep(200 * ms)
				w.restartWorker("a0", listed)
				w.wantEnd(out, submission.Done)
				if n := w.fleet.Starts("during"); n != 4 {
					t.Errorf("%d starts of two tasks whose first runs ended with the restart, want 4", n)
				}
				w.wantEnd(w.submit("a2", "after", 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
				if n := w.fleet.Starts("after"); n != 2 {
					t.Errorf("%d starts of two tasks on the new incarnation, want 2", n)
				}
			})
		})
	}
}

// Guards against a restart under the same ID that the holder does not notice during an outage of the store.
func TestRestartUnderTheSameIDWithoutTheStore(t *testing.T) {
	testWorldWithIncarnations(t, 2, func(w *world) {
		w.wantEnd(w.submit("a1", "before", 4, runhost.Work{Time: 50 * ms}, true), submission.Done)
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoReply)
		}
		time.Sleep(time.Second)
		out := w.submit("a1", "during", 4, runhost.Work{Time: 300 * ms}, true)
		time.Sleep(100 * ms)
		w.restartWorker("a0", false)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("during"); n > 6 {
			t.Errorf("%d starts of four tasks of which the restart ended two, want at most 6", n)
		}
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoFault)
		}
		time.Sleep(2 * time.Second)
		w.wantEnd(w.submit("a2", "after", 4, runhost.Work{Time: 50 * ms}, true), submission.Done)
	})
}

// Guards against a second run of a task whose delayed start order reaches the next incarnation of the worker. Its
// clock starts from zero again, so the deadline of the order does not make it reject the order.
func TestLateStartReachesTheNextIncarnation(t *testing.T) {
	testWorldWithIncarnations(t, 2, func(w *world) {
		w.fleet.LetStartsOutliveWorkers()
		delayed := 0
		w.fleet.DelayStarts(func(s worker.Start) time.Duration {
			if s.Task.ID == "late" && s.Run == 1 && delayed < 2 {
				delayed++
				return 2 * time.Second
			}
			return 0
		})
		out := w.submit("a1", "late", 4, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(500 * ms)
		w.restartWorker("a0", false)
		w.restartWorker("a1", false)
		w.wantEnd(out, submission.Done)
		if delayed == 0 {
			t.Error("no start was delayed")
		}
	})
}

// Guards against a holder that takes a late entry of an earlier incarnation for the current one.
func TestLateEntryOfAnEarlierIncarnation(t *testing.T) {
	testWorldWithIncarnations(t, 1, func(w *world) {
		old := w.fleet.RestartWorker("worker-a0", "w-a0")
		w.putWorkerEntry(old)
		time.Sleep(time.Second)
		w.restartWorker("a0", true)
		time.Sleep(time.Second)
		out := w.submit("a1", "job", 2, runhost.Work{Time: 2 * time.Second}, true)
		time.Sleep(300 * ms)
		w.putWorkerEntry(old)
		time.Sleep(500 * ms)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 2 {
			t.Errorf("%d starts of two tasks, want 2", n)
		}
	})
}

// Guards against a new holder that does not notice a worker's restart because it never knew the earlier
// incarnation.
func TestTakeoverAfterARestartUnderTheSameID(t *testing.T) {
	testWorldWithIncarnations(t, 2, func(w *world) {
		holder := w.holderOf("a")
		other := map[string]string{"a1": "a2", "a2": "a1"}[holder]
		w.wantAccepted(w.submit(other, "stored", 4, runhost.Work{Time: time.Second}, false))
		time.Sleep(300 * ms)
		w.kill(holder)
		w.restartWorker("a0", true)
		time.Sleep(6 * time.Second)
		if got := w.state(other, "stored"); got != submission.Done {
			t.Errorf("the state of the submission is %s, want done", got)
		}
		if n := w.fleet.Starts("stored"); n > 6 {
			t.Errorf("%d starts of four tasks of which the restart ended two, want at most 6", n)
		}
	})
}
