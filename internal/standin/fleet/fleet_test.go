package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// A holder is paused, and a run ends by itself on a worker that nobody calls. The holder
// resumes and starts the task on another worker, as the lease has expired. If the simulated
// worker recorded the end only at the next call to it, the fleet would report two runs of the
// task at once, although the first had ended a second earlier (fault soak, seed 145).
func TestEndOfARunIsNotedWithoutACallToItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		for _, id := range []string{"w1", "w2"} {
			f.Add(worker.Info{ID: id, Address: id, Domain: "a", CPUMilli: 16000})
		}
		f.SetWork("job", runhost.Work{Time: 400 * time.Millisecond, CPUMilli: 1000})
		workers := f.ClientFrom("a")
		ref := submission.TaskRef{ID: "job"}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		start := func(id string, run uint64) {
			clock := time.Since(f.startedAt)
			r := workers.Start(ctx, worker.Info{ID: id, Address: id, Domain: "a"}, worker.Start{Task: ref, Run: run, Token: 1, Deadline: clock + 900*time.Millisecond})
			if r.Verdict != worker.Accepted {
				t.Fatalf("%s: %s", id, r.Verdict)
			}
		}
		start("w1", 1)
		time.Sleep(1400 * time.Millisecond)
		start("w2", 2)
		if faults := f.Violations(); len(faults) > 0 {
			t.Error(faults)
		}
	})
}
