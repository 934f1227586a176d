package vm

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// loseHolder has a shard change hands.
var loseHolder = map[string]func(w *world, holder string){
	"handover": func(w *world, holder string) { w.vms[holder].Drain(context.Background()) },
	"killed":   func(w *world, holder string) { w.kill(holder) },
	"cut off": func(w *world, holder string) {
		w.mesh.Kill(addressOf(holder))
		w.storeTransports[holder].SetFault(kvstore.NoReply)
	},
}

// giveUpRunning has a submission run, and returns a function by which its caller gives it up.
func (w *world) giveUpRunning(home string, transient bool) (giveUp func()) {
	work := runhost.Work{Time: 10 * time.Second}
	if transient {
		giveUp = w.leavingCaller(home, "job", 5, work)
	} else {
		w.wantAccepted(w.submit(home, "job", 5, work, false))
		v := w.vms[home]
		giveUp = func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if _, err := v.Cancel(ctx, "job"); err != nil {
				w.t.Errorf("it cannot be cancelled: %v", err)
			}
		}
	}
	time.Sleep(500 * ms)
	return giveUp
}

// Guards against runs that go on beside the caller's next attempt: their stops were under way, or their cancellation was,
// when their shard changed hands.
func TestStopsOutlastAChangeOfTheHolder(t *testing.T) {
	for name, lose := range loseHolder {
		for _, transient := range []bool{false, true} {
			for _, after := range []time.Duration{-20 * ms, 0, 5 * ms} {
				t.Run(fmt.Sprintf("%s, transient %v, %v after", name, transient, after), func(t *testing.T) {
					testWorld(t, func(w *world) {
						holder := w.holderOf("a")
						giveUp := w.giveUpRunning(otherVM(holder), transient)
						time.AfterFunc(50*ms, giveUp)
						time.Sleep(50*ms + after)
						lose(w, holder)
						time.Sleep(callerRetryDelay - max(after, 0))
						if n := w.fleet.Running(submission.ID("job")); n > 0 {
							t.Errorf("%d tasks run on", n)
						}
					})
				})
			}
		}
	}
}
