package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// fillQueue has a VM's engine stand still with a full event queue, and returns a function that lets it go on.
func (w *world) fillQueue(name string) (release func()) {
	v := w.vms[name]
	stands, goOn := make(chan struct{}), make(chan struct{})
	v.post(engineFunc(func(*engine) {
		close(stands)
		<-goOn
	}))
	<-stands
	for v.events.TryPush(engineFunc(func(*engine) {})) {
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

// Guards against a shard without a holder that serves it: the event queue of the VM that takes it over is full when the
// answer to its claim, or to its first read of the records, arrives.
func TestTakeoverEndsThoughTheQueueWasFull(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * ms, 4 * ms, 6 * ms, 8 * ms, 10 * ms, 14 * ms, 18 * ms} {
		t.Run(after.String(), func(t *testing.T) {
			testWorld(t, func(w *world) {
				old := w.holderOf("a")
				next := otherVM(old)
				w.wantAccepted(w.submit(old, "stored", 12, runhost.Work{Time: time.Second}, false))
				time.Sleep(100 * ms)
				w.kill(old)
				for w.holderOf("a") != next {
					time.Sleep(ms / 2)
				}
				time.Sleep(after)
				release := w.fillQueue(next)
				time.Sleep(100 * ms)
				release()
				time.Sleep(5 * time.Second)
				if s := w.state(next, "stored"); s != submission.Done {
					t.Errorf("its state is %s, want done", s)
				}
			})
		})
	}
}

// Guards against a VM that goes by an old site, configuration or evacuation for good: the changes arrive while its event
// queue is full.
func TestChangesInTheStoreOutlastAFullQueue(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		release := w.fillQueue(holder)
		w.store.Put("config/evacuated/a", []byte("1"))
		time.Sleep(100 * ms)
		release()
		time.Sleep(2 * time.Second)
		starts := watchStarts(w)
		for _, at := range []string{"a1", "a2"} {
			w.submit(at, submission.ID(at), 3, runhost.Work{Time: 100 * ms}, true)
		}
		time.Sleep(2 * time.Second)
		if n := len(starts.inDomain("a", w.startedAt, time.Now())); n > 0 {
			t.Errorf("%d starts in a domain that was evacuated 2 s before", n)
		}
	})
}

// Guards against a holder that goes on with what its home has given up: the cancellation arrives while the holder's event
// queue is full. The stream goes on, so nothing makes the home send it again.
func TestCancellationOutlastsAFullQueue(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		leave := w.leavingCaller(otherVM(holder), "job", 3, runhost.Work{Time: 10 * time.Second})
		time.Sleep(300 * ms)
		release := w.fillQueue(holder)
		leave()
		time.Sleep(100 * ms)
		release()
		time.Sleep(300 * ms)
		if n := w.fleet.Running(submission.ID("job")); n > 0 {
			t.Errorf("%d tasks run 400 ms after their caller left", n)
		}
	})
}
