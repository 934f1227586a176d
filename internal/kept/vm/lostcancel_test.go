package vm

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// lostCancellation is a world in which the cancellations that reach VMs are lost for some time.
type lostCancellation struct {
	*world
	lost   atomic.Bool
	starts *startLog
}

func playLostCancellationOfStored(t *testing.T, scenario func(r *lostCancellation)) {
	t.Helper()
	r := &lostCancellation{}
	testWorldWith(t, func(w *world) {
		r.world = w
		w.loseMessages(&r.lost, dropCancelled)
	}, func(w *world) {
		r.starts = watchStarts(w)
		scenario(r)
	})
}

// submitStored has a stored submission accepted at domain a, some of whose tasks run and some wait.
func (r *lostCancellation) submitStored(work time.Duration) {
	r.wantAccepted(r.submit(r.holderOf("a"), "job", 40, runhost.Work{Time: work}, false))
	time.Sleep(500 * ms)
}

// cancel cancels the submission at a VM, and returns how long that took.
func (r *lostCancellation) cancel(at string) time.Duration {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	before := time.Now()
	if s, err := r.vms[at].Cancel(ctx, "job"); err != nil || s != submission.Cancelled {
		r.t.Fatalf("the cancellation is answered with %s, %v", s, err)
	}
	return time.Since(before)
}

// checkEndsWithin checks that nothing of the submission starts or runs once d has passed.
func (r *lostCancellation) checkEndsWithin(d time.Duration) {
	r.t.Helper()
	time.Sleep(d)
	starts := len(r.starts.ofSubmission("job"))
	if n := r.fleet.Running("job"); n > 0 {
		r.t.Errorf("%d tasks run %v after their cancellation was acknowledged", n, d)
	}
	time.Sleep(10 * time.Second)
	if n := len(r.starts.ofSubmission("job")) - starts; n > 0 {
		r.t.Errorf("%d tasks start later than %v after their cancellation was acknowledged", n, d)
	}
}

// Guards against work that goes on after its cancellation was acknowledged: the message to the holder is lost, and the
// holder's reads of the store are old.
func TestLostCancellationOfAStoredSubmissionIsRepeated(t *testing.T) {
	cancellers := map[string]func(holder string) string{
		"in the holder's domain": otherVM,
		"in another domain":      func(string) string { return "b1" },
	}
	for name, canceller := range cancellers {
		t.Run(name, func(t *testing.T) {
			playLostCancellationOfStored(t, func(r *lostCancellation) {
				r.store.SetStaleness(6 * time.Second)
				r.submitStored(5 * time.Second)
				r.lost.Store(true)
				time.AfterFunc(time.Second, func() { r.lost.Store(false) })
				r.cancel(canceller(r.holderOf("a")))
				r.checkEndsWithin(1500 * ms)
			})
		})
	}
}

// The same where the shard changes hands before the holder hears of the cancellation.
func TestLostCancellationReachesTheNextHolder(t *testing.T) {
	playLostCancellationOfStored(t, func(r *lostCancellation) {
		r.store.SetStaleness(6 * time.Second)
		r.submitStored(5 * time.Second)
		r.lost.Store(true)
		holder := r.holderOf("a")
		r.cancel("b1")
		r.kill(holder)
		time.AfterFunc(time.Second, func() { r.lost.Store(false) })
		r.checkEndsWithin(1500 * ms)
	})
}

// Guards against a VM that takes a cancelled submission for unfinished for good: the VM that has stored the cancellation
// is lost, and its message with it.
func TestSearchShowsThatASubmissionWasCancelled(t *testing.T) {
	for _, staleness := range []time.Duration{0, 1500 * ms, 6 * time.Second} {
		t.Run(staleness.String(), func(t *testing.T) {
			playLostCancellationOfStored(t, func(r *lostCancellation) {
				r.store.SetStaleness(staleness)
				r.submitStored(20 * time.Second)
				r.lost.Store(true)
				r.cancel("b1")
				r.kill("b1")
				r.checkEndsWithin(staleness + rescanInterval + 300*ms)
				if s := r.state(r.holderOf("a"), "job"); s != submission.Cancelled {
					t.Errorf("its state is %s", s)
				}
			})
		})
	}
}

// Guards against an acknowledgement that waits for a holder in vain, or for one that has confirmed.
func TestCancellationIsAcknowledgedSoon(t *testing.T) {
	for name, lost := range map[string]bool{"heard": false, "not heard": true} {
		t.Run(name, func(t *testing.T) {
			playLostCancellationOfStored(t, func(r *lostCancellation) {
				r.submitStored(5 * time.Second)
				r.lost.Store(lost)
				took := r.cancel("b1")
				if limit := map[bool]time.Duration{false: 60 * ms, true: 300 * ms}[lost]; took > limit {
					t.Errorf("the acknowledgement took %v, want at most %v", took, limit)
				}
			})
		})
	}
}

// Guards against work that goes on when the VM that has stored the cancellation is lost as soon as it has acknowledged it,
// with messages that have not left.
func TestAcknowledgedCancellationOutlivesItsVM(t *testing.T) {
	playLostCancellationOfStored(t, func(r *lostCancellation) {
		r.store.SetStaleness(6 * time.Second)
		r.submitStored(5 * time.Second)
		r.lost.Store(true)
		time.AfterFunc(100*ms, func() { r.lost.Store(false) })
		r.cancel("b1")
		r.kill("b1")
		r.checkEndsWithin(300 * ms)
	})
}
