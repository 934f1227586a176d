package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// testEvent runs a function in the engine's round.
type testEvent func()

func (ev testEvent) apply(*engine) { ev() }

// fillQueue has a VM's engine stand still with a full event queue, and returns a function that lets it go on.
func (w *world) fillQueue(name string) (release func()) {
	v := w.vms[name]
	stands, goOn := make(chan struct{}), make(chan struct{})
	v.post(testEvent(func() {
		close(stands)
		<-goOn
	}))
	<-stands
	for v.events.TryPush(testEvent(func() {})) {
	}
	return func() { close(goOn) }
}

// Guards against work that goes on for nobody: its caller leaves while the event queue of the home VM is full.
func TestCallerThatLeavesWhileTheQueueIsFullEndsItsWork(t *testing.T) {
	testWorld(t, func(w *world) {
		home := otherVM(w.holderOf("a"))
		leave := w.leavingCaller(home, "job", 3, runhost.Work{Time: 10 * time.Second})
		time.Sleep(300 * ms)
		release := w.fillQueue(home)
		leave()
		time.Sleep(50 * ms)
		release()
		time.Sleep(500 * ms)
		if n := w.fleet.Running(submission.ID("job")); n > 0 {
			t.Errorf("%d tasks run 500 ms after their caller left", n)
		}
	})
}
