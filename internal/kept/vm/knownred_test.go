//go:build knownred

package vm

import (
	"fmt"
	"testing"
	"time"
)

// Guards against cancelled work that runs on, and tasks that run twice at once, where a delayed start also reaches the next
// incarnation of its worker under the same ID.
func TestCancelledWorkEndsThoughStartsOutliveWorkers(t *testing.T) {
	t.Parallel()
	playCancellations(t, func(w *world) { w.fleet.LetStartsOutliveWorkers() })
}

// Guards against two runs of a transient submission's task at once: a holder that hands its shard over stands still and goes
// on extending leases, and the next one, which does not reach the task's worker, takes its runs for ended.
func TestNextHolderOfTransientWorkWaitsForOneThatHandsOver(t *testing.T) {
	for _, stall := range []time.Duration{100 * ms, 300 * ms, 500 * ms, time.Second} {
		t.Run(stall.String(), func(t *testing.T) { playHandover(t, stall, true) })
	}
}

// Guards against a task that runs twice at once: nothing that cancels reaches the holder of the first attempt, which is suspended
// for less than a lease.
func TestLostCancellationAndAHolderThatIsSuspendedForAMoment(t *testing.T) {
	for _, delay := range []time.Duration{100 * ms, 300 * ms, 500 * ms, 700 * ms, 900 * ms} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			playLostCancellationAnd(t, delay, func(w *world, holder string) { w.standStill(holder, 700*ms) })
		})
	}
}

// Guards against two attempts of one caller that run at once in two failure domains, beside up to three faults at once.
func TestRandomAttemptsRunNoTaskTwice(t *testing.T) {
	playAttemptsRuns(t, func(seed uint64) int { return 1 + int(seed%3) })
}
