// Package journal groups changes of the store into transactions.
//
// Each change is a row with conditions of its own. Rows that wait together go
// into one transaction; a row whose conditions do not hold leaves it and the
// others go on. A transaction without an answer is repeated as it is: its
// conditions make a second execution impossible, and a row whose key holds the
// row's own value was written by the first.
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

// Outcome is what became of a row.
type Outcome uint8

// The outcomes of a row.
const (
	Stored   Outcome = iota
	Conflict         // a condition does not hold; nothing was written
	Refused          // nothing was written
	Unknown          // no answer in time: it may have been written, or be written later
)

// Result is the outcome of a row.
type Result struct {
	Outcome  Outcome
	Revision uint64       // if stored
	Items    []store.Item // if in conflict: the row's conditions as they are
	Attempts int          // transactions that carried the row
}

// Row is a change.
type Row struct {
	Txn         store.Txn
	Guards      []store.Condition // shared by many rows, each counted once a transaction
	GiveUpAfter time.Duration     // after which an unanswered row is given up
	Done        func(Result)

	addedAt         time.Time
	attempts        int
	surelyUnwritten bool // no transaction with this row may be under way
}

// Settings of a journal.
type Settings struct {
	Name        string
	BatchDelay  time.Duration // that a row may wait for others
	Capacity    int           // rows that may wait
	MaxInFlight int           // transactions under way at once
}

// Bounds of a transaction and of repetition.
const (
	commitTimeout    = 1500 * time.Millisecond // a store 60 times slower than usual answers in 250 ms
	retryBackoffStep = 40 * time.Millisecond   // after a refusal, with the number of tries
	maxRetryBackoff  = 400 * time.Millisecond
)

// Journal writes rows. It is safe for concurrent use.
type Journal struct {
	settings Settings
	store    store.Store
	queue    *ring.Ring[*Row]
	inFlight chan struct{}
}

// New returns a journal; Run writes.
func New(s Settings, st store.Store) *Journal {
	return &Journal{
		settings: s,
		store:    st,
		queue:    ring.New[*Row](s.Capacity),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
}

// Add queues a row and reports false if there is no room for it.
func (j *Journal) Add(r *Row) bool {
	r.addedAt = time.Now()
	r.surelyUnwritten = true
	return j.queue.TryPush(r)
}

// Waiting is the number of rows that no transaction carries yet.
func (j *Journal) QueueLength() int { return j.queue.Len() }

// Run writes until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.queue.Ready():
		}
		if j.settings.BatchDelay > 0 {
			time.Sleep(j.settings.BatchDelay)
		}
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

// batches splits rows so that each part fits into a transaction.
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

// write brings a batch to an end. It goes on while the context lasts.
func (j *Journal) write(ctx context.Context, batch []*Row) {
	for try := 1; len(batch) > 0; try++ {
		var err error
		batch, err = j.attempt(ctx, batch)
		if err == nil {
			continue
		}
		klog.V(1).InfoS("kept: a write has to wait", "journal", j.settings.Name, "rows", len(batch), "try", try, "why", err)
		batch = endExpired(batch)
		if len(batch) == 0 {
			return
		}
		if !pause.For(ctx, min(time.Duration(try)*retryBackoffStep, maxRetryBackoff)) {
			return
		}
	}
}

// endExpired ends the rows whose time is over and returns the others.
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

// attempt makes one transaction and returns the rows that are still open, with
// an error if they have to wait.
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

// settle ends the rows in conflict and returns the others.
func resolveConflict(batch []*Row, items []store.Item) []*Row {
	now := make(map[string]store.Item, len(items))
	for _, it := range items {
		now[it.Key] = it
	}
	rest := batch[:0:0]
	for _, r := range batch {
		switch rev, own := writtenRevision(r, now); {
		case own:
			r.Done(Result{Outcome: Stored, Revision: rev, Attempts: r.attempts})
		case conditionsHold(r, now):
			rest = append(rest, r)
		default:
			r.Done(Result{Outcome: Conflict, Items: conditionItems(r, now), Attempts: r.attempts})
		}
	}
	if len(rest) == len(batch) {
		// The answer names no row: repeating it would go on for ever.
		for _, r := range rest {
			r.Done(Result{Outcome: Conflict, Items: conditionItems(r, now), Attempts: r.attempts})
		}
		return nil
	}
	return rest
}

// writtenRevision reports whether an earlier, unanswered transaction has written the
// row: the key that it puts under a condition holds the row's own value.
//
// It may be the first one, as far as this journal knows: a call without an answer is made
// again by way of a peer. Taken for somebody else's change, a stored progress would make
// its holder drop the submission and acknowledge its ends, and the next holder repeat them.
func writtenRevision(r *Row, now map[string]store.Item) (uint64, bool) {
	for _, p := range r.Txn.Put {
		it, known := now[p.Key]
		if !known || it.Revision == 0 || !bytes.Equal(it.Value, p.Value) {
			continue
		}
		return it.Revision, true
	}
	return 0, false
}

func (r *Row) conditions() []store.Condition { return slices.Concat(r.Guards, r.Txn.Expect) }

func conditionsHold(r *Row, now map[string]store.Item) bool {
	for _, c := range r.conditions() {
		if now[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

func conditionItems(r *Row, now map[string]store.Item) []store.Item {
	var out []store.Item
	for _, c := range r.conditions() {
		out = append(out, now[c.Key])
	}
	return out
}
