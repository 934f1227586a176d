package home

import (
	"slices"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

var recovered = ticket.Generation{Counter: 1, Author: recoverer}

// Symptom: tasks run twice after an owner's death. Sequence: an owner dies with
// tasks of which nothing is known; its link ends. Cause would be handing them to
// the next owner before its workers were asked, or under the same generation.
func TestOwnerDies(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 2))
	first := f.takeBatch()
	f.h.OwnerLost("a", "silent")
	f.noBatch()
	seal := f.takeSeals("w1")["w1"]
	if !below(first.Generation, seal.req.Generation) {
		t.Fatalf("seal %v lets starts under %v pass", seal.req.Generation, first.Generation)
	}
	f.accepts(seal, done(0))
	f.pass(f.h.cfg.Settings.HoldBack)
	second := f.takeBatch()
	if second.owner != "b" || !slices.Equal(second.Index, []uint32{1}) {
		t.Fatalf("to %s: tasks %v, want task 1 to b", second.owner, second.Index)
	}
	f.reports(second, done(1))
	f.takeAnswers(reason.Complete)
}

// Symptom: tasks run twice after an owner's death. Sequence: the owner dies, its
// worker is being asked, and the caller asks again, by way of another entry VM
// and with other inputs too. Cause would be a second job beside the first.
func TestOwnerDiesAndTheCallerAsksAgain(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 1))
	f.takeBatch()
	f.h.OwnerLost("a", "silent")
	f.ask(f.submission(1, 1))
	f.ask(f.submission(1, 2))
	f.noBatch()
	if a := f.takeAnswers(reason.Unknown)[0]; a.Reason != reason.PayloadMismatch {
		t.Fatalf("other inputs under the ticket gave %+v", a)
	}
	f.accepts(f.takeSeals("w1")["w1"], done(0))
	f.takeAnswers(reason.Complete, reason.Complete)
	f.noBatch()
}

// Symptom: an answer of the wrong length, or a task that runs again. Sequence:
// the owner is paused, its link counts as lost, its worker is asked; then it
// wakes, and its results and refusals arrive late and doubled. Cause would be
// taking old word for word on the present hand-out.
func TestOwnerPausedAndItsResultsDoubled(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 2))
	first := f.takeBatch()
	f.h.OwnerLost("a", "silent")
	f.pass(0)
	f.reports(first, done(1), refusedBy(reason.StaleEpoch))
	f.reports(first, done(1), refusedBy(reason.StaleEpoch))
	f.noBatch()
	f.accepts(f.takeSeals("w1")["w1"], done(1))
	f.pass(f.h.cfg.Settings.HoldBack)
	second := f.takeBatch()
	f.reports(first, refusedBy(reason.StaleEpoch))
	f.noBatch()
	f.reports(second, done(0), done(0))
	if a := f.takeAnswers(reason.Complete)[0]; len(a.Outputs) != 2 || a.Outputs[0][0] != 0 || a.Outputs[1][0] != 1 {
		t.Fatalf("outputs %v", a.Outputs)
	}
}

// Symptom: a caller gets another caller's answer. Sequence: two submissions run
// at one owner, results come crossed in one message, and doubled. Cause would be
// matching results by order.
func TestAnswersCrossed(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 1))
	f.ask(f.submission(2, 1))
	one, two := f.batches[0], f.batches[1]
	mine := func(b batch, out byte) *pb.RunResult {
		return &pb.RunResult{Submission: b.Submission, Generation: b.Generation, Results: []*pb.TaskResult{{State: pb.TaskState_TASK_STATE_DONE, Output: []byte{out}}}}
	}
	f.h.RunResults("a", []*pb.RunResult{mine(two, 2), mine(two, 2), mine(one, 1)})
	f.pass(0)
	f.ask(f.submission(1, 1))
	f.ask(f.submission(2, 1))
	for i, a := range f.takeAnswers(reason.Complete, reason.Complete, reason.Complete, reason.Complete) {
		if want := []byte{2, 1, 1, 2}[i]; a.Outputs[0][0] != want {
			t.Errorf("answer %d holds output %d, want %d", i, a.Outputs[0][0], want)
		}
	}
}

// Symptom: "not run" for a task that ran. Sequence: the connection to the worker
// breaks after a start, the caller cancels before the worker was asked. Cause
// would be concluding from what the home has heard.
func TestAnswerLostAndCancelled(t *testing.T) {
	f := newFixture(t)
	s := f.submission(1, 1)
	f.ask(s)
	f.reports(f.takeBatch(), result(0, pb.TaskState_TASK_STATE_LOST, reason.LeaseLost))
	f.h.Cancel(s.Ticket.ID, func(bool) {})
	f.pass(0)
	f.takeAnswers()
	f.accepts(f.takeSeals("w1")["w1"], result(0, pb.TaskState_TASK_STATE_RUNNING, ""))
	f.takeAnswers()
	f.accepts(f.takeSeals("w1")["w1"], result(0, pb.TaskState_TASK_STATE_RUNNING, "")) // the end is recorded
	f.takeAnswers(reason.Failed)
}

