package vm

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// maxEvacuationDelay is the time after its acknowledgement within which an evacuation must take effect at every
// VM that reaches the store, directly or through a peer.
const maxEvacuationDelay = time.Second

func (w *world) evacuate(domain string)      { w.store.Put("config/evacuated/"+domain, []byte("{}")) }
func (w *world) endEvacuation(domain string) { w.store.Delete("config/evacuated/" + domain) }

func wantNoStarts(t *testing.T, l *startLog, domain string, from, to time.Time) {
	t.Helper()
	if late := l.inDomain(domain, from, to); len(late) > 0 {
		t.Errorf("%d starts in the evacuated domain, the first %v after the evacuation had to take effect", len(late), late[0].at.Sub(from))
	}
}

// wantStartsAfterReturn checks that tasks start in domain a once the end of its evacuation must have taken
// effect.
func wantStartsAfterReturn(t *testing.T, w *world, l *startLog, every time.Duration) {
	t.Helper()
	back := time.Now().Add(maxEvacuationDelay)
	w.submitRepeatedly("a1", "after", every, 2*time.Second)
	if len(l.inDomain("a", back, time.Now())) == 0 {
		t.Error("no task starts in the domain after its evacuation has ended")
	}
}

// Guards against starts in an evacuated domain while its VMs get a steady load. The other domain serves the
// callers of these VMs, and the domain is used again after the evacuation.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		if done, other := w.submitRepeatedly("a1", "during", 50*ms, 4*time.Second); other > 0 {
			t.Errorf("%d submissions done, %d not, while another domain has capacity", done, other)
		}
		wantNoStarts(t, l, "a", from, time.Now())
		w.endEvacuation("a")
		wantStartsAfterReturn(t, w, l, 50*ms)
	})
}

// Guards against submissions that stay queued in an evacuated domain while another one has free capacity: both
// domains are full and submissions wait in the first one, which is evacuated; then the second becomes free.
// Tasks that run in the first domain go on to their end.
func TestQueuedTasksLeaveAnEvacuatedDomainAtOnce(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		long := w.submit("a1", "long", 6, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(50 * ms)
		short := w.submit("b1", "short", 6, runhost.Work{Time: 500 * ms}, true)
		time.Sleep(50 * ms)
		var waiting []chan Outcome
		for i := range 4 {
			waiting = append(waiting, w.submit("a1", submission.ID(fmt.Sprintf("waits%d", i)), 2, runhost.Work{Time: 400 * ms}, true))
		}
		time.Sleep(50 * ms)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		w.wantEnd(short, submission.Done)
		for i, out := range waiting {
			w.wantEnd(out, submission.Done)
			if n := w.fleet.Starts(submission.ID(fmt.Sprintf("waits%d", i))); n != 2 {
				t.Errorf("a submission of 2 tasks was done after %d starts", n)
			}
		}
		if took := time.Since(from); took > time.Second {
			t.Errorf("the queued submissions ended %v after the evacuation, want at most 1.5 s after there was capacity for all", took+maxEvacuationDelay)
		}
		w.wantEnd(long, submission.Done)
		if n := w.fleet.Starts("long"); n != 6 {
			t.Errorf("%d starts of 6 tasks that ran in the evacuated domain", n)
		}
		wantNoStarts(t, l, "a", from, time.Now())
	})
}

// Guards against a submission that ends before all its tasks have completed, and against tasks that run twice:
// some tasks of the submission run in a domain, and others wait there, when it is evacuated. The waiting tasks
// must run in the other domain, the running ones go on.
func TestPartOfASubmissionLeavesAnEvacuatedDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("b")
		time.Sleep(maxEvacuationDelay)
		half := w.submit("a1", "half", 10, runhost.Work{Time: 500 * ms}, true) // there is capacity for six of the tasks
		time.Sleep(100 * ms)
		l := watchStarts(w)
		w.endEvacuation("b")
		w.evacuate("a")
		w.wantEnd(half, submission.Done)
		if n := w.fleet.Starts("half"); n != 10 {
			t.Errorf("%d starts of 10 tasks", n)
		}
		if n := len(l.inDomain("b", time.Time{}, time.Now())); n != 4 {
			t.Errorf("%d tasks started in the other domain, want the 4 that waited", n)
		}
		for i := range 10 {
			ref := submission.TaskRef{ID: "half", Task: submission.Task{Index: i}}
			if n := w.fleet.Completions(ref); n != 1 {
				t.Errorf("task %d has completed %d times", i, n)
			}
		}
	})
}

// Guards against starts in an evacuated domain after all VMs were killed and started again: the evacuation is
// older than their start, and a new holder starts tasks before its watch of the store has answered.
func TestRestartedVMsReadEvacuationsBeforeFirstStart(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("a")
		time.Sleep(2 * time.Second)
		l := watchStarts(w)
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.kill(name)
		}
		from := time.Now()
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.boot(name)
		}
		w.submitRepeatedly("a1", "job", 20*ms, 3*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		if len(l.inDomain("b", from, time.Now())) == 0 {
			t.Error("no task starts in the other domain either")
		}
	})
}

