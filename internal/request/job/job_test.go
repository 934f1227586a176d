package job

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

var start = time.Unix(1000, 0)

// testSpec returns a submission of n tasks that may run on w1 and w2.
func testSpec(n int) Spec {
	return Spec{
		ID:              ticket.ID{Incarnation: 1, Counter: 1},
		Inputs:          make([][]byte, n),
		Deadline:        start.Add(time.Second),
		CloseCandidates: []string{"w1", "w2"},
		SettleTimeout:   100 * time.Millisecond,
	}
}

// Guards against a task that runs on two workers: the home is unreachable, and
// another entry VM seals all candidates and starts the task. The home, which is still
// alive, loses the reply to another start, raises its generation and assigns the task
// too. If the raised generation were above the recovering entry VM's, sealed workers
// would accept the home's start.
func TestRaisedGenerationStaysBelowRecovery(t *testing.T) {
	home := New(testSpec(4), 9)
	recovery, _ := Recover(testSpec(4), 5, []string{"w1", "w2"}, false, ticket.Generation{})
	for range 3 {
		before := home.Generation()
		given := home.Assign("owner", []string{"w1"}, 1)
		home.StartsUnanswered("owner", before, given, "w1")
		if !before.Less(home.Generation()) {
			t.Fatalf("generation %+v is not above %+v after a lost answer", home.Generation(), before)
		}
		if !home.Generation().Less(recovery.Generation()) {
			t.Fatalf("home's %+v passes %+v of the entry VM that recovered", home.Generation(), recovery.Generation())
		}
	}
}

// Guards against a task that runs on two workers: an owner's report "not started" is
// delivered twice, and in between the task is assigned to the same owner again. If
// both assignments had the same generation, the duplicate would count for the second.
func TestDuplicateRefusalDoesNotFreeReassignedTask(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Assign("owner", []string{"w1"}, 1)
	first := j.Generation()
	j.TaskNotStarted("owner", first, 0, reason.WorkerBusy, "w1")
	if len(j.Assign("owner", []string{"w1"}, 1)) != 1 {
		t.Fatal("a returned task was not assigned again")
	}
	j.TaskNotStarted("owner", first, 0, reason.WorkerBusy, "w1")
	if j.Unassigned() != 0 {
		t.Fatal("a duplicate refusal freed an assigned task")
	}
}

// Guards against a task that runs on two workers: a recovering entry VM assigns a
// task, and the refusal of an older start of it arrives and is taken for the refusal
// of the new one. The worker is sealed and has no record yet; then the new start
// arrives. A seal under the generation of the assignment itself would let it through.
func TestSealIsAboveGenerationOfAssignment(t *testing.T) {
	for _, code := range []reason.Code{reason.Sealed, reason.DuplicateTask} {
		j, a := Recover(testSpec(1), 5, []string{"w1"}, false, ticket.Generation{})
		j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: a.Seal[0].Gen, Sealed: true, HighestGen: a.Seal[0].Gen})
		j.Assign("owner", []string{"w1"}, 1)
		assignedGen := j.Generation()
		a = j.TaskNotStarted("owner", assignedGen, 0, code, "w1")
		if len(a.Seal) != 1 || !assignedGen.Less(a.Seal[0].Gen) {
			t.Errorf("%s: seals %+v do not block starts under %+v", code, a.Seal, assignedGen)
		}
	}
}

// Guards against the answer NotRun for a task that ran on a worker that is gone: the
// home is cut off, and a recovering entry VM starts the task on w2 and crashes, as does
// w2. The caller cancels at the home, and w1 refuses to record NotRun since it is
// sealed higher. The home takes over and seals all candidates, and w2 is unreachable.
// That must not count as a failed attempt to record NotRun, after which the record of
// the next candidate would be taken for the proof.
func TestTakeOverCancelsRecordingOfNotRun(t *testing.T) {
	j := New(testSpec(1), 9)
	a := j.Cancel(start)
	closing := a.Seal[0]
	higher := ticket.Generation{Counter: 1, Author: 5}
	takeover := j.TakeOver(higher, []string{"w1", "w2"}, false)
	asked := takeover.Seal[0].Gen
	if a = j.HandleCloseReply(SealReply{Worker: "w1", RequestedGen: closing.Gen, HighestGen: asked}); a.Answer != nil {
		t.Fatalf("a late reply to an earlier closing seal ended the job: %+v", a.Answer)
	}
	j.CloseFailed(closing.Gen)
	j.WorkerUnreachable("w2", asked)
	a = j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: asked, Sealed: true, HighestGen: asked})
	if a.Answer == nil || a.Answer.Outcome != reason.Unknown {
		t.Fatalf("answer %+v, want unknown: w2 may have run the task", a.Answer)
	}
}

