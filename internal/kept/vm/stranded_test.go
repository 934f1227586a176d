package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// submitLabelled submits a stored submission of two steps, the second of which needs a label, to a VM.
func (w *world) submitLabelled(at string, id submission.ID, label string) {
	w.t.Helper()
	work := runhost.Work{Time: 300 * ms, CPUMilli: 3000}
	w.fleet.SetWork(id, work)
	rec := newOneStepRecord(id, 2, work)
	rec.Steps = append(rec.Steps, rec.Steps[0])
	rec.Steps[1].DependsOn, rec.Steps[1].RequiredLabel = []int{0}, label
	w.wantAccepted(w.submitRecord(at, rec))
}

// Guards against stored submissions that wait for ever at a shard without a worker that can run them, while workers of
// another domain could.
func TestStoredSubmissionMovesToAShardThatCanRunIt(t *testing.T) {
	testWorldWith(t, func(w *world) { w.addDeskWorker("b-labelled", "b", "x") }, func(w *world) {
		for i := range 3 {
			w.submitLabelled("a1", submission.ID(fmt.Sprint("s", i)), "x")
		}
		time.Sleep(5 * time.Second)
		for i := range 3 {
			id := submission.ID(fmt.Sprint("s", i))
			for _, vm := range []string{"a1", "b2"} {
				if state := w.state(vm, id); state != submission.Done {
					t.Errorf("%s is %s at %s, want done", id, state, vm)
				}
			}
			if n := w.fleet.Starts(id); n != 4 {
				t.Errorf("%s: %d starts of its 4 tasks", id, n)
			}
		}
	})
}

// Guards against a stored submission that is lost, moved back and forth or started twice while no domain has a worker that
// can run it, and against one that does not run once there is such a worker.
func TestStoredSubmissionWaitsForAWorkerThatCanRunIt(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		t.Run("worker comes in "+domain, func(t *testing.T) {
			testWorld(t, func(w *world) {
				w.submitLabelled("a1", "s", "x")
				time.Sleep(10 * time.Second)
				if state := w.state("b2", "s"); state != submission.Running {
					t.Errorf("it is %s, want running", state)
				}
				if r := w.storedRecord("s"); r.Moves != 0 {
					t.Errorf("it was moved %d times, though no shard can run it", r.Moves)
				}
				w.addDeskWorker("new", domain, "x")
				time.Sleep(6 * time.Second)
				if state := w.state("a1", "s"); state != submission.Done {
					t.Errorf("it is %s after a worker has come, want done", state)
				}
				if n := w.fleet.Starts("s"); n != 4 {
					t.Errorf("%d starts of its 4 tasks", n)
				}
			})
		})
	}
}
