package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// releaseBeforeItBegins has the first run of a task released before its start order is sent: w0 is silent, its lease
// expires, and then it carries out the order. It does not answer before it is told to.
func (w *world) releaseBeforeItBegins(r *submission.Record) {
	w.unreachable["w0"] = true
	w.run(600 * ms)
	w.startLag = func(s StartAction) time.Duration {
		if s.Task.ID == r.ID && s.Run == 1 {
			return 800 * ms
		}
		return 0
	}
	w.assign(r)
	w.run(820 * ms)
	if n := w.ledger.CountRunning(r.ID); n != 1 || w.shard.jobs[r.ID].tasks[0].state != taskWaiting {
		w.t.Fatalf("%d runs have begun, want 1 whose task waits", n)
	}
}

// Guards against a task that runs twice at once, as it starts again beside a run that its worker lists: the start order
// was sent after the worker's lease had expired.
func TestRunListedAfterItsReleaseKeepsItsTask(t *testing.T) {
	for _, bornKnown := range []bool{true, false} {
		t.Run(fmt.Sprintf("start time known %v", bornKnown), func(t *testing.T) {
			w := newWorld(t, 1)
			if !bornKnown {
				w.hosts["w0"].Info.Born = 0
				w.newHolder(2, true)
			}
			w.run(100 * ms)
			w.releaseBeforeItBegins(w.submission("a", 1, runhost.Work{Time: 500 * ms}))
			w.unreachable["w0"] = false
			w.run(time.Second)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 1 {
				t.Errorf("%d runs, want one", n)
			}
		})
	}
}

// Guards against a task that runs twice at once, as a listing that is older than its run is taken for a newer one, and the
// next listing shows the run.
func TestRunListedAgainKeepsItsTask(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("a", 1, runhost.Work{Time: 200 * ms}))
	w.run(50 * ms)
	w.shard.HandleListing(w.now, "w0", w.now, worker.Listing{Clock: w.now})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d runs, want one", n)
	}
}

// Guards against a task that runs twice at once, as a start order is still on its way when the lease of its worker is
// taken for expired, and the next one overtakes it.
func TestStartOnItsWayOutlivesTheLease(t *testing.T) {
	for _, bornKnown := range []bool{true, false} {
		t.Run(fmt.Sprintf("start time known %v", bornKnown), func(t *testing.T) {
			w := newWorld(t, 1)
			if !bornKnown {
				w.hosts["w0"].Info.Born = 0
				w.newHolder(2, true)
			}
			w.run(100 * ms)
			w.startDelay = func(s StartAction) time.Duration {
				if s.Run == 1 {
					return 20 * ms
				}
				return 0
			}
			w.assign(w.submission("a", 1, runhost.Work{Time: 200 * ms}))
			w.run(5 * ms)
			w.shard.WorkerLeaseExpired(w.now, "w0")
			w.run(time.Second)
			w.expectState("a", submission.Done)
		})
	}
}

// Guards against a task that runs twice at once, as its worker lists an older run of it, which is stopped and takes some
// time to end, while the task waits.
func TestOlderListedRunKeepsItsTask(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.releaseBeforeItBegins(w.submission("a", 1, runhost.Work{Time: 500 * ms}))
	w.addHost("w1", "10.0.0.1:80")
	w.updateList()
	w.hosts["w1"].Info.CPUMilli = 100 // refuses the second run
	w.run(10 * ms)
	if n := len(w.starts); n != 2 {
		t.Fatalf("%d starts were ordered, want 2", n)
	}
	w.unreachable["w0"], w.unreachable["w1"] = false, true
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// Guards against a task that runs twice at once, as its caller's next attempt is assigned while a run of the one before
// is still being stopped: it was listed after its submission had ended.
func TestNextAttemptWaitsForALateRunOfTheLastOne(t *testing.T) {
	for _, end := range []string{"home lost", "cancelled"} {
		t.Run(end, func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			first := w.submission("a", 1, runhost.Work{Time: 500 * ms})
			first.Serial = 1
			w.releaseBeforeItBegins(first)
			if end == "cancelled" {
				w.shard.Cancel(w.now, "a")
			} else {
				w.shard.HomeLost(w.now, "vm1")
			}
			w.unreachable["w0"] = false
			w.run(10 * ms)
			w.assign(w.nextAttempt(first))
			w.run(time.Second)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 2 {
				t.Errorf("%d runs, want 2: the end of the last attempt's run counts", n)
			}
		})
	}
}

// nextAttempt returns the record of a submission that its caller sends again, through another home VM.
func (w *world) nextAttempt(r *submission.Record) *submission.Record {
	next := *r
	next.Serial++
	next.Home = "vm2"
	next.Token = w.shard.Token()
	next.MaxRunElsewhere = 0
	return &next
}

// Guards against a task that runs twice at once, or whose earlier attempt counts for the next one: a new holder has heard
// of a run only from its worker when the next attempt is assigned, and has not begun to stop it.
func TestNextAttemptWaitsForARunOfAnEarlierHolder(t *testing.T) {
	for _, sameNumber := range []bool{true, false} {
		t.Run(fmt.Sprintf("same run number %v", sameNumber), func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			first := w.submission("a", 2, runhost.Work{Time: 2 * time.Second, CPUMilli: 2000})
			first.Serial = 1
			if !sameNumber {
				first.MaxRunElsewhere = 5
			}
			w.assign(first)
			w.run(100 * ms)
			w.newHolder(2, true)
			w.run(20 * ms)
			w.assign(w.nextAttempt(first))
			w.run(2400 * ms)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 4 {
				t.Errorf("%d runs of two tasks, want 4: those of the last attempt count", n)
			}
		})
	}
}

// Guards against a task that runs twice at once, as it joins a part, open or just completed, while a worker lists a run of
// it that an earlier holder started.
func TestJoiningTasksWaitForListedRuns(t *testing.T) {
	for _, open := range []bool{true, false} {
		t.Run(fmt.Sprintf("open %v", open), func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			whole := w.submission("s", 4, runhost.Work{Time: time.Second, CPUMilli: 2000})
			w.taskFactor = func(ref submission.TaskRef) float64 {
				if ref.Index < 2 {
					return 0.1
				}
				return 1
			}
			earlier := w.someTasks(whole, 1, 2, 3)
			earlier.MaxRunElsewhere = 5
			w.assign(earlier)
			w.run(100 * ms)
			w.newHolder(2, true)
			w.run(20 * ms)
			w.assign(w.someTasks(whole, 2, 0, 1))
			if w.run(50 * ms); !open {
				w.run(100 * ms)
				w.wantReport("s", submission.Done, 2, 2)
			}
			w.shard.Join(w.now, w.someTasks(whole, 3, 2, 3), 2)
			w.run(2 * time.Second)
			w.wantReport("s", submission.Done, 3, 4)
			if n := w.startCount("s"); n != 6 {
				t.Errorf("%d runs, want 6", n)
			}
		})
	}
}
