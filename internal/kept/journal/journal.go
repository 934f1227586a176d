// Package journal batches writes to the store.
//
// Each write is a Row with its own conditions. Queued rows are sent together in one
// transaction. If the conditions of some rows do not hold, these rows end with a
// conflict, and the others are sent again. A transaction without an answer is retried
// unchanged: its conditions prevent a second execution, and a row whose key already
// holds the row's value was written by an earlier attempt.
package journal

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// Outcome is how a row ended.
type Outcome uint8

// The outcomes of a row.
const (
	Stored   Outcome = iota
	Conflict         // a condition does not hold; nothing was written
	Refused          // the store refused each attempt; nothing was written
	Unknown          // no answer in time: it may have been written, or may still be written
)

// Result is the outcome of a row with its details.
type Result struct {
	Outcome  Outcome
	Revision uint64       // of the write; only if Stored
	Items    []store.Item // current items of the row's conditions; only if Conflict
	Attempts int          // transactions that contained the row
}

// Row is one write with its conditions.
type Row struct {
	Txn         store.Txn
	Guards      []store.Condition // conditions that many rows share; sent once per transaction
	GiveUpAfter time.Duration     // since Add; then the row ends as Refused or Unknown
	Done        func(Result)      // called when the row ends, unless Run's context ends before

	addedAt         time.Time
	attempts        int
	surelyUnwritten bool // no transaction with this row was left unanswered
}

// Settings are the limits of a journal.
type Settings struct {
	Name        string
	MinInterval time.Duration // from one batch of rows to the next; rows that are added meanwhile share transactions
	Capacity    int           // rows that may be queued
	MaxInFlight int           // concurrent transactions
}

// Limits of transactions and retries.
const (
	commitTimeout    = 1500 * time.Millisecond // a store 60 times slower than usual answers in 250 ms
	retryBackoffStep = 40 * time.Millisecond   // the backoff grows by this with each failed attempt
	maxRetryBackoff  = 400 * time.Millisecond
)

// Journal writes rows to a store. It is safe for concurrent use.
type Journal struct {
	settings Settings
	store    store.Store
	queue    *ring.Ring[*Row]
	inFlight chan struct{}
}

// New returns a journal; Run writes its rows.
func New(s Settings, st store.Store) *Journal {
	return &Journal{
		settings: s,
		store:    st,
		queue:    ring.New[*Row](s.Capacity),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
}

// Add queues a row and reports false if the queue is full.
func (j *Journal) Add(r *Row) bool {
	r.addedAt = time.Now()
	r.surelyUnwritten = true
	return j.queue.TryPush(r)
}

// QueueLength returns the number of rows that are in no transaction yet.
func (j *Journal) QueueLength() int { return j.queue.Len() }

// Run writes queued rows until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	var drainedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.queue.Ready():
		}
		if !pause.For(ctx, j.settings.MinInterval-time.Since(drainedAt)) {
			return
		}
		drainedAt = time.Now()
		for _, batch := range splitIntoBatches(j.queue.Drain()) {
			select {
			case <-ctx.Done():
				return
			case j.inFlight <- struct{}{}:
			}
			go func() {
				defer func() { <-j.inFlight }()
				j.write(ctx, batch)
			}()
		}
	}
}

// splitIntoBatches splits rows so that each part fits into a transaction.
func splitIntoBatches(rows []*Row) [][]*Row {
	var out [][]*Row
	var part []*Row
	entries := 0
	for _, r := range rows {
		n := r.Txn.Entries() + len(r.Guards) // at worst each row has guards of its own
		if entries+n > store.MaxEntries && len(part) > 0 {
			out = append(out, part)
			part, entries = nil, 0
		}
		part = append(part, r)
		entries += n
	}
	if len(part) > 0 {
		out = append(out, part)
	}
	return out
}

// write retries a batch until all its rows have ended or ctx ends.
func (j *Journal) write(ctx context.Context, batch []*Row) {
	for try := 1; len(batch) > 0; try++ {
		var err error
		batch, err = j.attempt(ctx, batch)
		if err == nil {
			continue
		}
		klog.V(1).InfoS("kept: write failed, retrying", "journal", j.settings.Name, "rows", len(batch), "try", try, "why", err)
		batch = endExpired(batch)
		if len(batch) == 0 {
			return
		}
		if !pause.For(ctx, min(time.Duration(try)*retryBackoffStep, maxRetryBackoff)) {
			return
		}
	}
}