// Guards against a cancelled submission that ends as failed although nothing ran. The
// events are those of the test above, but every candidate replies: recording NotRun
// has to start again after the takeover.
func TestNotRunIsRecordedAgainAfterTakeOver(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Cancel(start)
	takeover := j.TakeOver(ticket.Generation{Counter: 1, Author: 5}, []string{"w1"}, false)
	asked := takeover.Seal[0].Gen
	a := j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: asked, Sealed: true, HighestGen: asked})
	if len(a.Seal) != 1 || a.Seal[0].Closed == "" {
		t.Fatalf("actions %+v, want a closing seal", a)
	}
	a = j.CloseFailed(asked)
	a = j.HandleCloseReply(SealReply{Worker: a.Seal[0].Worker, RequestedGen: asked, Sealed: true, HighestGen: asked})
	if a.Answer == nil || a.Answer.Outcome != reason.NotRun {
		t.Fatalf("answer %+v, want not_run", a.Answer)
	}
}

// Guards against a task that runs on two workers: a driver seals w1 under a new
// generation, and w2, which it did not seal, refuses a task assigned before as sealed.
// The driver must not take its seal of w1 for the reason and reassign the task, but
// has to seal w2.
func TestRefusalByUnsealedWorkerIsInvestigated(t *testing.T) {
	j := New(testSpec(2), 9)
	j.Assign("owner", []string{"w1", "w2"}, 2)
	first := j.Generation()
	j.StartsUnanswered("owner", first, []uint32{0}, "w1")
	if a := j.TaskNotStarted("owner", first, 1, reason.Sealed, "w2"); len(a.Seal) != 1 || a.Seal[0].Worker != "w2" {
		t.Fatalf("actions %+v, want a seal of w2", a)
	}
	if j.Unassigned() != 0 {
		t.Fatal("the task can be assigned again")
	}
}

// Guards against a wrong reason in the answer: a job is cancelled while a task runs
// that the home has no report on. The owner stops the task, and its end is the first
// report. The answer has to name the cancellation, not the stopped task.
func TestAnswerNamesCancellationNotTaskStop(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Assign("owner", []string{"w1"}, 1)
	j.Cancel(start)
	a := j.TaskFailed(0, reason.Stopped, "").Answer
	if a == nil || a.Reason != reason.Cancelled || a.Outcome != reason.Failed {
		t.Errorf("answer %+v, want failed, cancelled", a)
	}
}

// Guards against tasks of a failed job that keep running: a recovery finds one task
// running and one failed, and the job fails. No owner of this driver knows the running
// task, so the worker itself has to be told to stop it.
func TestTasksFoundRunningAreStoppedOnFailure(t *testing.T) {
	j, _ := Recover(testSpec(2), 5, []string{"w1", "w2"}, false, ticket.Generation{})
	j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: j.Generation(), Sealed: true, HighestGen: j.Generation(), Records: []Record{{Index: 0, State: RecordRunning}}})
	a := j.HandleSealReply(SealReply{Worker: "w2", RequestedGen: j.Generation(), Sealed: true, HighestGen: j.Generation(), Records: []Record{{Index: 1, State: RecordFailed}}})
	if a.Answer == nil || len(a.Stop) != 1 || a.Stop[0] != "w1" {
		t.Errorf("actions %+v, want an answer and a stop at w1", a)
	}
}

// Guards against two different answers to one job: the driver answered Failed because the reply to its own record of
// NotRun was late, and the caller, who asked another entry VM as well, got NotRun from that record.
func TestLateRecordOfNotRunIsNoFailure(t *testing.T) {
	spec := testSpec(2)
	j := New(spec, 9)
	gen := j.Generation()
	indexes := j.Assign("o1", []string{"w1"}, 2)
	j.GiveUp(start, reason.DeadlineExceeded, "the deadline passed", 0)
	var a Actions
	for _, i := range indexes {
		a = j.TaskNotStarted("o1", gen, i, reason.QueueFull, "")
	}
	if len(a.Seal) != 1 || a.Seal[0].Closed != closedNotRun {
		t.Fatalf("actions %+v, want a record of NotRun at a candidate", a)
	}
	first := j.Tick(start.Add(spec.SettleTimeout)).Answer
	if first == nil || first.Outcome != reason.Unknown {
		t.Fatalf("the answer is %+v, want Unknown", first)
	}
	other, _ := Recover(spec, 7, spec.CloseCandidates, false, gen)
	second := other.HandleSealReply(SealReply{Worker: spec.CloseCandidates[0], RequestedGen: other.Generation(), Sealed: true, HighestGen: other.Generation(), Closed: closedNotRun}).Answer
	if second == nil || second.Outcome != reason.NotRun {
		t.Fatalf("the other VM's answer is %+v, want NotRun", second)
	}
}
