package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

func TestSubmissionRunsOnceAndEnds(t *testing.T) {
	w := newWorld(t, 4)
	w.run(100 * ms)
	w.assign(w.submission("a", 6, runhost.Work{Time: 100 * ms}))
	w.run(150 * ms)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 6 {
		t.Errorf("%d starts of 6 tasks", n)
	}
	w.run(100 * ms)
	if w.shard.Size() != 0 {
		t.Errorf("%d submissions are left", w.shard.Size())
	}
}

func TestFailedTaskIsTriedAsOftenAsAllowed(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.assign(w.submission("a", 1, runhost.Work{Time: 50 * ms, Fails: true}))
	w.run(time.Second)
	w.expectState("a", submission.Failed)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs, the queue allows 2", n)
	}
}

// Symptom: one task runs on two workers at once. Sequence: a holder hands its shard
// over; the new one gets a submission from its home before the worker that runs its
// task has been listed. Cause: run numbers of the resumed submission began above those
// of the earlier holder, so the listed run 1 passed for an old one.
func TestResumedBeforeItsWorkerIsListed(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	rec := w.submission("a", 3, runhost.Work{Time: 600 * ms})
	w.assign(rec)
	w.run(100 * ms)
	w.newHolder(2, true)
	w.shard.Resume(w.now, rec)
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 3 {
		t.Errorf("%d starts of 3 tasks: the runs were not adopted", n)
	}
}

// Symptom: as above. Sequence: the new holder has listed all workers when the
// submission comes from its home.
func TestResumedAfterItsWorkerIsListed(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	rec := w.submission("a", 3, runhost.Work{Time: 900 * ms})
	w.assign(rec)
	w.run(100 * ms)
	w.newHolder(2, true)
	w.run(300 * ms)
	w.shard.Resume(w.now, rec)
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 3 {
		t.Errorf("%d starts of 3 tasks: the runs were not adopted", n)
	}
}

// Symptom: one task runs twice at once. Sequence: a run whose submission is not known
// is being stopped when its home hands the submission over. Cause: the task was taken
// for startable though the run goes on until the stop has taken effect.
func TestResumedWhileItsRunIsStopped(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	rec := w.submission("a", 1, runhost.Work{Time: 5 * time.Second})
	rec.Steps[0].Estimate = 5 * time.Second
	w.assign(rec)
	w.run(100 * ms)
	w.newHolder(2, true)
	for len(w.stops) == 0 {
		w.step()
	}
	w.shard.Resume(w.now, rec)
	w.run(7 * time.Second)
	w.expectState("a", submission.Done)
}

// Symptom: one task runs twice at once. Sequence: the store was down and the list of
// workers lapsed; a new holder sees a part of it. Cause: it had "listed all workers"
// and took the tasks of those it had never heard of for startable.
func TestNewHolderKnowsWorkersThatTheListLacks(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	rec := w.submission("a", 6, runhost.Work{Time: 900 * ms})
	w.assign(rec)
	w.run(100 * ms)
	w.shard = New(w.now, DefaultSettings(), 2, w.now+1100*ms)
	clear(w.ackedEnds)
	var known []worker.Info
	for _, h := range w.hosts {
		known = append(known, h.Info)
	}
	w.shard.UpdateWorkers(w.now, []worker.Info{w.hosts["w0"].Info})
	w.shard.AddWorkersOfPreviousHolder(w.now, known)
	w.shard.AddRecords(w.now, nil)
	w.shard.Resume(w.now, rec)
	w.run(1500 * ms)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 6 {
		t.Errorf("%d starts of 6 tasks", n)
	}
}

// Symptom: a live worker is dropped, and its tasks start elsewhere while they run.
// Sequence: a worker crashes and is back at its address under a new ID; its old entry
// has not expired yet. Cause: each look at the list took the old entry for the newer.
func TestOldLifeOfAWorkerDoesNotReplaceItsNewOne(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	old := w.hosts["w0"].Info
	w.hosts["w0"].Crash()
	delete(w.hosts, "w0")
	w.addHost("w1", old.Address)
	w.hosts["w1"].Info.Revision = old.Revision + 10
	both := []worker.Info{w.hosts["w1"].Info, old}
	w.shard.UpdateWorkers(w.now, both)
	w.run(100 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 500 * ms}))
	w.run(100 * ms)
	w.shard.UpdateWorkers(w.now, both)
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d starts of 2 tasks", n)
	}
}

// Symptom: one task runs twice at once. Sequence: the answer to a start is lost, though
// the worker carried it out. Cause would be: starting it elsewhere without asking.
func TestLostAnswerToAStart(t *testing.T) {
	w := newWorld(t, 2)
	lost := 0
	w.losesStartReply = func(StartAction) bool { lost++; return lost%2 == 1 }
	w.run(100 * ms)
	w.assign(w.submission("a", 4, runhost.Work{Time: 200 * ms}))
	w.run(2 * time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d starts of 4 tasks: runs that began were not found", n)
	}
}

// Symptom: one task runs twice at once. Sequence: a start has no answer and is carried
// out a quarter of a second later, when the task runs elsewhere. Cause would be: not
// making the first run impossible before the second starts.
func TestLateStart(t *testing.T) {
	w := newWorld(t, 2)
	first := true
	w.startDelay = func(StartAction) time.Duration {
		if !first {
			return 0
		}
		first = false
		return 250 * ms
	}
	w.run(100 * ms)
	w.assign(w.submission("a", 1, runhost.Work{Time: 500 * ms}))
	w.run(2 * time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d starts of one task", n)
	}
}

