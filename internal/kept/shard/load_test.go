package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// assignMany assigns n submissions of 4096 tasks of a step.
func (w *world) assignMany(n int, step submission.Step) {
	for i := range n {
		r := w.submission(submission.ID(fmt.Sprint("s", i)), 1, runhost.Work{CPUMilli: step.CPUMilli, Hangs: true})
		step.Count = 4096
		r.Steps = []submission.Step{step}
		w.assign(r)
	}
}

// Guards against callers that are refused, or sent to a full shard: the work that waits there is so large that its sum
// turns negative.
func TestQueuedWorkIsNeverNegative(t *testing.T) {
	for n := 1; n <= 8; n++ {
		w := newWorld(t, 1)
		w.run(100 * ms)
		w.assignMany(n, submission.Step{CPUMilli: 16000, MemMB: 64, Estimate: 30 * 24 * time.Hour})
		w.run(20 * ms)
		load := w.shard.Load(w.now)
		backlog := Backlog([]*Load{&load, &load, &load}, nil, 0, 1000)
		if milli, drainTime := load.QueuedAhead(0, true); milli <= 0 || drainTime <= 0 || backlog.Ahead <= 0 || backlog.InTime <= 0 {
			t.Errorf("%d submissions: %d thousandths of a core wait, for %v, backlog %+v", n, milli, drainTime, backlog)
		}
	}
}

// Guards against callers that are refused as their work would wait behind tasks that no worker can ever run.
func TestTasksThatNoWorkerHoldsKeepNobodyWaiting(t *testing.T) {
	for name, step := range map[string]submission.Step{
		"processor": {CPUMilli: 16001, MemMB: 64, Estimate: time.Hour},
		"memory":    {CPUMilli: 1000, MemMB: 65537, Estimate: time.Hour},
		"GPUs":      {CPUMilli: 1000, MemMB: 64, GPU: 1, Estimate: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.run(100 * ms)
			w.assignMany(3, step)
			load := w.shard.Load(w.now)
			if milli, drainTime := load.QueuedAhead(0, true); milli != 0 || drainTime != 0 {
				t.Errorf("%d thousandths of a core wait, for %v", milli, drainTime)
			}
		})
	}
}
