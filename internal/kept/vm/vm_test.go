package vm

import (
	"context"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

func TestTransientSubmissionIsAnsweredWhenItEnds(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantEnd(w.submit("a1", "one", 3, runhost.Work{Time: 200 * ms}, true), submission.Done)
		w.wantEnd(w.submit("b2", "two", 2, runhost.Work{Time: 50 * ms, Fails: true}, true), submission.Failed)
		if n := w.fleet.Starts("one"); n != 3 {
			t.Errorf("%d starts of 3 tasks", n)
		}
	})
}

// A submission with more tasks than its shard has room for is spread: both domains of
// the site take 6 tasks each.
func TestWideSubmissionIsSplitAcrossDomains(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantEnd(w.submit("a1", "first", 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
		time.Sleep(time.Second)
		began := time.Now()
		w.wantEnd(w.submit("a1", "wide", 12, runhost.Work{Time: 400 * ms}, true), submission.Done)
		if took := time.Since(began); took > 500*ms {
			t.Errorf("it took %v, all tasks fit at once", took)
		}
	})
}

func TestStoredSubmissionIsSeenAtEveryVM(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 800 * ms}, false))
		if s := w.state("b1", "kept"); s != submission.Queued && s != submission.Running {
			t.Errorf("it is %s at another VM", s)
		}
		time.Sleep(time.Second)
		for _, at := range []string{"a1", "a2", "b1", "b2"} {
			if s := w.state(at, "kept"); s != submission.Done {
				t.Errorf("it is %s at %s, want done", s, at)
			}
		}
		if s := w.state("a1", "none"); s != submission.Unknown {
			t.Errorf("a submission that nobody made is %s", s)
		}
	})
}

// Symptom: a task runs twice. Sequence: a caller has no answer and sends the same
// submission to another VM. Cause would be: two records.
func TestSameSubmissionAtTwoVMsIsOne(t *testing.T) {
	testWorld(t, func(w *world) {
		first := w.submit("a1", "kept", 2, runhost.Work{Time: 300 * ms}, false)
		second := w.submit("b1", "kept", 2, runhost.Work{Time: 300 * ms}, false)
		w.wantAccepted(first)
		w.wantAccepted(second)
		time.Sleep(time.Second)
		w.wantAccepted(w.submit("b2", "kept", 2, runhost.Work{Time: 300 * ms}, false))
		time.Sleep(time.Second)
		if n := w.fleet.Starts("kept"); n != 2 {
			t.Errorf("%d starts of 2 tasks", n)
		}
	})
}

// Symptom: runs lapse or repeat when an entry VM dies. Sequence: the holder of a shard
// is killed while a home elsewhere waits for a submission it runs.
func TestRunsOutliveTheirHolder(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		out := w.submit(otherVM(holder), "job", 4, runhost.Work{Time: 800 * ms}, true)
		time.Sleep(200 * ms)
		w.kill(holder)
		began := time.Now()
		w.wantEnd(out, submission.Done)
		if took := time.Since(began); took > 700*ms {
			t.Errorf("it ended %v after the kill, its runs had 600 ms to go", took)
		}
		if n := w.fleet.Starts("job"); n != 4 {
			t.Errorf("%d starts of 4 tasks: runs were repeated", n)
		}
	})
}

// Symptom: an accepted submission is lost. Sequence: all VMs are killed right after one
// has accepted it, and start again.
func TestStoredSubmissionOutlivesAllVMs(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 4, runhost.Work{Time: 600 * ms}, false))
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.kill(name)
		}
		time.Sleep(500 * ms)
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			w.boot(name)
		}
		time.Sleep(4 * time.Second)
		if s := w.state("b2", "kept"); s != submission.Done {
			t.Errorf("it is %s, want done", s)
		}
	})
}