// Symptom: a cancelled submission is answered only at its deadline. Sequence:
// the owner is silent, the caller cancels. Cause: the home looked after the
// submission again at its deadline, not at the bound on settling an end.
func TestCancelledWhileTheOwnerIsSilent(t *testing.T) {
	f := newFixture(t)
	s := f.submission(1, 1)
	f.ask(s)
	f.h.Cancel(s.Ticket.ID, func(bool) {})
	f.pass(0)
	f.pass(f.h.cfg.Settings.SettleFor)
	f.takeAnswers(reason.Unknown)
}

// Symptom: "not run" for a task that ran long ago. Sequence: a ticket is used
// shortly before it expires, with a late deadline; the owner dies after the
// expiry, when the worker has dropped its record. Cause: the submission outlived
// what proves its starts.
func TestSubmissionEndsWithItsTicket(t *testing.T) {
	f := newFixture(t)
	s := f.submission(1, 1)
	s.Ticket.Expiry = f.now.Add(time.Second)
	f.ask(s)
	f.pass(time.Second)
	f.pass(f.h.cfg.Settings.SettleFor)
	f.takeAnswers(reason.Unknown)
}

// Symptom: tasks run twice. Sequence: the home is cut off and a recovering entry
// VM starts its tasks; the home learns so and points its caller there; the caller
// asks the home again. Cause: the home forgot the submission at once, took it for
// a new one, and handed its tasks out under the generation it had used before.
func TestResubmittedAfterRecoveryElsewhere(t *testing.T) {
	f := newFixture(t)
	f.live[recoverer] = true
	s := f.submission(1, 1)
	f.ask(s)
	f.reports(f.takeBatch(), refusedBy(reason.Sealed))
	f.refuses(f.takeSeals("w1")["w1"], recovered)
	if a := f.takeAnswers(reason.Unknown)[0]; a.Driver != recoverer {
		t.Fatalf("answer %+v, want a pointer to the other driver", a)
	}
	f.pass(time.Second)
	f.ask(s)
	f.noBatch()
	if a := f.takeAnswers(reason.Unknown)[0]; a.Driver != recoverer {
		t.Fatalf("answer %+v, want a pointer to the other driver", a)
	}
	f.h.Cancel(s.Ticket.ID, func(known bool) {
		if known {
			t.Error("a cancellation was taken for a submission that is driven elsewhere")
		}
	})
	f.pass(0)
}

// Symptom: a caller is pointed to a dead entry VM for ever, or a task runs
// twice. Sequence: an entry VM recovers, seals some workers and dies; the home
// comes back and its caller asks again. Cause would be a home that goes on with
// what it knew, or never passes the dead one's generation.
func TestRecovererDiesAndTheHomeComesBack(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 1))
	f.reports(f.takeBatch(), refusedBy(reason.Sealed))
	f.refuses(f.takeSeals("w1")["w1"], recovered)
	f.noBatch()
	seals := f.takeSeals("w1", "w2")
	f.accepts(seals["w1"])
	f.noBatch()
	f.accepts(seals["w2"], done(0))
	f.takeAnswers(reason.Complete)
}

// recovery has the fixture recover a submission of a home that died.
func recovery(f *fixture) map[string]*sealCall {
	s := f.submission(1, 1)
	s.Ticket.ID.Incarnation = 3
	s.Recover = true
	f.ask(s)
	f.noBatch()
	return f.takeSeals("w1", "w2")
}

// Symptom: an order is placed twice. Sequence: the home dies, its caller asks
// elsewhere, and a worker that may have started the task does not answer. Cause
// would be taking silence for "not started".
func TestHomeDiesAndAWorkerIsSilent(t *testing.T) {
	f := newFixture(t)
	seals := recovery(f)
	f.accepts(seals["w1"])
	f.silent(seals["w2"])
	f.noBatch()
	f.takeAnswers(reason.Unknown)
}

// Symptom and cause as above. Sequence: the home dies, and the worker that ran
// the task is restarted and knows nothing of it.
func TestHomeDiesAndAWorkerRestarts(t *testing.T) {
	f := newFixture(t)
	seals := recovery(f)
	if got := seals["w2"].req.WorkerIncarnation; got != 12 {
		t.Fatalf("the seal names incarnation %d, want the candidate's", got)
	}
	f.accepts(seals["w1"])
	seals["w2"].done(&pb.SealResponse{Restarted: true}, nil)
	f.noBatch()
	f.takeAnswers(reason.Unknown)
}

// Symptom: tasks run twice after the home's death. Sequence: the home dies, the
// caller asks at two entry VMs or twice at one; all workers answer. Cause would
// be a second recovery beside the first.
func TestHomeDiesAndTheCallerAsksTwice(t *testing.T) {
	f := newFixture(t)
	seals := recovery(f)
	f.accepts(seals["w1"])
	s := f.submission(1, 1)
	s.Ticket.ID.Incarnation, s.Recover = 3, true
	f.ask(s)
	f.accepts(seals["w2"])
	b := f.takeBatch()
	f.ask(s)
	f.noBatch()
	f.takeSeals()
	f.reports(b, done(0))
	f.takeAnswers(reason.Complete, reason.Complete, reason.Complete)
}

