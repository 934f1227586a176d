package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// assignConfirmed assigns a transient submission whose home VM answers questions, and lets it begin.
func (w *world) assignConfirmed(id submission.ID, serial uint64) *submission.Record {
	r := w.submission(id, 2, runhost.Work{Time: 3 * time.Second})
	r.Home, r.Serial, r.HomeAnswers = "vm0", serial, true
	w.assign(r)
	w.run(50 * ms)
	w.expectState(id, submission.Running)
	return r
}

// Guards against a part that runs on after its home VM gave it up, as the cancellation was lost: the caller sends it again
// after 1.3 s.
func TestPartThatItsHomeDoesNotConfirmEnds(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	began := w.now
	w.assignConfirmed("s", 1)
	w.run(confirmationValidity + confirmTimeout - 100*ms)
	w.expectState("s", submission.Running)
	w.run(100 * ms)
	w.expectState("s", submission.Cancelled)
	w.run(100 * ms)
	if n := w.shard.Size(); n != 0 || w.now-began >= 1300*ms {
		t.Errorf("%d submissions have runs on workers %v after the home sent them", n, w.now-began)
	}
}

// Guards against a part that ends though its home VM waits for it.
func TestConfirmedPartGoesOn(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 1)
	w.homeWaits = func(ConfirmAction) bool { return true }
	w.run(2 * time.Second)
	if n := len(w.questions); n < 7 || n > 8 {
		t.Errorf("the home VM was asked %d times in 2 s, want one question every %v", n, confirmInterval)
	}
	w.expectState("s", submission.Running)
}

// Guards against a holder that stood still and starts tasks that have been given up meanwhile.
func TestHolderThatStoodStillStartsNothingUnconfirmed(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 1)
	starts := w.startCount("s")
	w.now += 3 * time.Second
	w.run(500 * ms)
	if n := w.startCount("s"); n != starts {
		t.Errorf("%d starts after the holder stood still, want none", n-starts)
	}
	w.expectState("s", submission.Cancelled)
}

// Guards against a holder that stood still and ends what its home VM waits for.
func TestHolderThatStoodStillAsksBeforeItEnds(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 1)
	w.now += 3 * time.Second
	w.homeWaits = func(ConfirmAction) bool { return true }
	w.run(4 * time.Second)
	w.expectState("s", submission.Done)
}

// Guards against a part of a home VM of an earlier release, which answers no questions, that ends for lack of an answer.
func TestPartOfAHomeThatDoesNotAnswerGoesOn(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 1).HomeAnswers = false
	w.run(2 * confirmationValidity)
	w.expectState("s", submission.Running)
}

// Guards against a late cancellation of an attempt that ends the next one.
func TestCancellationOfAnEarlierAttemptIsIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 2)
	w.shard.CancelAttempt(w.now, "s", 1)
	if state, _ := w.shard.State("s"); state != submission.Running {
		t.Errorf("the submission is %s after the cancellation of an earlier attempt", state)
	}
	w.shard.CancelAttempt(w.now, "s", 2)
	if state, _ := w.shard.State("s"); state != submission.Cancelled {
		t.Errorf("the submission is %s after its cancellation", state)
	}
}

// Guards against a task that runs twice at once, as its caller's next attempt reaches a new holder before a silent worker has
// answered it, though the holder has been told that an attempt was cancelled under the one before.
func TestNextAttemptWaitsForRunsOfACancelledOne(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	first := w.assignConfirmed("s", 1)
	w.addHost("w1", "10.0.0.1:80")
	w.unreachable["w0"] = true
	w.newHolder(2, true)
	w.run(50 * ms)
	w.shard.CancelAttempt(w.now, "s", 1)
	next := w.nextAttempt(first)
	w.assign(next)
	w.homeWaits = func(c ConfirmAction) bool { return c.Serial == next.Serial }
	w.run(150 * ms)
	w.unreachable["w0"] = false
	w.run(8 * time.Second)
	w.expectState("s", submission.Done)
}

// Guards against a run that goes on at a new holder for as long as that waits for home VMs to hand over their submissions,
// though the run's home VM has cancelled it.
func TestCancelledRunsAreStoppedAtANewHolder(t *testing.T) {
	for _, listed := range []bool{false, true} { // before the cancellation arrives
		w := newWorld(t, 1)
		w.run(100 * ms)
		w.assignConfirmed("s", 1)
		w.newHolder(2, true)
		if listed {
			w.run(50 * ms)
		}
		w.shard.CancelAttempt(w.now, "s", 1)
		w.run(200 * ms)
		if n := len(w.shard.workers["w0"].strayRuns); n > 0 {
			t.Errorf("listed before: %v; %d runs go on 200 ms after their cancellation", listed, n)
		}
	}
}

// Guards against a part that nobody confirms and that goes on for as long as its holder is slow.
func TestPartThatItsHomeDoesNotConfirmEndsAtASlowHolder(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assignConfirmed("s", 1)
	sent := w.now
	for w.now-sent < 2500*ms {
		w.now += confirmTimeout
		w.step()
	}
	if state, _ := w.shard.State("s"); state != submission.Cancelled {
		t.Errorf("the submission is %s %v after its home VM sent it, at a holder whose rounds are %v apart, and was asked %d times", state, w.now-sent,
			confirmTimeout+testTick, len(w.questions))
	}
}
