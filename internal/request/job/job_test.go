package job

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

var start = time.Unix(1000, 0)

// testSpec is a submission of n tasks that may run on w1 and w2.
func testSpec(n int) Spec {
	return Spec{
		ID:              ticket.ID{Incarnation: 1, Counter: 1},
		Inputs:          make([][]byte, n),
		Deadline:        start.Add(time.Second),
		CloseCandidates: []string{"w1", "w2"},
		SettleTimeout:   100 * time.Millisecond,
	}
}

// Symptom: a task runs on two workers. Sequence: the home can not be reached,
// another entry VM asks all candidates and starts the task; the home, which
// lives, loses the answer of another task, raises its generation and hands the
// first task out as well. Cause: the raised generation was above the recovering
// entry VM's, so workers that this one had sealed accepted the home's start.
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

// Symptom: a task runs on two workers. Sequence: an owner's "not started" is
// delivered twice; the task is handed to the same owner again in between. Cause:
// both hand-outs had one generation, so the copy passed for word on the second.
func TestDuplicateRefusalDoesNotFreeReassignedTask(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Assign("owner", []string{"w1"}, 1)
	first := j.Generation()
	j.TaskNotStarted("owner", first, 0, reason.WorkerBusy, "w1")
	if len(j.Assign("owner", []string{"w1"}, 1)) != 1 {
		t.Fatal("a task that came back was not handed out again")
	}
	j.TaskNotStarted("owner", first, 0, reason.WorkerBusy, "w1")
	if j.Unassigned() != 0 {
		t.Fatal("a doubled refusal freed a task that is handed out")
	}
}

// Symptom: a task runs on two workers. Sequence: an entry VM that recovers hands
// a task out; the refusal of an older start of it arrives in place of this
// one's; the worker is asked, knows nothing yet, and the start arrives after
// that. Cause: the seal was asked under the generation of the hand-out itself,
// which lets its start pass.
func TestSealIsAboveGenerationOfAssignment(t *testing.T) {
	for _, code := range []reason.Code{reason.Sealed, reason.DuplicateTask} {
		j, a := Recover(testSpec(1), 5, []string{"w1"}, false, ticket.Generation{})
		j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: a.Seal[0].Gen, Sealed: true, HighestGen: a.Seal[0].Gen})
		j.Assign("owner", []string{"w1"}, 1)
		handed := j.Generation()
		a = j.TaskNotStarted("owner", handed, 0, code, "w1")
		if len(a.Seal) != 1 || !handed.Less(a.Seal[0].Gen) {
			t.Errorf("%s: seals %+v do not shut out starts under %+v", code, a.Seal, handed)
		}
	}
}

// Symptom: "not run" for a task that ran on a worker which is gone. Sequence: the
// home is cut off, a recovering entry VM starts the task on w2 and dies with it;
// the caller cancels at the home, whose closing is refused on w1; the home takes
// over and asks all candidates; w2 can not be asked. Cause: the answer of w2 was
// taken for a failed closing, and the next candidate's closing for the proof.
func TestTakeOverCancelsRecordingOfNotRun(t *testing.T) {
	j := New(testSpec(1), 9)
	a := j.Cancel(start)
	closing := a.Seal[0]
	higher := ticket.Generation{Counter: 1, Author: 5}
	takeover := j.TakeOver(higher, []string{"w1", "w2"}, false)
	asked := takeover.Seal[0].Gen
	if a = j.HandleCloseReply(SealReply{Worker: "w1", RequestedGen: closing.Gen, HighestGen: asked}); a.Answer != nil {
		t.Fatalf("the late answer to an earlier closing ended the job: %+v", a.Answer)
	}
	j.CloseFailed(closing.Gen)
	j.WorkerUnreachable("w2", asked)
	a = j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: asked, Sealed: true, HighestGen: asked})
	if a.Answer == nil || a.Answer.Outcome != reason.Unknown {
		t.Fatalf("answer %+v, want unknown: w2 may have run the task", a.Answer)
	}
}

// Symptom: a cancelled submission ends as failed although nothing ran. Sequence:
// as above, with every candidate answering. Cause: a closing that was overtaken
// was not begun again.
func TestNotRunIsRecordedAgainAfterTakeOver(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Cancel(start)
	takeover := j.TakeOver(ticket.Generation{Counter: 1, Author: 5}, []string{"w1"}, false)
	asked := takeover.Seal[0].Gen
	a := j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: asked, Sealed: true, HighestGen: asked})
	if len(a.Seal) != 1 || a.Seal[0].Closed == "" {
		t.Fatalf("actions %+v, want a closing", a)
	}
	a = j.CloseFailed(asked)
	a = j.HandleCloseReply(SealReply{Worker: a.Seal[0].Worker, RequestedGen: asked, Sealed: true, HighestGen: asked})
	if a.Answer == nil || a.Answer.Outcome != reason.NotRun {
		t.Fatalf("answer %+v, want not_run", a.Answer)
	}
}

// Symptom: a task runs on two workers. Sequence: a driver asks w1 under a new
// generation; a refusal from w2, which it did not ask, says that a task handed
// out before is sealed off. Cause: its own seal at w1 was taken for the reason,
// and the task was handed out again although w2 was not asked.
func TestRefusalByUnsealedWorkerIsInvestigated(t *testing.T) {
	j := New(testSpec(2), 9)
	j.Assign("owner", []string{"w1", "w2"}, 2)
	first := j.Generation()
	j.StartsUnanswered("owner", first, []uint32{0}, "w1")
	if a := j.TaskNotStarted("owner", first, 1, reason.Sealed, "w2"); len(a.Seal) != 1 || a.Seal[0].Worker != "w2" {
		t.Fatalf("actions %+v, want w2 to be asked", a)
	}
	if j.Unassigned() != 0 {
		t.Fatal("the task is free to hand out")
	}
}

// Symptom: the caller of a cancelled job is told that a task was stopped.
// Sequence: the job is cancelled while a task runs of which the home has no news;
// the owner has it stopped, and its end is the first news. Cause: the end of the
// task was taken for the reason, not the cancellation that led to it.
func TestAnswerNamesCancellationNotTaskStop(t *testing.T) {
	j := New(testSpec(1), 9)
	j.Assign("owner", []string{"w1"}, 1)
	j.Cancel(start)
	a := j.TaskFailed(0, reason.Stopped, "").Answer
	if a == nil || a.Reason != reason.Cancelled || a.Outcome != reason.Failed {
		t.Errorf("answer %+v, want failed, cancelled", a)
	}
}

// Symptom: tasks of a failed job run on. Sequence: a recovery finds one task
// running and one failed; the job fails. Cause: no owner of this driver knows the
// running task, so only the worker itself can be told to stop it.
func TestTasksFoundRunningAreStoppedOnFailure(t *testing.T) {
	j, _ := Recover(testSpec(2), 5, []string{"w1", "w2"}, false, ticket.Generation{})
	j.HandleSealReply(SealReply{Worker: "w1", RequestedGen: j.Generation(), Sealed: true, HighestGen: j.Generation(), Records: []Record{{Index: 0, State: RecordRunning}}})
	a := j.HandleSealReply(SealReply{Worker: "w2", RequestedGen: j.Generation(), Sealed: true, HighestGen: j.Generation(), Records: []Record{{Index: 1, State: RecordFailed}}})
	if a.Answer == nil || len(a.Stop) != 1 || a.Stop[0] != "w1" {
		t.Errorf("actions %+v, want an answer and a stop at w1", a)
	}
}
