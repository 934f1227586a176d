package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a task with more failed runs than its queue allows. It has failed once, that is stored, and the
// shard gets a new holder, which has to count the stored failure.
func TestFailedRunsCountUnderTheNextHolder(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 1, runhost.Work{Time: 50 * ms, Fails: true})
	rec.Transient = false
	rec.Progress.RecordOutcome(submission.Task{}, 1)
	w.newHolder(2, true)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 7}})
	w.run(2 * time.Second)
	w.expectState("a", submission.Failed)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d runs, want 1 as one of two attempts had failed before", n)
	}
}

// Steps start when those that they depend on are done, also under a holder that adopts the submission.
func TestStepsStartInOrder(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	rec := w.submission("a", 2, runhost.Work{Time: 100 * ms})
	rec.Transient = false
	second := rec.Steps[0]
	second.DependsOn = []int{0}
	rec.Steps = append(rec.Steps, second)
	w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 7})
	w.run(60 * ms)
	if n := w.startCount("a"); n != 2 {
		t.Fatalf("%d starts while the first step runs, want its 2", n)
	}
	w.newHolder(2, true)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 7}})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d starts of 4 tasks", n)
	}
}

// A step that requires a label and allows one of its tasks per worker waits for the workers with the label.
func TestRequiredLabelAndMaxPerWorker(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts["w0"].Info.Labels = []string{"fast"}
	w.hosts["w1"].Info.Labels = []string{"fast"}
	w.updateList()
	w.run(100 * ms)
	rec := w.submission("a", 4, runhost.Work{Time: 100 * ms, CPUMilli: 1000})
	rec.Steps[0].RequiredLabel = "fast"
	rec.Steps[0].MaxPerWorker = 1
	w.assign(rec)
	w.run(50 * ms)
	began := map[string]int{}
	for _, s := range w.starts {
		began[s.Worker.ID]++
	}
	if began["w0"] != 1 || began["w1"] != 1 || began["w2"] != 0 {
		t.Errorf("started on %v, want one each on w0 and w1", began)
	}
	w.run(time.Second)
	w.expectState("a", submission.Done)
}
