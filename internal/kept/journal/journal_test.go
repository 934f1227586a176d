package journal

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
)

// world is a journal with a store behind a door that can fail.
type world struct {
	t       *testing.T
	store   *kvstore.Store
	door    *kvstore.Door
	journal *Journal
	results map[string]Result
	done    chan string
}

func journalWorld(t *testing.T, play func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := kvstore.New()
		w := &world{t: t, store: s, door: s.Door(2 * time.Millisecond), results: map[string]Result{}, done: make(chan string, 1000)}
		var calls relay.Transport = w.door
		w.journal = New(Settings{Name: "test", BatchDelay: time.Millisecond, Capacity: 1000, MaxInFlight: 1}, &kvcall.Client{Calls: calls})
		ctx, cancel := context.WithCancel(context.Background())
		go w.journal.Run(ctx)
		play(w)
		cancel()
	})
}

// create adds a row that creates a key.
func (w *world) create(key string, within time.Duration) {
	ok := w.journal.Add(&Row{
		Txn:         store.Txn{Expect: []store.Condition{{Key: key}}, Put: []store.Put{{Key: key, Value: []byte("mine")}}},
		GiveUpAfter: within,
		Done: func(r Result) {
			w.results[key] = r
			w.done <- key
		},
	})
	if !ok {
		w.t.Fatal("the journal is full")
	}
}

func (w *world) await(n int) {
	for range n {
		<-w.done
	}
}

func TestRowsThatWaitShareTransactions(t *testing.T) {
	journalWorld(t, func(w *world) {
		for i := range 64 {
			w.create(fmt.Sprint("k", i), time.Second)
		}
		w.await(64)
		if w.store.Calls > 5 {
			t.Errorf("%d transactions for 64 rows of two entries, 16 fit into one", w.store.Calls)
		}
	})
}

// Symptom: submissions are refused with a neighbour that is known already. Cause would
// be: one transaction for all, and one answer.
func TestRowInConflictLeavesItsNeighbours(t *testing.T) {
	journalWorld(t, func(w *world) {
		w.store.Put("taken", []byte("theirs"))
		for _, key := range []string{"a", "taken", "b"} {
			w.create(key, time.Second)
		}
		w.await(3)
		if w.results["a"].Outcome != Stored || w.results["b"].Outcome != Stored {
			t.Errorf("the neighbours: %+v, %+v", w.results["a"], w.results["b"])
		}
		r := w.results["taken"]
		if r.Outcome != Conflict || len(r.Items) != 1 || string(r.Items[0].Value) != "theirs" {
			t.Errorf("the row in conflict: %+v", r)
		}
	})
}

// Symptom: a submission that was stored is refused as known already. Sequence: the
// store makes a change and its answer is lost; the change is repeated. Cause would be:
// taking the own value for somebody else's.
func TestRepeatedRowKnowsItsOwnValue(t *testing.T) {
	journalWorld(t, func(w *world) {
		w.door.Set(kvstore.LosesReply)
		w.create("a", 10*time.Second)
		time.Sleep(time.Second)
		w.door.Set(kvstore.Serves)
		w.await(1)
		if r := w.results["a"]; r.Outcome != Stored || r.Attempts < 2 {
			t.Errorf("%+v", r)
		}
	})
}

// Symptom: "not run" is said of what the store may have taken. What was refused each
// time is surely not stored; what had no answer may be.
func TestOnlyWhatWasRefusedEachTimeIsSurelyNotStored(t *testing.T) {
	for fault, want := range map[kvstore.Fault]Outcome{kvstore.Refuses: Refused, kvstore.LosesReply: Unknown, kvstore.Silent: Unknown} {
		journalWorld(t, func(w *world) {
			w.door.Set(fault)
			w.create("a", time.Second)
			w.await(1)
			if r := w.results["a"]; r.Outcome != want {
				t.Errorf("fault %d: outcome %d, want %d", fault, r.Outcome, want)
			}
		})
	}
}

// twice makes each call two times and returns the second answer, as a router does whose
// direct call was carried out without an answer and which then asked a peer.
type twice struct{ door relay.Transport }

func (w twice) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	if _, err := w.door.Do(ctx, c); err != nil {
		return relay.Reply{}, err
	}
	return w.door.Do(ctx, c)
}

// Symptom: tasks that were done run a second time after a takeover, some seconds after the
// store lost answers. Sequence: a holder stores the progress of a submission; the direct
// call is carried out and its answer lost; the same call through a peer finds the record
// changed. Cause: the change was taken for somebody else's, as this was the first
// transaction that the journal knew of; the holder dropped the submission and acknowledged
// all its ends, of which the record has only the first.
func TestFirstAnswerMayBeOfASecondCall(t *testing.T) {
	journalWorld(t, func(w *world) {
		w.journal.store = &kvcall.Client{Calls: twice{w.door}}
		w.create("a", time.Second)
		w.await(1)
		if r := w.results["a"]; r.Outcome != Stored || r.Revision == 0 {
			t.Errorf("%+v, want it stored", r)
		}
	})
}
