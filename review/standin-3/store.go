package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store as it is sent.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// StoreFault says how the store treats the calls of one machine, or of all.
type StoreFault struct {
	Mode  string        // "": none; silent, busy, reset
	Slow  time.Duration // added to each answer
	Lost  float64       // share of the writes that are done and not answered
	LateS float64       // if above 0, lost writes are done up to so many seconds later
}

// Store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type Store struct {
	mu          sync.Mutex
	rev         uint64
	items       map[string]Item
	leases      map[uint64]*storeLease
	history     []Item
	dropped     uint64
	changed     chan struct{}
	faults      map[int]StoreFault // by machine; -1: all
	nextID      uint64
	late        map[string]time.Duration // writes whose body names this are done so much later, without an answer
	disturbedAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{rev: 1, items: map[string]Item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), faults: map[int]StoreFault{}, late: map[string]time.Duration{}}
	go s.expire()
	return s
}

// SetFault sets the fault of the calls of a machine; -1: of all machines.
func (s *Store) SetFault(machine int, f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[machine] = f
	s.disturbedAt = time.Now()
}

// calmFor returns for how long the store has had no disruption.
func (s *Store) calmFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.faults {
		if f != (StoreFault{}) {
			return 0
		}
	}
	return now.Sub(s.disturbedAt)
}

// SetLate has the writes of a job done so much later, without an answer; 0: no longer.
func (s *Store) SetLate(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[id] = d
	s.disturbedAt = time.Now()
}

// lateness returns how much later a write is done; 0: at once.
func (s *Store) lateness(body []byte) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.late {
		if d > 0 && bytes.Contains(body, []byte(id)) {
			return d
		}
	}
	return 0
}

func (s *Store) fault(machine int) StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.faults[-1]; f != (StoreFault{}) {
		return f
	}
	return s.faults[machine]
}

func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *Store) remove(key string) {
	if _, present := s.items[key]; !present {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b, 0)
	s.wake()
}

func (s *Store) put(key string, value []byte, lease uint64) {
	it := Item{Key: key, Value: value, Revision: s.rev, CreatedAt: s.rev, Lease: lease}
	if old, present := s.items[key]; present {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// Delete removes a key as the platform does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.wake()
}

// Get returns the value of a key.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, present := s.items[key]
	return it, present
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

const storeDelay = 4 * time.Millisecond

// Handler serves the calls of one machine.
func (s *Store) Handler(machine int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		f := s.fault(machine)
		switch f.Mode {
		case "silent":
			hang(r)
			return
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "reset":
			reset(w)
			return
		}
		isWrite := r.URL.Path == "/v1/kv-txn"
		time.Sleep(storeDelay/2 + f.Slow/2)
		if d := s.lateness(body); isWrite && d > 0 {
			time.AfterFunc(d, func() { s.txn(body) })
			hang(r)
			return
		}
		if isWrite && f.Lost > 0 && rand.Float64() < f.Lost {
			if f.LateS > 0 {
				time.Sleep(time.Duration((0.2 + 0.8*rand.Float64()) * f.LateS * float64(time.Second)))
			}
			s.txn(body)
			reset(w)
			return
		}
		status, out := s.serve(r, body)
		time.Sleep(storeDelay/2 + f.Slow/2)
		answer(w, status, out)
	})
}

func (s *Store) serve(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, present := s.items[q.Get("key")]
		if !present {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct {
			Item
			AtRev uint64 `json:"atRev"`
		}{it, s.rev}
	case path == "/v1/kv-range":
		return s.page(q.Get("pathPrefix"), q.Get("after"))
	case path == "/v1/kv-watch":
		return s.watch(r)
	case path == "/v1/kv-txn":
		return s.txn(body)
	case path == "/v1/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &in) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": in.TTLMs}
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, struct{}{}
		}
		if strings.HasPrefix(path, "/v1/kv-keep/") {
			l.end = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

const pageSize = 500

func (s *Store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []Item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.rev}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	prefix := q.Get("pathPrefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		events, upTo := []Item{}, s.rev
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[from:] {
			if !strings.HasPrefix(it.Key, prefix) {
				continue
			}
			if len(events) >= pageSize {
				upTo = events[len(events)-1].Revision
				break
			}
			events = append(events, it)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "atRev": upTo}
		}
		select {
		case <-changed:
		case <-deadline.C:
			return http.StatusOK, map[string]any{"events": events, "atRev": upTo}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "atRev": upTo}
		}
	}
}

func (s *Store) txn(body []byte) (int, any) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		DeleteKeys []string `json:"deleteKeys"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Put)+len(in.DeleteKeys) > 32 {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []Item{}
	for _, c := range in.Expected {
		it, present := s.items[c.Key]
		if !present {
			it = Item{Key: c.Key}
		}
		holds = holds && it.Revision == c.Revision
		current = append(current, it)
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range in.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.rev++
	for _, p := range in.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.DeleteKeys {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func answer(w http.ResponseWriter, status int, out any) {
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
}

// reset ends the connection of a request without an answer.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
