package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// coldSlowdown is the factor by which tasks take longer on a cold worker in these tests.
const coldSlowdown = 10

// Guards against a domain that delays tasks for seconds when it is used again after an evacuation. Its workers
// were replaced meanwhile and are cold, and each was given as many queued tasks as fit at once.
func TestSlowStartAfterAnEvacuation(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	w.run(time.Second)
	w.slowdown["w0"] = coldSlowdown
	w.shard.SetEvacuated(w.now, false)
	w.assign(w.submission("a", 4, runhost.Work{Time: 100 * ms}))
	w.run(50 * ms)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d starts on two workers in slow start, want 2", n)
	}
	w.run(100 * ms)
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d starts after one worker has completed a run in the usual time, want all 4", n)
	}
}

// Guards against a worker that delays several tasks at once because it has just started and is cold, as its
// entry says.
func TestColdWorkerBeginsWithOneTask(t *testing.T) {
	w := newWorld(t, 1)
	w.hosts["w0"].Info.Cold = true
	w.updateList()
	w.run(100 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 100 * ms}))
	w.run(50 * ms)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d starts on a cold worker, want 1", n)
	}
	w.run(400 * ms)
	w.expectState("a", submission.Done)
}

// Guards against a start order that is carried out in an evacuated domain. The domain is evacuated while the
// order has no answer yet. The run has to be stopped, as a probe alone does not prevent a late start.
func TestUnansweredStartIsStoppedAfterAnEvacuation(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.startDelay = func(StartAction) time.Duration { return 300 * ms }
	w.assign(w.submission("a", 1, runhost.Work{Time: 100 * ms}))
	w.step()
	w.shard.SetEvacuated(w.now, true)
	w.run(time.Second)
	if n := w.startCount("a"); n != 0 {
		t.Errorf("%d starts by an order that arrived after the evacuation", n)
	}
	w.expectState("a", submission.Returned)
}

// Guards against submissions that are sent to an evacuated domain because its load report shows capacity.
func TestEvacuatedShardReportsNoCapacity(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	if l := w.shard.Load(w.now); l.CapacityMilli != 0 || len(l.FreeMilli) != 0 {
		t.Errorf("it reports capacity while evacuated: %+v", l)
	}
	w.shard.SetEvacuated(w.now, false)
	if l := w.shard.Load(w.now); l.CapacityMilli == 0 || len(l.FreeMilli) != 2 {
		t.Errorf("it reports no capacity after the evacuation: %+v", l)
	}
}

// twoStepSubmission returns a transient submission of two steps of two tasks, the second of which depends on the first.
func (w *world) twoStepSubmission(id submission.ID, work runhost.Work) *submission.Record {
	rec := w.submission(id, 2, work)
	next := rec.Steps[0]
	next.DependsOn = []int{0}
	rec.Steps = append(rec.Steps, next)
	return rec
}

// Guards against steps of a submission that start before those that they depend on. The submission is half
// done when its domain is evacuated: the rest has to be returned as a whole, once none of its tasks runs.
func TestDependentStepsAreReturnedTogether(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.twoStepSubmission("a", runhost.Work{Time: 200 * ms}))
	w.run(50 * ms)
	w.shard.SetEvacuated(w.now, true)
	w.run(100 * ms)
	if report, _ := w.shard.Report("a"); len(report.Returned) != 0 {
		t.Errorf("%d tasks were returned while its first step runs", len(report.Returned))
	}
	w.run(200 * ms)
	report, _ := w.shard.Report("a")
	if report.State != submission.Returned || len(report.Returned) != 2 {
		t.Errorf("it is %s with %d tasks returned, want the 2 of its last step", report.State, len(report.Returned))
	}
	for _, r := range report.Returned {
		if r.Task.Step != 1 {
			t.Errorf("%v was returned, though it has completed", r.Task)
		}
	}
}

