package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax    = time.Second
	maxListed  = 500
	workerCPU  = 16000
	workerMem  = 65536
	heartbeat  = 1500 * time.Millisecond
	leaseCheck = 5 * time.Millisecond
	stopTakes  = 30 * time.Millisecond // the pages allow 50
)

// taskSpec is what the workers read from the spec of a job: how long each task takes and what it uses.
type taskSpec struct {
	Ms  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
}

type workerRun struct {
	run   uint64
	cpu   int64
	began time.Time
	took  time.Duration
	timer *time.Timer
}

// worker is a stand-in for one life of a worker.
type worker struct {
	site    *site
	id      string
	address string
	zone    string
	rack    string
	kind    string

	mu       sync.Mutex
	born     time.Time
	running  map[string]*workerRun
	highest  map[string]uint64 // highest run of a task that was stopped or has ended
	fence    uint64
	deadline int64 // of the lease, on the worker's clock
	ended    [][]any
	lastEnd  uint64
	changed  chan struct{}
	seq      int
	gone     bool
	server   *http.Server
}

func startWorker(s *site, id, address, zone, rack, kind string) (*worker, error) {
	w := &worker{site: s, id: id, address: address, zone: zone, rack: rack, kind: kind, born: time.Now(),
		running: map[string]*workerRun{}, highest: map[string]uint64{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serveStart)
	mux.HandleFunc("POST /v1/run-stop", w.serveStop)
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.checkLease()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *worker) beat() {
	for {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		w.site.store.Put("servers/"+w.id, w.nextEntry())
		time.Sleep(heartbeat)
	}
}

// nextEntry returns the entry of the worker's next heartbeat.
func (w *worker) nextEntry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{"service": w.site.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]any{"cpu": workerCPU, "memMb": workerMem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"clockMs": w.clock(), "seq": w.seq}
}

// crash ends this life of the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.gone = true
	for task, r := range w.running {
		r.timer.Stop()
		w.site.log("worker %s crashed under %s run %d", w.id, task, r.run)
		w.site.noteEnd(w, task, r.run, "crashed")
		delete(w.running, task)
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) checkLease() {
	for {
		time.Sleep(leaseCheck)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.clock() > w.deadline {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; mu is held.
func (w *worker) end(task, how string) {
	r := w.running[task]
	r.timer.Stop()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.run, how, ""})
	w.site.log("end %s run %d at %s: %s", task, r.run, w.id, how)
	w.site.noteEnd(w, task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderIn struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// receive reads an order. It answers those for another life of the worker and those with a lower fence. mu is held
// after it returns true.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request, in *orderIn) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		answer(rw, http.StatusBadRequest, nil)
		return false
	}
	rw.Header().Set("X-Pumiceyard-Instance-Id", w.id)
	if want := r.Header.Get("X-Pumiceyard-Expected-Instance"); want != "" && want != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return false
	}
	w.mu.Lock()
	if in.FencingToken < w.fence {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return false
	}
	w.fence = in.FencingToken
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var in orderIn
	if !w.receive(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	if old := w.running[in.Task]; old != nil && old.run == in.Run {
		w.extend(in.DeadlineMs)
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	}
	if in.DeadlineMs < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(in.DeadlineMs)
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(in.Spec), &spec); err != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	used := spec.CPU
	for _, other := range w.running {
		used += other.cpu
	}
	if used > workerCPU {
		w.refuse(rw, "room")
		return
	}
	run := &workerRun{run: in.Run, cpu: spec.CPU, began: time.Now(), took: time.Duration(spec.Ms) * time.Millisecond}
	run.timer = time.AfterFunc(run.took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[in.Task] == run {
			w.end(in.Task, "done")
		}
	})
	w.running[in.Task] = run
	w.site.log("start %s run %d at %s fence %d", in.Task, in.Run, w.id, in.FencingToken)
	w.site.noteStart(w, in.Task, in.Run)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var in orderIn
	if !w.receive(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	if run := w.running[in.Task]; run != nil && run.run <= in.Run {
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[in.Task] == run {
				w.end(in.Task, "stopped")
			}
		})
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var in orderIn
	if !w.receive(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	if in.DeadlineMs > 0 {
		w.extend(in.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= in.LastSeen {
		e := w.ended[0]
		w.ended = w.ended[1:]
		w.site.noteAck(w, e[1].(string), e[2].(uint64), e[3].(string))
	}
	timer := time.NewTimer(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for over := in.WaitMs == 0; len(w.ended) == 0 && !over; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, run := range w.running {
		percent := int64(99)
		if run.took > 0 {
			percent = min(99, int64(100*time.Since(run.began)/run.took))
		}
		running = append(running, []any{task, run.run, "", percent, run.cpu})
	}
	ended := w.ended[:min(len(w.ended), maxListed)]
	if ended == nil {
		ended = [][]any{}
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "endedRuns": ended})
}

func (w *worker) String() string { return fmt.Sprintf("%s in %s", w.id, w.zone) }
