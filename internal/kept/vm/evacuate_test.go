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

// maxEvacuationDelay is how soon after its acknowledgement an evacuation holds at every VM that is in touch.
const maxEvacuationDelay = time.Second

func (w *world) evacuate(domain string)      { w.store.Put("config/evacuated/"+domain, []byte("{}")) }
func (w *world) endEvacuation(domain string) { w.store.Delete("config/evacuated/" + domain) }

func wantNoStarts(t *testing.T, l *startLog, domain string, from, to time.Time) {
	t.Helper()
	if late := l.inDomain(domain, from, to); len(late) > 0 {
		t.Errorf("%d starts in the evacuated domain, the first %v after it was in force", len(late), late[0].at.Sub(from))
	}
}

// wantStartsAfterReturn checks that work starts in the first domain once its return is in force.
func wantStartsAfterReturn(t *testing.T, w *world, l *startLog, every time.Duration) {
	t.Helper()
	back := time.Now().Add(maxEvacuationDelay)
	w.submitRepeatedly("a1", "after", every, 2*time.Second)
	if len(l.inDomain("a", back, time.Now())) == 0 {
		t.Error("nothing starts in the domain after it was given back")
	}
}

// Symptom: work starts in a domain that an operator has emptied. Sequence: a steady load at its
// VMs, then the evacuation, then its end. Callers of the domain's VMs are served on by others.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		l := watchStarts(w)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		if done, other := w.submitRepeatedly("a1", "during", 50*ms, 4*time.Second); other > 0 {
			t.Errorf("%d done, %d not, while another domain has room", done, other)
		}
		wantNoStarts(t, l, "a", from, time.Now())
		w.endEvacuation("a")
		wantStartsAfterReturn(t, w, l, 50*ms)
	})
}

// Symptom: callers wait for room in an emptied domain while others are free. Sequence: both
// domains are full, a submission waits in the first; that one is evacuated, and the second gets
// free. What runs in the first goes on to its end.
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
				t.Errorf("answered after %d starts of 2 tasks", n)
			}
		}
		if took := time.Since(from); took > time.Second {
			t.Errorf("what waited ended %v after the evacuation, want within 1.5 s of room for all", took+maxEvacuationDelay)
		}
		w.wantEnd(long, submission.Done)
		if n := w.fleet.Starts("long"); n != 6 {
			t.Errorf("%d starts of 6 tasks that ran there", n)
		}
		wantNoStarts(t, l, "a", from, time.Now())
	})
}

// Symptom: an answer before all tasks have completed, or tasks that run twice. Sequence: some tasks
// of a submission run in a domain and others of it wait there when it is evacuated. The latter
// are to run elsewhere, the former go on.
func TestPartOfASubmissionLeavesAnEvacuatedDomain(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("b")
		time.Sleep(maxEvacuationDelay)
		half := w.submit("a1", "half", 10, runhost.Work{Time: 500 * ms}, true) // six of them fit
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
			if n := w.fleet.Done(ref); n != 1 {
				t.Errorf("task %d has completed %d times", i, n)
			}
		}
	})
}

// Symptom: a VM that has just started fills an emptied domain. Sequence: the evacuation is old when
// all VMs are killed and start again. Cause would be: a shard's new holder starts what comes
// before its watch has answered.
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
			t.Error("nothing starts in the other domain either")
		}
	})
}

// Symptom: as above. Sequence: the holder of an evacuated domain's shard is killed; who takes the
// shard finds submissions there, stored and transient ones.
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
			t.Errorf("the stored submission is %s, want done", s)
		}
	})
}

// isConfigWatch reports whether a call follows the operators' configuration.
func isConfigWatch(c relay.Call) bool {
	return strings.Contains(string(c.Body), `"config/"`)
}

