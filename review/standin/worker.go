package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax        = time.Second // longest lease of runs
	heartbeat      = 1500 * time.Millisecond
	maxListedEnds  = 500
	maxHoldWait    = 2 * time.Second
	leaseCheckStep = 5 * time.Millisecond
	workerPort     = "9000"
)

// worker is a stand-in for a worker that guards its capacity.
type worker struct {
	world  *world
	id     string
	zone   string
	ip     string
	addr   string
	labels []string
	cpu    int64
	memMB  int64

	mu       sync.Mutex
	began    time.Time
	token    uint64
	lapsed   bool
	lapsedAt time.Time     // when the lease last lapsed
	lease    time.Duration // end of the lease on the worker's clock
	running  map[string]*run
	rejected map[string]uint64 // by task: runs up to this number are rejected
	ends     []end
	lastEnd  uint64
	ended    chan struct{} // closed at the next end
	gone     bool
	server   *http.Server
	seq      int64
}

type run struct {
	task  string
	run   uint64
	began time.Time
	takes time.Duration
	timer *time.Timer
	cpu   int64
	memMB int64
}

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
}

func (wd *world) newWorker(id, zone, ip string, labels []string, cpu, memMB int64) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, workerPort))
	if err != nil {
		return nil, err
	}
	w := &worker{
		world: wd, id: id, zone: zone, ip: ip, addr: l.Addr().String(), labels: labels, cpu: cpu, memMB: memMB,
		began:    time.Now().Add(-time.Minute),
		running:  make(map[string]*run),
		rejected: make(map[string]uint64),
		ended:    make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.startRun)
	mux.HandleFunc("POST /v1/run-stop", w.stopRun)
	mux.HandleFunc("POST /v1/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Pumiceyard-Instance-Id", w.id)
		if want := r.Header.Get("X-Pumiceyard-Expected-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// beat writes the worker's entry, and removes it three intervals after the worker has gone.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		gone := w.gone
		w.seq++
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock().Milliseconds(), "seq": w.seq,
		})
		w.mu.Unlock()
		if gone {
			time.Sleep(3 * heartbeat)
			w.world.store.remove("servers/" + w.id)
			return
		}
		if err != nil {
			panic(err)
		}
		w.world.store.put("servers/"+w.id, entry)
		time.Sleep(heartbeat)
	}
}

func (w *worker) watchLease() {
	for {
		time.Sleep(leaseCheckStep)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if lapsed := w.clock() > w.lease; lapsed != w.lapsed {
			w.lapsed = lapsed
			if lapsed {
				w.lapsedAt = time.Now()
			}
		}
		if w.lapsed {
			for _, r := range w.sortedRuns() {
				w.finish(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) sortedRuns() []*run {
	var out []*run
	for _, r := range w.running {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

// finish ends a run; w.mu is held.
func (w *worker) finish(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how})
	w.rejected[r.task] = max(w.rejected[r.task], r.run)
	close(w.ended)
	w.ended = make(chan struct{})
	w.world.record("worker %s end %s run %d %s", w.id, r.task, r.run, how)
	w.world.noteEnd(w.id, r.task, r.run, how)
}

// crash ends the worker and all its runs.
func (w *worker) crash() {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.sortedRuns() {
		r.timer.Stop()
		w.world.noteEnd(w.id, r.task, r.run, "crashed")
	}
	w.running = make(map[string]*run)
	w.mu.Unlock()
	_ = w.server.Close()
	w.world.record("worker %s crashed", w.id)
}

// comeBack starts the worker's machine again, as another incarnation that runs nothing.
func (w *worker) comeBack() (*worker, error) {
	next, err := w.world.newWorker(w.id+"-again", w.zone, w.ip, w.labels, w.cpu, w.memMB)
	if err != nil {
		return nil, err
	}
	w.world.record("worker %s is back as %s", w.id, next.id)
	w.world.addWorker(next)
	return next, nil
}

func (w *worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": w.clock().Milliseconds()}
	status := http.StatusOK
	if reason != "" {
		body["reason"] = reason
		status = http.StatusConflict
	}
	answer(rw, status, body)
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// accept decodes an order and checks its token. It returns with w.mu held if ok.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return o, false
	}
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.reply(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.token = o.Token
	return o, true
}

func (w *worker) extend(o order) {
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, w.clock()+holdMax)
	w.lease = max(w.lease, deadline)
}

func (w *worker) startRun(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if o.DeadlineMs > 0 && time.Duration(o.DeadlineMs)*time.Millisecond < w.clock() {
		w.reply(rw, "late")
		return
	}
	w.extend(o)
	there := w.running[o.Task]
	switch {
	case there != nil && there.run == o.Run:
		w.reply(rw, "")
		return
	case o.Run <= w.rejected[o.Task] || there != nil && there.run > o.Run:
		w.reply(rw, "old")
		return
	}
	j := w.world.job(strings.SplitN(o.Task, ".", 2)[0])
	step := 0
	if parts := strings.Split(o.Task, "."); len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
	}
	if j == nil || step >= len(j.Steps) {
		w.world.record("worker %s told to start %s, which nobody sent", w.id, o.Task)
		answer(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock().Milliseconds()})
		return
	}
	s := j.Steps[step]
	var cpu, mem int64
	for _, other := range w.running {
		cpu += other.cpu
		mem += other.memMB
	}
	if cpu+s.CPU > w.cpu || mem+s.MemMB > w.memMB {
		w.reply(rw, "room")
		return
	}
	n := &run{task: o.Task, run: o.Run, began: time.Now(), takes: time.Duration(s.EstimateMs) * time.Millisecond, cpu: s.CPU, memMB: s.MemMB}
	w.running[o.Task] = n
	n.timer = time.AfterFunc(n.takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(n, "done")
	})
	w.world.record("worker %s start %s run %d token %d", w.id, o.Task, o.Run, o.Token)
	w.world.noteStart(w.id, o.Task, o.Run)
	w.reply(rw, "")
}

func (w *worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.rejected[o.Task] = max(w.rejected[o.Task], o.Run)
	if there := w.running[o.Task]; there != nil && there.run <= o.Run {
		w.finish(there, "stopped")
	}
	w.reply(rw, "")
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o)
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		w.world.noteAcked(w.ends[0].task, w.ends[0].run, w.lapsedAt)
		w.ends = w.ends[1:]
	}
	timeout := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, x := range w.sortedRuns() {
		percent := min(int(100*time.Since(x.began)/max(x.takes, 1)), 99)
		running = append(running, []any{x.task, x.run, "", percent, x.cpu})
	}
	ended := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "running": running, "endedRuns": ended})
}

func workerName(n int) string { return fmt.Sprintf("i-%08x", 0x7f3a0000+n) }
