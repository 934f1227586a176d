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

// world is a journal with a store whose calls can be made to fail.
type world struct {
	t       *testing.T
	store   *kvstore.Store
	door    *kvstore.Transport
	journal *Journal
	results map[string]Result
	done    chan string
}

func withJournal(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := kvstore.New()
		w := &world{t: t, store: s, door: s.NewTransport(2 * time.Millisecond), results: map[string]Result{}, done: make(chan string, 1000)}
		var calls relay.Transport = w.door
		w.journal = New(Settings{Name: "test", MinInterval: time.Millisecond, Capacity: 1000, MaxInFlight: 1}, &kvcall.Client{Calls: calls})
		ctx, cancel := context.WithCancel(context.Background())
		go w.journal.Run(ctx)
		test(w)
		cancel()
	})
}

// create adds a row that creates a key with the value "mine".
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

// await waits until n rows have ended.
func (w *world) await(n int) {
	for range n {
		<-w.done
	}
}

func TestQueuedRowsShareTransactions(t *testing.T) {
	withJournal(t, func(w *world) {
		for i := range 64 {
			w.create(fmt.Sprint("k", i), time.Second)
		}
		w.await(64)
		if w.store.Calls > 5 {
			t.Errorf("%d transactions for 64 rows of two entries, 16 fit into one", w.store.Calls)
		}
	})
}

// Guards against submissions that are refused because another one in the same transaction is a duplicate.
func TestConflictEndsOnlyTheRowConcerned(t *testing.T) {
	withJournal(t, func(w *world) {
		w.store.Put("taken", []byte("theirs"))
		for _, key := range []string{"a", "taken", "b"} {
			w.create(key, time.Second)
		}
		w.await(3)
		if w.results["a"].Outcome != Stored || w.results["b"].Outcome != Stored {
			t.Errorf("the other rows: %+v, %+v", w.results["a"], w.results["b"])
		}
		r := w.results["taken"]
		if r.Outcome != Conflict || len(r.Items) != 1 || string(r.Items[0].Value) != "theirs" {
			t.Errorf("the row in conflict: %+v", r)
		}
	})
}

// Guards against a stored submission that is refused as a duplicate: the store makes a change, its answer is
// lost, and on the retry the journal must recognize the row's own value.
func TestRetriedRowRecognizesItsOwnValue(t *testing.T) {
	withJournal(t, func(w *world) {
		w.door.SetFault(kvstore.ReplyLost)
		w.create("a", 10*time.Second)
		time.Sleep(time.Second)
		w.door.SetFault(kvstore.NoFault)
		w.await(1)
		if r := w.results["a"]; r.Outcome != Stored || r.Attempts < 2 {
			t.Errorf("%+v", r)
		}
	})
}

// Guards against callers that are told "not run" of a submission that the store may have taken: a row is
// Refused only if each attempt was refused, and Unknown if one had no answer.
func TestOnlyRowsRefusedEachTimeAreRefused(t *testing.T) {
	for fault, want := range map[kvstore.Fault]Outcome{kvstore.Unavailable: Refused, kvstore.ReplyLost: Unknown, kvstore.NoReply: Unknown} {
		withJournal(t, func(w *world) {
			w.door.SetFault(fault)
			w.create("a", time.Second)
			w.await(1)
			if r := w.results["a"]; r.Outcome != want {
				t.Errorf("fault %d: outcome %d, want %d", fault, r.Outcome, want)
			}
		})
	}
}

// doubledCalls makes each call twice and returns the second answer, like a relay.Router whose direct call was
// carried out without an answer and which then asked a peer.
type doubledCalls struct{ door relay.Transport }

func (w doubledCalls) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	if _, err := w.door.Do(ctx, c); err != nil {
		return relay.Reply{}, err
	}
	return w.door.Do(ctx, c)
}

// Guards against completed tasks that run again after a takeover. A holder stores the progress of a submission;
// the direct call is carried out and its answer lost, and the same call through a peer finds the record
// changed. The journal must recognize its own value even on what it knows as the first attempt.
// Otherwise the holder drops the submission and acknowledges all ends of its tasks, although the record
// has only the first of them.
func TestFirstAttemptRecognizesItsOwnValue(t *testing.T) {
	withJournal(t, func(w *world) {
		w.journal.store = &kvcall.Client{Calls: doubledCalls{w.door}}
		w.create("a", time.Second)
		w.await(1)
		if r := w.results["a"]; r.Outcome != Stored || r.Revision == 0 {
			t.Errorf("%+v, want it stored", r)
		}
	})
}

// Guards against callers that wait for nothing: a row of an idle journal is written at once. Those that follow share
// transactions.
func TestIdleJournalWritesAtOnceAndGathersWhatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvstore.New()
		w := &world{t: t, store: s, results: map[string]Result{}, done: make(chan string, 1000)}
		w.journal = New(Settings{Name: "test", MinInterval: 40 * time.Millisecond, Capacity: 1000, MaxInFlight: 1}, &kvcall.Client{Calls: s.NewTransport(2 * time.Millisecond)})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.journal.Run(ctx)
		began := time.Now()
		w.create("first", time.Second)
		w.await(1)
		if took := time.Since(began); took > 2*time.Millisecond {
			t.Errorf("the first row took %v, as if it had waited for others", took)
		}
		for i := range 80 {
			time.Sleep(5 * time.Millisecond)
			w.create(fmt.Sprint("k", i), time.Second)
		}
		w.await(80)
		if w.store.Calls > 12 {
			t.Errorf("%d transactions within 0.4 s, at most one in 40 ms is allowed", w.store.Calls)
		}
	})
}
