package vm

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// maxLeaveNoticeDelay is the time after which a worker that announced that it leaves must get no new tasks from
// a VM that is connected to the store. It is the default of Config.MaxLeaveNoticeDelay.
const maxLeaveNoticeDelay = 2 * time.Second

// announceLeaving marks a worker's entry in the store as leaving. The worker keeps serving.
func (w *world) announceLeaving(id string) {
	w.t.Helper()
	it, err := w.store.Get(context.Background(), "workers/"+id)
	if err != nil || it.Revision == 0 {
		w.t.Fatalf("the store has no entry of worker %s (%v)", id, err)
	}
	info, err := decodeWorkerEntry(it)
	if err != nil {
		w.t.Fatal(err)
	}
	info.Leaving = true
	w.putWorkerEntry(info)
}

// wantNoStartsOn checks that no task was started on the given workers since a time.
func wantNoStartsOn(t *testing.T, l *startLog, ids []string, from time.Time) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(l.starts), func(s observedStart) bool {
		return !slices.Contains(ids, s.worker) || s.at.Before(from)
	})
	if len(late) > 0 {
		t.Errorf("%d starts on leaving workers, the first %v after their announcement had to take effect", len(late), late[0].at.Sub(from))
	}
}

// Guards against starts on a leaving worker by a VM that has just taken over the worker's shard.
func TestNewHolderStartsNothingAtALeavingWorker(t *testing.T) {
	changes := map[string]func(w *world, holder string){
		"handed over": func(w *world, holder string) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			w.vms[holder].Drain(ctx)
		},
		"killed": func(w *world, holder string) { w.kill(holder) },
	}
	for name, change := range changes {
		for _, shard := range []string{"a/0", "a/1"} {
			t.Run(name+" "+shard, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testNewHolderAfter(t, shard, change) })
			})
		}
	}
}

// testNewHolderAfter lets half of the workers announce that they leave and, once that must be known, changes
// the holder of a shard. The other workers do not have the capacity for all submissions.
func testNewHolderAfter(t *testing.T, shard string, change func(w *world, holder string)) {
	w := newWorld(t, "a")
	defer w.end()
	w.cores = map[string]float64{"a1": 0.2, "a2": 0.2, "a3": 0.2}
	var leaving []string
	for i := range 24 {
		w.addDeskWorker(fmt.Sprint(i), "a")
		if i%2 == 0 {
			leaving = append(leaving, fmt.Sprintf("w-%d", i))
		}
	}
	for name := range w.cores {
		w.boot(name)
	}
	time.Sleep(5 * time.Second)
	l := watchStarts(w)
	for _, id := range leaving {
		w.announceLeaving(id)
	}
	from := time.Now().Add(maxLeaveNoticeDelay)
	time.Sleep(maxLeaveNoticeDelay + time.Second)
	var outs []chan Outcome
	home := ""
	holder := w.holderOfShard(shard)
	for name := range w.cores {
		if name != holder {
			home = name
		}
	}
	for i := range 12 {
		outs = append(outs, w.submit(home, submission.ID(fmt.Sprintf("before%d", i)), 4, runhost.Work{Time: 200 * ms}, true))
	}
	time.Sleep(10 * ms)
	change(w, holder)
	if done, _ := w.submitRepeatedly(home, "after", 5*ms, 1500*ms); done == 0 {
		t.Error("no submission was completed after the change of holder")
	}
	for _, out := range outs {
		<-out
	}
	wantNoStartsOn(t, l, leaving, from)
}

// isWorkerListCall reports whether a call reads or watches the list of workers.
func isWorkerListCall(c relay.Call) bool { return strings.Contains(string(c.Body), `"workers/"`) }

// silenceWorkerList makes the store answer no call for the list of workers, or all of them again.
func (w *world) silenceWorkerList(silent bool) {
	for _, d := range w.storeTransports {
		if silent {
			d.SilenceCalls(isWorkerListCall)
		} else {
			d.SilenceCalls(nil)
		}
	}
}

// delayWorkerList makes each call for the list of workers take longer.
func (w *world) delayWorkerList(by time.Duration) {
	for _, d := range w.storeTransports {
		d.DelayCalls(func(c relay.Call) time.Duration {
			if isWorkerListCall(c) {
				return by
			}
			return 0
		})
	}
}

// Guards against starts on a worker that announced that it leaves while no VM was running.
func TestRestartedVMsStartNothingAtALeavingWorker(t *testing.T) {
	testWorld(t, func(w *world) {
		all := []string{"a1", "a2", "b1", "b2"}
		for _, name := range all {
			w.kill(name)
		}
		leaving := []string{"w-a0", "w-a1", "w-b0", "w-b1"}
		for _, id := range leaving {
			w.announceLeaving(id)
		}
		time.Sleep(maxLeaveNoticeDelay)
		l := watchStarts(w)
		from := time.Now()
		for _, name := range all {
			w.boot(name)
		}
		w.silenceWorkerList(true) // the list arrives later than everything else
		w.submitRepeatedly("a1", "early", 10*ms, time.Second)
		w.silenceWorkerList(false)
		time.Sleep(time.Second)
		if done, _ := w.submitRepeatedly("a1", "job", 10*ms, time.Second); done == 0 {
			t.Error("no submission was completed")
		}
		wantNoStartsOn(t, l, leaving, from)
	})
}

