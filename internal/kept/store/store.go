// Package store defines the interface of the platform's store: a key-value service with
// conditional transactions, keys bound to leases, and watches.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change; 0: the key does not exist
}

// Condition is the revision that a key must be at; 0: the key must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a value. If Lease is not 0, the key is deleted when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction: if all conditions in Expect hold, all its changes are made, otherwise none.
type Txn struct {
	Expect []Condition
	Put    []Put
	Delete []string
}

// MaxEntries is the maximum number of conditions, puts and deletes in one transaction.
const MaxEntries = 32

// Entries returns the number of conditions, puts and deletes.
func (t *Txn) Entries() int { return len(t.Expect) + len(t.Put) + len(t.Delete) }

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of the keys under a prefix.
type Page struct {
	Items    []Item
	More     bool   // another page follows, after the last item's key
	Revision uint64 // of the store at the time of reading
}

// Changes are the events that a watch returns.
type Changes struct {
	Events   []Event
	Revision uint64 // to continue the watch from
	More     bool   // the answer is full: later changes may have been left out
}

// Store is the platform's store. The errors of this package have definite meanings. After any other
// error the outcome is unknown: a change may have been made, or may still be made later if
// its conditions hold then.
type Store interface {
	// Get returns a key's item; its Revision is 0 if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys under a prefix that sort after the given key. A stale read may be out of date.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch returns the changes under a prefix after a revision, and waits for one for at most the given time.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Commit(ctx context.Context, txn Txn) (revision uint64, err error)
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepAlive(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

var (
	// ErrCompacted is the error of a watch from a revision whose history is no longer available.
	ErrCompacted = errors.New("store: history is no longer available")
	// ErrNoLease is the error of a call with a lease that has ended.
	ErrNoLease = errors.New("store: no such lease")
)

// RefusedError is the error of a call that the store refused and certainly did not carry out.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "store refused: " + e.Reason }

// ConflictError is the error of a transaction whose conditions do not hold.
type ConflictError struct {
	Items []Item // the current items of the conditions' keys
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: transaction conflict on one of %d keys", len(e.Items))
}
