package vm

import (
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a caller that waits until its time-out without an answer though nothing has run: all
// workers are busy for a long time, and a submission is split over two shards, of which none starts its
// part. Only submissions that one shard has as a whole were ever refused.
func TestSplitSubmissionThatCannotStartIsRefused(t *testing.T) {
	testWorld(t, func(w *world) {
		busy := w.submit("a1", "busy", 12, runhost.Work{Time: 10 * time.Second}, true)
		time.Sleep(300 * ms)
		began := time.Now()
		o := <-w.submit("b1", "wide", 8, runhost.Work{Time: 200 * ms}, true)
		if took := time.Since(began); o.Kind != Refused || took > 1200*ms {
			t.Errorf("the outcome is %+v after %v, want Refused once the submission cannot be done in time", o, took)
		}
		if n := w.fleet.Starts("wide"); n != 0 {
			t.Errorf("%d starts of a submission that was refused", n)
		}
		w.wantEnd(busy, submission.Done)
		time.Sleep(time.Second)
		if n := w.fleet.Starts("wide"); n != 0 {
			t.Errorf("%d starts after the submission was refused", n)
		}
	})
}

// Guards against a caller that is told that its submission has not run though some of it has, and against a
// submission that never ends: one part of a split submission has started when the home VM recalls its
// parts, and the other one is returned. The home VM must neither refuse the submission because of the returned
// part nor lose that part.
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

// Guards against a caller that waits until its time-out without an answer though nothing has run: the recalls of a split
// submission are lost.
func TestLostRecallIsRepeated(t *testing.T) {
	var lost atomic.Bool
	testWorldWith(t, func(w *world) {
		w.loseMessages(&lost, func(f *pb.KeptFrame) { f.TakenBack = nil })
	}, func(w *world) {
		w.submit("a1", "busy", 12, runhost.Work{Time: 10 * time.Second}, true)
		time.Sleep(300 * ms)
		began := time.Now()
		lost.Store(true)
		time.AfterFunc(1100*ms, func() { lost.Store(false) })
		home := otherVM(w.holderOf("b"))
		o := <-w.submit(home, "wide", 8, runhost.Work{Time: 200 * ms}, true)
		if took := time.Since(began); o.Kind != Refused || took > 1500*ms {
			t.Errorf("the outcome is %+v after %v, want Refused", o, took)
		}
		time.Sleep(12 * time.Second)
		if n := w.fleet.Starts("wide"); n != 0 {
			t.Errorf("%d starts of a submission that was refused", n)
		}
	})
}
