package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is a small deployment: a store, workers, machines of the system as separate processes, and clients.
type Site struct {
	dir         string
	octet       int // of all addresses of the site: 127.octet.x.y
	reservation net.Listener
	service     string
	host        string
	heartbeat   time.Duration
	holdMaxMs   int64
	zones       []string
	store       *Store
	unguarded   bool // the workers don't guard their capacity
	workers     []*Worker
	machines    []*Machine
	record      *os.File
	startedAt   time.Time

	mu    sync.Mutex
	tasks map[string]*taskView
	jobs  map[string]*Job
	bad   []string
}

// Plan is what a task asks of a worker.
type Plan struct {
	cpu   int64
	takes time.Duration
}

// Step is a step of a job.
type Step struct {
	Count       int
	CPU         int64
	Takes       time.Duration
	After       []int
	Constraints string
	GPU         int
}

// Job is a submission as its client knows it.
type Job struct {
	ID         string
	Prefix     string
	Spec       string
	Steps      []Step
	BestEffort bool

	sentAt      time.Time
	acceptedAt  time.Time
	doneShownAt time.Time
	cancelAt    time.Time // of the first acknowledged cancel
	cancelSent  time.Time
	endedAt     time.Time // shown in a final state
	final       string
	rejected    bool
}

type seenRun struct {
	worker string
	number uint64
	begun  time.Time
	ended  time.Time
	how    string
	acked  time.Time // when its end was taken note of
}

type taskView struct{ runs []*seenRun }

// Machine is a machine of the system.
type Machine struct {
	site     *Site
	index    int
	name     string
	zone     string
	ip       string
	frontend string
	settings string
	logs     string

	mu          sync.Mutex
	cmd         *exec.Cmd
	starts      int
	disturbedAt time.Time // when it was last started or sent a signal
	signalled   *exec.Cmd // the process that was told to end
	restarts    bool      // a process that ends by itself is started again
	ownEnds     int       // processes that have ended by themselves
}

func (s *Site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *Site) logLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.startedAt).Seconds()}, args...)...)
}

// broken records a broken rule.
func (s *Site) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.bad = append(s.bad, text)
	s.logLocked("BROKEN %s", text)
}

func (s *Site) plan(task string) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var id string
	var k, step, index int
	parts := strings.Split(task, ".")
	id = parts[0]
	_, _ = fmt.Sscanf(strings.Join(parts[1:], " "), "%d %d %d", &k, &step, &index)
	j := s.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return Plan{cpu: 1, takes: time.Millisecond}
	}
	return Plan{cpu: j.Steps[step].CPU, takes: j.Steps[step].Takes}
}

// observeStart is called with the worker's lock held when a worker begins a task.
func (s *Site) observeStart(w *Worker, worker string, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	v := s.tasks[r.task]
	if v == nil {
		v = &taskView{}
		s.tasks[r.task] = v
	}
	s.logLocked("start %s run %d at %s", r.task, r.number, worker)
	id := strings.Split(r.task, ".")[0]
	j := s.jobs[id]
	if j == nil || j.Spec != r.spec {
		s.broken("UNASKED: %s run %d at %s is of no job that was sent, or has another spec", r.task, r.number, worker)
		return
	}
	for _, other := range v.runs {
		if other.ended.IsZero() {
			s.broken("TWICE: %s runs twice at the same time, as run %d at %s and run %d at %s", r.task, other.number, other.worker, r.number, worker)
		}
		if other.how == "done" && !other.acked.IsZero() && !j.BestEffort {
			s.broken("TWICE: %s starts as run %d at %s, %.1f s after the end of run %d was taken note of", r.task, r.number, worker, now.Sub(other.acked).Seconds(), other.number)
		}
	}
	if !j.doneShownAt.IsZero() && now.Sub(j.doneShownAt) > time.Second && !j.BestEffort {
		if m := s.holderOf(w.zone); m != nil && m.calmFor(now) > contact {
			s.broken("TWICE: %s starts as run %d at %s, %.1f s after its job was shown as done; the holder %s has been without disruption for %.1f s", r.task, r.number, worker,
				now.Sub(j.doneShownAt).Seconds(), m.name, m.calmFor(now).Seconds())
		}
	}
	if m := s.holderOf(w.zone); !j.cancelAt.IsZero() && now.Sub(j.cancelAt) > cancelled && m != nil && m.calmFor(now) > contact && s.store.calmFor(now) > contact {
		s.broken("UNASKED: %s starts as run %d at %s, %.1f s after its cancelling was acknowledged", r.task, r.number, worker, now.Sub(j.cancelAt).Seconds())
	}
	if j.rejected {
		s.broken("REFUSED: %s starts as run %d at %s, and all attempts to hand its job in were rejected", r.task, r.number, worker)
	}
	var k, step, index int
	_, _ = fmt.Sscanf(strings.Join(strings.Split(r.task, ".")[1:], " "), "%d %d %d", &k, &step, &index)
	if label := j.Steps[step].Constraints; label != "" && label != w.rack {
		s.broken("ROUTE: %s starts at %s without the label %s", r.task, worker, label)
	}
	if !w.drainAt.IsZero() && now.Sub(w.drainAt) > drain {
		if m := s.holderOf(w.zone); m != nil && m.calmFor(now) > contact && s.store.calmFor(now) > contact {
			s.broken("DRAIN: %s starts at %s, %.1f s after it was announced as draining", r.task, worker, now.Sub(w.drainAt).Seconds())
		}
	}
	for _, before := range j.Steps[step].After {
		for i := range j.Steps[before].Count {
			if !s.hasDone(fmt.Sprintf("%s.0.%d.%d", id, before, i)) {
				s.broken("ORDER: %s starts before task %d of step %d has ended done", r.task, i, before)
			}
		}
	}
	v.runs = append(v.runs, &seenRun{worker: worker, number: r.number, begun: now})
}

