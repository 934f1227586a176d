package vm

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against refusals in the first quarter of a second after a restart of all VMs: submissions
// arrive at once, the shards are recovered some hundred milliseconds later, and a VM refused
// submissions for which it knew no shard yet.
func TestSubmissionsWaitForTheFirstShards(t *testing.T) {
	testWorld(t, func(w *world) {
		names := []string{"a1", "a2", "b1", "b2"}
		for _, name := range names {
			w.kill(name)
		}
		time.Sleep(time.Second)
		var outs []chan Outcome
		for i, name := range names {
			w.boot(name)
			outs = append(outs, w.submit(name, submission.ID(fmt.Sprint("early-", i)), 1, runhost.Work{Time: 500 * ms}, true))
		}
		for _, out := range outs {
			w.wantEnd(out, submission.Done)
		}
	})
}

// Guards against a VM that keeps its callers waiting when it is cut off from everything: it has run
// for some time, so it must refuse at once a submission that it cannot serve.
func TestSubmissionsAreDeferredOnlyAtStartup(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, name := range []string{"a2", "b1", "b2"} {
			w.kill(name)
		}
		w.cut("a", true)
		time.Sleep(10 * time.Second)
		began := time.Now()
		o := <-w.submit("a1", "job", 1, runhost.Work{Time: 500 * ms}, true)
		if took := time.Since(began); o.Kind != Refused || took > 50*ms {
			t.Errorf("the outcome is %+v after %v, want Refused at once", o, took)
		}
	})
}

// Guards against a submission that runs for a caller that has left: it was sent to a VM that had just
// started, was deferred until a shard is known, and its caller left meanwhile. The VM must drop
// it from the deferred submissions.
func TestCallerLeavesBeforeAShardIsKnown(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.kill(name)
		}
		time.Sleep(time.Second)
		w.boot("a1")
		w.fleet.SetWork("job", runhost.Work{CPUMilli: 6800, Time: 5 * time.Second})
		rec := newOneStepRecord("job", 1, runhost.Work{CPUMilli: 6800, Time: 5 * time.Second})
		rec.Transient = true
		ctx, cancel := context.WithTimeout(context.Background(), 5*ms)
		defer cancel()
		if o := w.vms["a1"].Submit(ctx, rec); o.Kind != Indeterminate {
			t.Errorf("the outcome is %+v, want Indeterminate", o)
		}
		time.Sleep(2 * time.Second)
		if n := w.fleet.Starts("job"); n != 0 {
			t.Errorf("%d starts for a caller that had left", n)
		}
	})
}
