package vm

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// leavingCaller sends a transient submission to a VM, and returns a function by which the caller leaves.
func (w *world) leavingCaller(at string, id submission.ID, tasks int, work runhost.Work) (leave func()) {
	work.CPUMilli = 6800
	w.fleet.SetWork(id, work)
	rec := newOneStepRecord(id, tasks, work)
	rec.Transient = true
	ctx, leave := context.WithCancel(context.Background())
	go w.vms[at].Submit(ctx, rec)
	return leave
}

// Guards against a task that runs twice at once, in two failure domains: the cancellation of the first attempt is lost,
// and the caller's next attempt goes to the other domain.
func TestLostCancellationEndsBeforeTheNextAttempt(t *testing.T) {
	for _, tasks := range []int{1, 3, 6, 9} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) { playLostCancellation(t, tasks) })
	}
}

func playLostCancellation(t *testing.T, tasks int) {
	const work = 3 * time.Second
	var lost atomic.Bool
	testWorldWith(t, func(w *world) {
		w.loseMessages(&lost, dropCancelled)
	}, func(w *world) {
		leave := w.leavingCaller(otherVM(w.holderOf("a")), "job", tasks, runhost.Work{Time: work})
		time.Sleep(500 * ms)
		lost.Store(true)
		leave()
		time.Sleep(50 * ms)
		lost.Store(false)
		time.Sleep(callerRetryDelay - 50*ms)
		w.leavingCaller(otherVM(w.holderOf("b")), "job", tasks, runhost.Work{Time: work})
		time.Sleep(work + 2*time.Second)
	})
}

// Guards against a task that runs twice at once, in two failure domains: its home is cut off as the caller leaves, and the
// shard that has it is handed over, before its holder has ended it, to a VM that waits for the home.
func TestShardIsHandedOverAfterItsHomeWasCutOff(t *testing.T) {
	for _, after := range []time.Duration{200 * ms, 600 * ms, 800 * ms, 900 * ms, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			testWorldWith(t, func(w *world) { w.domains = []string{"a", "b", "c"} }, func(w *world) {
				home := otherVM(w.holderOf("a"))
				w.evacuate("a")
				time.Sleep(200 * ms)
				log := watchStarts(w)
				leave := w.leavingCaller(home, "job", 2, runhost.Work{Time: 4 * time.Second})
				time.Sleep(500 * ms)
				starts := log.ofSubmission("job")
				if len(starts) != 2 || starts[0].domain == "a" {
					t.Fatalf("the tasks have not started in another domain: %v", starts)
				}
				next := map[string]string{"b": "c", "c": "b"}[starts[0].domain]
				w.cut("a", true)
				leave()
				time.Sleep(after)
				go w.vms[w.holderOf(starts[0].domain)].Drain(context.Background())
				time.Sleep(callerRetryDelay - after)
				w.leavingCaller(otherVM(w.holderOf(next)), "job", 2, runhost.Work{Time: 4 * time.Second})
				time.Sleep(6 * time.Second)
			})
		})
	}
}
