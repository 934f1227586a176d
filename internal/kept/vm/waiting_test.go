package vm

import (
	"context"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

func (w *world) waitingAt(at, queue string) int {
	w.t.Helper()
	n, err := w.vms[at].Waiting(context.Background(), queue)
	if err != nil {
		w.t.Error(err)
	}
	return n
}

// Symptom: a queue passes for empty while submissions that were accepted five seconds ago
// have not begun. Sequence: a domain is cut off; in the same second its shard is the one
// with room, and a VM elsewhere stores a submission for it, of which the holder never
// hears. Cause: holders alone counted what waits, and the last word of this one was 0.
func TestWaitingCountsWhatItsHolderHasNotHeardOf(t *testing.T) {
	testWorld(t, func(w *world) {
		filler := w.submit("a1", "fill", 6, runhost.Work{Time: 2 * time.Second}, true)
		time.Sleep(500 * ms)
		w.cut("b", true)
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 100 * ms}, false))
		time.Sleep(5 * time.Second)
		for _, at := range []string{"a1", "a2"} {
			if n := w.waitingAt(at, "q"); n != 1 {
				t.Errorf("%d wait by the word of %s, want 1", n, at)
			}
		}
		w.cut("b", false)
		time.Sleep(4 * time.Second)
		for _, at := range []string{"a1", "a2", "b1", "b2"} {
			if n := w.waitingAt(at, "q"); n != 0 {
				t.Errorf("%d wait by the word of %s after the heal, want 0", n, at)
			}
		}
		<-filler
	})
}

// Symptom: a count jumps back to what it was a second ago. Sequence: two holders pass on reports of
// one domain, the older one comes last. Cause would be: the last to come is taken.
func TestOlderReportOfADomainIsIgnored(t *testing.T) {
	w := newWaitingReports()
	w.updateDomain("a", domainReport{counts: queueCounts{"q": 5}, countedAt: 2 * time.Second})
	w.updateDomain("a", domainReport{counts: queueCounts{"q": 9}, countedAt: time.Second})
	if n := w.fresh(2*time.Second + time.Millisecond)["a"].counts["q"]; n != 5 {
		t.Errorf("%d wait by the reports, want the newer 5", n)
	}
	if len(w.fresh(2*time.Second+maxWaitingReportAge)) != 0 {
		t.Error("a report that is too old is passed on")
	}
}
