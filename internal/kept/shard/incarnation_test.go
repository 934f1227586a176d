package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// restart ends the incarnation of a worker and starts the next one under the same ID, unnoticed by the holder.
func (w *world) restart(id string) {
	old := w.hosts[id]
	old.Advance(w.now)
	old.Crash()
	w.addHost(id, old.Info.Address)
	w.hosts[id].Info.Revision += 100
	w.hosts[id].ClockOffset = time.Second - w.now
}

// lossesOf returns the losses that are counted against the first task of a submission.
func (w *world) lossesOf(id submission.ID) []submission.Loss {
	return w.shard.jobs[id].tasks[0].losses
}

// Guards against a loss that is counted twice, or not at all, depending on which sign of a restart comes first.
func TestRestartUnderTheSameIDCountsAsOneLoss(t *testing.T) {
	signs := map[string]func(w *world, old worker.Info){
		"listing": func(w *world, _ worker.Info) { w.run(10 * ms) },
		"entry":   func(w *world, _ worker.Info) { w.updateList() },
		"lease, then listing": func(w *world, old worker.Info) {
			w.shard.WorkerLeaseExpired(w.now, old.ID)
			w.run(10 * ms)
		},
		"lease, then entry": func(w *world, old worker.Info) {
			w.shard.WorkerLeaseExpired(w.now, old.ID)
			w.updateList()
		},
		"entry, then listing": func(w *world, _ worker.Info) {
			w.updateList()
			w.run(10 * ms)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			w.assign(w.storedSubmission("a", 1, runhost.Work{Time: time.Second}))
			w.run(100 * ms)
			old := w.hosts["w0"].Info
			w.restart("w0")
			sign(w, old)
			losses := w.lossesOf("a")
			if len(losses) != 1 || !losses[0].Certain || losses[0].Worker != old.Incarnation().String() {
				t.Errorf("losses %+v, want a certain one of %s", losses, old.Incarnation())
			}
			w.run(3 * time.Second)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 2 {
				t.Errorf("%d runs, want 2", n)
			}
		})
	}
}

// Guards against ended runs of a new incarnation that are taken for known ones, as it numbers them from the
// start again.
func TestEndsOfTheNextIncarnationAreNew(t *testing.T) {
	w := newWorld(t, 1)
	w.run(50 * ms)
	for i := range 5 {
		w.assign(w.submission(submission.ID(fmt.Sprintf("before%d", i)), 2, runhost.Work{Time: 30 * ms}))
		w.run(60 * ms)
	}
	w.restart("w0")
	w.run(50 * ms)
	w.assign(w.submission("after", 2, runhost.Work{Time: 30 * ms}))
	w.run(100 * ms)
	w.expectState("after", submission.Done)
	if n := w.startCount("after"); n != 2 {
		t.Errorf("%d runs of two tasks", n)
	}
}

// Guards against an acknowledgement of the earlier incarnation's ended runs that reaches the next one, which
// would then no longer list runs that the holder has not seen.
func TestNextIncarnationGetsNoEarlierAcknowledgement(t *testing.T) {
	w := newWorld(t, 1)
	w.run(50 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 30 * ms}))
	w.run(20 * ms)
	old := w.hosts["w0"]
	old.Advance(w.now + 20*ms)
	l, _ := old.Hold(w.now+20*ms, worker.Hold{Token: w.shard.Token()})
	w.shard.HandleListing(w.now+20*ms, "w0", w.now, l)
	w.restart("w0")
	w.updateList()
	for _, s := range w.shard.TakeActions().Acks {
		t.Errorf("ended runs up to %d of the earlier incarnation are acknowledged to the next one", s.UpTo)
	}
}

// Guards against a second run of a task whose start order was meant for the earlier incarnation and accepted by
// the next one.
func TestStartAcceptedByTheNextIncarnationIsNotRepeated(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered %v", answered), func(t *testing.T) {
			w := newWorld(t, 2)
			w.run(50 * ms)
			w.losesStartReply = func(StartAction) bool { return !answered }
			w.assign(w.submission("a", 4, runhost.Work{Time: 2 * time.Second}))
			w.shard.Tick(w.now)
			w.restart("w0") // the order is meant for the earlier incarnation and carried out by this one
			w.restart("w1")
			w.execute()
			w.losesStartReply = nil
			w.run(5 * time.Second)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 4 {
				t.Errorf("%d runs of four tasks", n)
			}
		})
	}
}