// taskNames returns the names of a job's tasks.
func (j *Job) taskNames() (out []string) {
	for si, st := range j.Steps {
		for i := range st.Count {
			out = append(out, fmt.Sprintf("%s.0.%d.%d", j.ID, si, i))
		}
	}
	return out
}

func (s *Site) hasDone(task string) bool {
	if v := s.tasks[task]; v != nil {
		for _, r := range v.runs {
			if r.how == "done" {
				return true
			}
		}
	}
	return false
}

// contact is contactMs of the settings.
const contact = 3 * time.Second

// cancelled is cancel_ms of the settings.
const cancelled = 3 * time.Second

// drain is drainMs of the settings.
const drain = 2 * time.Second

// calmFor returns for how long a machine has got no signal and was not started.
func (m *Machine) calmFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.disturbedAt)
}

// attempts is how often a task may fail.
const attempts = 3

// mayFail reports whether a job may be shown as failed: a task has failed as often as its queue allows, or two workers have
// crashed under it.
func (s *Site) mayFail(j *Job) bool {
	for si, st := range j.Steps {
		for i := range st.Count {
			failed, crashed := 0, 0
			if v := s.tasks[fmt.Sprintf("%s.0.%d.%d", j.ID, si, i)]; v != nil {
				for _, r := range v.runs {
					switch r.how {
					case "failed":
						failed++
					case "crashed":
						crashed++
					}
				}
			}
			if failed >= attempts || crashed >= 2 {
				return true
			}
		}
	}
	return false
}

func (s *Site) observeEnd(_ *Worker, worker string, r *run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("end %s run %d at %s: %s", r.task, r.number, worker, how)
	if v := s.tasks[r.task]; v != nil {
		for _, o := range v.runs {
			if o.worker == worker && o.number == r.number {
				o.ended, o.how = time.Now(), how
			}
		}
	}
}

// observeAck is called when lastSeen reaches an end. It isn't taken note of if the worker's lease lapsed between the two.
func (s *Site) observeAck(task string, number uint64, how string, lapsedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.tasks[task]; v != nil {
		for _, o := range v.runs {
			if o.number == number && o.how == how && o.acked.IsZero() && !lapsedAt.After(o.ended) {
				o.acked = time.Now()
				s.logLocked("noted %s run %d: %s", task, number, how)
			}
		}
	}
}

// Layout says how large a site is.
type Layout struct {
	Zones          int
	MachinesByZone int
	WorkersByZone  int
	CPU            int64 // of a worker
	RackSize       int
	Dir            string
}

