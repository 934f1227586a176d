package vm

import (
	"context"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// wantCrashes checks that a submission has crashed at least one worker and at most a given number, and that no
// task was started more often after crashes than users were promised.
func (w *world) wantCrashes(id submission.ID, maxCrashes int) {
	w.t.Helper()
	if n := w.fleet.Crashes(id); n == 0 || n > maxCrashes {
		w.t.Errorf("%d workers were crashed by %s, want 1 to %d", n, id, maxCrashes)
	}
	if n := w.fleet.MaxStartsAfterCrashLimit(); n > runhost.MaxStartsAfterCrashLimit {
		w.t.Errorf("a task was started %d times after it had crashed %d workers", n, runhost.CrashLimit)
	}
}

// Guards against a task that crashes one worker after the other, and against a caller that gets no result.
func TestSubmissionThatCrashesWorkersFails(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantEnd(w.submit("a1", "poison", 1, runhost.Work{Time: 50 * ms, Crashes: true}, true), submission.Failed)
		w.wantCrashes("poison", 2)
		w.wantEnd(w.submit("a1", "next", 4, runhost.Work{Time: 50 * ms}, true), submission.Done)
	})
}

// Guards against a count of crashed workers that is lost when the holder changes between two crashes.
func TestLossCountSurvivesATakeover(t *testing.T) {
	for name, transient := range map[string]bool{"stored": false, "transient": true} {
		t.Run(name, func(t *testing.T) {
			testWorld(t, func(w *world) {
				home := otherVM(w.holderOf("a"))
				out := w.submit(home, "poison", 1, runhost.Work{Time: 50 * ms, Crashes: true}, transient)
				for w.fleet.Crashes("poison") == 0 {
					time.Sleep(10 * ms)
				}
				time.Sleep(1300 * ms) // the lease of the crashed worker expires
				for _, d := range w.domains {
					if holder := w.holderOf(d); holder != home {
						w.kill(holder)
					}
				}
				if transient {
					<-out // failed, or indeterminate because the holder is lost
				} else {
					w.wantAccepted(out)
					time.Sleep(12 * time.Second)
					if s := w.state(home, "poison"); s != submission.Failed {
						t.Errorf("its state is %s, want failed", s)
					}
				}
				w.wantCrashes("poison", runhost.CrashLimit)
			})
		})
	}
}

// Guards against a home VM that takes the loss of a task's worker for the end of the task.
func TestHomeKeepsLossesApartFromEnds(t *testing.T) {
	v := &VM{now: func() time.Duration { return time.Hour }}
	e := newEngine(context.Background(), v)
	rec := newOneStepRecord("s", 2, runhost.Work{Time: 50 * ms})
	e.transients["s"] = &transientSubmission{record: rec, parts: []*part{{record: rec}}}
	ref := submission.TaskRef{ID: "s", Task: submission.Task{Index: 1}}
	for range 2 {
		frameEvent{from: "a2", frame: &pb.KeptFrame{Losses: []*pb.KeptLosses{{
			Id: "s", Index: 1, Losses: []*pb.KeptLoss{{Worker: "w", Run: 1, Weight: 1}},
		}}}}.apply(e)
	}
	if p := rec.Progress; len(p.Done) > 0 || len(p.Losses[ref.Task]) != 1 {
		t.Errorf("the progress is %+v, want one loss and no end", p)
	}
}
