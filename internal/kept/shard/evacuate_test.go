package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// coldSlowdown is by how many times tasks take longer at a cold worker of these tests.
const coldSlowdown = 10

// Symptom: a domain that is used again holds up what it is given for seconds. Sequence: it was
// evacuated, its workers were replaced meanwhile and are cold, and a queue of work waits. Cause:
// each was given all that fits at once.
func TestWorkersOfAReturnedDomainAreTriedWithOneTask(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	w.run(time.Second)
	w.slowdown["w0"] = coldSlowdown
	w.shard.SetEvacuated(w.now, false)
	w.assign(w.submission("a", 4, runhost.Work{Time: 100 * ms}))
	w.run(50 * ms)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d starts on two workers that have shown nothing yet, want 2", n)
	}
	w.run(100 * ms)
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d starts once one worker has shown that it is warm, want all 4", n)
	}
}

// Symptom: a worker that has just started holds up three tasks at each try. Sequence: its entry
// says that it is cold.
func TestColdWorkerIsTriedWithOneTask(t *testing.T) {
	w := newWorld(t, 1)
	w.hosts["w0"].Info.Cold = true
	w.updateList()
	w.run(100 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 100 * ms}))
	w.run(50 * ms)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d starts at a cold worker, want 1", n)
	}
	w.run(400 * ms)
	w.expectState("a", submission.Done)
}

// Symptom: a start is carried out in an evacuated domain. Sequence: its answer is lost; before the
// worker was asked, the domain is evacuated. Cause would be: it is only looked whether it runs.
func TestUnansweredStartIsVoidOnceTheDomainIsEvacuated(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.startDelay = func(StartAction) time.Duration { return 300 * ms }
	w.assign(w.submission("a", 1, runhost.Work{Time: 100 * ms}))
	w.step()
	w.shard.SetEvacuated(w.now, true)
	w.run(time.Second)
	if n := w.startCount("a"); n != 0 {
		t.Errorf("%d starts, the order was late", n)
	}
	w.expectState("a", submission.Returned)
}

// Symptom: submissions go to an evacuated domain. Cause would be: its holder tells of room there.
func TestEvacuatedShardHasNoRoom(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	if l := w.shard.Load(w.now); l.CapacityMilli != 0 || len(l.FreeMilli) != 0 {
		t.Errorf("it tells of room: %+v", l)
	}
	w.shard.SetEvacuated(w.now, false)
	if l := w.shard.Load(w.now); l.CapacityMilli == 0 || len(l.FreeMilli) != 2 {
		t.Errorf("it tells of no room after its return: %+v", l)
	}
}

// Symptom: steps of a submission start before those that they wait for. Sequence: it has steps
// that wait for each other and is half done when the domain is evacuated. What is left goes as a
// whole, once nothing of it runs.
func TestStepsLeaveTogether(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	rec := w.submission("a", 2, runhost.Work{Time: 200 * ms})
	next := rec.Steps[0]
	next.DependsOn = []int{0}
	rec.Steps = append(rec.Steps, next)
	w.assign(rec)
	w.run(50 * ms)
	w.shard.SetEvacuated(w.now, true)
	w.run(100 * ms)
	if told, _ := w.shard.Report("a"); len(told.Returned) != 0 {
		t.Errorf("%d tasks were given back while its first step runs", len(told.Returned))
	}
	w.run(200 * ms)
	told, _ := w.shard.Report("a")
	if told.State != submission.Returned || len(told.Returned) != 2 {
		t.Errorf("it is %s with %d tasks given back, want the 2 of its last step", told.State, len(told.Returned))
	}
	for _, r := range told.Returned {
		if r.Task.Step != 1 {
			t.Errorf("%v was given back, it has completed", r.Task)
		}
	}
}

// Symptom: a stored submission is forgotten. Sequence: it went to another shard, and comes back
// within the time for which this one remembers that it had left.
func TestStoredSubmissionThatCameBackIsTaken(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.shard.SetEvacuated(w.now, true)
	rec := w.submission("a", 1, runhost.Work{Time: 50 * ms})
	rec.Transient = false
	w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 5})
	w.shard.Tick(w.now + 10*ms)
	moves := w.shard.TakeActions().Reassigns
	if len(moves) != 1 || moves[0].Revision != 5 {
		t.Fatalf("moves: %v, want the one submission", moves)
	}
	w.shard.Reassigned(w.now, "a", 8)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 5}}) // read before it left
	if n := len(w.shard.Unfinished()); n != 0 {
		t.Errorf("%d submissions, it had left", n)
	}
	w.shard.SetEvacuated(w.now, false)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 9}})
	w.run(300 * ms)
	if w.finals["a"] != submission.Done {
		t.Errorf("it is %s after it came back, want done", w.finals["a"])
	}
}

// Symptom: a caller gets an answer before all tasks have completed. Sequence: a submission is
// handed in again after all VMs were off; a worker still lists the end of a task of the first
// hand-in, which now is another shard's. Cause: the end counted against what this shard has, so that
// its part passed for complete with a task to go.
func TestEndOfATaskThatAnotherShardHasCountsForNothing(t *testing.T) {
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
			t.Fatalf("the first hand-in's task is %s", r.Verdict)
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
			told, _ := w.shard.Report("a")
			if told.State == submission.Done && w.ledger.Done(submission.TaskRef{ID: "a"}) == 0 {
				t.Fatalf("it is done and its own task is not (listed before it came: %v)", listedBefore)
			}
		}
		w.expectState("a", submission.Done)
	}
}

// Symptom: a caller gets an answer before the tasks of its submission have completed. Sequence: all
// VMs were off, and the caller sends its submission again; a worker that has not answered the new
// holder yet then lists the end of a task of the first hand-in. Cause: the end counted for the second
// hand-in, which begins from the start.
func TestEndOfAnEarlierHandInCountsForNothing(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 1, runhost.Work{Time: 150 * ms})
	first := worker.Start{Task: submission.TaskRef{ID: "a"}, Run: 1, Token: w.shard.Token(), Deadline: w.now + 700*ms}
	if r := w.hosts["w1"].Start(w.now, first); r.Verdict != worker.Accepted {
		t.Fatalf("the first hand-in's task is %s", r.Verdict)
	}
	w.newHolder(2, true)
	w.workOf["a"] = runhost.Work{Time: 400 * ms, CPUMilli: 6800}
	w.assign(rec)
	for range 50 {
		w.step()
	}
	if told, _ := w.shard.Report("a"); told.State == submission.Done {
		t.Error("it is done by the end of an earlier hand-in's run")
	}
	for range 100 {
		w.step()
	}
	w.expectState("a", submission.Done)
}