// Guards against starts in an evacuated domain by the new holder of its shard, which finds stored and transient
// submissions there, after the previous holder was killed.
func TestNewHolderOfAnEvacuatedDomainStartsNothing(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		run := w.submit("b1", "runs", 6, runhost.Work{Time: 2 * time.Second}, true)
		time.Sleep(20 * ms)
		w.wantAccepted(w.submit("b1", "kept", 6, runhost.Work{Time: 300 * ms}, false))
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		time.Sleep(maxEvacuationDelay)
		w.kill(w.holderOf("a"))
		at := "b1"
		w.submitRepeatedly(at, "more", 40*ms, 4*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		w.wantEnd(run, submission.Done)
		if s := w.state("b2", "kept"); s != submission.Done {
			t.Errorf("the state of the stored submission is %s, want done", s)
		}
	})
}

// isConfigWatch reports whether a call reads or watches the operators' configuration.
func isConfigWatch(c relay.Call) bool {
	return strings.Contains(string(c.Body), `"config/"`)
}

// Guards against starts in an evacuated domain for more than a second after the acknowledgement: the
// connections on which the domain's VMs watch the configuration stop answering just before the evacuation,
// and such a watch is given up only after its whole wait. The VMs must learn of the evacuation from peers.
func TestEvacuationComesThroughPeers(t *testing.T) {
	testWorld(t, func(w *world) {
		asked := make(chan struct{}, 64)
		for _, name := range []string{"a1", "a2"} {
			w.storeTransports[name].SilenceCalls(func(c relay.Call) bool {
				if !isConfigWatch(c) {
					return false
				}
				asked <- struct{}{}
				return true
			})
		}
		<-asked
		<-asked // both watches have begun and will get no answer
		l := watchStarts(w)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		w.submitRepeatedly("a1", "job", 20*ms, 3*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
	})
}

// Guards against starts in an evacuated domain by the only VM that runs: it has just started and acquires the
// domain's shard, its watch of the configuration gets no answer, and no peer can pass the evacuation on.
func TestNewHolderReadsEvacuationsFromTheStore(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("a")
		time.Sleep(maxEvacuationDelay)
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.kill(name)
		}
		l := watchStarts(w)
		w.storeTransports["a1"].SilenceCalls(isConfigWatch)
		from := time.Now()
		w.boot("a1")
		w.submitRepeatedly("a1", "job", 20*ms, 4*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		w.holderOf("a")
	})
}

// Guards against an evacuation, or its end, that is never learned of because the store compacts its history
// before the watches have received the change.
func TestEvacuationSurvivesStoreCompaction(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		w.evacuate("a")
		w.store.Compact()
		from := time.Now().Add(maxEvacuationDelay)
		w.submitRepeatedly("a1", "during", 20*ms, 2*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		w.endEvacuation("a")
		w.store.Compact()
		wantStartsAfterReturn(t, w, l, 20*ms)
	})
}

// Guards against callers that wait until their time-out, and against the loss of stored submissions, when all
// domains are evacuated. The stored submission runs after one evacuation has ended.
func TestAllDomainsEvacuated(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		full := w.submit("a1", "full", 12, runhost.Work{Time: 1500 * ms}, true)
		time.Sleep(50 * ms)
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 100 * ms}, false))
		waits := w.submit("b1", "waits", 2, runhost.Work{Time: 400 * ms}, true)
		time.Sleep(20 * ms)
		w.evacuate("a")
		w.evacuate("b")
		began := time.Now()
		if o := <-waits; o.Kind != Refused || o.RetryAfter == 0 {
			t.Errorf("the outcome of the waiting submission is %+v, want Refused with a time to retry", o)
		}
		if took := time.Since(began); took > 100*ms {
			t.Errorf("it was refused after %v, want at most 100 ms", took)
		}
		time.Sleep(maxEvacuationDelay)
		began = time.Now()
		o := <-w.submit("a1", "late", 1, runhost.Work{Time: 40 * ms}, true)
		if o.Kind != Refused || o.RetryAfter == 0 || time.Since(began) > 20*ms {
			t.Errorf("the outcome of a new submission is %+v after %v, want Refused at once", o, time.Since(began))
		}
		w.wantEnd(full, submission.Done)
		time.Sleep(time.Second)
		wantNoStarts(t, l, "a", began, time.Now())
		wantNoStarts(t, l, "b", began, time.Now())
		if w.fleet.Starts("waits")+w.fleet.Starts("late") > 0 {
			t.Error("a refused submission has run")
		}
		w.endEvacuation("b")
		time.Sleep(3 * time.Second)
		if s := w.state("a1", "kept"); s != submission.Done {
			t.Errorf("the state of the stored submission is %s after the evacuation of a domain has ended, want done", s)
		}
	})
}

