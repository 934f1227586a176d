package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a submission that does not end while a dead worker is still in the list: a worker
// that runs some of its tasks stops answering, and in its holder's reckoning each call without an
// answer extended the worker's lease, so that it never expired.
func TestTasksOfAnUnreachableWorkerStartElsewhere(t *testing.T) {
	testWorld(t, func(w *world) {
		out := w.submit("a1", "job", 6, runhost.Work{Time: 800 * ms}, true)
		time.Sleep(300 * ms)
		w.fleet.SetUnreachable("w-a0", true)
		began := time.Now()
		w.wantEnd(out, submission.Done)
		if took := time.Since(began); took > 2500*ms {
			t.Errorf("it ended %v after the worker stopped answering, want at most 2.5 s: a lease, a run and a margin", took)
		}
		if n := w.fleet.Starts("job"); n < 7 {
			t.Errorf("%d starts: the worker that stopped answering had no task of the submission", n)
		}
	})
}

// Guards against runs that lapse on a healthy worker because two of its answers in a row are lost and
// its lease is not extended until the next regular call.
func TestTwoLostAnswersCostNoRun(t *testing.T) {
	testWorld(t, func(w *world) {
		out := w.submit("a1", "job", 6, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(500 * ms)
		w.fleet.SetUnreachable("w-a0", true)
		time.Sleep(450 * ms) // the hold in flight, and one probe
		w.fleet.SetUnreachable("w-a0", false)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks: runs lapsed", n)
		}
	})
}

// Guards against short tasks that are late when one of their starts is lost: the start gets no answer
// and was not carried out; the holder lists the worker's runs, voids the start, and starts the task
// again. The time-out of the start was a hundred times the usual response time.
func TestLostStartIsRetriedInTime(t *testing.T) {
	testWorld(t, func(w *world) {
		for i := range 8 {
			w.wantEnd(w.submit("a1", submission.ID(fmt.Sprint("warm-", i)), 4, runhost.Work{Time: 20 * ms}, true), submission.Done)
		}
		w.fleet.DropStarts(func(s worker.Start) bool { return s.Task.ID == "job" && s.Task.Index == 2 && s.Run == 1 })
		began := time.Now()
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 60 * ms}, true), submission.Done)
		if took := time.Since(began); took > 156*ms {
			t.Errorf("it took %v, but its objective is 156 ms", took)
		}
	})
}