// endExpired ends the rows whose GiveUpAfter has passed and returns the others.
func endExpired(batch []*Row) []*Row {
	rest := batch[:0:0]
	for _, r := range batch {
		switch {
		case time.Since(r.addedAt) < r.GiveUpAfter:
			rest = append(rest, r)
		case r.surelyUnwritten:
			r.Done(Result{Outcome: Refused, Attempts: r.attempts})
		default:
			r.Done(Result{Outcome: Unknown, Attempts: r.attempts})
		}
	}
	return rest
}

// attempt makes one transaction and returns the rows to send again, with an error if the caller must
// back off first.
func (j *Journal) attempt(ctx context.Context, batch []*Row) ([]*Row, error) {
	for _, r := range batch {
		r.attempts++
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rev, err := j.store.Commit(ctx, mergeRows(batch))
	var conflict *store.ConflictError
	var refused *store.RefusedError
	switch {
	case err == nil:
		for _, r := range batch {
			r.Done(Result{Outcome: Stored, Revision: rev, Attempts: r.attempts})
		}
		return nil, nil
	case errors.As(err, &conflict):
		return resolveConflict(batch, conflict.Items), nil
	case errors.As(err, &refused):
		return batch, err
	default:
		for _, r := range batch {
			r.surelyUnwritten = false
		}
		return batch, err
	}
}

// mergeRows returns one transaction for a batch; a guard that several rows share is in it once.
func mergeRows(batch []*Row) store.Txn {
	var t store.Txn
	guards := make(map[string]bool)
	for _, r := range batch {
		for _, g := range r.Guards {
			if !guards[g.Key] {
				guards[g.Key] = true
				t.Expect = append(t.Expect, g)
			}
		}
		t.Expect = append(t.Expect, r.Txn.Expect...)
		t.Put = append(t.Put, r.Txn.Put...)
		t.Delete = append(t.Delete, r.Txn.Delete...)
	}
	return t
}

// resolveConflict ends the rows that are in conflict or already written and returns the others. items are the
// current items of the transaction's conditions.
func resolveConflict(batch []*Row, items []store.Item) []*Row {
	current := make(map[string]store.Item, len(items))
	for _, it := range items {
		current[it.Key] = it
	}
	rest := batch[:0:0]
	for _, r := range batch {
		switch rev, written := writtenRevision(r, current); {
		case written:
			r.Done(Result{Outcome: Stored, Revision: rev, Attempts: r.attempts})
		case conditionsHold(r, current):
			rest = append(rest, r)
		default:
			r.Done(Result{Outcome: Conflict, Items: conditionItems(r, current), Attempts: r.attempts})
		}
	}
	if len(rest) == len(batch) {
		// The conflict concerns none of the rows: retrying would never end.
		for _, r := range rest {
			r.Done(Result{Outcome: Conflict, Items: conditionItems(r, current), Attempts: r.attempts})
		}
		return nil
	}
	return rest
}

// writtenRevision reports whether an earlier, unanswered call has written the row, and at which revision:
// a key that the row puts holds the row's own value.
//
// This is checked on the first attempt too, as a call without an answer is repeated through a peer
// unknown to the journal (see package relay). If the value were taken for somebody else's change, the
// holder of a submission would drop it after storing its progress and acknowledge all ends
// of its tasks, and the next holder would run them again.
func writtenRevision(r *Row, current map[string]store.Item) (uint64, bool) {
	for _, p := range r.Txn.Put {
		it, known := current[p.Key]
		if !known || it.Revision == 0 || !bytes.Equal(it.Value, p.Value) {
			continue
		}
		return it.Revision, true
	}
	return 0, false
}

func (r *Row) conditions() []store.Condition { return slices.Concat(r.Guards, r.Txn.Expect) }

// conditionsHold reports whether all conditions of a row hold for the current items.
func conditionsHold(r *Row, current map[string]store.Item) bool {
	for _, c := range r.conditions() {
		if current[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

// conditionItems returns the current items of a row's conditions.
func conditionItems(r *Row, current map[string]store.Item) []store.Item {
	var out []store.Item
	for _, c := range r.conditions() {
		out = append(out, current[c.Key])
	}
	return out
}