// Guards against a task that runs twice because the next incarnation carries out a start order that had no
// answer. It does not know the stop of that run, and its clock starts anew.
func TestNextIncarnationRunsNoRevokedStart(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		t.Run(fmt.Sprintf("forgotten meanwhile %v", forgotten), func(t *testing.T) {
			w := newWorld(t, 2)
			w.ordersOutliveWorkers = true
			w.run(50 * ms)
			w.startDelay = func(s StartAction) time.Duration {
				if s.Run == 1 && s.Worker.ID == "w0" {
					return 4 * time.Second
				}
				return 0
			}
			w.assign(w.submission("a", 2, runhost.Work{Time: 6 * time.Second, CPUMilli: 1000}))
			w.run(300 * ms)
			if len(w.pendingOrders) == 0 {
				t.Fatal("no start is delayed")
			}
			w.restart("w0")
			if forgotten {
				w.shard.WorkerGone(w.now, "w0")
			}
			w.updateList()
			w.run(8 * time.Second)
			w.expectState("a", submission.Done)
		})
	}
}

// Guards against a late entry of the earlier incarnation, or one without a start time, that replaces the
// newest entry.
func TestEntriesOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.run(50 * ms)
	old := w.hosts["w0"].Info
	w.restart("w0")
	w.updateList()
	w.assign(w.submission("a", 2, runhost.Work{Time: 500 * ms}))
	w.run(100 * ms)
	old.Revision = 1000
	old.CPUMilli = 1
	unborn := w.hosts["w0"].Info
	unborn.Born, unborn.Revision, unborn.Leaving = 0, 1001, true
	for _, late := range []worker.Info{old, unborn} {
		w.shard.UpdateWorkers(w.now, []worker.Info{late})
		if info, _ := w.shard.WorkerInfo("w0"); info.Incarnation() != w.hosts["w0"].Info.Incarnation() || info.Leaving || info.CPUMilli == 1 {
			t.Errorf("%+v is in use after the late entry %+v", info, late)
		}
	}
	w.updateList()
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs of two tasks", n)
	}
}

// Guards against a next incarnation that is used with the capacity, labels and rack of the earlier one.
func TestNextIncarnationHasItsOwnCapacity(t *testing.T) {
	w := newUnguardedWorld(t, 1)
	w.restart("w0")
	w.hosts["w0"].IgnoresCapacity = true
	w.hosts["w0"].Info.CPUMilli = 7000
	w.assign(w.submission("a", 2, runhost.Work{Time: 100 * ms}))
	w.run(200 * ms)
	if n := w.startCount("a"); n != 0 {
		t.Errorf("%d starts before the capacity is known", n)
	}
	w.updateList()
	w.run(50 * ms)
	if n := w.startCount("a"); n != 1 {
		t.Errorf("%d starts on a worker with capacity for one task", n)
	}
	w.run(300 * ms)
	w.expectState("a", submission.Done)
}

// Guards against a listing of the earlier incarnation, received before the records, that is applied to the next
// one.
func TestEarlyListingIsNotAppliedToTheNextIncarnation(t *testing.T) {
	w := newWorld(t, 1)
	settings := DefaultSettings()
	s := New(w.now, settings, 2, w.now+time.Second)
	old := w.hosts["w0"].Info
	s.UpdateWorkers(w.now, []worker.Info{old})
	s.HandleListing(w.now, "w0", w.now, worker.Listing{Clock: time.Hour, Ended: []worker.Ended{{Seq: 40}}})
	next := old
	next.Born++
	next.Revision++
	s.UpdateWorkers(w.now, []worker.Info{next})
	s.AddRecords(w.now, nil)
	if slices.ContainsFunc(s.TakeActions().Acks, func(a AckAction) bool { return a.UpTo == 40 }) {
		t.Error("an ended run of the earlier incarnation is acknowledged to the next one")
	}
}

// Guards against the entry of a worker that was replaced before its start time was known. It was taken for the
// newest entry at its address, and the runs on its successor for lost.
func TestEntryOfAReplacedWorkerWithoutStartTimeIsIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.run(50 * ms)
	first := w.hosts["w0"].Info
	delete(w.hosts, "w0")
	w.addHost("w9", first.Address)
	second := worker.Incarnation{ID: "w5"} // it answered once and crashed before its entry was read
	w.shard.WorkerRestarted(w.now, first, second)
	gone, _ := w.shard.WorkerInfo("w5")
	w.shard.WorkerRestarted(w.now, gone, worker.Incarnation{ID: "w9"})
	w.run(50 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 500 * ms}))
	w.run(100 * ms)
	late := gone
	late.Born, late.Revision = 7, 1000
	w.shard.UpdateWorkers(w.now, []worker.Info{late})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs of two tasks", n)
	}
}

