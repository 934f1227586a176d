package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// leavingWithin is how soon after its notice a worker gets nothing new from a VM that is in touch.
const leavingWithin = 2 * time.Second

// giveNotice has a worker say in the list that it leaves. It goes on serving.
func (w *world) giveNotice(id string) {
	w.t.Helper()
	it, err := w.store.Get(context.Background(), "workers/"+id)
	if err != nil || it.Revision == 0 {
		w.t.Fatalf("no worker %s in the list (%v)", id, err)
	}
	var info worker.Info
	if err := json.Unmarshal(it.Value, &info); err != nil {
		w.t.Fatal(err)
	}
	info.Leaving = true
	value, err := json.Marshal(info)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("workers/"+id, value)
}

// wantNoStartsOn checks that workers have got nothing since a time.
func wantNoStartsOn(t *testing.T, l *startLog, ids []string, from time.Time) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(l.seen), func(s startSeen) bool {
		return !slices.Contains(ids, s.worker) || s.at.Before(from)
	})
	if len(late) > 0 {
		t.Errorf("%d starts at workers that leave, the first %v after their notice had to be known", len(late), late[0].at.Sub(from))
	}
}

// Guards against starts at a leaving worker by a VM that has just taken over the worker's shard.
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
				synctest.Test(t, func(t *testing.T) { testNewHolderOf(t, shard, change) })
			})
		}
	}
}

// testNewHolderOf has half of the workers give notice, and the holder of a shard change once it is
// known. The rest has no room for all that comes.
func testNewHolderOf(t *testing.T, shard string, change func(w *world, holder string)) {
	w := newWorld(t, "a")
	defer w.end()
	w.weights = map[string]float64{"a1": 0.2, "a2": 0.2, "a3": 0.2}
	var leaving []string
	for i := range 24 {
		w.addDeskWorker(fmt.Sprint(i), "a")
		if i%2 == 0 {
			leaving = append(leaving, fmt.Sprintf("w-%d", i))
		}
	}
	for name := range w.weights {
		w.boot(name)
	}
	time.Sleep(5 * time.Second)
	l := watchStarts(w)
	for _, id := range leaving {
		w.giveNotice(id)
	}
	from := time.Now().Add(leavingWithin)
	time.Sleep(leavingWithin + time.Second)
	var outs []chan Outcome
	home := ""
	holder := w.holderOfShard(shard)
	for name := range w.weights {
		if name != holder {
			home = name
		}
	}
	for i := range 12 {
		outs = append(outs, w.submit(home, submission.ID(fmt.Sprintf("before%d", i)), 4, runhost.Work{Time: 200 * ms}, true))
	}
	time.Sleep(10 * ms)
	change(w, holder)
	if done, _ := w.stream(home, "after", 5*ms, 1500*ms); done == 0 {
		t.Error("nothing was served after the change")
	}
	for _, out := range outs {
		<-out
	}
	wantNoStartsOn(t, l, leaving, from)
}
