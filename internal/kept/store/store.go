// Package store says what kept submissions ask of the platform's store: a
// key-value service with conditional transactions, leased keys and watches.
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

// Condition says at which revision a key must be; 0: it must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a value, bound to a lease unless that is 0.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a change that is made as a whole, or not at all.
type Txn struct {
	Expect []Condition
	Put    []Put
	Delete []string
}

// MaxEntries is the most conditions, puts and deletes of one transaction.
const MaxEntries = 32

// Entries counts conditions, puts and deletes.
func (t *Txn) Entries() int { return len(t.Expect) + len(t.Put) + len(t.Delete) }

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a range of keys.
type Page struct {
	Items    []Item
	More     bool   // the next page begins after the last item's key
	Revision uint64 // of the store
}

// Changes are the events after a revision.
type Changes struct {
	Events   []Event
	Revision uint64 // to go on from
}

// Store is the platform's store. Errors are those of this package; any other
// error says that the answer could not be had, and a change may have been made
// or may still be made later if its conditions hold then.
type Store interface {
	Get(ctx context.Context, key string) (Item, error) // Revision 0: no such key
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Commit(ctx context.Context, txn Txn) (revision uint64, err error)
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepAlive(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

var (
	// ErrCompacted says that the history a watch asked for is gone.
	ErrCompacted = errors.New("store: history is no longer available")
	// ErrNoLease says that a lease has ended.
	ErrNoLease = errors.New("store: no such lease")
)

// RefusedError says that the store did nothing.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "store refused: " + e.Reason }

// ConflictError says that a transaction's conditions do not hold.
type ConflictError struct {
	Items []Item // the keys of the conditions as they are
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: a condition does not hold (%d keys)", len(e.Items))
}