// NewSite starts the store and the workers of a site.
func NewSite(l Layout) (*Site, error) {
	record, err := os.Create(filepath.Join(l.Dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	octet, reservation, err := freeOctet()
	if err != nil {
		return nil, err
	}
	s := &Site{dir: dir, octet: octet, reservation: reservation, service: "desk", host: "desk.example", heartbeat: 1500 * time.Millisecond, holdMaxMs: 1000,
		store: NewStore(), record: record, startedAt: time.Now(), tasks: map[string]*taskView{}, jobs: map[string]*Job{}}
	for z := range l.Zones {
		s.zones = append(s.zones, fmt.Sprintf("hall-%d", z))
	}
	for z, zone := range s.zones {
		for i := range l.WorkersByZone {
			w := &Worker{site: s, index: len(s.workers), zone: zone, rack: fmt.Sprintf("r%d-%d", z, i/max(l.RackSize, 1)), cpu: l.CPU}
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", s.octet, 100+z, i+1))
			if err != nil {
				return nil, err
			}
			w.address = ln.Addr().String()
			w.listener = ln
			w.server = &http.Server{Handler: w}
			go func() { _ = w.server.Serve(ln) }()
			s.workers = append(s.workers, w)
			w.begin()
		}
	}
	return s, nil
}

// freeOctet reserves a network of the loopback interface, by a listener that is kept.
func freeOctet() (octet int, reservation net.Listener, err error) {
	for range 50 {
		octet = 16 + rand.IntN(200)
		if reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.99.99:7719", octet)); err == nil {
			return octet, reservation, nil
		}
	}
	return 0, nil, err
}

// Configure writes the operator's configuration.
func (s *Site) Configure(version int, prefixes ...string) {
	routes := []any{}
	for i, p := range prefixes {
		routes = append(routes, map[string]any{"name": "queue-" + strings.Trim(p, "/"), "host": s.host, "pathPrefix": p, "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": i, "service": s.service, "attempts": 3, "stretch": 1.6})
	}
	s.store.Put("op/config", map[string]any{"version": version, "routes": routes,
		"services": []any{map[string]any{"name": s.service, "enforcesCapacity": !s.unguarded, "healthPath": "/healthz", "maxConnections": 64}},
		"limits":   map[string]any{"maxBodyBytes": 262144}})
}

// AddMachine prepares a machine of the system; Start starts its process.
func (s *Site) AddMachine(zone int) (*Machine, error) {
	m := &Machine{site: s, index: len(s.machines), zone: s.zones[zone]}
	m.name = fmt.Sprintf("edge-%s-%d", m.zone, m.index)
	m.ip = fmt.Sprintf("127.%d.%d.%d", s.octet, 1+zone, 1+m.index)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.90.%d:0", s.octet, 1+m.index))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, s.store.Handler(m.index)) }()
	zones := map[string]string{}
	for _, z := range s.zones {
		zones[z] = "ulaanbaatar"
	}
	m.frontend = m.ip + ":8161"
	m.settings = filepath.Join(s.dir, m.name+".json")
	m.logs = filepath.Join(s.dir, m.name+".log")
	settings := map[string]any{
		"nodeName": m.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": m.ip, "zone": m.zone, "region": "ulaanbaatar", "zones": zones,
		"listen": map[string]any{"frontend": m.frontend, "ready": m.ip + ":8167"}, "internalPortRange": []int{7720, 7735}, "bootstrap": true,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "requestLossMs": 200, "configApplyMs": 2000, "holdMaxMs": s.holdMaxMs,
			"stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "retransmitMs": 1300},
		"orders":   "call",
		"platform": map[string]any{"address": ln.Addr().String(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, b, 0o600); err != nil {
		return nil, err
	}
	s.machines = append(s.machines, m)
	return m, nil
}

// deployCommand returns the command of the deploy file.
func deployCommand(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

// restartDelay is the short delay after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// Start starts the machine's process.
func (m *Machine) Start(root string) error {
	words, err := deployCommand(root)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(m.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUMICEYARD_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.starts++
	m.disturbedAt = time.Now()
	m.mu.Unlock()
	m.site.log("machine %s starts, process %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.site.log("machine %s: process %d has ended: %v", m.name, cmd.Process.Pid, err)
		m.mu.Lock()
		bySignal, restart := m.signalled == cmd, m.restarts
		if !bySignal {
			m.ownEnds++
		}
		m.mu.Unlock()
		if !bySignal && restart {
			time.Sleep(restartDelay)
			if err := m.Start(root); err != nil {
				m.site.log("machine %s cannot start again: %v", m.name, err)
			}
		}
	}()
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(sig syscall.Signal) {
	m.site.log("machine %s gets signal %v", m.name, sig)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.disturbedAt = time.Now()
		if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
			m.signalled, m.restarts = m.cmd, false
		}
		_ = m.cmd.Process.Signal(sig)
	}
}

// Ready reports whether the machine answers its readiness check.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get("http://" + m.ip + ":8167/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all machines are ready.
func (s *Site) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range s.machines {
			ready = ready && m.Ready()
		}
		if ready {
			return true
		}
	}
	return false
}

// Stop ends all processes.
func (s *Site) Stop(keepLogs bool) {
	for _, m := range s.machines {
		m.Signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	if !keepLogs {
		_ = os.RemoveAll(s.dir)
	}
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call makes a call of a client; status 0: there was no answer.
func (s *Site) call(m *Machine, method, path string, body any, timeout time.Duration) (int, []byte) {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.frontend+path, in)
	if err != nil {
		panic(err)
	}
	r.Host = s.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Pumiceyard-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := clients.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

const clientDeadline = 1500 * time.Millisecond

func (j *Job) body() map[string]any {
	steps := []any{}
	for _, st := range j.Steps {
		row := map[string]any{"count": st.Count, "cpu": st.CPU, "memMb": 64, "estimateMs": st.Takes.Milliseconds()}
		if len(st.After) > 0 {
			row["after"] = st.After
		}
		if st.Constraints != "" {
			row["constraints"] = st.Constraints
		}
		if st.GPU > 0 {
			row["gpu"] = st.GPU
		}
		if st.CPU == 0 {
			delete(row, "cpu") // fields whose value is 0 are omitted
		}
		steps = append(steps, row)
	}
	out := map[string]any{"spec": j.Spec, "steps": steps}
	if j.BestEffort {
		out["bestEffort"] = true
	}
	return out
}

// NewJob makes a job with an id of its own.
func (s *Site) NewJob(prefix string, steps ...Step) *Job {
	j := &Job{ID: fmt.Sprintf("%016x", rand.Uint64()), Prefix: prefix, Steps: steps, sentAt: time.Now()}
	j.Spec = "spec of " + j.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.ID] = j
	return j
}

// Submit hands a job in, again after no answer, and reports whether it was accepted.
func (s *Site) Submit(j *Job, pick func() *Machine) bool {
	allRejected := true
	for range 20 {
		m := pick()
		status, _ := s.call(m, http.MethodPost, j.Prefix+j.ID, j.body(), clientDeadline)
		s.log("POST %s at %s: %d", j.ID, m.name, status)
		switch status {
		case http.StatusOK:
			s.mu.Lock()
			j.acceptedAt = time.Now()
			s.mu.Unlock()
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if allRejected {
				s.mu.Lock()
				j.rejected = true
				s.mu.Unlock()
				return false
			}
		default:
			allRejected = false
		}
		if j.BestEffort {
			time.Sleep(retransmit)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}

// retransmit is retransmitMs of the settings.
const retransmit = 1300 * time.Millisecond

// Ask asks for the state of a job once; "" if there is no answer.
func (s *Site) Ask(j *Job, m *Machine) string {
	status, b := s.call(m, http.MethodGet, j.Prefix+j.ID, nil, clientDeadline)
	state := ""
	switch status {
	case http.StatusOK:
		var out struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(b, &out)
		state = out.State
	case http.StatusGone:
		state = "gone"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("GET %s at %s: %d %s", j.ID, m.name, status, state)
	now := time.Now()
	if state == "done" || state == "failed" || state == "cancelled" {
		if j.final != "" && j.final != state {
			s.logLocked("note: %s was shown as %s before", j.ID, j.final)
		}
		j.final, j.endedAt = state, now
	}
	if state == "done" && j.doneShownAt.IsZero() {
		j.doneShownAt = now
	}
	if state == "done" {
		for si, st := range j.Steps {
			for i := range st.Count {
				if task := fmt.Sprintf("%s.0.%d.%d", j.ID, si, i); !s.hasDone(task) {
					s.broken("MIXED: %s is shown as done, and %s hasn't ended so", j.ID, task)
				}
			}
		}
	}
	if state == "cancelled" && j.cancelSent.IsZero() {
		s.broken("LOST: %s is shown as cancelled without cause", j.ID)
	}
	if state == "failed" && !s.mayFail(j) {
		s.broken("LOST: %s is shown as failed without cause: no task of it has failed three times, and under none have two workers crashed", j.ID)
	}
	if state == "gone" && !j.acceptedAt.IsZero() && now.Sub(j.acceptedAt) > 3*time.Second && j.cancelSent.IsZero() {
		s.broken("LOST: a GET for %s is answered with 410, %.1f s after its acknowledgement", j.ID, now.Sub(j.acceptedAt).Seconds())
	}
	return state
}

// Cancel cancels a job at a machine and reports whether that was acknowledged.
func (s *Site) Cancel(j *Job, m *Machine) bool {
	s.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	s.mu.Unlock()
	status, _ := s.call(m, http.MethodDelete, j.Prefix+j.ID, nil, clientDeadline)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("DELETE %s at %s: %d", j.ID, m.name, status)
	acked := status/100 == 2 || status == http.StatusGone
	if acked && j.cancelAt.IsZero() {
		j.cancelAt = time.Now()
	}
	return acked
}

// Verdict returns the broken rules.
func (s *Site) Verdict() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.bad...)
}
