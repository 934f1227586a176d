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

// A submission with more tasks than its shard has capacity for is split: each of the two
// domains has capacity for 6 of the 12 tasks.
func TestWideSubmissionIsSplitAcrossDomains(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantEnd(w.submit("a1", "first", 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
		time.Sleep(time.Second)
		began := time.Now()
		w.wantEnd(w.submit("a1", "wide", 12, runhost.Work{Time: 400 * ms}, true), submission.Done)
		if took := time.Since(began); took > 500*ms {
			t.Errorf("it took %v, though the site has capacity for all tasks at once", took)
		}
	})
}

func TestStoredSubmissionIsSeenAtEveryVM(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 800 * ms}, false))
		if s := w.state("b1", "kept"); s != submission.Queued && s != submission.Running {
			t.Errorf("its state is %s at another VM, want queued or running", s)
		}
		time.Sleep(time.Second)
		for _, at := range []string{"a1", "a2", "b1", "b2"} {
			if s := w.state(at, "kept"); s != submission.Done {
				t.Errorf("its state is %s at %s, want done", s, at)
			}
		}
		if s := w.state("a1", "none"); s != submission.Unknown {
			t.Errorf("the state of a submission that was never sent is %s, want unknown", s)
		}
	})
}

// Guards against tasks that run twice because a caller that got no answer sent the same
// submission to another VM, and each VM made a record of it.
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

// Guards against runs that lapse or are repeated when the holder of their shard is killed while the
// submission's home VM, another one, waits for the result.
func TestRunsOutliveTheirHolder(t *testing.T) {
	testWorld(t, func(w *world) {
		holder := w.holderOf("a")
		out := w.submit(otherVM(holder), "job", 4, runhost.Work{Time: 800 * ms}, true)
		time.Sleep(200 * ms)
		w.kill(holder)
		began := time.Now()
		w.wantEnd(out, submission.Done)
		if took := time.Since(began); took > 700*ms {
			t.Errorf("it ended %v after the kill, though its runs had 600 ms left", took)
		}
		if n := w.fleet.Starts("job"); n != 4 {
			t.Errorf("%d starts of 4 tasks: runs were repeated", n)
		}
	})
}

// Guards against the loss of an accepted submission when all VMs are killed right after one has
// accepted it, and start again.
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
			t.Errorf("its state is %s, want done", s)
		}
	})
}

// Guards against a VM that refuses all submissions because the store refuses its calls, or does not
// answer them, while it serves the other VMs: the VM must relay its calls through a peer.
func TestVMThatTheStoreTurnsAwayWorksOnThroughAPeer(t *testing.T) {
	for _, fault := range []kvstore.Fault{kvstore.Unavailable, kvstore.NoReply} {
		testWorld(t, func(w *world) {
			w.storeTransports["a1"].SetFault(fault)
			time.Sleep(6 * time.Second)
			began := time.Now()
			w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 100 * ms}, false))
			if took := time.Since(began); took > 600*ms {
				t.Errorf("accepted after %v", took)
			}
			time.Sleep(2 * time.Second)
			if s := w.state("a1", "kept"); s != submission.Done {
				t.Errorf("its state is %s, want done", s)
			}
			w.storeTransports["a1"].SetFault(kvstore.NoFault)
			time.Sleep(2 * time.Second)
			if !w.vms["a1"].router.ReachesStore() {
				t.Error("it does not call the store directly again")
			}
		})
	}
}

// Guards against an outage of the store that stops all service: transient submissions need no store.
// The store does not answer for five seconds. Stored submissions are refused meanwhile.
func TestTransientSubmissionsGoOnWithoutTheStore(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoReply)
		}
		time.Sleep(5 * time.Second)
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
		o := <-w.submit("a1", "kept", 1, runhost.Work{Time: 100 * ms}, false)
		if o.Kind != Refused || o.RetryAfter == 0 {
			t.Errorf("the outcome of a submission that cannot be stored is %+v, want Refused with a time to retry", o)
		}
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoFault)
		}
		time.Sleep(5 * time.Second)
		if w.fleet.Starts("kept") != 0 {
			t.Error("a submission that was refused has run")
		}
		w.wantEnd(w.submit("b1", "after", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}

// Guards against runs of a partitioned domain that lapse, or are stopped when the partition heals, or
// run twice: VMs outside claimed the domain's shard though they could reach none of its workers. The
// domain is cut off from the other one and from the store for five seconds, and a submission runs
// inside it for the whole time.
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

// Guards against a new holder that starts tasks that still run, after an outage of the store in which
// all worker entries expired: the holder of the shard dies before the workers have written their
// entries again.
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

// Guards against tasks that run twice at once because the answers to their starts were lost.
func TestLostAnswersToStarts(t *testing.T) {
	testWorld(t, func(w *world) {
		n := 0
		w.fleet.LoseStartReplies(func(worker.Start) bool { n++; return n%3 == 0 })
		w.wantEnd(w.submit("a1", "job", 6, runhost.Work{Time: 500 * ms}, true), submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks", n)
		}
	})
}

// Guards against a planned stop that cuts off requests or repeats runs: the holder of a shard drains
// while it runs a submission that it accepted itself.
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
			t.Error("a VM that drains is still ready for callers")
		}
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 4 {
			t.Errorf("%d starts of 4 tasks: runs were repeated", n)
		}
	})
}

// Guards against a cancelled submission that runs on because the VM that got the cancellation is
// neither its home VM nor the holder of its shard.
func TestCancellationReachesTheHolder(t *testing.T) {
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 2, runhost.Work{Time: 20 * time.Second}, false))
		time.Sleep(200 * ms)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s, err := w.vms["b1"].Cancel(ctx, "kept"); err != nil || s != submission.Cancelled {
			t.Fatalf("cancelling returned the state %s and the error %v", s, err)
		}
		time.Sleep(500 * ms)
		for _, at := range []string{"a1", "b2"} {
			if s := w.state(at, "kept"); s != submission.Cancelled {
				t.Errorf("its state is %s at %s, want cancelled", s, at)
			}
		}
		began := time.Now()
		w.wantEnd(w.submit("a1", "next", 12, runhost.Work{Time: 100 * ms}, true), submission.Done)
		if took := time.Since(began); took > 400*ms {
			t.Errorf("the next submission took %v: the cancelled one still uses capacity", took)
		}
	})
}

// Guards against tasks that run on, and use capacity, for a caller that has closed its connection.
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

// Final states are still there after two minutes, for callers that ask late, and removed after five.
func TestFinalStatesAreRemoved(t *testing.T) {
	t.Parallel()
	testWorld(t, func(w *world) {
		w.wantAccepted(w.submit("a1", "kept", 1, runhost.Work{Time: 50 * ms}, false))
		time.Sleep(2 * time.Minute)
		if s := w.state("b1", "kept"); s != submission.Done {
			t.Errorf("after two minutes its state is %s, want done", s)
		}
		time.Sleep(3 * time.Minute)
		if it, err := w.store.Get(context.Background(), submission.FinalKey("kept")); err != nil || it.Revision != 0 {
			t.Errorf("after five minutes its final state is still there (%v)", err)
		}
	})
}

// Guards against a shard without a holder when VMs stop one after the other: a draining VM serves on
// for two seconds, and the next VM that drains handed its shard to it because its key was still in
// the store.
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
			t.Errorf("the shard is held by %s, which is stopping", h)
		}
		w.wantEnd(w.submit(holder, "job", 2, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}
