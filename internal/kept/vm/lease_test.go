package vm

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// newSmallWorld returns a site of one failure domain with one entry VM, a1, and two workers, w-a0 and w-a1.
func newSmallWorld(t *testing.T) *world {
	w := newWorld(t, "a")
	w.policy.LateBinding = false // a submission starts in the round in which it is received
	w.addDeskWorker("a0", "a")
	w.addDeskWorker("a1", "a")
	w.boot("a1")
	time.Sleep(3 * time.Second)
	return w
}

// setSilent sets whether both workers of a small world are unreachable.
func (w *world) setSilent(silent bool) {
	w.fleet.SetUnreachable("w-a0", silent)
	w.fleet.SetUnreachable("w-a1", silent)
}

// submitInRound submits a task of 400 ms to a1, and calls then in the same round, before the task is started.
func (w *world) submitInRound(id submission.ID, then func(e *engine)) chan Outcome {
	work := runhost.Work{Time: 400 * ms, CPUMilli: 6800}
	w.fleet.SetWork(id, work)
	rec := newOneStepRecord(id, 1, work)
	rec.Transient = true
	out := make(chan Outcome, 1)
	w.vms["a1"].post(engineFunc(func(e *engine) {
		submitEvent{record: rec, reply: out}.apply(e)
		then(e)
	}))
	time.AfterFunc(20*time.Second, func() { // the time-out of a caller
		select {
		case out <- Outcome{Kind: Indeterminate, Reason: "no answer in time"}:
		default:
		}
	})
	return out
}

// expiredLeases counts the workers whose lease has expired.
func (e *engine) expiredLeases() (n int) {
	for _, ws := range e.shards["a/0"].sessions {
		if over, _ := ws.leaseExpired(e.vm.now()); over {
			n++
		}
	}
	return n
}

// Guards against two runs of a task at once: a VM stalls in the middle of a round until the leases of its workers have
// expired, and the expiry releases the tasks that the rest of the round starts.
func TestStartOfAStalledRoundDoesNotRunTwice(t *testing.T) {
	for stall := 900 * ms; stall <= 1500*ms; stall += 50 * ms {
		t.Run(stall.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSmallWorld(t)
				var firstRun uint64
				w.fleet.OnStart(func(_ worker.Info, s worker.Start) {
					if firstRun == 0 {
						firstRun = s.Run
					}
				})
				out := w.submitInRound("job", func(e *engine) {
					w.setSilent(true)
					time.Sleep(stall)
					w.setSilent(false)
					if stall >= 1300*ms && e.expiredLeases() < 2 {
						t.Error("the leases have not expired")
					}
				})
				w.wantEnd(out, submission.Done)
				w.end()
				if stall >= worker.StartValidity+renewWait+50*ms && firstRun == 1 {
					t.Error("a start was carried out that was decided before the stall")
				}
			})
		})
	}
}

// Guards against two runs of a task at once, and against workers that get no tasks though they answer: a session concludes
// that the lease has expired, and the engine starts a task there before it learns of the conclusion.
func TestStartOvertakesTheExpiryOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSmallWorld(t)
		began := time.Now()
		var next chan Outcome
		out := w.submitInRound("job", func(e *engine) {
			for _, ws := range e.shards["a/0"].sessions {
				e.vm.post(leaseExpiredEvent{session: ws})
			}
			next = w.submitInRound("next", func(*engine) {})
		})
		w.wantEnd(out, submission.Done)
		w.wantEnd(next, submission.Done)
		if took := time.Since(began); took > 410*ms {
			t.Errorf("two tasks of 400 ms took %v on idle workers", took)
		}
		w.end()
	})
}

// Guards against a task that never ends: an expiry was dropped because a start came after it, and when the worker stays
// silent the session doesn't conclude the next one.
func TestLeaseExpiresAfterADroppedExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSmallWorld(t)
		w.fleet.OnStart(func(at worker.Info, _ worker.Start) {
			w.vms["a1"].post(engineFunc(func(e *engine) {
				ws := e.shards["a/0"].sessions[at.ID]
				ws.expiryPosted.Store(true)
				e.vm.post(leaseExpiredEvent{session: ws})
				w.fleet.OnStart(nil)
				w.fleet.SetUnreachable(at.ID, true)
			}))
		})
		began := time.Now()
		w.wantEnd(w.submitInRound("job", func(*engine) {}), submission.Done)
		if took := time.Since(began); took > 2500*ms {
			t.Errorf("it took %v, want at most 2.5 s: a lease, a run and a margin", took)
		}
		w.end()
	})
}

