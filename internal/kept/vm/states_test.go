package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Symptom: callers learn of an end a quarter of a second late, at any VM but the home more
// often than not. Sequence: a caller asks some milliseconds before the end has come here,
// is told "running", and asks again after its pause. Cause: a question was answered with
// the state at that moment, and only the home was told of ends.
func TestStateQueryWaitsForAnImminentEnd(t *testing.T) {
	for _, at := range []string{"a1", "a2", "b1", "b2"} {
		testWorld(t, func(w *world) {
			w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 250 * ms}, false))
			time.Sleep(100 * ms)
			asked := time.Now()
			if s := w.state(at, "kept"); s != submission.Done {
				t.Errorf("it is %s at %s, want done", s, at)
			}
			if took := time.Since(asked); took > 200*ms {
				t.Errorf("%s answered %v after a question 150 ms before the end", at, took)
			}
		})
	}
}

// A question about a submission that goes on is answered all the same, in time.
func TestStateQueryDoesNotWaitForALongSubmission(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 5 * time.Second}, false))
		asked := time.Now()
		for _, at := range []string{"a1", "b1"} {
			if s := w.state(at, "kept"); s != submission.Running {
				t.Errorf("it is %s at %s, want running", s, at)
			}
		}
		if took := time.Since(asked); took > 3*finalStateWait {
			t.Errorf("two answers took %v", took)
		}
	})
}

// Symptom: a submission that is done is shown as running for ever, at one VM. Sequence: its
// home is killed and starts again; so does its holder, in another domain, and the next one
// tells the home that it runs; the domains are cut from each other when it ends, and the
// word is lost. Cause: a home that knows a submission by such a word only did not know
// whom to ask.
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
			t.Errorf("it is %s at its home, want running", s)
		}
		w.cut("b", true)
		time.Sleep(4 * time.Second)
		w.cut("b", false)
		time.Sleep(4 * time.Second)
		if s := w.state("a1", "kept"); s != submission.Done {
			t.Errorf("it is %s at its home, want done", s)
		}
		<-filler
	})
}