// Guards against the entry of a worker that ended before the last one and that this holder has never known. As
// the last one's entry is removed, it was taken for the newest entry at the address, and the runs on the
// successor for lost.
func TestEntryOfAnEarlierReplacedWorkerIsIgnored(t *testing.T) {
	for _, births := range []bool{true, false} {
		t.Run(fmt.Sprintf("births %v", births), func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(50 * ms)
			last := w.hosts["w0"].Info
			earlier := last
			earlier.ID, earlier.Born, earlier.Revision = "w-earlier", last.Born-1, last.Revision
			last.Revision++
			if !births {
				earlier.Born, last.Born = 0, 0
			}
			w.shard.UpdateWorkers(w.now, []worker.Info{last, earlier})
			delete(w.hosts, "w0")
			w.addHost("w9", last.Address) // the store is down, so it has no entry yet
			w.shard.WorkerRestarted(w.now, last, worker.Incarnation{ID: "w9"})
			w.run(50 * ms)
			w.assign(w.submission("a", 2, runhost.Work{Time: 500 * ms}))
			w.run(100 * ms)
			w.shard.UpdateWorkers(w.now, []worker.Info{last, earlier})
			w.shard.UpdateWorkers(w.now, []worker.Info{earlier})
			w.run(time.Second)
			w.expectState("a", submission.Done)
			if n := w.startCount("a"); n != 2 {
				t.Errorf("%d runs of two tasks", n)
			}
		})
	}
}

// Guards against a second run of a task after a worker has restarted twice unseen. The holder knows the worker that
// runs by its answer only, and then reads the entry of the one before it, which it has never known. It was taken for
// a later worker at the address, and the runs there for ended.
func TestUnseenEntryDoesNotReplaceAWorkerKnownByItsAnswer(t *testing.T) {
	w := newWorld(t, 2)
	w.run(50 * ms)
	first := w.hosts["w0"].Info
	w.shard.UpdateWorkers(w.now, []worker.Info{first, w.hosts["w1"].Info})
	delete(w.hosts, "w0")
	w.addHost("w9", first.Address)
	w.hosts["w9"].Info.Born = 0 // workers of this site do not say when they started
	first.Born = 0
	w.shard.WorkerRestarted(w.now, first, worker.Incarnation{ID: "w9"})
	w.run(50 * ms)
	w.assign(w.submission("a", 4, runhost.Work{Time: 500 * ms}))
	w.run(100 * ms)
	unseen := first
	unseen.ID, unseen.Revision = "w5", 1000
	w.shard.UpdateWorkers(w.now, []worker.Info{unseen, w.hosts["w1"].Info})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 4 {
		t.Errorf("%d runs of four tasks", n)
	}
}

// Guards against a second run of a task after a takeover. The new holder has the workers that the earlier one stored,
// and then reads the entry of an ended incarnation of one of them, which has not expired yet. It was taken for a later
// worker at the address, and the runs there for ended.
func TestExpiringEntryDoesNotReplaceAWorkerOfThePreviousHolder(t *testing.T) {
	w := newWorld(t, 1)
	first := w.hosts["w0"].Info
	first.Born = 0
	delete(w.hosts, "w0")
	w.addHost("w9", first.Address)
	w.hosts["w9"].Info.Born = 0 // workers of this site do not say when they started
	w.shard = New(w.now, DefaultSettings(), 2, w.now+1100*ms)
	stored := w.hosts["w9"].Info
	stored.Revision = 0
	w.shard.AddWorkersOfPreviousHolder(w.now, []worker.Info{stored})
	w.shard.AddRecords(w.now, nil)
	w.run(50 * ms)
	w.assign(w.submission("a", 2, runhost.Work{Time: 500 * ms}))
	w.run(100 * ms)
	w.shard.UpdateWorkers(w.now, []worker.Info{first})
	w.run(time.Second)
	w.expectState("a", submission.Done)
	if n := w.startCount("a"); n != 2 {
		t.Errorf("%d runs of two tasks", n)
	}
}

// Guards against a worker that stays in use though it answers no orders: it refuses them as another incarnation,
// and names the one that they were meant for.
func TestWorkerThatRefusesAsAnotherIncarnationIsRemoved(t *testing.T) {
	w := newWorld(t, 2)
	w.run(50 * ms)
	info, _ := w.shard.WorkerInfo("w0")
	w.shard.WorkerRestarted(w.now, info, worker.Incarnation{ID: "w0"})
	if _, known := w.shard.WorkerInfo("w0"); known {
		t.Error("the worker is still in use")
	}
	w.assign(w.submission("a", 2, runhost.Work{Time: 50 * ms}))
	w.run(200 * ms)
	w.expectState("a", submission.Done)
}