// newLeasedSession returns a session whose worker has just answered that its clock shows a second.
func newLeasedSession(now *time.Duration) *workerSession {
	ws, _ := newScriptedSession(0, worker.Reply{Clock: time.Second})
	ws.vm.now = func() time.Duration { return *now }
	ws.vm.events = ring.New[event](1)
	ws.recordClock(*now, worker.Reply{Clock: time.Second})
	return ws
}

// wantExpiries checks how many expiries a session tells the engine when it finds no answer twice.
func wantExpiries(t *testing.T, ws *workerSession, why string, want int) {
	t.Helper()
	got := 0
	for range 2 {
		ws.postExpiry()
		got += len(ws.vm.events.Drain())
	}
	if got != want {
		t.Errorf("%s: %d expiries, want %d", why, got, want)
	}
}

// Guards against a task that never ends: the worker starts it after the expiry of its lease, or answers once more, and
// then stays silent, but the session has told the engine of an expiry before.
func TestExpiryIsToldOnceForEachLease(t *testing.T) {
	now := time.Hour
	ws := newLeasedSession(&now)
	wantExpiries(t, ws, "at once", 0)
	now += 1100 * ms
	wantExpiries(t, ws, "after a lease", 1)
	ws.startDeadline(now)
	wantExpiries(t, ws, "after a start", 0)
	now += 800 * ms
	wantExpiries(t, ws, "when the start is void", 1)
	ws.hold(t.Context(), now, worker.Hold{})
	wantExpiries(t, ws, "after an answer that extends no lease", 1)
}

// Guards against an expiry that is lost because the engine's queue is full.
func TestExpiryIsToldWhenTheQueueHasRoom(t *testing.T) {
	now := time.Hour
	ws := newLeasedSession(&now)
	ws.vm.metrics = newMetrics("a1")
	t.Cleanup(ws.vm.metrics.close)
	now += 1100 * ms
	ws.vm.post(linkNeedEvent{})
	ws.postExpiry()
	ws.vm.events.Drain()
	wantExpiries(t, ws, "after the queue was full", 1)
}

// Guards against a start that a worker may carry out at any time, as it has no deadline: the worker's clock isn't known,
// or showed less than the time by which the start is late.
func TestStartWithoutADeadlineIsNotSent(t *testing.T) {
	now := time.Hour
	unknown, _ := newScriptedSession(0)
	young := newLeasedSession(&now)
	for name, ws := range map[string]*workerSession{"the clock is not known": unknown, "the clock showed less": young} {
		ws.vm.events = ring.New[event](1)
		decidedAt := now - 1700*ms
		ws.start(t.Context(), worker.Start{Run: 1, Deadline: ws.startDeadline(decidedAt)}, decidedAt) // whose client would panic
		events := ws.vm.events.Drain()
		if len(events) != 1 || events[0].(startReplyEvent).reply.Verdict != worker.Unavailable {
			t.Errorf("%s: the engine is told %v", name, events)
		}
	}
}

// Guards against a worker that is taken for lost though it has answered since its session concluded so.
func TestExpiryIsCheckedWhenItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSmallWorld(t)
		told := make(chan bool, 1)
		w.vms["a1"].post(engineFunc(func(e *engine) {
			h := e.shards["a/0"]
			for _, ws := range h.sessions {
				leaseExpiredEvent{session: ws}.apply(e) // its lease has just been extended
			}
			told <- h.core.Load(e.now).CapacityMilli == 32000
		}))
		if !<-told {
			t.Error("a worker that has just answered is taken for lost")
		}
		w.end()
	})
}

// Guards against tasks that are released though their runs go on: the worker obeys a later holder, which extends its lease.
func TestFencedSessionConcludesNoExpiry(t *testing.T) {
	now := time.Hour
	ws := newLeasedSession(&now)
	ws.fenced.Store(true)
	now += 1100 * ms
	wantExpiries(t, ws, "after a lease, fenced", 0)
}
