package vm

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Symptom: callers are refused for a quarter of a second after all VMs were off. Sequence:
// all VMs lose power and start again; submissions come at once, the shards are recovered
// some hundred milliseconds later. Cause: a VM refused what it could give to no shard yet.
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

// Symptom: a VM that is cut off from everything keeps its callers waiting. Sequence: it is
// up for some time, then it is cut off, and a submission comes. What cannot be served is
// refused at once.
func TestSubmissionsAreQueuedOnlyAtStartup(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, name := range []string{"a2", "b1", "b2"} {
			w.kill(name)
		}
		w.cut("a", true)
		time.Sleep(10 * time.Second)
		began := time.Now()
		o := <-w.submit("a1", "job", 1, runhost.Work{Time: 500 * ms}, true)
		if took := time.Since(began); o.Kind != Refused || took > 50*ms {
			t.Errorf("%+v after %v, want a refusal at once", o, took)
		}
	})
}

// Symptom: a submission runs for a caller that has left. Sequence: it comes to a VM that
// has just started, waits for the first shard, and its caller goes. Cause would be: it is
// kept where nobody looks for it.
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
			t.Errorf("%+v", o)
		}
		time.Sleep(2 * time.Second)
		if n := w.fleet.Starts("job"); n != 0 {
			t.Errorf("%d starts for a caller that had gone", n)
		}
	})
}
