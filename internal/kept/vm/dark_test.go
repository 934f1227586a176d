package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Symptom: a submission does not end for as long as a dead worker stands in the list.
// Sequence: a worker that has tasks of it goes dark. Cause: each call without an answer
// extended the worker's lease, as far as its holder knows, so that it was never over.
func TestTasksOfADarkWorkerStartElsewhere(t *testing.T) {
	testWorld(t, func(w *world) {
		out := w.submit("a1", "job", 6, runhost.Work{Time: 800 * ms}, true)
		time.Sleep(300 * ms)
		w.fleet.Darken("w-a0", true)
		began := time.Now()
		w.wantEnd(out, submission.Done)
		if took := time.Since(began); took > 2500*ms {
			t.Errorf("its end came %v after the worker went dark, want a lease, a run and some", took)
		}
		if n := w.fleet.Starts("job"); n < 7 {
			t.Errorf("%d starts: the dark worker had no task of it", n)
		}
	})
}

// Symptom: runs lapse at a sound worker. Sequence: two of its answers in a row are lost.
// Cause would be: not extending its lease until it is asked again at leisure.
func TestTwoLostAnswersCostNoRun(t *testing.T) {
	testWorld(t, func(w *world) {
		out := w.submit("a1", "job", 6, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(500 * ms)
		w.fleet.Darken("w-a0", true)
		time.Sleep(450 * ms) // the hold under way, and one look
		w.fleet.Darken("w-a0", false)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks: runs lapsed", n)
		}
	})
}

// Symptom: short work is late when one of its starts is lost. Sequence: a start has no answer
// and was not carried out; the worker is asked, the start is made void, and the task starts
// again. Cause: the answer was waited for a hundred times as long as answers take.
func TestLostStartIsRetriedInTime(t *testing.T) {
	testWorld(t, func(w *world) {
		for i := range 8 {
			w.wantEnd(w.submit("a1", submission.ID(fmt.Sprint("warm-", i)), 4, runhost.Work{Time: 20 * ms}, true), submission.Done)
		}
		w.fleet.DropStarts(func(s worker.Start) bool { return s.Task.ID == "job" && s.Task.Index == 2 && s.Run == 1 })
		began := time.Now()
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 60 * ms}, true), submission.Done)
		if took := time.Since(began); took > 156*ms {
			t.Errorf("it took %v, its objective is 156ms", took)
		}
	})
}
