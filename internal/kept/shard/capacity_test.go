package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// newUnguardedWorld returns a world of workers that start tasks that exceed their capacity.
func newUnguardedWorld(t *testing.T, workers int) *world {
	w := newWorld(t, workers)
	w.unguarded = true
	for _, h := range w.hosts {
		h.IgnoresCapacity = true
	}
	w.newHolder(2, true)
	w.run(100 * ms)
	return w
}

// setCapacity changes the CPU of a worker and its entry in the list.
func (w *world) setCapacity(id string, milli int64) {
	w.revision++
	w.hosts[id].Info.CPUMilli = milli
	w.hosts[id].Info.Revision += 1000 * w.revision
	w.updateList()
}

// Guards against starts beyond a capacity that has shrunk, and against capacity that is not used after it has
// grown.
func TestNewestCapacityIsUsed(t *testing.T) {
	w := newUnguardedWorld(t, 1)
	w.assign(w.submission("first", 1, runhost.Work{Time: 300 * ms}))
	w.run(20 * ms)
	w.setCapacity("w0", 7000)
	w.assign(w.submission("second", 1, runhost.Work{Time: 300 * ms}))
	w.run(200 * ms)
	if n := w.startCount("second"); n != 0 {
		t.Errorf("%d starts beyond the capacity", n)
	}
	w.setCapacity("w0", 0)
	w.run(200 * ms)
	w.expectState("first", submission.Done)
	if n := w.startCount("second"); n != 0 {
		t.Errorf("%d starts without any capacity", n)
	}
	w.setCapacity("w0", 16000)
	w.run(400 * ms)
	w.expectState("second", submission.Done)
}

// Guards against a late list with a larger capacity that replaces a newer one.
func TestLateListWithLargerCapacityIsIgnored(t *testing.T) {
	w := newUnguardedWorld(t, 1)
	old := w.hosts["w0"].Info
	w.setCapacity("w0", 7000)
	w.shard.UpdateWorkers(w.now, []worker.Info{old})
	w.assign(w.submission("a", 2, runhost.Work{Time: 100 * ms}))
	w.run(50 * ms)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d starts on a worker with capacity for one task", n)
	}
	w.run(200 * ms)
	w.expectState("a", submission.Done)
}

// Guards against starts beyond the capacity by a new holder that does not know the submissions of all runs there.
func TestRunsOfUnknownSubmissionsUseCapacity(t *testing.T) {
	w := newUnguardedWorld(t, 1)
	w.assign(w.submission("before", 2, runhost.Work{Time: 2 * time.Second}))
	w.run(50 * ms)
	w.newHolder(3, true)
	w.assign(w.storedSubmission("after", 2, runhost.Work{Time: 100 * ms}))
	w.run(3 * time.Second)
	w.expectState("after", submission.Done)
}

// Guards against capacity that is used again while the run there is still being stopped.
func TestRunBeingStoppedUsesCapacity(t *testing.T) {
	w := newUnguardedWorld(t, 1)
	w.assign(w.submission("a", 2, runhost.Work{Time: time.Second}))
	w.run(50 * ms)
	w.shard.Cancel(w.now, "a")
	w.assign(w.submission("b", 2, runhost.Work{Time: 50 * ms}))
	w.run(300 * ms)
	w.expectState("b", submission.Done)
}
