package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// newMovingWorld returns a world of four workers whose holder also moves tasks away from slow workers.
func newMovingWorld(t *testing.T) *world {
	w := newWorld(t, 4)
	w.policy.MoveSlow = true
	w.newHolder(2, true)
	w.run(100 * ms)
	return w
}

// Guards against a submission that does not end though all workers answer. A worker hangs: it accepts tasks,
// renews its lease and lists its runs, but they make no progress. Only a worker that did not answer was given up.
func TestStalledTasksAreMoved(t *testing.T) {
	w := newMovingWorld(t)
	w.hung["w0"] = true
	w.assign(w.submission("a", 6, runhost.Work{Time: 900 * ms}))
	w.run(1600 * ms)
	w.expectState("a", submission.Done)
	before := len(w.starts)
	w.assign(w.submission("b", 4, runhost.Work{Time: 100 * ms}))
	w.run(300 * ms)
	w.expectState("b", submission.Done)
	for _, s := range w.starts[before:] {
		if s.Worker.ID == "w0" {
			t.Error("the hung worker was given another task at once")
		}
	}
}

// Guards against a submission that takes several times its objective because a worker with some of its tasks
// becomes seven times slower. Restarted on another worker, they are done sooner.
func TestTasksOnASlowWorkerAreMoved(t *testing.T) {
	w := newMovingWorld(t)
	w.slowdown["w0"] = 7
	w.assign(w.submission("a", 6, runhost.Work{Time: 900 * ms}))
	w.run(1500 * ms)
	w.expectState("a", submission.Done)
	if len(w.stops) == 0 || len(w.stops) > 2 {
		t.Errorf("%d tasks were moved, 2 ran on the slow worker", len(w.stops))
	}
}

// Guards against runs that are stopped on healthy workers because the caller's estimate is far too low for all
// tasks of a submission. They were taken for delayed by their workers.
func TestWrongEstimatesMoveNothing(t *testing.T) {
	w := newMovingWorld(t)
	rec := w.submission("a", 7, runhost.Work{Time: 2 * time.Second})
	rec.Steps[0].Estimate = 200 * ms
	w.assign(rec)
	w.run(2500 * ms)
	w.expectState("a", submission.Done)
	if len(w.stops) != 0 {
		t.Errorf("%d tasks were moved away from healthy workers", len(w.stops))
	}
}

// Guards against a healthy worker that gets no tasks for seconds because one task stalls there by its own fault,
// while the others make progress. The worker must not be taken for hung.
func TestSingleStalledTaskIsNotBlamedOnItsWorker(t *testing.T) {
	w := newMovingWorld(t)
	w.assign(w.submission("hangs", 1, runhost.Work{Hangs: true, Time: 500 * ms}))
	w.run(20 * ms)
	w.assign(w.submission("goes", 7, runhost.Work{Time: time.Second}))
	w.run(1200 * ms)
	w.expectState("goes", submission.Done)
	free := w.shard.Load(w.now)
	if n := len(free.FreeMilli); n != 4 {
		t.Errorf("%d workers have free capacity, want all 4", n)
	}
}

// Guards against tasks that are moved away from healthy workers. A short run ends right after another start on
// its worker. The next hold is sent at once, waits for a run to end, and is answered a quarter of a second later
// with the progress by then. If the age of the run was taken from when the hold was sent, its siblings seemed many
// times faster.
func TestProgressIsDatedByTheAnswer(t *testing.T) {
	w := newMovingWorld(t)
	w.holdWait["w1"] = 250 * ms
	w.hosts["w1"].Info.Labels = []string{"patient", "pair"}
	w.hosts["w2"].Info.Labels = []string{"pair"}
	w.updateList()
	w.run(300 * ms)
	short := w.submission("short", 1, runhost.Work{Time: 40 * ms})
	short.Steps[0].RequiredLabel = "patient"
	w.assign(short)
	w.run(20 * ms)
	pair := w.submission("a", 2, runhost.Work{Time: 900 * ms})
	pair.Steps[0].RequiredLabel = "pair"
	pair.Steps[0].MaxPerWorker = 1
	w.assign(pair)
	w.hosts["w3"].Info.Labels = []string{"pair"}
	w.updateList()
	w.run(2 * time.Second)
	w.expectState("a", submission.Done)
	if len(w.stops) != 0 {
		t.Errorf("%d tasks were moved away from healthy workers", len(w.stops))
	}
}

// Guards against healthy workers that are taken for hung, one after the other, when tasks take a hundred times
// their estimate, so that one percent takes longer than the estimate. Progress was expected by the estimate alone.
func TestLongTasksAreNotTakenForStalled(t *testing.T) {
	w := newMovingWorld(t)
	rec := w.submission("a", 8, runhost.Work{Time: 50 * time.Second})
	rec.Steps[0].Estimate = 400 * ms
	w.assign(rec)
	w.run(10 * time.Second)
	if len(w.stops) != 0 {
		t.Errorf("%d tasks were stopped, the first as %q", len(w.stops), w.stops[0].Reason)
	}
}
