package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a release without its reason, or with that of another one.
func TestReleaseHasItsReason(t *testing.T) {
	refuse := func(v worker.Verdict) func(*world, StartAction) {
		return func(w *world, s StartAction) {
			w.shard.HandleStartReply(w.now, "w0", s.Task, s.Run, worker.Reply{Verdict: v})
		}
	}
	accept := refuse(worker.Accepted)
	listing := func(w *world, l worker.Listing) {
		w.now += 10 * ms
		l.Clock = w.now
		w.shard.HandleListing(w.now, "w0", w.now-ms, l)
	}
	for name, c := range map[string]struct {
		happens func(*world, StartAction)
		want    ReleaseReason
	}{
		"no room":     {refuse(worker.NoRoom), RefusedNoRoom},
		"unavailable": {refuse(worker.Unavailable), RefusedUnavailable},
		"superseded":  {refuse(worker.Superseded), RefusedSuperseded},
		"late":        {refuse(worker.DeadlinePassed), RefusedLate},
		"malformed":   {refuse(worker.Malformed), RefusedMalformed},
		"replaced":    {refuse(worker.Replaced), IncarnationEnded},
		"restarted": {func(w *world, s StartAction) {
			accept(w, s)
			listing(w, worker.Listing{Running: []worker.Running{{Task: s.Task, Run: s.Run}}})
			info, _ := w.shard.WorkerInfo("w0")
			w.shard.WorkerRestarted(w.now, info, worker.Incarnation{ID: "w0", Born: info.Born + 1})
		}, IncarnationEnded},
		"lease": {func(w *world, s StartAction) {
			accept(w, s)
			w.now += startValidity
			w.shard.WorkerLeaseExpired(w.now, "w0")
		}, LeaseExpired},
		"lease, and later the start is void": {func(w *world, s StartAction) {
			refuse(worker.NoAnswer)(w, s)
			w.shard.WorkerLeaseExpired(w.now, "w0")
			w.now += startValidity
			w.shard.Tick(w.now)
		}, LeaseExpired},
		"forgotten": {func(w *world, s StartAction) {
			accept(w, s)
			w.shard.UpdateWorkers(w.now, nil)
			w.now += 2 * missingTimeout
			w.shard.Tick(w.now)
		}, WorkerForgotten},
		"not listed": {func(w *world, s StartAction) { accept(w, s); listing(w, worker.Listing{}) }, NotListed},
		"ended": {func(w *world, s StartAction) {
			listing(w, worker.Listing{Ended: []worker.Ended{{Seq: 1000, Task: s.Task, Run: s.Run, Reason: worker.Failed}}})
		}, RunEnded},
		"stopped": {func(w *world, s StartAction) {
			accept(w, s)
			w.shard.Cancel(w.now, s.Task.ID)
			w.shard.HandleStopReply(w.now, "w0", s.Task, s.Run, worker.Reply{Verdict: worker.Accepted, Clock: w.now})
			listing(w, worker.Listing{})
		}, StopConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			w.assign(w.submission("s", 1, runhost.Work{Time: time.Second}))
			w.now += 5 * ms
			w.shard.Tick(w.now)
			a := w.shard.TakeActions()
			if len(a.Starts) != 1 || len(a.Releases) != 0 {
				t.Fatalf("%d starts and %d releases, want one start", len(a.Starts), len(a.Releases))
			}
			c.happens(w, a.Starts[0])
			got := w.shard.TakeActions().Releases
			startsAgain := c.want != StopConfirmed
			if len(got) != 1 || got[0].Reason != c.want || got[0].Worker != "w0" || got[0].Run != a.Starts[0].Run || got[0].StartsAgain != startsAgain {
				t.Fatalf("%+v, want one for reason %q", got, c.want)
			}
			if got[0].SinceStart < 0 || got[0].SinceListing < 0 {
				t.Errorf("%+v lacks an age", got[0])
			}
		})
	}
}

// Guards against a release at the end of a takeover that is not told, and against lines for tasks that complete.
func TestReleaseAtTheBarrierIsTold(t *testing.T) {
	w := newWorld(t, 1)
	w.assign(w.submission("calm", 3, runhost.Work{Time: 50 * ms}))
	w.run(500 * ms)
	w.expectState("calm", submission.Done)
	if len(w.releases) != 0 {
		t.Errorf("releases of tasks that have completed: %+v", w.releases)
	}
	w.newHolder(2, true)
	rec := w.submission("late", 1, runhost.Work{Time: 50 * ms})
	rec.Token = 1
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec}})
	w.now += 2 * time.Second
	w.shard.Tick(w.now)
	releases := w.shard.TakeActions().Releases
	if !slices.Equal(releases, []ReleaseAction{{Task: submission.TaskRef{ID: "late"}, Reason: BarrierLifted, StartsAgain: true, SinceStart: -1, SinceListing: -1}}) {
		t.Errorf("%+v, want one at the barrier", releases)
	}
}

// Guards against a run that goes on beside its caller's next attempt, as the connection of its stop was reset and the holder
// stands still before it orders the stop again.
func TestFailedStopIsRepeatedSoon(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	w.assign(w.submission("s", 1, runhost.Work{Time: time.Second}))
	w.run(50 * ms)
	w.shard.Cancel(w.now, "s")
	for range 3 {
		stops := w.shard.TakeActions().Stops
		if len(stops) != 1 {
			t.Fatalf("%d stops, want one", len(stops))
		}
		w.shard.HandleStopReply(w.now, "w0", stops[0].Task, stops[0].Run, worker.Reply{Verdict: worker.NoAnswer})
		w.now += 25 * ms
		w.shard.Tick(w.now)
	}
}
