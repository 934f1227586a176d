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

// Guards against a task that runs on two workers at once after a change of the holder. The home VM hands the
// submission over before the worker that runs its task has listed it. The run numbers of the resumed
// submission began above those of the earlier holder, so the listed run 1 was taken for an outdated one.
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

// Guards against the same failure when all workers have listed their runs before the home VM hands the
// submission over.
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

// Guards against a task that runs twice at once. A run of an unknown submission is being stopped when the
// home VM hands the submission over. The task was taken for startable, though the run goes on until the stop
// has taken effect.
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

// Guards against a task that runs twice at once. While the store was down, entries of the list of workers
// expired, and a new holder knows only some of the workers. Once all of these had answered, it took the tasks
// on the others for startable.
func TestNewHolderWaitsForWorkersMissingFromTheList(t *testing.T) {
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

// Guards against the removal of a live worker, whose tasks are then started elsewhere while they run. A
// worker crashes and restarts at its address under a new ID, while its old entry has not expired. Each read
// of the list took the old entry for the newer one.
func TestOldEntryDoesNotReplaceANewerWorkerAtItsAddress(t *testing.T) {
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

// Guards against a task that runs twice at once because the answer to a start order was lost that the worker
// carried out. The worker has to be asked before the task is started elsewhere.
func TestLostStartReply(t *testing.T) {
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

// Guards against a task that runs twice at once because a start order without an answer is carried out a
// quarter of a second later, when the task runs elsewhere. The first run has to be stopped before the second
// one is started.
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

// Guards against a task that runs twice at once because its worker is cut off and goes on running it until
// its lease expires.
func TestUnreachableWorkerKeepsItsTasksUntilItsLeaseExpires(t *testing.T) {
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

// Guards against a task that runs twice at once after its home VM was lost. The caller submits again to
// another VM, which gives the submission to another shard, so the first holder has to stop its runs.
func TestRunsOfALostHomeAreStopped(t *testing.T) {
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

// Guards against a rejection that tells the caller that its submission has not run, though a task of it has.
// The task starts, its run ends with its worker's lease, and there is no free capacity until the submission
// is too late.
func TestBegunSubmissionIsNotRejected(t *testing.T) {
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

func TestTooLateSubmissionIsRejectedAtOnce(t *testing.T) {
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
			t.Fatal("a task was started on a worker that had announced that it leaves")
		}
	}
}

// A stored submission goes on under a new holder, which recovers it from its record and the listings. Ended
// runs are acknowledged only once their effect is stored.
func TestStoredSubmissionSurvivesItsHolder(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 4, runhost.Work{Time: 300 * ms})
	rec.Transient = false
	w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 7})
	w.run(200 * ms)
	if w.ackedEnds["w0"]+w.ackedEnds["w1"] != 0 {
		t.Error("an ended run was acknowledged before its effect was stored")
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

// Guards against a submission that runs after it was rejected. Its home VM hands it over a second time, after
// a lost link, while the rejection is in flight. It must not be taken for a new one.
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

// Guards against submissions that are refused while workers are free. Several submissions with many steps are
// running their first step. The tasks of their later steps, which cannot start yet, were counted as waiting
// for capacity.
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

// Guards against a submission that runs again after it has ended, been cancelled or left the shard under an earlier holder,
// as its record turns up in a read that is older than that of the takeover.
func TestRecordOlderThanTheRecoveryIsIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	ended := w.storedSubmission("ended", 1, runhost.Work{Time: 50 * ms})
	missed := w.storedSubmission("missed", 1, runhost.Work{Time: 50 * ms})
	w.newHolder(2, true)
	w.shard.Recover(w.now, nil, 7)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: ended, Revision: 7}, {Record: missed, Revision: 8}})
	w.run(2 * time.Second)
	if n := w.startCount("ended"); n != 0 {
		t.Errorf("%d starts of a submission that had ended before the takeover", n)
	}
	if n := w.startCount("missed"); n != 1 {
		t.Errorf("%d starts of a submission that was stored after the takeover, want 1", n)
	}
}

// Guards against a cancelled submission that runs: the cancellation arrives while a new holder reads the records, or before
// its assignment, also by a shard that it was moved to.
func TestCancellationOfAnUnknownSubmissionIsRemembered(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	read := w.storedSubmission("read", 1, runhost.Work{Time: 50 * ms})
	assigned := w.storedSubmission("assigned", 1, runhost.Work{Time: 50 * ms})
	w.newHolder(2, true)
	moved := w.storedSubmission("moved", 1, runhost.Work{Time: 50 * ms})
	w.shard.recentlyEnded["moved"] = endedJob{reassignedRevision: 4, at: w.now}
	w.shard.CancelStored(w.now, "moved")
	w.shard.CancelStored(w.now, "read")
	w.shard.CancelStored(w.now, "assigned")
	w.shard.Recover(w.now, []StoredRecord{{Record: read, Revision: 5}}, 6)
	w.shard.Assign(w.now, StoredRecord{Record: assigned, Revision: 7})
	w.shard.Assign(w.now, StoredRecord{Record: moved, Revision: 8})
	w.run(2 * time.Second)
	for _, id := range []submission.ID{"read", "assigned", "moved"} {
		if n := w.startCount(id); n != 0 {
			t.Errorf("%s: %d starts after its cancellation", id, n)
		}
		if state, _ := w.shard.State(id); state != submission.Cancelled {
			t.Errorf("%s is %s, want cancelled", id, state)
		}
	}
}
