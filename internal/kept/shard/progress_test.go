package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// newMovingWorld is a world of four workers whose holder starts tasks elsewhere.
func newMovingWorld(t *testing.T) *world {
	w := newWorld(t, 4)
	w.policy.MoveSlow = true
	w.newHolder(2, true)
	w.run(100 * ms)
	return w
}

// Symptom: a submission does not end, though all workers answer. Sequence: a worker hangs:
// it takes tasks, renews its lease and lists them, and they make no progress. Cause: only a
// worker that does not answer was given up.
func TestTasksThatStandStillStartElsewhere(t *testing.T) {
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
			t.Error("the worker that hangs was given another task at once")
		}
	}
}

// Symptom: a submission is late by several times. Sequence: a worker turns seven times
// slower, and has one of its tasks. Cause: it was waited for, though a start elsewhere would
// have been done sooner.
func TestTasksOnASlowWorkerStartElsewhere(t *testing.T) {
	w := newMovingWorld(t)
	w.slowdown["w0"] = 7
	w.assign(w.submission("a", 6, runhost.Work{Time: 900 * ms}))
	w.run(1500 * ms)
	w.expectState("a", submission.Done)
	if len(w.stops) == 0 || len(w.stops) > 2 {
		t.Errorf("%d tasks were moved, 2 ran on the slow worker", len(w.stops))
	}
}

// Symptom: work is thrown away on a calm day. Sequence: a caller's estimate is far too low,
// for all tasks of a submission alike. Cause: its tasks passed for held up by their workers.
func TestWrongEstimatesMoveNothing(t *testing.T) {
	w := newMovingWorld(t)
	rec := w.submission("a", 7, runhost.Work{Time: 2 * time.Second})
	rec.Steps[0].Estimate = 200 * ms
	w.assign(rec)
	w.run(2500 * ms)
	w.expectState("a", submission.Done)
	if len(w.stops) != 0 {
		t.Errorf("%d tasks were moved off sound workers", len(w.stops))
	}
}

// Symptom: a sound worker gets nothing for seconds. Sequence: one task stands still by its
// own fault, beside others that go on. Cause would be: taking the worker for hung.
func TestATaskThatStandsStillAloneIsNotItsWorkersFault(t *testing.T) {
	w := newMovingWorld(t)
	w.assign(w.submission("hangs", 1, runhost.Work{Hangs: true, Time: 500 * ms}))
	w.run(20 * ms)
	w.assign(w.submission("goes", 7, runhost.Work{Time: time.Second}))
	w.run(1200 * ms)
	w.expectState("goes", submission.Done)
	free := w.shard.Load(w.now)
	if n := len(free.FreeMilli); n != 4 {
		t.Errorf("%d workers have room, want all 4", n)
	}
}

// Symptom: tasks are moved off sound workers. Sequence: a short run ends right after another
// start at its worker; the next hold leaves at once, waits for an end, and answers a quarter of a second later with what has been done by then.
// Cause: the age of the run was taken from when the hold left, so that its siblings passed
// for many times faster.
func TestAnswersThatWaitedTellOfTheirOwnTime(t *testing.T) {
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
		t.Errorf("%d tasks were moved off sound workers", len(w.stops))
	}
}

// Symptom: sound workers are taken for hung, one after the other. Sequence: work comes that
// takes a hundred times its estimate, so that a percent of it takes longer than the estimate.
// Cause: progress was expected by the estimate alone.
func TestLongWorkDoesNotStandStill(t *testing.T) {
	w := newMovingWorld(t)
	rec := w.submission("a", 8, runhost.Work{Time: 50 * time.Second})
	rec.Steps[0].Estimate = 400 * ms
	w.assign(rec)
	w.run(10 * time.Second)
	if len(w.stops) != 0 {
		t.Errorf("%d tasks were stopped, the first as %q", len(w.stops), w.stops[0].Reason)
	}
}