// Symptom: a VM that the store turns away refuses everything. Sequence: the store
// refuses one VM and serves the others. The VM works on through a peer.
func TestVMThatTheStoreTurnsAwayWorksOnThroughAPeer(t *testing.T) {
	for _, fault := range []kvstore.Fault{kvstore.Refuses, kvstore.Silent} {
		testWorld(t, func(w *world) {
			w.storeDoors["a1"].Set(fault)
			time.Sleep(6 * time.Second)
			began := time.Now()
			w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 100 * ms}, false))
			if took := time.Since(began); took > 600*ms {
				t.Errorf("accepted after %v", took)
			}
			time.Sleep(2 * time.Second)
			if s := w.state("a1", "kept"); s != submission.Done {
				t.Errorf("it is %s, want done", s)
			}
			w.storeDoors["a1"].Set(kvstore.Serves)
			time.Sleep(2 * time.Second)
			if !w.vms["a1"].router.ReachesStore() {
				t.Error("it does not go back to its own calls")
			}
		})
	}
}

// Symptom: nothing is served while the store is down. Sequence: the store falls silent
// for five seconds. Transient submissions need no store.
func TestTransientSubmissionsGoOnWithoutTheStore(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, d := range w.storeDoors {
			d.Set(kvstore.Silent)
		}
		time.Sleep(5 * time.Second)
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
		o := <-w.submit("a1", "kept", 1, runhost.Work{Time: 100 * ms}, false)
		if o.Kind != Refused || o.RetryAfter == 0 {
			t.Errorf("a submission that cannot be stored is %+v, want busy", o)
		}
		for _, d := range w.storeDoors {
			d.Set(kvstore.Serves)
		}
		time.Sleep(5 * time.Second)
		if w.fleet.Starts("kept") != 0 {
			t.Error("it was refused as not run, and has run")
		}
		w.wantEnd(w.submit("b1", "after", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}

// Symptom: runs of a domain that is cut off lapse, or are stopped at the heal, or run
// twice. Sequence: the domain is cut off from the other and the store for five seconds,
// a submission runs inside all the while. Cause: VMs outside took its shard, though they
// could reach no worker of it.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	testWorld(t, func(w *world) {
		w.cut("a", true)
		time.Sleep(500 * ms)
		out := w.submit("a1", "long", 2, runhost.Work{Time: 6 * time.Second}, true)
		time.Sleep(2 * time.Second)
		w.wantEnd(w.submit("a2", "short", 2, runhost.Work{Time: 100 * ms}, true), submission.Done)
		w.wantEnd(w.submit("b1", "outside", 2, runhost.Work{Time: 100 * ms}, true), submission.Done)
		time.Sleep(2500 * ms)
		w.cut("a", false)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("long"); n != 2 {
			t.Errorf("%d starts of 2 tasks: runs were repeated", n)
		}
	})
}

// Symptom: after an outage in which the lists lapsed, a new holder starts tasks that
// still run. Sequence: the store is down and all entries of workers and VMs lapse; when
// it is back, the holder of a shard dies before the workers have written again.
func TestHolderDiesWhileTheListOfWorkersIsEmpty(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		out := w.submit(otherVM(holder), "job", 5, runhost.Work{Time: 3 * time.Second}, true)
		time.Sleep(200 * ms)
		w.store.Delete("workers/")
		time.Sleep(100 * ms)
		w.kill(holder)
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 5 {
			t.Errorf("%d starts of 5 tasks: runs were repeated", n)
		}
	})
}

// Symptom: a task runs twice at once. Sequence: answers to starts are lost.
func TestLostAnswersToStarts(t *testing.T) {
	testWorld(t, func(w *world) {
		n := 0
		w.fleet.LoseStarts(func(worker.Start) bool { n++; return n%3 == 0 })
		w.wantEnd(w.submit("a1", "job", 6, runhost.Work{Time: 500 * ms}, true), submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks", n)
		}
	})
}

