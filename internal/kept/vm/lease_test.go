package vm

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// engineStep is an event that runs a function on the engine's goroutine in the middle of a round.
type engineStep func(e *engine)

func (f engineStep) apply(e *engine) { f(e) }

// newSmallWorld returns a site of one failure domain with one entry VM, a1, and two workers, w-a0 and w-a1.
func newSmallWorld(t *testing.T) *world {
	w := newWorld(t, "a")
	w.policy.LateBinding = false // a submission starts in the round in which it is received
	w.addDeskWorker("a0", "a")
	w.addDeskWorker("a1", "a")
	w.boot("a1")
	time.Sleep(3 * time.Second)
	return w
}

// setSilent sets whether both workers of a small world are unreachable.
func (w *world) setSilent(silent bool) {
	w.fleet.SetUnreachable("w-a0", silent)
	w.fleet.SetUnreachable("w-a1", silent)
}

// submitInRound submits a task of 400 ms to a1, and calls then in the same round, before the task is started.
func (w *world) submitInRound(id submission.ID, then func(e *engine)) chan Outcome {
	work := runhost.Work{Time: 400 * ms, CPUMilli: 6800}
	w.fleet.SetWork(id, work)
	rec := newOneStepRecord(id, 1, work)
	rec.Transient = true
	out := make(chan Outcome, 1)
	w.vms["a1"].post(engineStep(func(e *engine) {
		submitEvent{record: rec, reply: out}.apply(e)
		then(e)
	}))
	return out
}

// expiredLeases counts the workers whose lease has expired.
func (e *engine) expiredLeases() (n int) {
	for _, ws := range e.shards["a/0"].sessions {
		if over, _ := ws.leaseExpired(e.vm.now()); over {
			n++
		}
	}
	return n
}

// Guards against two runs of a task at once: a VM stalls in the middle of a round until the leases of its workers have
// expired, and the expiry releases the tasks that the rest of the round starts.
func TestStartOfAStalledRoundDoesNotRunTwice(t *testing.T) {
	for stall := 900 * ms; stall <= 1500*ms; stall += 50 * ms {
		t.Run(stall.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSmallWorld(t)
				out := w.submitInRound("job", func(e *engine) {
					w.setSilent(true)
					time.Sleep(stall)
					w.setSilent(false)
					if stall >= 1300*ms && e.expiredLeases() < 2 {
						t.Error("the leases have not expired")
					}
				})
				w.wantEnd(out, submission.Done)
				w.end()
			})
		})
	}
}

// Guards against two runs of a task at once: a session concludes that the lease has expired, and the engine starts a
// task there before it learns of the conclusion.
func TestStartOvertakesTheExpiryOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSmallWorld(t)
		out := w.submitInRound("job", func(e *engine) {
			for _, ws := range e.shards["a/0"].sessions {
				e.vm.post(leaseExpiredEvent{session: ws})
			}
		})
		w.wantEnd(out, submission.Done)
		w.end()
	})
}
