package vm

import (
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// assignLoss drops the submissions that reach a VM.
type assignLoss struct {
	link.Events
	on *atomic.Bool
}

func (l *assignLoss) Frame(from string, f *pb.KeptFrame) {
	if l.on.Load() {
		f.Assign = nil
	}
	l.Events.Frame(from, f)
}

// Guards against an accepted submission that waits for seconds for nothing: the message that assigns it is lost, and the
// holder's reads of the store are old.
func TestLostAssignmentOfAStoredSubmissionIsRepeated(t *testing.T) {
	var lost atomic.Bool
	testWorldWith(t, func(w *world) {
		w.events = func(_ string, e link.Events) link.Events { return &assignLoss{e, &lost} }
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
