package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against callers that get no result though half of the site is free: all workers of a domain stop
// answering at once under a steady load, and tasks stayed with the shard that they were assigned to,
// whatever happened to its workers.
//
// Half of the capacity is lost at half load: each submission has two tasks of 60 ms.
func TestTasksLeaveAShardThatHasLostItsWorkers(t *testing.T) {
	testWorld(t, func(w *world) {
		var outs []chan Outcome
		for i := range 60 {
			if i == 20 {
				for k := range 3 {
					w.fleet.SetUnreachable(fmt.Sprintf("w-a%d", k), true)
				}
			}
			id := submission.ID(fmt.Sprintf("job%d", i))
			outs = append(outs, w.submit("a1", id, 2, runhost.Work{Time: 60 * ms}, true))
			time.Sleep(40 * ms)
		}
		lost := 0
		for _, out := range outs {
			if o := <-out; o.Kind != Ended || o.State != submission.Done {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d submissions were not done, though the other domain is free", lost, len(outs))
		}
	})
}

// Guards against a submission that waits though workers are free: its home VM assigned it to a full shard, by the
// loads that it knew then, and another shard becomes free earlier. The submission keeps its age in the queue, and
// each of its tasks starts once.
func TestWaitingTasksGoWhereRoomIsFree(t *testing.T) {
	testWorld(t, func(w *world) {
		short := w.submit("b1", "short", 6, runhost.Work{Time: 200 * ms}, true)
		time.Sleep(30 * ms)
		long := w.submit("a1", "long", 6, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(30 * ms)
		var outs []chan Outcome
		began := time.Now()
		for i := range 6 {
			outs = append(outs, w.submit("a1", submission.ID(fmt.Sprintf("waits%d", i)), 1, runhost.Work{Time: 300 * ms}, true))
		}
		for _, out := range outs {
			w.wantEnd(out, submission.Done)
		}
		if took := time.Since(began); took > 540*ms {
			t.Errorf("they ended after %v, though their objective is 540 ms and there was capacity for all after 140 ms", took)
		}
		w.wantEnd(short, submission.Done)
		w.wantEnd(long, submission.Done)
		for i := range 6 {
			if n := w.fleet.Starts(submission.ID(fmt.Sprintf("waits%d", i))); n != 1 {
				t.Errorf("waits%d: %d starts of 1 task", i, n)
			}
		}
	})
}
