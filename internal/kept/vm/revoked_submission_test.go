package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// writesRecord reports whether a call of the store writes a record of a submission.
func writesRecord(c relay.Call, id submission.ID) bool {
	var t store.Txn
	if json.Unmarshal(c.Body, &t) != nil {
		return false
	}
	return slices.ContainsFunc(t.Put, func(p store.Put) bool { return p.Key == submission.OpenKey(id) })
}

// carryOutRecordsLate makes the store carry out writes of a submission's record later, without an answer.
func (w *world) carryOutRecordsLate(id submission.ID, lateness time.Duration) {
	for _, transport := range w.storeTransports {
		transport.CarryOutLate(func(c relay.Call) time.Duration {
			if writesRecord(c, id) {
				return lateness
			}
			return 0
		})
	}
}

// cancelAt cancels a submission and returns the state with which that is answered.
func (w *world) cancelAt(at string, id submission.ID) submission.State {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s, err := w.vms[at].Cancel(ctx, id)
	if err != nil {
		w.t.Fatalf("cancellation of %s at %s: %v", id, at, err)
	}
	return s
}

// wantShown checks the state of a submission at every VM.
func (w *world) wantShown(id submission.ID, want submission.State) {
	w.t.Helper()
	for at := range w.vms {
		if s := w.state(at, id); s != want {
			w.t.Errorf("%s shows %s as %s, want %s", at, id, s, want)
		}
	}
}

// Guards against a submission that starts after its cancellation was acknowledged: no record was there to cancel, and the
// store carries the write of the record out afterwards.
func TestSubmissionCancelledBeforeItsRecordIsStoredNeverRuns(t *testing.T) {
	for _, lateness := range []time.Duration{2500 * ms, 4 * time.Second, 6 * time.Second} {
		for _, at := range []string{"a1", "a2", "b1"} {
			t.Run(fmt.Sprintf("%v, cancelled at %s", lateness, at), func(t *testing.T) {
				testWorld(t, func(w *world) {
					w.carryOutRecordsLate("job", lateness)
					if o := <-w.submit("a1", "job", 2, runhost.Work{Time: 200 * ms}, false); o.Kind != Indeterminate {
						t.Fatalf("the outcome is %+v, want Indeterminate", o)
					}
					if s := w.cancelAt(at, "job"); s != submission.Unknown {
						t.Errorf("the cancellation is answered with %s, want unknown", s)
					}
					time.Sleep(15 * time.Second)
					if n := w.fleet.Starts("job"); n > 0 {
						t.Errorf("%d tasks start after the cancellation", n)
					}
					w.wantShown("job", submission.Unknown)
				})
			})
		}
	}
}

// Guards against a submission that starts after its cancellation was acknowledged: it is cancelled while its record is on
// its way to the store.
func TestSubmissionCancelledWhileItsRecordIsWrittenNeverRuns(t *testing.T) {
	for _, at := range []string{"a1", "a2", "b1"} {
		t.Run(at, func(t *testing.T) {
			testWorld(t, func(w *world) {
				w.storeTransports["a1"].DelayCalls(func(c relay.Call) time.Duration {
					if writesRecord(c, "job") {
						return 300 * ms
					}
					return 0
				})
				out := w.submit("a1", "job", 2, runhost.Work{Time: 200 * ms}, false)
				time.Sleep(100 * ms)
				w.cancelAt(at, "job")
				w.wantAccepted(out)
				w.wantShown("job", submission.Cancelled)
				time.Sleep(10 * time.Second)
				if n := w.fleet.Starts("job"); n > 0 {
					t.Errorf("%d tasks start after the cancellation", n)
				}
			})
		})
	}
}

// Guards against a submission that runs as its caller sends it again after its cancellation, and against one that callers
// are told to send again for ever.
func TestRevokedSubmissionIsShownAsCancelledOnceItIsSubmitted(t *testing.T) {
	testWorld(t, func(w *world) {
		w.cancelAt("a1", "job")
		w.cancelAt("b1", "job")
		w.wantShown("job", submission.Unknown)
		first := w.submit("a2", "job", 2, runhost.Work{Time: 200 * ms}, false)
		second := w.submit("b1", "job", 2, runhost.Work{Time: 200 * ms}, false)
		w.wantAccepted(first)
		w.wantAccepted(second)
		w.wantShown("job", submission.Cancelled)
		if s := w.cancelAt("b2", "job"); s != submission.Cancelled {
			t.Errorf("the cancellation is answered with %s, want cancelled", s)
		}
		time.Sleep(5 * time.Second)
		if n := w.fleet.Starts("job"); n > 0 {
			t.Errorf("%d tasks start after the cancellation", n)
		}
	})
}

// Guards against cancellations of submissions that nobody has sent which stay in the store for ever.
func TestRevocationsAreRemoved(t *testing.T) {
	t.Parallel()
	testWorld(t, func(w *world) {
		w.cancelAt("a1", "job")
		time.Sleep(5 * time.Minute)
		if it, err := w.store.Get(context.Background(), submission.FinalKey("job")); err != nil || it.Revision != 0 {
			t.Errorf("after five minutes it is still there (%v)", err)
		}
	})
}