// Symptom: tasks go back and forth until the deadline. Sequence: a candidate is
// restarted while its old lease's tasks wait. Cause would be offering it the
// tasks again, which it refuses for good.
func TestRestartedWorkerGetsNoMoreTasks(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 1))
	first := f.takeBatch()
	if !slices.Equal(first.WorkerIncarnation, []uint64{11}) {
		t.Fatalf("the batch names incarnations %v", first.WorkerIncarnation)
	}
	f.reports(first, refusedBy(reason.WorkerRestarted))
	f.pass(f.h.cfg.Settings.HoldBack)
	if second := f.takeBatch(); second.owner != "b" {
		t.Fatalf("handed to %s again", second.owner)
	}
}

// Symptom: a cut-off failure domain serves nobody. Sequence: every link to other
// entry VMs is lost; a fresh ticket is used. Cause would be waiting for someone
// outside.
func TestDomainCutOff(t *testing.T) {
	f := newFixture(t)
	f.h.OwnerLost("b", "cut off")
	f.ask(f.submission(1, 1))
	f.reports(f.takeBatch(), done(0))
	f.takeSeals()
	f.takeAnswers(reason.Complete)
}

// Symptom: a task is started twice after the death of a home, seen by
// BenchmarkKillEntryVM.
// Sequence: two tickets have the same candidates, and so the same digest; their
// jobs are small and are narrowed to different ones of them. The home handed the
// second job's tasks to the first job's workers; a recovery asked the second
// job's, found nothing there and started the tasks anew.
// Cause: candidate sets were shared by the digest of the ticket.
func TestNarrowedCandidatesAreNotMixedUp(t *testing.T) {
	h := New(Config{Settings: Defaults()})
	one := Submission{Candidates: []ownership.WorkerRef{{ID: "w1", Incarnation: 1}}}
	other := Submission{Candidates: []ownership.WorkerRef{{ID: "w2", Incarnation: 1}}}
	one.Ticket.Digest, other.Ticket.Digest = 7, 7
	o := &owner{name: "e1", workers: []string{"w1", "w2"}, stamp: 1}
	if got := h.candidates(&one).heldBy(o); !slices.Equal(got, []string{"w1"}) {
		t.Errorf("first job may run on %v, want w1", got)
	}
	if got := h.candidates(&other).heldBy(o); !slices.Equal(got, []string{"w2"}) {
		t.Errorf("second job may run on %v, want w2", got)
	}
}

// Symptom: the entry VM ends, or a timeline names a takeover of a submission that
// is complete. Sequence: an owner is silent and its worker is asked; the owner
// wakes and its result completes the submission; then the worker's answer comes,
// and names a later driver that does not live. Cause would be a takeover of what
// ended, whose candidates are not kept.
func TestSealRefusedAfterTheEnd(t *testing.T) {
	f := newFixture(t)
	f.ask(f.submission(1, 1))
	b := f.takeBatch()
	f.h.OwnerLost("a", "silent")
	f.pass(0)
	seal := f.takeSeals("w1")["w1"]
	f.reports(b, done(0))
	f.takeAnswers(reason.Complete)
	f.refuses(seal, ticket.Generation{Counter: 1, Author: recoverer})
	for _, s := range f.h.cfg.Timelines.Steps(ticket.ID{Incarnation: self, Counter: 1}) {
		if s.Event == "takeover" {
			t.Errorf("an ended submission was taken over: %+v", s)
		}
	}
	f.ask(f.submission(1, 1))
	f.takeAnswers(reason.Complete)
}

// Guards against "not run" for a submission that runs afterwards: its caller sent a second request under the ticket
// through another entry VM before the refusal of the first one arrived, and the second one was taken for new.
func TestRequestAfterARefusalIsRefusedAsWell(t *testing.T) {
	f := newFixture(t)
	s := f.refusedAtFirst()
	f.ask(s)
	f.takeAnswers(reason.NotRun)
	f.noBatch()
}

// refusedAtFirst returns a submission whose first request the home has refused, as a later request brings it.
func (f *fixture) refusedAtFirst() Submission {
	f.t.Helper()
	limit := f.h.cfg.Settings.MaxJobs
	f.h.cfg.Settings.MaxJobs = 0
	s := f.submission(1, 1)
	s.First = true
	f.ask(s)
	f.takeAnswers(reason.NotRun)
	f.h.cfg.Settings.MaxJobs = limit
	s.First = false
	return s
}

// Guards against a key that can never be used again: its first request was refused, and it stays bound to the ticket.
func TestRefusedTicketMayBeTriedAgainLater(t *testing.T) {
	f := newFixture(t)
	f.ask(f.refusedAtFirst())
	f.pass(f.takeAnswers(reason.NotRun)[0].RetryAfter)
	again := f.submission(1, 1)
	f.ask(again)
	f.takeBatch()
}
