// Package kvstore is a stand-in for the platform's store: conditional transactions,
// leased keys, watches with a history that can be dropped, and its ways to fail.
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
)

const maxPageItems = 500 // items

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store keeps items in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]store.Item
	leaseOf   map[string]uint64
	leases    map[uint64]*lease
	history   []store.Event
	compacted uint64 // history up to this revision is gone
	changed   chan struct{}
	Calls     int // made so far, refused ones included
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

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; now.After(l.ends) {
			s.endLease(id)
		}
	}
}

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

func (s *Store) record(e store.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, there := s.items[key]
	if !there {
		return store.Item{Key: key}, nil
	}
	return it, nil
}

// Range implements store.Store.
func (s *Store) Range(_ context.Context, prefix, after string, _ bool) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	p := store.Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Items) == maxPageItems {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[key])
	}
	return p, nil
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
	s.expire()
	if after < s.compacted {
		return store.Changes{}, nil, store.ErrCompacted
	}
	c := store.Changes{Revision: s.revision}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			c.Events = append(c.Events, e)
		}
	}
	return c, s.changed, nil
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, t store.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
	s.leases[s.revision] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return s.revision, nil
}

// Keep implements store.Store.
func (s *Store) KeepAlive(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return store.ErrNoLease
	}
	l.ends = time.Now().Add(l.ttl)
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

// Put writes a key without a condition, as an operator or a worker does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
}

// Delete removes keys with a prefix, as when leases lapse.
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
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Fault is how the store treats a client's calls.
type Fault uint8

// The store's faults.
const (
	NoFault     Fault = iota
	Unavailable       // 503, nothing is done
	NoReply           // no answer, nothing is done
	ReplyLost         // the call is done, its answer is lost
)

// Door is one client's way to the store.
type Transport struct {
	store *Store
	delay time.Duration

	mu         sync.Mutex
	fault      Fault
	isSilenced func(relay.Call) bool // calls that get no answer; nil: none
	extraDelay func(relay.Call) time.Duration
}

// Door returns a way to the store whose calls take delay.
func (s *Store) NewTransport(delay time.Duration) *Transport {
	return &Transport{store: s, delay: delay}
}

// Set changes how the store treats this client.
func (d *Transport) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Silence has some calls get no answer, as on one connection that has gone silent.
func (d *Transport) SilenceCalls(silent func(relay.Call) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilenced = silent
}

// Slow has some calls take longer, as those with large answers do on a narrow link.
func (d *Transport) DelayCalls(extra func(relay.Call) time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraDelay = extra
}

func (d *Transport) callDelay(c relay.Call) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.extraDelay == nil {
		return 0
	}
	return d.extraDelay(c)
}

func (d *Transport) faultFor(c relay.Call) Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSilenced != nil && d.isSilenced(c) {
		return NoReply
	}
	return d.fault
}

// Do implements relay.Transport.
func (d *Transport) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	d.store.mu.Lock()
	d.store.Calls++
	d.store.mu.Unlock()
	select {
	case <-ctx.Done():
		return relay.Reply{}, ctx.Err()
	case <-time.After(d.delay + d.callDelay(c)):
	}
	f := d.faultFor(c)
	switch f {
	case Unavailable:
		return relay.Reply{Status: 503}, nil
	case NoReply:
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	r := kvcall.Answer(ctx, d.store, c)
	if f == ReplyLost {
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	if ctx.Err() != nil {
		return relay.Reply{}, ctx.Err()
	}
	return r, nil
}
