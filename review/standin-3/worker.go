package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func readBody(r *http.Request) []byte {
	b, _ := io.ReadAll(r.Body)
	return b
}

type run struct {
	task    string
	number  uint64
	spec    string
	begun   time.Time
	ends    time.Time
	how     string // how it will end
	stopped bool
}

type ended struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// Worker is a machine with one worker at a time, as PROTOCOL.md describes it. A crash replaces the worker by one with a new id.
type Worker struct {
	site    *Site
	index   int
	zone    string
	rack    string
	address string
	cpu     int64

	mu       sync.Mutex
	id       string
	lives    int
	up       bool
	draining bool
	drainAt  time.Time // when the store accepted that it drains
	silent   bool      // calls get no answer and are not carried out
	late     float64   // share of the orders that get no answer and are carried out later
	lateS    float64
	born     time.Time
	token    uint64
	deadline int64 // on the worker's clock, ms
	lapsedAt time.Time
	running  map[string]*run
	highest  map[string]uint64 // of the runs stopped or ended here, by task
	ended    []ended
	nextEnd  uint64
	seq      int64
	changed  chan struct{}
	server   *http.Server
	listener net.Listener
}

// clock returns the worker's steady clock in ms. That of every third worker is 2% slow.
func (w *Worker) clock() int64 {
	ms := time.Since(w.born).Milliseconds()
	if w.index%3 == 2 {
		ms -= ms / 50
	}
	return ms + 1000
}

// begin starts a new life of the worker, unless it is up.
func (w *Worker) begin() {
	w.mu.Lock()
	if w.up {
		w.mu.Unlock()
		return
	}
	w.lives++
	w.id = fmt.Sprintf("w%03d-%d", w.index, w.lives)
	w.up, w.draining, w.drainAt, w.token, w.deadline = true, false, time.Time{}, 0, 0
	w.born = time.Now()
	w.running = map[string]*run{}
	w.highest = map[string]uint64{}
	w.ended = nil
	w.nextEnd = 0
	w.changed = make(chan struct{})
	life := w.lives
	w.mu.Unlock()
	w.site.log("worker %s begins", w.id)
	go w.tick(life)
	go w.beat(life)
}

// Crash ends the worker with all that runs on it; its entry expires by itself.
func (w *Worker) Crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	runs := w.running
	w.running = map[string]*run{}
	id := w.id
	w.mu.Unlock()
	w.site.log("worker %s crashes", id)
	for _, r := range runs {
		w.site.observeEnd(w, id, r, "crashed")
	}
	go func() {
		time.Sleep(3 * w.site.heartbeat)
		w.site.store.Delete("servers/" + id)
	}()
}

// Restart starts the next life after a crash.
func (w *Worker) Restart() { w.begin() }