// Guards against an idle shard, and against starts on leaving workers, when the store fails right after a
// takeover: the new holder has no list and must use the workers that its predecessor stored.
func TestNewHolderWithoutTheStoreUsesStoredWorkers(t *testing.T) {
	testWorld(t, func(w *world) {
		w.announceLeaving("w-a0")
		time.Sleep(maxLeaveNoticeDelay)
		l := watchStarts(w)
		from := time.Now()
		holder := w.holderOf("a")
		next := otherVM(holder)
		w.silenceWorkerList(true)
		w.kill(holder)
		time.Sleep(20 * ms)
		for !w.vms[next].HoldsShard("a/0") {
			time.Sleep(10 * ms)
		}
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoReply)
		}
		time.Sleep(2 * time.Second)
		w.wantEnd(w.submit(next, "job", 8, runhost.Work{Time: 100 * ms}, true), submission.Done)
		if n := len(l.inDomain("a", from, time.Now())); n == 0 {
			t.Error("no task was started in the domain")
		}
		wantNoStartsOn(t, l, []string{"w-a0"}, from)
	})
}

// Guards against starts based on an outdated list of workers: the list reader sends nothing though its link
// is up. While the store does not answer, an old list may be used.
func TestWorkerListIsOutdated(t *testing.T) {
	now := time.Hour
	v := &VM{now: func() time.Duration { return now }, readWorkersRequests: make(chan bool, 1)}
	direct := &fakeTransport{}
	v.router = relay.New(direct, noPeers{direct}, v.now)
	e := newEngine(context.Background(), v)
	wants := func(outdated bool, when string) {
		t.Helper()
		e.now = now
		if got := e.isListOutdated(e.workerLists["a"], v.router.LastCalls()); got != outdated {
			t.Errorf("the list is outdated: got %v, want %v, %s", got, outdated, when)
		}
	}
	call := func() {
		now += time.Millisecond
		_, _ = v.router.Do(context.Background(), relay.Call{})
	}
	call()
	wants(true, "without a list")
	e.workerLists["a"] = &workerList{requestedAt: now}
	wants(false, "with a new list")
	now += maxLeaveNoticeDelay
	call()
	wants(true, "with a list of the maximum age")
	direct.fails = true
	call()
	wants(false, "when the store does not answer")
	direct.fails = false
	call()
	wants(false, "just after the store is back")
	now += storeSteadyPeriod + time.Millisecond
	call()
	wants(true, "when the store has answered for storeSteadyPeriod")
	direct.fails = true
	call()
	delete(e.workerLists, "a")
	wants(false, "without a list and without the store")
}

// fakeTransport is a transport to a store that answers all calls, or none if fails is set.
type fakeTransport struct{ fails bool }

func (a *fakeTransport) Do(context.Context, relay.Call) (relay.Reply, error) {
	if a.fails {
		return relay.Reply{}, relay.ErrNotSent
	}
	return relay.Reply{Status: 200}, nil
}

// noPeers is a set of peers of which none reaches the store.
type noPeers struct{ *fakeTransport }

func (noPeers) AnyReachesStore() bool { return false }

// Guards against starts on a leaving worker as the list of workers changes faster than its reader takes the changes, so
// that it knows each of them later than the one before.
func TestNoticeIsKnownInTimeThoughTheListChangesFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoDomainWorld(t)
		defer w.end()
		stopped := make(chan struct{})
		defer close(stopped)
		go w.rewriteEntries(2000, stopped)
		time.Sleep(6*time.Second + 2*ms) // between two rewrites
		l := watchStarts(w)
		w.announceLeaving("w-a0")
		from := time.Now().Add(maxLeaveNoticeDelay)
		time.Sleep(maxLeaveNoticeDelay)
		if done, _ := w.submitRepeatedly("a1", "job", 20*ms, 2*time.Second); done == 0 {
			t.Error("no submission was completed")
		}
		wantNoStartsOn(t, l, []string{"w-a0"}, from)
	})
}

// rewriteEntries makes perSecond writes a second, until stopped is closed. They rewrite the entries of all workers
// in turn, as they are.
func (w *world) rewriteEntries(perSecond int, stopped chan struct{}) {
	const interval = 5 * ms
	ids := []string{"a0", "a1", "a2", "b0", "b1", "b2"}
	for next := 0; ; {
		select {
		case <-stopped:
			return
		case <-time.After(interval):
		}
		for range perSecond * int(interval) / int(time.Second) {
			key := "workers/w-" + ids[next%len(ids)]
			next++
			it, err := w.store.Get(context.Background(), key)
			if err != nil {
				w.t.Error(err)
				return
			}
			w.store.Put(key, it.Value)
		}
	}
}
