package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// unexpectedWorld returns a world with one worker that was sent the start of a run, and that start.
func unexpectedWorld(t *testing.T) (*world, StartAction) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.assign(w.submission("s", 1, runhost.Work{Time: time.Second}))
	w.now += testTick
	w.shard.Tick(w.now)
	a := w.shard.TakeActions()
	if len(a.Starts) != 1 {
		t.Fatalf("%d starts, want one", len(a.Starts))
	}
	return w, a.Starts[0]
}

// list hands the shard a listing of running runs, and returns what it reports of them.
func (w *world) list(runs ...worker.Running) []UnexpectedRunAction {
	w.now += 10 * ms
	w.shard.HandleListing(w.now, "w0", w.now-ms, worker.Listing{Running: runs, Clock: w.now})
	return w.shard.TakeActions().Unexpected
}

// Guards against a run of a released task that is listed again and again without a word, and against a line for each
// listing of it.
func TestRunOfAReleasedTaskIsToldOnce(t *testing.T) {
	w, start := unexpectedWorld(t)
	first := worker.Running{Task: start.Task, Run: start.Run}
	w.shard.HandleStartReply(w.now, "w0", start.Task, start.Run, worker.Reply{Verdict: worker.Accepted, Clock: w.now})
	w.shard.WorkerLeaseExpired(w.now, "w0")
	got := w.list(first)
	want := UnexpectedRunAction{
		Worker: "w0", Task: start.Task, Run: 1, StartedHere: true, State: "waiting", NewestRun: 1,
		Released: LeaseExpired, ReleasedRun: 1, ReleasedAgo: 10 * ms,
	}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	for range 3 {
		if again := w.list(first); len(again) > 0 {
			t.Errorf("told again: %+v", again)
		}
	}
}

// Guards against two runs of a task on one worker of which the log names only one.
func TestEarlierRunBesideTheNewestIsTold(t *testing.T) {
	w, start := unexpectedWorld(t)
	w.shard.HandleStartReply(w.now, "w0", start.Task, start.Run, worker.Reply{Verdict: worker.Accepted, Clock: w.now})
	w.list() // lacks the run
	w.shard.Tick(w.now)
	a := w.shard.TakeActions()
	if len(a.Starts) != 1 || a.Starts[0].Run != 2 {
		t.Fatalf("starts %+v, want run 2", a.Starts)
	}
	got := w.list(worker.Running{Task: start.Task, Run: 1}, worker.Running{Task: start.Task, Run: 2})
	want := UnexpectedRunAction{
		Worker: "w0", Task: start.Task, Run: 1, StartedHere: true, StopSent: true, State: "starting", NewestRun: 2, NewestAt: "w0",
		Released: NotListed, ReleasedRun: 1, ReleasedAgo: 10 * ms,
	}
	if len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against a run of another attempt that is taken for the task's own without a word.
func TestRunThatNobodyHereStartedIsTold(t *testing.T) {
	w, start := unexpectedWorld(t)
	got := w.list(worker.Running{Task: start.Task, Run: 65})
	want := UnexpectedRunAction{
		Worker: "w0", Task: start.Task, Run: 65, State: "starting", NewestRun: 1, NewestAt: "w0", ReleasedAgo: -1,
	}
	if len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against lines in each takeover: runs of transient submissions are listed before their homes hand them over.
// Those that are not handed over are stopped, and then told.
func TestTakeoverTellsOnlyRunsThatItStops(t *testing.T) {
	for name, handedOver := range map[string]bool{"handed over": true, "not handed over": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(100 * ms)
			rec := w.submission("s", 1, runhost.Work{Time: 3 * time.Second})
			w.assign(rec)
			w.run(50 * ms)
			w.newHolder(2, true)
			w.run(200 * ms)
			if len(w.unexpected) > 0 {
				t.Errorf("told before it can have been handed over: %+v", w.unexpected)
			}
			if handedOver {
				w.shard.Resume(w.now, rec)
			}
			w.run(800 * ms)
			switch {
			case handedOver && len(w.unexpected) > 0:
				t.Errorf("told of a run that was handed over: %+v", w.unexpected)
			case !handedOver && (len(w.unexpected) != 1 || !w.unexpected[0].StopSent || w.unexpected[0].State != "not known" || w.unexpected[0].Task != submission.TaskRef{ID: "s"}):
				t.Errorf("%+v, want the run that was stopped", w.unexpected)
			}
		})
	}
}
