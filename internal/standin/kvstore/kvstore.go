// Package kvstore simulates the platform's store in memory: conditional transactions, keys
// bound to leases, watches with a history that can be compacted, and the ways in which calls
// to the store can fail.
package kvstore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// maxPageItems is how many items a Range, or events a Watch, returns at most.
const maxPageItems = 500

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store keeps items in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]store.Item
	leaseOf   map[string]uint64
	leases    map[uint64]*lease
	history   []change
	base      map[string]store.Item // the items when history was dropped; nil: it never was
	compacted uint64                // history up to this revision was dropped
	staleness time.Duration         // age of what stale reads return
	changed   chan struct{}         // closed at the next change
	Calls     int                   // calls made through any Transport, including failed ones
}

// change is an event with the time at which it happened.
type change struct {
	store.Event
	at time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1,
		items:    make(map[string]store.Item),
		leaseOf:  make(map[string]uint64),
		leases:   make(map[uint64]*lease),
		changed:  make(chan struct{}),
	}
}

// expireLeases removes the leases that have expired, with their keys.
func (s *Store) expireLeases() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.leaseOf)) {
		if s.leaseOf[key] == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	if _, there := s.items[key]; !there {
		return
	}
	delete(s.items, key)
	delete(s.leaseOf, key)
	s.record(store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// record adds an event to the history and wakes the watches.
func (s *Store) record(e store.Event) {
	s.history = append(s.history, change{e, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, there := s.items[key]
	if !there {
		return store.Item{Key: key}, nil
	}
	return it, nil
}

// Range implements store.Store.
func (s *Store) Range(_ context.Context, prefix, after string, stale bool) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	items, revision := s.items, s.revision
	if stale && s.staleness > 0 {
		items, revision = s.asOf(time.Now().Add(-s.staleness))
	}
	p := store.Page{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Items) == maxPageItems {
			p.More = true
			break
		}
		p.Items = append(p.Items, items[key])
	}
	return p, nil
}

// SetStaleness makes stale reads return the state of d ago, but none from before the last Compact.
func (s *Store) SetStaleness(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = d
}

// asOf returns the items and the revision at a time.
func (s *Store) asOf(at time.Time) (map[string]store.Item, uint64) {
	items, revision := make(map[string]store.Item), s.compacted
	maps.Copy(items, s.base)
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		revision = c.Revision
		if c.Deleted {
			delete(items, c.Key)
		} else {
			items[c.Key] = c.Item
		}
	}
	return items, revision
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c, changed, err := s.changes(prefix, after)
		if err != nil || len(c.Events) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

func (s *Store) changes(prefix string, after uint64) (store.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compacted {
		return store.Changes{}, nil, store.ErrCompacted
	}
	c := store.Changes{Revision: s.revision}
	for _, e := range s.history {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if n := len(c.Events); n >= maxPageItems && c.Events[n-1].Revision < e.Revision {
			c.Revision, c.More = c.Events[n-1].Revision, true
			break
		}
		c.Events = append(c.Events, e.Event)
	}
	return c, s.changed, nil
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, t store.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if t.Entries() > store.MaxEntries {
		return 0, errTooLarge
	}
	conflict := &store.ConflictError{}
	holds := true
	for _, c := range t.Expect {
		it, there := s.items[c.Key]
		if !there {
			it = store.Item{Key: c.Key}
		}
		conflict.Items = append(conflict.Items, it)
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, key := range t.Delete {
		s.remove(key)
	}
	for _, p := range t.Put {
		s.put(p)
	}
	return s.revision, nil
}

var errTooLarge = errors.New("kvstore: too many entries in a transaction")

func (s *Store) put(p store.Put) {
	it := store.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision}
	s.items[p.Key] = it
	delete(s.leaseOf, p.Key)
	if p.Lease != 0 {
		s.leaseOf[p.Key] = p.Lease
	}
	s.record(store.Event{Item: it})
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.revision, nil
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return store.ErrNoLease
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return store.ErrNoLease
	}
	s.endLease(id)
	return nil
}

// Put writes a key unconditionally, as an operator or a worker would.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
}

// Delete removes all keys with a prefix, as happens when leases expire.
func (s *Store) Delete(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			s.revision++
			s.remove(key)
		}
	}
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.base = maps.Clone(s.items)
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Fault is how the calls through a Transport fail.
type Fault uint8

const (
	NoFault     Fault = iota
	Unavailable       // the store answers 503 and does nothing
	NoReply           // the store does nothing and does not answer
	ReplyLost         // the store carries out the call, but the reply is lost
)

// Transport is one client's connection to the store, with faults of its own.
type Transport struct {
	store *Store
	delay time.Duration

	mu         sync.Mutex
	fault      Fault
	isSilenced func(relay.Call) bool          // whether a call gets no answer; nil: none does
	extraDelay func(relay.Call) time.Duration // nil: none
	replyDelay func(relay.Call) time.Duration // nil: none
	lateness   func(relay.Call) time.Duration // nil: none
}

// NewTransport returns a connection to the store whose calls take delay.
func (s *Store) NewTransport(delay time.Duration) *Transport {
	return &Transport{store: s, delay: delay}
}

// SetFault sets how the calls fail from now on.
func (t *Transport) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// SilenceCalls makes the calls for which isSilenced returns true get no answer, as on a
// connection that has gone silent.
func (t *Transport) SilenceCalls(isSilenced func(relay.Call) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isSilenced = isSilenced
}

// DelayCalls makes calls take longer by what extra returns, as calls with large answers do on
// a link of low bandwidth.
func (t *Transport) DelayCalls(extra func(relay.Call) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extraDelay = extra
}

// DelayReplies makes the replies of calls arrive later by what extra returns, after they were carried out.
func (t *Transport) DelayReplies(extra func(relay.Call) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replyDelay = extra
}

// CarryOutLate makes the calls for which lateness returns more than 0 get no answer and be carried out after that time,
// whether their caller still waits or not.
func (t *Transport) CarryOutLate(lateness func(relay.Call) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateness = lateness
}

// carryOutLate carries a call out later if it is to be, and reports whether it is.
func (t *Transport) carryOutLate(c relay.Call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lateness == nil || t.lateness(c) <= 0 {
		return false
	}
	time.AfterFunc(t.lateness(c), func() { kvcall.Answer(context.Background(), t.store, c) })
	return true
}

// delaysOf returns how much later than after the delay of the transport a call is carried out, and how much later its
// reply arrives.
func (t *Transport) delaysOf(c relay.Call) (call, reply time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.extraDelay != nil {
		call = t.extraDelay(c)
	}
	if t.replyDelay != nil {
		reply = t.replyDelay(c)
	}
	return call, reply
}

// faultFor returns how a call fails.
func (t *Transport) faultFor(c relay.Call) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSilenced != nil && t.isSilenced(c) {
		return NoReply
	}
	return t.fault
}

// Do implements relay.Transport.
func (t *Transport) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	t.store.mu.Lock()
	t.store.Calls++
	t.store.mu.Unlock()
	callDelay, replyDelay := t.delaysOf(c)
	select {
	case <-ctx.Done():
		return relay.Reply{}, ctx.Err()
	case <-time.After(t.delay + callDelay):
	}
	if t.carryOutLate(c) {
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	f := t.faultFor(c)
	switch f {
	case Unavailable:
		return relay.Reply{Status: 503}, nil
	case NoReply:
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	r := kvcall.Answer(ctx, t.store, c)
	if f == ReplyLost {
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	if !pause.For(ctx, replyDelay) {
		return relay.Reply{}, ctx.Err()
	}
	return r, nil
}
