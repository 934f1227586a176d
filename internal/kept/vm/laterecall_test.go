package vm

import (
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a late recall of an attempt that takes back the next one.
func TestRecallOfAnEarlierAttemptIsIgnored(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		fill := w.submit(otherVM(holder), "fill", 6, runhost.Work{Time: 2 * time.Second}, true)
		time.Sleep(50 * ms)
		states := make(chan [2]submission.State, 1)
		w.vms[holder].post(engineFunc(func(e *engine) {
			r := newOneStepRecord("job", 1, runhost.Work{Time: 100 * ms, CPUMilli: 16000})
			r.Transient, r.Serial, r.Home, r.Shard, r.Token = true, 2, "b1", "a/0", e.shards["a/0"].holding.Token
			e.receiveTransient("b1", r, false, 0)
			before, _ := e.shards["a/0"].core.State("job")
			e.receiveRecall(&pb.KeptRef{Id: "job", Shard: "a/0", Serial: 1})
			after, _ := e.shards["a/0"].core.State("job")
			states <- [2]submission.State{before, after}
		}))
		if s := <-states; s[0] != s[1] {
			t.Errorf("the part was %s, and is %s after the recall of an earlier attempt", s[0], s[1])
		}
		<-fill
	})
}
