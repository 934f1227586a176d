package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a task that runs twice at once, in two failure domains: the holder of the first attempt is suspended just
// before the caller leaves, and the next holder goes on with the runs that it finds.
func TestCancellationToASuspendedHolderEndsBeforeTheNextAttempt(t *testing.T) {
	for _, left := range []time.Duration{0, 20 * ms, 50 * ms, 100 * ms, 150 * ms, 200 * ms} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			const work = 4 * time.Second
			testWorldWith(t, func(w *world) { w.canStandStill = true }, func(w *world) {
				holder := w.holderOf("a")
				leave := w.leavingCaller(otherVM(holder), "job", 1, runhost.Work{Time: work})
				time.Sleep(500 * ms)
				w.standStill(holder, 4*time.Second)
				time.Sleep(left + ms)
				leave()
				time.Sleep(callerRetryDelay)
				w.leavingCaller(otherVM(w.holderOf("b")), "job", 1, runhost.Work{Time: work})
				time.Sleep(work + 2*time.Second)
			})
		})
	}
}

// Guards against a task that runs twice at once, in two failure domains: the home VM of the first attempt holds its shard
// and falls silent, and the next holder goes on with the runs that it finds.
func TestRunsOfASuspendedHomeThatHoldsTheShardEndBeforeTheNextAttempt(t *testing.T) {
	const work = 4 * time.Second
	testWorldWith(t, func(w *world) { w.canStandStill = true }, func(w *world) {
		holder := w.holderOf("a")
		leave := w.leavingCaller(holder, "job", 1, runhost.Work{Time: work})
		time.Sleep(500 * ms)
		w.standStill(holder, 4*time.Second)
		time.Sleep(ms)
		leave()
		time.Sleep(callerRetryDelay)
		leaveAgain := w.leavingCaller(otherVM(w.holderOf("b")), "job", 1, runhost.Work{Time: work})
		time.Sleep(work + 2*time.Second)
		leaveAgain()
	})
}
