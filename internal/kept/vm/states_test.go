package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against callers that learn of an end a quarter of a second late, as most callers did that
// asked another VM than the home VM: a caller asks some milliseconds before the VM learns of the end,
// is answered "running", and asks again only after its polling interval. A query was answered with
// the state at that moment, and ends were reported only to the home VM.
func TestStateQueryWaitsForAnImminentEnd(t *testing.T) {
	for _, at := range []string{"a1", "a2", "b1", "b2"} {
		testWorld(t, func(w *world) {
			w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 250 * ms}, false))
			time.Sleep(100 * ms)
			asked := time.Now()
			if s := w.state(at, "kept"); s != submission.Done {
				t.Errorf("its state is %s at %s, want done", s, at)
			}
			if took := time.Since(asked); took > 200*ms {
				t.Errorf("%s answered a query made 150 ms before the end only after %v", at, took)
			}
		})
	}
}

// A query for the state of a submission that does not end soon is answered after finalStateWait.
func TestStateQueryDoesNotWaitForALongSubmission(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 5 * time.Second}, false))
		asked := time.Now()
		for _, at := range []string{"a1", "b1"} {
			if s := w.state(at, "kept"); s != submission.Running {
				t.Errorf("its state is %s at %s, want running", s, at)
			}
		}
		if took := time.Since(asked); took > 3*finalStateWait {
			t.Errorf("two queries took %v", took)
		}
	})
}

// Guards against a home VM that reports a submission as running for ever though it is done. The home
// VM restarts; the holder, in another domain, is killed, and the next holder reports to the home VM
// that the submission runs; the domains are cut off from each other when it ends, and the report of
// the end is lost. A home VM that knew a submission only from such a report did not know which holder
// to ask for its state.
func TestHomeThatStartedAgainAsksForStates(t *testing.T) {
	testWorld(t, func(w *world) {
		filler := w.submit("a1", "fill", 6, runhost.Work{Time: 10 * time.Second}, true)
		time.Sleep(500 * ms)
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 6 * time.Second}, false))
		w.kill("a1")
		w.boot("a1")
		time.Sleep(time.Second)
		w.kill(w.holderOf("b"))
		time.Sleep(2 * time.Second)
		if s := w.state("a1", "kept"); s != submission.Running {
			t.Errorf("its state is %s at its home VM, want running", s)
		}
		w.cut("b", true)
		time.Sleep(4 * time.Second)
		w.cut("b", false)
		time.Sleep(4 * time.Second)
		if s := w.state("a1", "kept"); s != submission.Done {
			t.Errorf("its state is %s at its home VM, want done", s)
		}
		<-filler
	})
}

// Guards against a caller that is shown a submission as running long after its end: it sent the submission again, to the
// holder of its shard, which is not its home.
func TestHolderLearnsOfTheEndOfASubmissionThatWasSentAgain(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		w.wantAccepted(w.submit(otherVM(holder), "job", 2, runhost.Work{Time: 300 * ms}, false))
		time.Sleep(100 * ms)
		w.wantAccepted(w.submit(holder, "job", 2, runhost.Work{Time: 300 * ms}, false))
		time.Sleep(300 * ms)
		if s := w.state(holder, "job"); s != submission.Done {
			t.Errorf("100 ms after the end of its tasks it is %s, want done", s)
		}
	})
}
