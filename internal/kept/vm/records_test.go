package vm

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against stored submissions that run again after they have ended: a new holder finds their records in reads that
// are older than its takeover.
func TestNewHolderRunsNoEndedSubmissionAgain(t *testing.T) {
	for _, staleness := range []time.Duration{0, 1500 * ms, 2 * time.Second, 6 * time.Second} {
		t.Run(staleness.String(), func(t *testing.T) {
			testWorld(t, func(w *world) {
				w.store.SetStaleness(staleness)
				old := w.holderOf("a")
				var ids []submission.ID
				for i := range 30 {
					id := submission.ID(fmt.Sprint("s", i))
					ids = append(ids, id)
					w.wantAccepted(w.submit(otherVM(old), id, 1, runhost.Work{Time: 200 * ms}, false))
					time.Sleep(100 * ms)
				}
				time.Sleep(300 * ms)
				w.vms[old].Drain(context.Background())
				w.kill(old)
				time.Sleep(10 * time.Second)
				for _, id := range ids {
					if n := w.fleet.Starts(id); n != 1 {
						t.Errorf("%s: %d starts, want 1", id, n)
					}
					if state := w.state(otherVM(old), id); state != submission.Done {
						t.Errorf("%s is %s, want done", id, state)
					}
				}
			})
		})
	}
}

// Guards against a cancelled submission that runs: its holder, which was told neither of it nor of its cancellation, finds
// its record in a stale read. One that is not cancelled still has to be found.
func TestSearchedRecordsAreReadAgain(t *testing.T) {
	var deaf atomic.Bool
	testWorldWith(t, func(w *world) {
		w.loseMessages(&deaf, func(f *pb.KeptFrame) { f.Assign, f.Cancelled = nil, nil })
	}, func(w *world) {
		w.store.SetStaleness(2 * time.Second)
		home := otherVM(w.holderOf("a"))
		deaf.Store(true)
		w.wantAccepted(w.submit(home, "cancelled", 1, runhost.Work{Time: 200 * ms}, false))
		w.wantAccepted(w.submit(home, "unfinished", 1, runhost.Work{Time: 200 * ms}, false))
		time.Sleep(1200 * ms)
		if state, err := w.vms[home].Cancel(context.Background(), "cancelled"); err != nil || state != submission.Cancelled {
			t.Fatalf("it cannot be cancelled: %v, %v", state, err)
		}
		time.Sleep(10 * time.Second)
		if n := w.fleet.Starts("cancelled"); n != 0 {
			t.Errorf("%d starts of a cancelled submission", n)
		}
		if n := w.fleet.Starts("unfinished"); n != 1 {
			t.Errorf("%d starts of a submission that its holder was not told of, want 1", n)
		}
	})
}