// Symptom: one task runs twice at once. Sequence: a worker is cut off and runs on.
// Cause would be: starting its tasks elsewhere before its lease is over.
func TestCutOffWorkerRunsOnUntilItsLeaseIsOver(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 4, runhost.Work{Time: 3 * time.Second})
	w.assign(rec)
	w.run(100 * ms)
	w.unreachable["w0"] = true
	w.run(6 * time.Second)
	w.unreachable["w0"] = false
	w.run(3 * time.Second)
	w.expectState("a", submission.Done)
}

// Symptom: one task runs twice at once. Sequence: a home is lost; its caller sends the
// submission to another VM, which gives it to another shard. Cause would be: the first
// holder running on.
func TestHolderEndsTheRunsOfALostHome(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.assign(w.submission("a", 3, runhost.Work{Time: 3 * time.Second}))
	w.run(100 * ms)
	if n := w.shard.HomeLost(w.now, "vm1"); n != 1 {
		t.Fatalf("%d submissions ended, want 1", n)
	}
	w.run(100 * ms)
	for id, h := range w.hosts {
		if l, _ := h.Hold(w.now, worker.Hold{Token: w.shard.Token()}); len(l.Running) > 0 {
			t.Errorf("%s still runs %v", id, l.Running)
		}
	}
	if w.shard.Size() != 0 {
		t.Errorf("%d submissions are left", w.shard.Size())
	}
}

// Symptom: a caller is told that its submission has not run, though a task of it has.
// Sequence: a task starts, its run lapses with its worker, and there is no room until
// the submission is hopeless. Cause would be: rejecting what has begun.
func TestWhatHasBegunIsNotRejected(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("a", 1, runhost.Work{Time: 50 * ms, Hangs: true}))
	w.run(50 * ms)
	w.unreachable["w0"] = true
	w.run(4 * time.Second)
	if w.states["a"] == submission.Rejected {
		t.Error("rejected though a task of it has started")
	}
}

func TestHopelessSubmissionIsRejectedAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("long", 2, runhost.Work{Time: 3 * time.Second, CPUMilli: 8000}))
	w.run(20 * ms)
	w.assign(w.submission("short", 1, runhost.Work{Time: 60 * ms}))
	w.run(600 * ms)
	w.expectState("short", submission.Rejected)
	if w.startCount("short") != 0 {
		t.Error("it was rejected and has run")
	}
}

func TestNothingStartsOnALeavingWorker(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	w.hosts["w0"].Info.Leaving = true
	w.updateList()
	w.assign(w.submission("a", 4, runhost.Work{Time: 50 * ms}))
	w.run(300 * ms)
	w.expectState("a", submission.Done)
	for _, s := range w.starts {
		if s.Worker.ID == "w0" {
			t.Fatal("a task was started on a worker that leaves")
		}
	}
}

// A stored submission goes on under a new holder from its record and the listings;
// ends are acknowledged only when their effect is stored.
func TestStoredSubmissionSurvivesItsHolder(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 4, runhost.Work{Time: 300 * ms})
	rec.Transient = false
	w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 7})
	w.run(200 * ms)
	if w.ackedEnds["w0"]+w.ackedEnds["w1"] != 0 {
		t.Error("an end was acknowledged before anything of it was stored")
	}
	w.newHolder(2, true)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 7}})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if w.finals["a"] != submission.Done {
		t.Error("its end was not stored")
	}
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d starts of 4 tasks", n)
	}
}

// Symptom: as above. Sequence: a home hands a submission over a second time, as its link
// was lost, while its rejection is on the way. Cause would be: taking it for a new one.
func TestRejectedSubmissionHandedOverAgainDoesNotRun(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("long", 2, runhost.Work{Time: 2 * time.Second, CPUMilli: 8000}))
	w.run(20 * ms)
	rec := w.submission("short", 1, runhost.Work{Time: 60 * ms})
	rec.Serial = 7
	w.assign(rec)
	w.run(600 * ms)
	w.expectState("short", submission.Rejected)
	w.assign(rec)
	w.run(3 * time.Second)
	if w.startCount("short") != 0 {
		t.Error("it was rejected and has run")
	}
	again := *rec
	again.Serial = 8 // its caller has sent it again
	w.assign(&again)
	w.run(300 * ms)
	w.expectState("short", submission.Done)
}

// Symptom: submissions are refused while workers are free. Sequence: some submissions with
// many steps are under way, the first step of each is running. Cause: the tasks of their
// later steps, which nothing can start yet, counted as waiting for room.
func TestTasksOfLaterStepsDoNotWaitForRoom(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 1, runhost.Work{Time: 500 * ms})
	for i := range 20 {
		next := rec.Steps[0]
		next.Count = 4
		next.DependsOn = []int{i}
		rec.Steps = append(rec.Steps, next)
	}
	w.assign(rec)
	w.run(50 * ms)
	load := w.shard.Load(w.now)
	milli, takes := load.QueuedAhead(0, true)
	if load.FreeSlots(6800, milli) != 3 {
		t.Errorf("%d tasks fit beside one running, want 3", load.FreeSlots(6800, milli))
	}
	if takes > 0 || milli > 0 {
		t.Errorf("%d thousandths of a core and %v ahead while nothing waits for room", milli, takes)
	}
}
