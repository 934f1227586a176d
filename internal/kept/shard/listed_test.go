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

// Guards against a task that runs twice at once, as its start order was sent long after it was decided, and had no answer
// yet when its worker's lease expired: the order is valid, and the run goes on, for longer than its decision tells.
func TestStartSentLateOutlivesTheLease(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.unreachable["w0"] = true
	w.run(600 * ms)
	w.startLag = func(s StartAction) time.Duration {
		if s.Run == 1 {
			return 600 * ms
		}
		return 0
	}
	w.assign(w.submission("a", 1, runhost.Work{Time: time.Second}))
	w.run(100 * ms)
	w.addHost("w1", "10.0.0.1:80")
	w.updateList()
	w.run(3 * time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// Guards against a task that runs twice at once, as its worker's lease is taken for expired though a later start order,
// without an answer yet, has extended it.
func TestLaterStartExtendsTheLeaseOfEarlierRuns(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("a", 1, runhost.Work{Time: 2 * time.Second}))
	w.run(100 * ms)
	w.unreachable["w0"] = true
	w.run(600 * ms)
	w.startDelay = func(StartAction) time.Duration { return 300 * ms }
	w.assign(w.submission("b", 1, runhost.Work{Time: 100 * ms}))
	w.run(100 * ms)
	w.startDelay = nil
	w.addHost("w1", "10.0.0.1:80")
	w.updateList()
	w.run(5 * time.Second)
	w.expectState("a", submission.Done)
	w.expectState("b", submission.Done)
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

// countStrayRuns counts the stray runs of all workers, by task.
func (s *Shard) countStrayRuns() strayCounts {
	counts := make(strayCounts)
	for _, h := range s.workers {
		for ref := range h.strayRuns {
			counts[ref]++
		}
	}
	return counts
}

// Guards against a task that never starts again, as a listed run that kept it from starting has left its worker, or the
// worker has gone, and it is still counted.
func TestTaskStartsOnceItsListedRunIsGone(t *testing.T) {
	ways := map[string]func(w *world){
		"the run ends": func(*world) {},
		"the run is not listed any more": func(w *world) {
			w.shard.HandleListing(w.now, "w0", w.now, worker.Listing{Clock: w.now})
			if len(w.shard.strayCounts) != 0 {
				w.t.Error("it still keeps its task from starting")
			}
		},
		"its lease expires": func(w *world) {
			w.unreachable["w0"] = true
			w.shard.WorkerLeaseExpired(w.now+2*time.Second, "w0")
		},
		"its worker has gone": func(w *world) {
			w.hosts["w0"].Crash()
			w.shard.WorkerGone(w.now, "w0")
		},
		"its worker restarts under the same ID": func(w *world) {
			w.restart("w0")
			w.updateList()
		},
		"its worker restarts under another ID": func(w *world) {
			w.hosts["w0"].Crash()
			delete(w.hosts, "w0")
			w.addHost("w2", "10.0.0.0:80")
			w.hosts["w2"].Info.Revision += 100
			w.updateList()
		},
		"its worker leaves the list and is silent": func(w *world) {
			w.hosts["w0"].Crash()
			delete(w.hosts, "w0")
			w.updateList()
			w.run(4 * time.Second)
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.run(100 * ms)
			w.unreachable["w1"] = true
			w.run(time.Second)
			first := w.submission("a", 1, runhost.Work{Time: 5 * time.Second, CPUMilli: 2000})
			first.MaxRunElsewhere = 5
			w.assign(first)
			w.run(50 * ms)
			w.newHolder(2, true)
			w.unreachable["w1"] = false
			w.run(20 * ms)
			w.stopDelay = func(StopAction) time.Duration { return time.Minute }
			w.assign(w.nextAttempt(first))
			w.run(100 * ms)
			if n := len(w.starts); n != 1 || len(w.shard.strayCounts) != 1 || w.shard.jobs["a"].hasStartable() {
				t.Fatalf("%d starts, stray runs %v: the task should wait for its listed run", n, w.shard.strayCounts)
			}
			leave(w)
			w.stopDelay = nil
			for range 1400 { // 7 s, also if a run is in progress that no listing has shown
				w.step()
			}
			if len(w.starts) < 2 || len(w.shard.strayCounts) != 0 {
				t.Errorf("%d starts, stray runs %v: the task waits in vain", len(w.starts), w.shard.strayCounts)
			}
			w.expectState("a", submission.Done)
		})
	}
}

// Guards against "not run" for a submission of which a worker lists a run, and against a task that is given to another
// shard while its run goes on.
func TestTaskWithAListedRunIsNotGivenAway(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	first := w.submission("a", 1, runhost.Work{Time: 5 * time.Second})
	w.assign(first)
	w.run(50 * ms)
	w.newHolder(2, true)
	w.run(20 * ms)
	w.stopDelay = func(StopAction) time.Duration { return time.Minute }
	w.assign(w.nextAttempt(first))
	w.run(50 * ms)
	w.shard.Recall(w.now, "a")
	if n := w.shard.Offload(w.now, 0, func(int64) int { return 1 }); n != 0 {
		t.Errorf("%d tasks were returned while a run is listed", n)
	}
	w.shard.SetEvacuated(w.now, true)
	w.run(50 * ms)
	w.expectState("a", submission.Queued)
	if len(w.stops) == 0 || w.now-w.shard.workers["w0"].firstAnswerAt >= handoverTimeout {
		t.Error("no stop was ordered before home VMs have had time to hand over their submissions")
	}
	w.stopDelay = nil
	w.run(200 * ms)
	w.expectState("a", submission.Returned) // once the repeated stop has ended the run
}

// Guards against a run that goes on to its end, and keeps its task waiting, as the order to stop it was dropped without an
// answer.
func TestStopOfAListedRunIsRepeated(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	run := worker.Running{Task: submission.TaskRef{ID: "a"}, Run: 1}
	stops := 0
	for end := w.now + 2500*ms; w.now < end; w.now += 100 * ms {
		w.shard.HandleListing(w.now, "w0", w.now, worker.Listing{Clock: w.now, Running: []worker.Running{run}})
		stops += len(w.shard.TakeActions().Stops)
	}
	if stops != 3 {
		t.Errorf("%d stops within 2.5 s, want 3", stops)
	}
}

// Guards against a task that is never released, or only long after its worker's lease has expired, as its start had no
// answer when that expired.
func TestStartWithoutAnswerIsReleasedOnceItIsVoid(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelled %v", cancelled), func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			w.unreachable["w0"] = true
			w.run(650 * ms)
			w.assign(w.submission("a", 1, runhost.Work{Time: 50 * ms}))
			w.run(50 * ms)
			w.shard.WorkerLeaseExpired(w.now, "w0")
			if cancelled {
				w.shard.Cancel(w.now, "a")
			}
			w.run(startValidity - 60*ms)
			if w.shard.Size() != 1 || w.shard.jobs["a"].tasks[0].host == nil {
				t.Error("the task was released while its start may be carried out")
			}
			w.run(30 * ms)
			if j := w.shard.jobs["a"]; cancelled != (j == nil) || j != nil && !j.hasStartable() {
				t.Errorf("the task was not released after its start was void; %d submissions", w.shard.Size())
			}
		})
	}
}
