package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Symptom: a caller waits to the end of its time and gets no word, though nothing has run.
// Sequence: all workers are busy for long; a wide submission comes, is divided over two
// shards, and none of its parts begins. Cause: only a submission that lies whole in one
// shard was ever refused.
func TestSplitSubmissionThatCannotStartIsRefused(t *testing.T) {
	testWorld(t, func(w *world) {
		busy := w.submit("a1", "busy", 12, runhost.Work{Time: 10 * time.Second}, true)
		time.Sleep(300 * ms)
		began := time.Now()
		o := <-w.submit("b1", "wide", 8, runhost.Work{Time: 200 * ms}, true)
		if took := time.Since(began); o.Kind != Refused || took > 1200*ms {
			t.Errorf("%+v after %v, want a refusal once it cannot be done in time", o, took)
		}
		if n := w.fleet.Starts("wide"); n != 0 {
			t.Errorf("%d starts, and its caller was told that it has not run", n)
		}
		w.wantEnd(busy, submission.Done)
		time.Sleep(time.Second)
		if n := w.fleet.Starts("wide"); n != 0 {
			t.Errorf("%d starts after it was refused", n)
		}
	})
}

// Symptom: a caller is told that its submission has not run, and some of it has; or the
// submission never ends. Sequence: one part of a divided submission has begun when its home
// takes the parts back; the other comes back. Cause would be: refusing by the parts that
// came back, or forgetting them.
func TestRecalledPartsAreReassigned(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantEnd(w.submit("a1", "warm", 1, runhost.Work{Time: 50 * ms}, true), submission.Done)
		busy := w.submit("a1", "busy", 11, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(300 * ms)
		out := w.submit("b1", "wide", 8, runhost.Work{Time: 200 * ms}, true)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("wide"); n != 8 {
			t.Errorf("%d starts of 8 tasks", n)
		}
		w.wantEnd(busy, submission.Done)
	})
}