func (w *Worker) beat(life int) {
	for {
		w.mu.Lock()
		if w.lives != life || !w.up {
			w.mu.Unlock()
			return
		}
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		entry := map[string]any{"service": w.site.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
			"coldLeftMs": 0, "seq": w.seq, "capacity": map[string]any{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": []string{"a", w.rack}}
		id := w.id
		w.mu.Unlock()
		if w.site.store.fault(-1).Mode == "" {
			w.site.store.Put("servers/"+id, entry)
			w.mu.Lock()
			if state == "draining" && w.drainAt.IsZero() && w.lives == life {
				w.drainAt = time.Now()
			}
			w.mu.Unlock()
		}
		time.Sleep(w.site.heartbeat)
	}
}

func (w *Worker) tick(life int) {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if w.lives != life || !w.up {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := w.clock() > w.deadline
		if lapsed {
			w.lapsedAt = now
		}
		for _, r := range w.running {
			switch {
			case r.stopped:
				w.end(r, "stopped")
			case lapsed:
				w.end(r, "lapsed")
			case now.After(r.ends):
				w.end(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

func (w *Worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.nextEnd++
	w.ended = append(w.ended, ended{w.nextEnd, r.task, r.number, how})
	w.site.observeEnd(w, w.id, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.mu.Lock()
	up, silent, late, lateS := w.up, w.silent, w.late, w.lateS
	w.mu.Unlock()
	if !up {
		reset(rw)
		return
	}
	if silent {
		hang(r)
		return
	}
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if late > 0 && rand.Float64() < late {
		go func() {
			time.Sleep(time.Duration((0.2 + 0.8*rand.Float64()) * lateS * float64(time.Second)))
			w.order(r.URL.Path, r.Header.Get("X-Pumiceyard-Expected-Instance"), body)
		}()
		hang(r)
		return
	}
	if r.URL.Path == "/v1/hold" {
		w.awaitEnd(r, body)
	}
	status, out := w.order(r.URL.Path, r.Header.Get("X-Pumiceyard-Expected-Instance"), body)
	if status == 0 {
		reset(rw)
		return
	}
	answer(rw, status, out)
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// awaitEnd carries a hold out and waits until there is an end to list.
func (w *Worker) awaitEnd(r *http.Request, body []byte) {
	var in order
	if json.Unmarshal(body, &in) != nil || in.WaitMs <= 0 {
		return
	}
	if status, _ := w.order(r.URL.Path, r.Header.Get("X-Pumiceyard-Expected-Instance"), body); status != http.StatusOK {
		return
	}
	t := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
	defer t.Stop()
	for {
		w.mu.Lock()
		if len(w.ended) > 0 || !w.up {
			w.mu.Unlock()
			return
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-t.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (w *Worker) order(path, instance string, body []byte) (int, any) {
	var in order
	if json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return 0, nil
	}
	clock := w.clock()
	if instance != "" && instance != w.id {
		return http.StatusMisdirectedRequest, map[string]any{"clockMs": clock}
	}
	if in.FencingToken < w.token {
		return http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"}
	}
	w.token = in.FencingToken
	switch path {
	case "/v1/run-start":
		return w.start(in, clock)
	case "/v1/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
		if r := w.running[in.Task]; r != nil && r.number <= in.Run {
			r.stopped = true
		}
		return http.StatusOK, map[string]any{"clockMs": clock}
	case "/v1/hold":
		w.extend(in.DeadlineMs, clock)
		for len(w.ended) > 0 && w.ended[0].n <= in.LastSeen {
			w.site.observeAck(w.ended[0].task, w.ended[0].run, w.ended[0].how, w.lapsedAt)
			w.ended = w.ended[1:]
		}
		running, endedRuns := [][]any{}, [][]any{}
		for _, r := range w.running {
			percent := int(100 * time.Since(r.begun) / max(r.ends.Sub(r.begun), 1))
			running = append(running, []any{r.task, r.number, "", min(percent, 99), 0})
		}
		for _, e := range w.ended[:min(len(w.ended), 500)] {
			endedRuns = append(endedRuns, []any{e.n, e.task, e.run, e.how, ""})
		}
		return http.StatusOK, map[string]any{"clockMs": clock, "running": running, "endedRuns": endedRuns}
	}
	return http.StatusNotFound, struct{}{}
}

func (w *Worker) extend(deadline, clock int64) {
	w.deadline = max(w.deadline, min(deadline, clock+w.site.holdMaxMs))
}

func (w *Worker) start(in order, clock int64) (int, any) {
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason}
	}
	if r := w.running[in.Task]; r != nil && r.number == in.Run {
		w.extend(in.DeadlineMs, clock)
		return http.StatusOK, map[string]any{"clockMs": clock}
	}
	if in.DeadlineMs <= clock {
		return refuse("late")
	}
	w.extend(in.DeadlineMs, clock)
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil && w.running[in.Task].number >= in.Run {
		return refuse("old")
	}
	p := w.site.plan(in.Task)
	used := int64(0)
	for _, r := range w.running {
		used += w.site.plan(r.task).cpu
	}
	if used+p.cpu > w.cpu {
		if !w.site.unguarded {
			return refuse("room")
		}
		w.site.mu.Lock()
		w.site.broken("LIMIT: %s brings %s to %d of %d", in.Task, w.id, used+p.cpu, w.cpu)
		w.site.mu.Unlock()
	}
	now := time.Now()
	r := &run{task: in.Task, number: in.Run, spec: in.Spec, begun: now, ends: now.Add(p.takes), how: "done"}
	w.running[in.Task] = r
	w.site.observeStart(w, w.id, r)
	return http.StatusOK, map[string]any{"clockMs": clock}
}

// Leave makes the worker announce that it leaves, and end after a time.
func (w *Worker) Leave(after time.Duration) {
	w.mu.Lock()
	if !w.up || w.draining {
		w.mu.Unlock()
		return
	}
	w.draining = true
	life, id := w.lives, w.id
	w.mu.Unlock()
	w.site.log("worker %s drains", id)
	go func() {
		time.Sleep(after)
		w.mu.Lock()
		same := w.lives == life
		w.mu.Unlock()
		if same {
			w.Crash()
		}
	}()
}
