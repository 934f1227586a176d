package vm

import (
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against an accepted submission that waits for seconds for nothing: the message that assigns it is lost, and the
// holder's reads of the store are old.
func TestLostAssignmentOfAStoredSubmissionIsRepeated(t *testing.T) {
	var lost atomic.Bool
	testWorldWith(t, func(w *world) {
		w.loseMessages(&lost, func(f *pb.KeptFrame) { f.Assign = nil })
	}, func(w *world) {
		w.store.SetStaleness(6 * time.Second)
		time.Sleep(8 * time.Second)
		home := otherVM(w.holderOf("a"))
		lost.Store(true)
		w.wantAccepted(w.submit(home, "job", 6, runhost.Work{Time: 200 * ms}, false))
		time.Sleep(50 * ms)
		lost.Store(false)
		began := time.Now()
		for w.fleet.Starts("job") == 0 {
			time.Sleep(5 * ms)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("it started %v after it was accepted, want within 1 s", took)
		}
		time.Sleep(2 * time.Second)
		if s, n := w.state(home, "job"), w.fleet.Starts("job"); s != submission.Done || n != 6 {
			t.Errorf("its state is %s after %d starts, want done after 6", s, n)
		}
	})
}
