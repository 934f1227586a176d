package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that an answer of the store takes.
const storeDelay = 4 * time.Millisecond

const (
	writesPerS     = 400
	readsPerS      = 2000
	maxRangeItems  = 500
	maxRangeBytes  = 1 << 20
	maxWatchEvents = 500
	maxTxnEntries  = 32
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt"`
	Lease     uint64 `json:"lease"`
}

type change struct {
	at      time.Time
	item    item
	deleted bool
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	stale time.Duration // age of what a serializable read returns

	mu        sync.Mutex
	rev       uint64
	items     map[string]item
	history   []change
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{} // closed at the next change
	slowUntil time.Time
	slow      time.Duration // delay of answers until slowUntil
	writes    limiter
	reads     limiter
}

// limiter counts calls within a second.
type limiter struct {
	limit float64
	from  time.Time
	count float64
	most  float64
}

// allow counts a call and reports whether it is within the limit.
func (l *limiter) allow(price float64) bool {
	if now := time.Now(); now.Sub(l.from) >= time.Second {
		l.from, l.count = now, 0
	}
	if l.count+price > l.limit {
		return false
	}
	l.count += price
	l.most = max(l.most, l.count)
	return true
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

func newStore(stale time.Duration) *store {
	return &store{
		stale:   stale,
		rev:     100,
		items:   make(map[string]item),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		writes:  limiter{limit: writesPerS},
		reads:   limiter{limit: readsPerS},
	}
}

func (s *store) serve(l net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.admits(r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		d := s.delay()
		time.Sleep(d / 2)
		mux.ServeHTTP(&delayedWriter{ResponseWriter: w, delay: d / 2}, r)
	})}
	go func() { _ = srv.Serve(l) }()
	return srv
}

// admits counts a call of the system and reports whether it is within the limits.
func (s *store) admits(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Query().Get("serializable") == "1":
		return true
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		return s.reads.allow(0.1)
	case r.Method == http.MethodGet:
		return s.reads.allow(1)
	default:
		return s.writes.allow(1)
	}
}

func (s *store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.slowUntil) {
		return s.slow
	}
	return storeDelay
}

func (s *store) slowDown(answer, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow, s.slowUntil = answer, time.Now().Add(length)
}

// delayedWriter waits before the answer begins.
type delayedWriter struct {
	http.ResponseWriter
	delay time.Duration
}

func (d *delayedWriter) WriteHeader(status int) {
	time.Sleep(d.delay)
	d.delay = 0
	d.ResponseWriter.WriteHeader(status)
}

func (d *delayedWriter) Write(b []byte) (int, error) {
	time.Sleep(d.delay)
	d.delay = 0
	return d.ResponseWriter.Write(b)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// apply makes a change; s.mu is held.
func (s *store) apply(key string, value []byte, leaseID uint64, deleted bool) {
	before, known := s.items[key]
	if known && before.Lease != 0 {
		if l := s.leases[before.Lease]; l != nil {
			delete(l.keys, key)
		}
	}
	it := item{Key: key, Value: value, Revision: s.rev, CreatedAt: s.rev, Lease: leaseID}
	if known {
		it.CreatedAt = before.CreatedAt
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = it
		if l := s.leases[leaseID]; l != nil {
			l.keys[key] = true
		}
	}
	s.history = append(s.history, change{at: time.Now(), item: it, deleted: deleted})
}

// notify wakes the watches; s.mu is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(key, value, 0, false)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.rev++
	s.apply(key, nil, 0, true)
	s.notify()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, known := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !known {
		answer(w, http.StatusNotFound, map[string]any{"atRev": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AtRev uint64 `json:"atRev"`
	}{it, rev})
}

// asOf returns the items and the revision at a time; s.mu is held.
func (s *store) asOf(at time.Time) (map[string]item, uint64) {
	items, rev := make(map[string]item), uint64(100)
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		rev = c.item.Revision
		if c.deleted {
			delete(items, c.item.Key)
		} else {
			items[c.item.Key] = c.item
		}
	}
	return items, rev
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items, rev := s.items, s.rev
	if q.Get("serializable") == "1" && s.stale > 0 {
		items, rev = s.asOf(time.Now().Add(-s.stale))
	}
	out := []item{}
	for key, it := range items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			out = append(out, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	n, bytes := 0, 0
	for n < len(out) && n < maxRangeItems && bytes < maxRangeBytes {
		bytes += len(out[n].Value)
		n++
	}
	more := n < len(out)
	out = out[:n]
	answer(w, http.StatusOK, map[string]any{"items": out, "hasMore": more, "atRev": rev})
}

type deletion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rev, changed := s.rev, s.changed
		events := []any{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].item.Revision > after })
		for _, c := range s.history[from:] {
			if !strings.HasPrefix(c.item.Key, q.Get("pathPrefix")) {
				continue
			}
			if len(events) >= maxWatchEvents && c.item.Revision > rev {
				break
			}
			if c.deleted {
				events = append(events, deletion{c.item.Key, c.item.Revision, true})
			} else {
				events = append(events, c.item)
			}
			if len(events) >= maxWatchEvents {
				rev = c.item.Revision
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Put)+len(in.DeleteKeys) > maxTxnEntries {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range in.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	held, current := true, []item{}
	for _, e := range in.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		held = held && it.Revision == e.Revision
	}
	for _, p := range in.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			s.mu.Unlock()
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	if !held {
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	rev := s.rev
	for _, p := range in.Put {
		s.apply(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range in.DeleteKeys {
		if _, known := s.items[key]; known {
			s.apply(key, nil, 0, true)
		}
	}
	s.notify()
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"revision": rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl := max(time.Duration(in.TTLMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, keys: make(map[string]bool), timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	s.rev++
	for key := range l.keys {
		s.apply(key, nil, 0, true)
	}
	s.notify()
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.expire(id)
	answer(w, http.StatusOK, map[string]any{})
}