// Guards against stored submissions that stay queued in an evacuated domain. Some tasks of one of them run when
// the domain is evacuated, none of the other.
func TestStoredSubmissionLeavesAnEvacuatedDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("b")
		time.Sleep(maxEvacuationDelay)
		w.wantAccepted(w.submit("a1", "half", 9, runhost.Work{Time: 500 * ms}, false))
		w.wantAccepted(w.submit("a2", "none", 2, runhost.Work{Time: 500 * ms}, false))
		w.endEvacuation("b")
		time.Sleep(100 * ms)
		l := watchStarts(w)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		time.Sleep(3500 * ms)
		wantNoStarts(t, l, "a", from, time.Now())
		for id, tasks := range map[submission.ID]int{"half": 9, "none": 2} {
			if s := w.state("b2", id); s != submission.Done {
				t.Errorf("the state of %s is %s, want done", id, s)
			}
			if n := w.fleet.Starts(id); n != tasks {
				t.Errorf("%s: %d starts of %d tasks", id, n, tasks)
			}
		}
	})
}

// Guards against the loss of a stored submission, and against tasks that run again after their end: the
// submission is reassigned between the domains as they are evacuated in turn within seconds.
func TestStoredSubmissionComesBackToItsFirstDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		full := w.submit("b1", "full", 12, runhost.Work{Time: 2 * time.Second}, true)
		time.Sleep(50 * ms)
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 100 * ms}, false))
		for range 3 {
			w.evacuate("a")
			time.Sleep(300 * ms)
			w.endEvacuation("a")
			w.evacuate("b")
			time.Sleep(300 * ms)
			w.endEvacuation("b")
		}
		w.wantEnd(full, submission.Done)
		time.Sleep(3 * time.Second)
		if s := w.state("b2", "kept"); s != submission.Done {
			t.Errorf("its state is %s, want done", s)
		}
		if n := w.fleet.Starts("kept"); n != 2 {
			t.Errorf("%d starts of 2 tasks", n)
		}
	})
}

// Guards against starts in an evacuated domain after a partition: the domain is cut off when it is evacuated,
// and its VMs, which cannot know, use its workers until the partition heals.
func TestEvacuationIsInForceSoonAfterACut(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		w.cut("a", true)
		time.Sleep(time.Second)
		w.evacuate("a")
		w.submitRepeatedly("a1", "cut", 50*ms, 2*time.Second)
		w.cut("a", false)
		from := time.Now().Add(2 * maxEvacuationDelay)
		w.submitRepeatedly("a1", "healed", 50*ms, 4*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
	})
}

// Guards against a worker of an evacuated domain that begins a task seconds after the acknowledgement because
// its start order, which got no answer, was delivered late.
func TestUnansweredStartsInAnEvacuatedDomainAreVoid(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		var mu sync.Mutex
		late := true
		w.fleet.DelayStarts(func(s worker.Start) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if late {
				return 600 * ms
			}
			return 0
		})
		job := w.submit("a1", "job", 2, runhost.Work{Time: 100 * ms}, true)
		time.Sleep(30 * ms)
		w.evacuate("a")
		from := time.Now().Add(300 * ms)
		mu.Lock()
		late = false
		mu.Unlock()
		w.wantEnd(job, submission.Done)
		time.Sleep(time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		if n := w.fleet.Starts("job"); n != 2 {
			t.Errorf("%d starts of 2 tasks", n)
		}
	})
}

// Guards against callers of one service that wait until their time-out while others are served: the only domain
// with workers of the service is evacuated.
func TestOnlyDomainWithWorkersOfAServiceIsEvacuated(t *testing.T) {
	testWorld(t, func(w *world) {
		w.addWorker(worker.Info{ID: "w-lab", Service: "lab", Address: "worker-lab", Domain: "a", CPUMilli: 16000, MemMB: 65536})
		w.store.Put("config/catalog", []byte("2"))
		time.Sleep(3 * time.Second)
		ask := func(id submission.ID) (Outcome, time.Duration) {
			work := runhost.Work{Time: 50 * ms, CPUMilli: 6800}
			w.fleet.SetWork(id, work)
			rec := newOneStepRecord(id, 1, work)
			rec.Transient = true
			rec.Terms.Service = "lab"
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return w.vms["b1"].Submit(ctx, rec), time.Since(began)
		}
		if o, _ := ask("before"); o.Kind != Ended || o.State != submission.Done {
			t.Fatalf("before the evacuation: %+v", o)
		}
		w.evacuate("a")
		time.Sleep(maxEvacuationDelay)
		if o, took := ask("during"); o.Kind != Refused || o.RetryAfter == 0 || took > 20*ms {
			t.Errorf("the outcome during the evacuation is %+v after %v, want Refused at once", o, took)
		}
		w.endEvacuation("a")
		time.Sleep(maxEvacuationDelay)
		if o, _ := ask("after"); o.Kind != Ended || o.State != submission.Done {
			t.Errorf("after the evacuation: %+v", o)
		}
	})
}
