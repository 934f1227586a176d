package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// extremeSteps returns steps with each combination of the smallest and the largest processor, memory, GPUs and estimate that
// a caller may request, and some of the largest count.
func extremeSteps() []submission.Step {
	const largestCount = 4096
	var out []submission.Step
	for i := range 16 {
		pick := func(bit int, largest int64) int64 {
			if i&(1<<bit) == 0 {
				return 0
			}
			return largest
		}
		step := submission.Step{
			CPUMilli:     pick(0, 1<<31),
			Estimate:     time.Duration(pick(1, int64(30*24*time.Hour))),
			MemMB:        pick(2, 1<<40),
			GPU:          pick(3, 1<<31),
			Count:        1,
			MaxPerWorker: i % 2,
		}
		out = append(out, step)
		if step.CPUMilli > 0 && step.Estimate > 0 || i == 0 {
			step.Count = largestCount
			out = append(out, step)
		}
	}
	return out
}

// Guards against VMs that end, and callers that wait or are refused, as the numbers of other callers' submissions are 0,
// or as large as they may be.
func TestExtremeNumbersOfSubmissionsHarmNoOthers(t *testing.T) {
	for _, transient := range []bool{false, true} {
		t.Run(fmt.Sprintf("transient %v", transient), func(t *testing.T) {
			testWorld(t, func(w *world) { w.playExtremeNumbers(transient) })
		})
	}
}

func (w *world) playExtremeNumbers(transient bool) {
	work := runhost.Work{CPUMilli: 6800, Time: 60 * ms}
	for i, step := range extremeSteps() {
		id := submission.ID(fmt.Sprint("extreme", i))
		w.fleet.SetWork(id, runhost.Work{Time: 50 * ms})
		rec := newOneStepRecord(id, 1, work)
		rec.Steps = []submission.Step{step}
		rec.Transient = transient
		if err := rec.Validate(); err != nil {
			w.t.Fatalf("%+v: %v", step, err)
		}
		out := w.submitRecord("a1", rec)
		go func() { <-out }()
		time.Sleep(100 * ms)
		for _, at := range []string{"a2", "b1"} {
			ordinary := submission.ID(fmt.Sprint("ordinary", i, at))
			began := time.Now()
			w.fleet.SetWork(ordinary, work)
			r := newOneStepRecord(ordinary, 2, work)
			r.Transient, r.CallerTimeout = true, 1500*ms
			if o := <-w.submitRecord(at, r); o.Kind != Ended || o.State != submission.Done || time.Since(began) > 500*ms {
				w.t.Errorf("beside %+v an ordinary submission at %s has the outcome %+v after %v", step, at, o, time.Since(began))
			}
		}
	}
	time.Sleep(submitTimeout)
}

// Guards against VMs that end, one after the other, as a task that asks for no processor has to wait: its shard looks for
// room elsewhere, in units of the task's size.
func TestTaskWithoutProcessorThatWaitsEndsNoVM(t *testing.T) {
	for name, step := range map[string]submission.Step{
		"for a GPU":                 {Count: 1, GPU: 1, MemMB: 64},
		"for memory":                {Count: 1, MemMB: 1 << 30},
		"for a worker without them": {Count: 40, MaxPerWorker: 1},
	} {
		for _, transient := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, transient %v", name, transient), func(t *testing.T) {
				testWorld(t, func(w *world) {
					rec := newOneStepRecord("job", 1, runhost.Work{})
					rec.Steps = []submission.Step{step}
					rec.Transient = transient
					w.fleet.SetWork("job", runhost.Work{Time: 500 * ms})
					out := w.submitRecord("a1", rec)
					time.Sleep(2 * time.Second)
					w.wantEnd(w.submit("a2", "other", 2, runhost.Work{Time: 60 * ms}, true), submission.Done)
					<-out
				})
			})
		}
	}
}