// Symptom: work starts in an emptied domain for more than a second after the acknowledgement.
// Sequence: the connections on which the domain's VMs watch the configuration have just gone silent
// when the evacuation comes. Cause: a silent watch is given up only when its wait is over.
func TestEvacuationComesThroughPeers(t *testing.T) {
	testWorld(t, func(w *world) {
		asked := make(chan struct{}, 64)
		for _, name := range []string{"a1", "a2"} {
			w.storeDoors[name].Silence(func(c relay.Call) bool {
				if !isConfigWatch(c) {
					return false
				}
				asked <- struct{}{}
				return true
			})
		}
		<-asked
		<-asked // both watches have begun and will hear nothing
		l := watchStarts(w)
		w.evacuate("a")
		from := time.Now().Add(maxEvacuationDelay)
		w.submitRepeatedly("a1", "job", 20*ms, 3*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
	})
}

// Symptom: a VM that has just started fills an emptied domain. Sequence: all VMs are off; one
// starts, takes the domain's shard, and the connection on which it watches the configuration is
// silent. No peer is there to tell it.
func TestNewHolderReadsEvacuationsFromTheStore(t *testing.T) {
	testWorld(t, func(w *world) {
		w.evacuate("a")
		time.Sleep(maxEvacuationDelay)
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.kill(name)
		}
		l := watchStarts(w)
		w.storeDoors["a1"].Silence(isConfigWatch)
		from := time.Now()
		w.boot("a1")
		w.submitRepeatedly("a1", "job", 20*ms, 4*time.Second)
		wantNoStarts(t, l, "a", from, time.Now())
		w.holderOf("a")
	})
}

// Symptom: an evacuation, or its end, is missed for ever. Sequence: the store drops its history
// with the change in it, and with it what the watches wait for.
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

// Symptom: callers wait to the end of their time, or stored work is lost. Sequence: all domains are
// evacuated, and given back later.
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
			t.Errorf("what waited is answered %+v, want busy with a time to come back", o)
		}
		if took := time.Since(began); took > 100*ms {
			t.Errorf("it was told after %v", took)
		}
		time.Sleep(maxEvacuationDelay)
		began = time.Now()
		o := <-w.submit("a1", "late", 1, runhost.Work{Time: 40 * ms}, true)
		if o.Kind != Refused || o.RetryAfter == 0 || time.Since(began) > 20*ms {
			t.Errorf("a new one is answered %+v after %v, want busy at once", o, time.Since(began))
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
			t.Errorf("the stored submission is %s after a domain was given back", s)
		}
	})
}

// Symptom: accepted work lies in an emptied domain. Sequence: stored submissions wait there, one of
// them half done, when it is evacuated.
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
				t.Errorf("%s is %s, want done", id, s)
			}
			if n := w.fleet.Starts(id); n != tasks {
				t.Errorf("%s: %d starts of %d tasks", id, n, tasks)
			}
		}
	})
}

// Symptom: stored work is forgotten, or a task runs again after its end. Sequence: a submission is
// sent from one domain to the other and back, as they are evacuated in turn within seconds.
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
			t.Errorf("it is %s, want done", s)
		}
		if n := w.fleet.Starts("kept"); n != 2 {
			t.Errorf("%d starts of 2 tasks", n)
		}
	})
}

// Symptom: work starts in an emptied domain after a partition. Sequence: the domain is cut off when
// the operator evacuates it, and cannot know; its VMs go on serving it until the heal.
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

// Symptom: a worker of an emptied domain begins a task seconds after the acknowledgement.
// Sequence: starts have no answer and would be carried out later.
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

// Symptom: callers of one queue wait to the end of their time while others are served. Sequence:
// the one domain with workers of its service is evacuated.
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
			t.Errorf("answered %+v after %v, want busy at once", o, took)
		}
		w.endEvacuation("a")
		time.Sleep(maxEvacuationDelay)
		if o, _ := ask("after"); o.Kind != Ended || o.State != submission.Done {
			t.Errorf("after it was given back: %+v", o)
		}
	})
}
