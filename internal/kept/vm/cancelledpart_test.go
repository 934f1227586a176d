package vm

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// cancelLoss drops the cancellations that reach a VM.
type cancelLoss struct {
	link.Events
	on *atomic.Bool
}

func (l *cancelLoss) Frame(from string, f *pb.KeptFrame) {
	if l.on.Load() {
		f.Cancelled = nil
	}
	l.Events.Frame(from, f)
}

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
		w.events = func(_ string, e link.Events) link.Events { return &cancelLoss{e, &lost} }
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
