package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a task that runs beside the caller's next attempt: a VM stands still while the request waits in its socket,
// and learns some milliseconds after it has read the request that the caller has left.
func TestRequestOfACallerWhoLeftDuringAStandstillDoesNotStart(t *testing.T) {
	for _, noticed := range []time.Duration{0, ms, 5 * ms, 20 * ms} {
		for _, read := range []time.Duration{0, 10 * ms, 40 * ms} {
			testWorld(t, func(w *world) {
				log := watchStarts(w)
				at := otherVM(w.holderOf("a"))
				w.vms[at].post(engineFunc(func(*engine) { time.Sleep(3 * time.Second) }))
				time.Sleep(3*time.Second + read)
				leave := w.leavingCaller(at, "job", 2, runhost.Work{Time: 100 * ms})
				time.Sleep(noticed)
				leave()
				time.Sleep(time.Second)
				if starts := log.ofSubmission("job"); len(starts) > 0 {
					t.Errorf("read %v after the standstill, left %v later: %v", read, noticed, starts)
				}
			})
		}
	}
}

// Guards against a VM that refuses what its callers wait for after a standstill.
func TestRequestAfterAStandstillIsServed(t *testing.T) {
	testWorld(t, func(w *world) {
		at := otherVM(w.holderOf("a"))
		w.vms[at].post(engineFunc(func(*engine) { time.Sleep(3 * time.Second) }))
		time.Sleep(3 * time.Second)
		out := w.submit(at, "job", 2, runhost.Work{Time: 100 * ms}, true)
		w.wantEnd(out, submission.Done)
	})
}

// Guards against a task that runs beside the caller's next attempt: a VM that stood still takes longer than it settles to
// read the requests that waited in its sockets.
func TestRequestReadLongAfterAStandstillDoesNotStart(t *testing.T) {
	for _, read := range []time.Duration{90 * ms, 120 * ms, 300 * ms} {
		t.Run(fmt.Sprint(read), func(t *testing.T) {
			testWorld(t, func(w *world) {
				log := watchStarts(w)
				at := otherVM(w.holderOf("a"))
				w.vms[at].post(engineFunc(func(*engine) { time.Sleep(3 * time.Second) }))
				time.Sleep(3*time.Second + read)
				leave := w.leavingCaller(at, "job", 2, runhost.Work{Time: 100 * ms})
				time.Sleep(20 * ms)
				leave()
				time.Sleep(time.Second)
				if starts := log.ofSubmission("job"); len(starts) > 0 {
					t.Errorf("read %v after the standstill: %v", read, starts)
				}
			})
		})
	}
}
