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

// Symptom: the fault soak reported two runs of one task at once (its seed 145), though the
// first had ended a second earlier. Sequence: a holder is paused; a run ends by itself on
// a worker that nobody calls; the holder wakes and starts the task elsewhere, as the lease
// is over. Cause: the stand-in noted the end only with the worker's next call.
func TestEndOfARunIsNotedWithoutACallToItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		for _, id := range []string{"w1", "w2"} {
			f.Add(worker.Info{ID: id, Address: id, Domain: "a", CPUMilli: 16000})
		}
		f.SetWork("job", runhost.Work{Time: 400 * time.Millisecond, CPUMilli: 1000})
		orders := f.ClientFrom("a")
		ref := submission.TaskRef{ID: "job"}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		start := func(id string, run uint64) {
			clock := time.Since(f.startedAt)
			r := orders.Start(ctx, worker.Info{ID: id, Address: id, Domain: "a"}, worker.Start{Task: ref, Run: run, Token: 1, Deadline: clock + 900*time.Millisecond})
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
