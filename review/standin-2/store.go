package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// txnIn is the body of a conditional write.
type txnIn struct {
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

// kvStore is a stand-in for the platform's store. It keeps its whole history.
type kvStore struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	leases  map[uint64]*storeLease
	history []item
	changed chan struct{}
	writes  int // conditional writes that have arrived

	// lateWrite says whether the answer to a write is lost and after which time the write is made; 0: it is made and
	// answered at once. It is called with mu held.
	lateWrite func(*txnIn) time.Duration
}

func newStore() *kvStore {
	s := &kvStore{rev: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.expires) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *kvStore) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) remove(key string) {
	if _, there := s.items[key]; there {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *kvStore) set(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.rev, CreatedAt: s.rev, Lease: lease}
	if old, there := s.items[key]; there {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.record(it)
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

// Put writes a key as the operator or a worker does.
func (s *kvStore) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, b, 0)
}

// Delete removes a key as the platform does.
func (s *kvStore) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

// commit makes a write if its conditions hold.
func (s *kvStore) commit(in *txnIn) (status int, out any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	holds := true
	for _, c := range in.Expected {
		it, there := s.items[c.Key]
		if !there {
			it = item{Key: c.Key}
		}
		current = append(current, it)
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "atRev": s.rev}
	}
	for _, p := range in.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, key := range in.DeleteKeys {
		s.remove(key)
	}
	for _, p := range in.Put {
		s.set(p.Key, p.Value, p.Lease)
	}
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		it, there := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !there {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, it)
	})
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ TtlMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.rev++
		id, ttl := s.rev, time.Duration(in.TtlMs)*time.Millisecond
		s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TtlMs})
	})
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > page
	if more {
		items = items[:page]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": rev})
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txnIn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	for _, p := range in.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.mu.Lock()
	s.writes++
	var late time.Duration
	if s.lateWrite != nil {
		late = s.lateWrite(&in)
	}
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { s.commit(&in) })
		<-r.Context().Done() // the connection returns nothing further
		return
	}
	status, out := s.commit(&in)
	answer(w, status, out)
}

func (s *kvStore) setLateWrite(late func(*txnIn) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrite = late
}

func (s *kvStore) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// puts reports whether the transaction writes a key with a text in it.
func (t *txnIn) puts(text string) bool {
	for _, p := range t.Put {
		if strings.Contains(p.Key, text) {
			return true
		}
	}
	return false
}
