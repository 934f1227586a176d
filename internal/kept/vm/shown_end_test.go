package vm

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// writesFinal reports whether a call of the store writes one of the given final states.
func writesFinal(c relay.Call, states ...submission.State) bool {
	var t store.Txn
	if json.Unmarshal(c.Body, &t) != nil {
		return false
	}
	return slices.ContainsFunc(t.Put, func(p store.Put) bool {
		state, _ := submission.ParseState(string(p.Value))
		return strings.HasPrefix(p.Key, submission.FinalPrefix) && slices.Contains(states, state)
	})
}

// delayFinals makes all VMs write final states of the given kinds later.
func (w *world) delayFinals(by time.Duration, states ...submission.State) {
	for _, transport := range w.storeTransports {
		transport.DelayCalls(func(c relay.Call) time.Duration {
			if writesFinal(c, states...) {
				return by
			}
			return 0
		})
	}
}

// restartWorkersOf crashes all workers of a domain and starts others at their addresses.
func (w *world) restartWorkersOf(domain string) {
	for _, name := range []string{"0", "1", "2"} {
		w.putWorkerEntry(w.fleet.RestartWorker("worker-"+domain+name, "w-"+domain+name+"-next"))
	}
}

// Guards against a submission that was shown as ended and starts again: its holder and the workers that list the ends of
// its runs are lost before the end is stored.
func TestSubmissionShownAsEndedNeverStartsAgain(t *testing.T) {
	for _, lostAfter := range []time.Duration{60 * ms, 100 * ms, 150 * ms, 300 * ms, 450 * ms} {
		for _, fails := range []bool{false, true} {
			t.Run(lostAfter.String()+map[bool]string{true: ", failed"}[fails], func(t *testing.T) {
				testWorld(t, func(w *world) { playLossAfterAnEnd(w, lostAfter, fails) })
			})
		}
	}
}

// playLossAfterAnEnd lets a submission end while the store takes 400 ms for it, asks all VMs for its state, and loses the
// holder and the workers of its domain some time after the end of its tasks.
func playLossAfterAnEnd(w *world, lostAfter time.Duration, fails bool) {
	const work = 200 * ms
	starts := watchStarts(w)
	holder := w.holderOf("a")
	w.delayFinals(400*ms, submission.Done, submission.Failed)
	rec := newOneStepRecord("job", 2, runhost.Work{CPUMilli: 6800, Time: work, Fails: fails})
	rec.Terms.Attempts = 1
	w.fleet.SetWork("job", runhost.Work{CPUMilli: 6800, Time: work, Fails: fails})
	w.wantAccepted(w.submitRecord(holder, rec))
	shown := w.watchForEnd("job")
	time.Sleep(work + lostAfter)
	w.restartWorkersOf("a")
	w.kill(holder)
	time.Sleep(20 * time.Second)
	state, at := shown()
	if !state.Final() {
		w.t.Errorf("after 20 s the submission is %s", state)
	}
	for _, s := range starts.ofSubmission("job") {
		if s.at.After(at) {
			w.t.Errorf("%v starts %v after the submission was shown as %s", s.task, s.at.Sub(at), state)
		}
	}
}

// watchForEnd asks all VMs for the state of a submission again and again. The function that it returns stops this, and
// returns the first final state that was shown, and when.
func (w *world) watchForEnd(id submission.ID) func() (submission.State, time.Time) {
	var mu sync.Mutex
	var shown submission.State
	var at time.Time
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * ms):
				}
				state, err := v.State(w.t.Context(), id)
				mu.Lock()
				if err == nil && state.Final() && !shown.Final() {
					shown, at = state, time.Now()
				}
				mu.Unlock()
			}
		})
	}
	return func() (submission.State, time.Time) {
		close(stop)
		all.Wait()
		return shown, at
	}
}

// Guards against two answers about one submission: its tasks have completed, and it is cancelled before that is stored.
func TestSubmissionCancelledBeforeItsEndIsStoredIsShownAsCancelled(t *testing.T) {
	for _, at := range []string{"a1", "a2", "b1"} {
		t.Run(at, func(t *testing.T) {
			testWorld(t, func(w *world) {
				w.delayFinals(400*ms, submission.Done)
				w.wantAccepted(w.submit(otherVM(w.holderOf("a")), "job", 2, runhost.Work{Time: 200 * ms}, false))
				time.Sleep(400 * ms)
				if s := w.cancelAt(at, "job"); s != submission.Cancelled {
					t.Errorf("the cancellation is answered with %s, want cancelled", s)
				}
				w.wantShown("job", submission.Cancelled)
				time.Sleep(5 * time.Second)
				w.wantShown("job", submission.Cancelled)
			})
		})
	}
}