// Guards against a stored submission that is ignored because it was reassigned to another shard and comes back
// while this one still remembers that it left.
func TestReassignedSubmissionMayComeBack(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	rec := w.submission("a", 1, runhost.Work{Time: 50 * ms})
	rec.Transient = false
	w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 5})
	w.shard.Tick(w.now + 10*ms)
	reassigns := w.shard.TakeActions().Reassigns
	if len(reassigns) != 1 || reassigns[0].Revision != 5 {
		t.Fatalf("reassigned: %v, want the one submission", reassigns)
	}
	w.shard.Reassigned(w.now, "a", 8)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 5}}) // read before it left
	if n := len(w.shard.Unfinished()); n != 0 {
		t.Errorf("%d submissions, want none as it was reassigned", n)
	}
	w.shard.SetEvacuated(w.now, false)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 9}})
	w.run(300 * ms)
	if w.finals["a"] != submission.Done {
		t.Errorf("it is %s after it came back, want done", w.finals["a"])
	}
}

// Guards against an answer to the caller before all tasks have completed. A submission is submitted again after
// all VMs were off, and a worker still lists the end of a task of the first attempt, which another shard has
// now. If the end counted here, this shard's part would be taken for complete with a task left.
func TestEndOfATaskOfAnotherShardIsIgnored(t *testing.T) {
	for _, listedBefore := range []bool{true, false} {
		w := newWorld(t, 1)
		w.run(100 * ms)
		rec := w.submission("a", 2, runhost.Work{Time: 150 * ms})
		first := worker.Start{
			Task:     submission.TaskRef{ID: "a", Task: submission.Task{Index: 1}},
			Run:      1,
			Token:    w.shard.Token(),
			Deadline: w.now + 700*ms,
		}
		if r := w.hosts["w0"].Start(w.now, first); r.Verdict != worker.Accepted {
			t.Fatalf("the start of the first attempt's task is %s", r.Verdict)
		}
		w.newHolder(2, true)
		again := *rec
		again.Serial = 9
		again.TasksElsewhere = []submission.Task{{Index: 1}}
		if listedBefore {
			w.run(200 * ms)
		}
		w.shard.Resume(w.now, &again)
		for range 200 {
			w.step()
			report, _ := w.shard.Report("a")
			if report.State == submission.Done && w.ledger.Completions(submission.TaskRef{ID: "a"}) == 0 {
				t.Fatalf("it is done and its own task is not (end listed before it was resumed: %v)", listedBefore)
			}
		}
		w.expectState("a", submission.Done)
	}
}

// Guards against an answer to the caller before all tasks have completed. All VMs were off, the caller has
// submitted again, and a worker that has not answered the new holder yet then lists the end of a task of the
// first attempt. The end must not count for the second attempt, which begins from the start.
func TestEndOfAnEarlierAttemptIsIgnored(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 1, runhost.Work{Time: 150 * ms})
	first := worker.Start{Task: submission.TaskRef{ID: "a"}, Run: 1, Token: w.shard.Token(), Deadline: w.now + 700*ms}
	if r := w.hosts["w1"].Start(w.now, first); r.Verdict != worker.Accepted {
		t.Fatalf("the start of the first attempt's task is %s", r.Verdict)
	}
	w.newHolder(2, true)
	w.workOf["a"] = runhost.Work{Time: 400 * ms, CPUMilli: 6800}
	w.assign(rec)
	for range 50 {
		w.step()
	}
	if report, _ := w.shard.Report("a"); report.State == submission.Done {
		t.Error("it is done by the end of a run of an earlier attempt")
	}
	for range 100 {
		w.step()
	}
	w.expectState("a", submission.Done)
}

// Guards against a step that starts before the one that it depends on is done. The worker of the first step crashes; its
// tasks, which wait for a worker of their own, stay at the shard and those of the second step were returned to their home.
func TestStepIsNotReturnedWithoutSuspectsOfTheStepBefore(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.assign(w.twoStepSubmission("a", runhost.Work{Time: 200 * ms, CPUMilli: 4000}))
	w.assign(w.submission("beside", 6, runhost.Work{Time: 3 * time.Second, CPUMilli: 4000})) // no worker is idle
	w.run(50 * ms)
	w.loseWorkerOf("a")
	w.run(2 * time.Second)
	if waiting, _ := w.shard.waitingSuspects(); len(waiting) == 0 {
		t.Fatal("no task waits as a suspect")
	}
	if n := w.shard.Offload(w.now, 0, func(int64) int { return 64 }); n != 0 {
		report, _ := w.shard.Report("a")
		t.Errorf("%d tasks were returned while the first step is not done: %+v", n, report.Returned)
	}
	w.run(6 * time.Second)
	w.expectState("a", submission.Done)
}