// Symptom: a planned stop cuts off requests or repeats runs. Sequence: the holder of a
// shard stops while it runs a submission for a caller of its own.
func TestPlannedStopHandsItsShardOver(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		out := w.submit(holder, "job", 4, runhost.Work{Time: time.Second}, true)
		time.Sleep(200 * ms)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		w.vms[holder].Drain(ctx)
		if took := time.Since(began); took > 500*ms {
			t.Errorf("the shard was handed over after %v", took)
		}
		if w.vms[holder].Ready() {
			t.Error("it is ready for callers")
		}
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 4 {
			t.Errorf("%d starts of 4 tasks: runs were repeated", n)
		}
	})
}

// Symptom: a cancelled submission runs on. Sequence: it is cancelled at a VM that is
// neither its home nor its holder.
func TestCancellationReachesTheHolder(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 20 * time.Second}, false))
		time.Sleep(200 * ms)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s, err := w.vms["b1"].Cancel(ctx, "kept"); err != nil || s != submission.Cancelled {
			t.Fatalf("cancelled: %s, %v", s, err)
		}
		time.Sleep(500 * ms)
		for _, at := range []string{"a1", "b2"} {
			if s := w.state(at, "kept"); s != submission.Cancelled {
				t.Errorf("it is %s at %s", s, at)
			}
		}
		began := time.Now()
		w.wantEnd(w.submit("a1", "next", 12, runhost.Work{Time: 100 * ms}, true), submission.Done)
		if took := time.Since(began); took > 400*ms {
			t.Errorf("the next submission took %v: the cancelled one still has room", took)
		}
	})
}

// Symptom: work goes on for a caller that has left. Sequence: the caller closes its
// connection.
func TestWorkEndsWhenItsCallerHasGone(t *testing.T) {
	testWorld(t, func(w *world) {
		w.fleet.SetWork("job", runhost.Work{CPUMilli: 6800, Time: 20 * time.Second})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan Outcome, 1)
		rec := &submission.Record{
			ID:        "job",
			Queue:     "q",
			Steps:     []submission.Step{{Count: 12, CPUMilli: 6800, Estimate: 20 * time.Second}},
			Terms:     submission.Terms{Service: "desk", Attempts: 2, Stretch: 1.6, Target: 60 * ms},
			Transient: true,
		}
		go func() { done <- w.vms["a1"].Submit(ctx, rec) }()
		time.Sleep(300 * ms)
		cancel()
		<-done
		time.Sleep(300 * ms)
		began := time.Now()
		w.wantEnd(w.submit("a1", "next", 12, runhost.Work{Time: 100 * ms}, true), submission.Done)
		if took := time.Since(began); took > 400*ms {
			t.Errorf("the next submission took %v", took)
		}
	})
}

// Final states stay for as long as callers ask, and not for ever.
func TestFinalStatesAreRemoved(t *testing.T) {
	t.Parallel()
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 1, runhost.Work{Time: 50 * ms}, false))
		time.Sleep(2 * time.Minute)
		if s := w.state("b1", "kept"); s != submission.Done {
			t.Errorf("after two minutes it is %s", s)
		}
		time.Sleep(3 * time.Minute)
		if it, err := w.store.Get(context.Background(), submission.FinalKey("kept")); err != nil || it.Revision != 0 {
			t.Errorf("after five minutes its final state is still there (%v)", err)
		}
	})
}

// Symptom: a shard is without a holder when VMs stop one after the other. Sequence: a VM
// is told to stop, and serves on for two seconds; the next one that stops hands its shard
// to the first. Cause: its key was still there.
func TestNoShardIsHandedToAVMThatStops(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		w.vms[otherVM(holder)].Drain(ctx)
		time.Sleep(500 * ms)
		w.vms[holder].Drain(ctx)
		time.Sleep(500 * ms)
		if h := w.holderOf("a"); h[:1] != "b" {
			t.Errorf("it is held by %s, which stops", h)
		}
		w.wantEnd(w.submit(holder, "job", 2, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}
