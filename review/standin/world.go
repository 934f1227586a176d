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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment is that of the site vsd-konfig: 8 entry machines and 48 workers in 3 zones.
const (
	service       = "huvo11a"
	host          = "nony24.example"
	queuePath     = "/lohu930/"
	frontendPort  = "8161"
	readyPort     = "8167"
	graceS        = 6
	workersInZone = 16
	workersInRack = 8
)

var (
	zones      = []string{"hala-a", "hala-b", "hala-c"}
	vmsInZone  = []int{3, 3, 2}
	kinds      = []string{"a", "a", "b"}
	sizes      = []float64{1, 1, 1.5}
	deployFile = []string{"target/pumiceyardd", "platform", "--policy", "late_binding=true"}
)

type wireStep struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	EstimateMs   int64  `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

type wireJob struct {
	Spec       string     `json:"spec"`
	Steps      []wireStep `json:"steps"`
	BestEffort bool       `json:"bestEffort,omitempty"`
}

type started struct {
	at     time.Time
	worker string
	run    uint64
}

type finished struct {
	started
	how     string
	ackedAt time.Time // zero: not taken note of
}

// taskLog is what the workers saw of a task.
type taskLog struct {
	starts []started
	ends   []finished
}

// world is a deployment with its stand-ins.
type world struct {
	repo     string
	tmp      string
	began    time.Time
	trouble  bool
	patience time.Duration // of clients
	store    *store
	net      string // first three numbers of the loopback addresses
	workers  []*worker
	vms      []*machine
	closers  []func()

	mu      sync.Mutex
	lines   []string
	jobs    map[string]*wireJob
	tasks   map[string]*taskLog
	broken  []string
	answers map[string]string // to jobs that needn't be kept
}

func newWorld(repo string, trouble bool, stale time.Duration) (*world, error) {
	tmp, err := os.MkdirTemp("", "pumiceyard-review-")
	if err != nil {
		return nil, err
	}
	wd := &world{
		repo: repo, tmp: tmp, began: time.Now(), trouble: trouble, patience: usualPatience, store: newStore(stale),
		net:     fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
		jobs:    make(map[string]*wireJob),
		tasks:   make(map[string]*taskLog),
		answers: make(map[string]string),
	}
	wd.closers = append(wd.closers, func() { _ = os.RemoveAll(tmp) })
	l, err := net.Listen("tcp", wd.net+".7:0")
	if err != nil {
		return wd, err
	}
	srv := wd.store.serve(l)
	wd.closers = append(wd.closers, func() { _ = srv.Close() })
	wd.store.put("op/config", mustEncode(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "host": host, "pathPrefix": queuePath, "type": "unsafe", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": service, "attempts": 3, "stretch": 1.6}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": true, "spare": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}))
	for z, zone := range zones {
		for i := range workersInZone {
			n := z*workersInZone + i
			size := sizes[i%len(sizes)]
			labels := []string{kinds[i%len(kinds)], fmt.Sprintf("r%d-%d", z+1, i/workersInRack+1)}
			w, err := wd.newWorker(workerName(n), zone, fmt.Sprintf("%s.%d", wd.net, 100+n), labels, int64(16000*size), int64(65536*size))
			if err != nil {
				return wd, err
			}
			wd.addWorker(w)
		}
	}
	for z, zone := range zones {
		for i := range vmsInZone[z] {
			m, err := wd.newMachine(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("%s.%d", wd.net, 10+10*z+i), l.Addr().String())
			if err != nil {
				return wd, err
			}
			wd.vms = append(wd.vms, m)
		}
	}
	for _, m := range wd.vms {
		if err := m.start(); err != nil {
			return wd, err
		}
	}
	return wd, nil
}

func (wd *world) addWorker(w *worker) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.workers = append(wd.workers, w)
	wd.closers = append(wd.closers, func() { _ = w.server.Close() })
}

// allWorkers returns the workers, also those that have crashed.
func (wd *world) allWorkers() []*worker {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return slices.Clone(wd.workers)
}

// workerOf returns the worker on which a task was started last.
func (wd *world) workerOf(task string) *worker {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if t := wd.tasks[task]; t != nil && len(t.starts) > 0 {
		for _, w := range wd.workers {
			if w.id == t.starts[len(t.starts)-1].worker {
				return w
			}
		}
	}
	return nil
}

func (wd *world) close() {
	for _, m := range wd.vms {
		m.kill()
	}
	for _, f := range slices.Backward(wd.closers) {
		f()
	}
}

func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// record adds a line to the record of the case.
func (wd *world) record(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.lines = append(wd.lines, fmt.Sprintf("%9.3f ", time.Since(wd.began).Seconds())+fmt.Sprintf(format, args...))
}

// fail records that the rule was broken.
func (wd *world) fail(format string, args ...any) {
	wd.mu.Lock()
	wd.broken = append(wd.broken, fmt.Sprintf(format, args...))
	wd.mu.Unlock()
	wd.record("BROKEN: "+format, args...)
}

func (wd *world) writeRecord(path string) error {
	wd.store.mu.Lock()
	writes, reads := wd.store.writes.most, wd.store.reads.most
	wd.store.mu.Unlock()
	wd.record("the store answered at most %.0f writes and %.0f reads in a second", writes, reads)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(wd.lines, "\n")+"\n"), 0o644)
}

func (wd *world) job(id string) *wireJob {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.jobs[id]
}

// log returns the log of a task; wd.mu is held.
func (wd *world) log(task string) *taskLog {
	t := wd.tasks[task]
	if t == nil {
		t = &taskLog{}
		wd.tasks[task] = t
	}
	return t
}

func (wd *world) noteStart(worker, task string, run uint64) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	t := wd.log(task)
	t.starts = append(t.starts, started{time.Now(), worker, run})
}

func (wd *world) noteEnd(worker, task string, run uint64, how string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	t := wd.log(task)
	t.ends = append(t.ends, finished{started: started{time.Now(), worker, run}, how: how})
}

// noteAcked records that an end has been taken note of, unless the worker's lease lapsed between the two.
func (wd *world) noteAcked(task string, run uint64, lapsedAt time.Time) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	t := wd.log(task)
	for i := range t.ends {
		if t.ends[i].run == run && t.ends[i].ackedAt.IsZero() && lapsedAt.Before(t.ends[i].at) {
			t.ends[i].ackedAt = time.Now()
		}
	}
}

// machine is an entry machine with its process.
type machine struct {
	world    *world
	name     string
	zone     string
	ip       string
	settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	exit  chan struct{}
	ready bool
}

func (wd *world) newMachine(name, zone, ip, store string) (*machine, error) {
	m := &machine{world: wd, name: name, zone: zone, ip: ip, settings: filepath.Join(wd.tmp, name+".json")}
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "brno"
	}
	return m, os.WriteFile(m.settings, mustEncode(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "brno",
		"zones":             regions,
		"listen":            map[string]any{"frontend": net.JoinHostPort(ip, frontendPort), "ready": net.JoinHostPort(ip, readyPort)},
		"internalPortRange": []int{7720, 7735}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceS,
			"requestLossMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoverS": 12, "holdMaxMs": 1000,
			"stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"spreadFactor": 1.5, "checkpointIntervalS": 1, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2,
			"fencingEnforced": false, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000, "retransmitMs": 1300},
		"orders": "call", "platform": map[string]any{"address": store, "form": "kv", "writesPerS": writesPerS, "readsPerS": readsPerS, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000},
	}), 0o644)
}

func (m *machine) start() error {
	logFile, err := os.OpenFile(filepath.Join(m.world.tmp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(m.world.repo, deployFile[0]), deployFile[1:]...)
	cmd.Dir = m.world.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUMICEYARD_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exit := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exit)
	}()
	m.mu.Lock()
	m.cmd, m.exit = cmd, exit
	m.mu.Unlock()
	m.world.record("machine %s starts", m.name)
	return nil
}

func (m *machine) process() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.exit
}

func (m *machine) kill() {
	if cmd, exit := m.process(); cmd != nil {
		_ = cmd.Process.Kill()
		<-exit
	}
}

// restart stops the process as the platform does, and starts it again.
func (m *machine) restart() error {
	cmd, exit := m.process()
	m.world.record("machine %s gets SIGTERM", m.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exit:
	case <-time.After(graceS * time.Second):
		m.world.record("machine %s gets SIGKILL after its grace period", m.name)
		m.kill()
	}
	m.world.record("machine %s has stopped", m.name)
	time.Sleep(300 * time.Millisecond)
	return m.start()
}

// watchReady asks the machine once a second whether it is ready, as the platform does.
func (m *machine) watchReady(client *http.Client) {
	misses := 0
	for {
		resp, err := client.Get("http://" + net.JoinHostPort(m.ip, readyPort) + "/v1/readyz")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		m.mu.Lock()
		m.ready = misses == 0 || m.ready && misses < 2
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// awaitReady waits until all machines are ready.
func (wd *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range wd.vms {
		go m.watchReady(client)
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(wd.vms, func(m *machine) bool { return !m.inRotation() }) {
			wd.record("all machines are ready")
			return nil
		}
	}
	return fmt.Errorf("not all machines were ready after %s", limit)
}

// call sends a client's request to a machine in rotation, one of the zone if there is one. The status is 0 without an answer.
func (wd *world) call(method, zone, id string, body []byte) (status int, answer []byte, vm string) {
	var near, all []*machine
	for _, m := range wd.vms {
		if m.inRotation() {
			all = append(all, m)
			if m.zone == zone {
				near = append(near, m)
			}
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return 0, nil, "none"
	}
	m := all[rand.IntN(len(all))]
	status, answer = wd.callAt(m, method, id, body)
	return status, answer, m.name
}

// usualPatience is how long clients wait for an answer.
const usualPatience = 1500 * time.Millisecond

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (wd *world) callAt(m *machine, method, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wd.patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(m.ip, frontendPort)+queuePath+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Pumiceyard-Deadline-Ms", strconv.FormatInt(wd.patience.Milliseconds(), 10))
	resp, err := clients.Do(req)
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

// submit hands a job in until it is accepted or rejected. It is sent again as the pages say: after no answer, 502 or 504.
func (wd *world) submit(zone string, j *wireJob) (id string, accepted bool) {
	id = newID()
	wd.mu.Lock()
	wd.jobs[id] = j
	wd.mu.Unlock()
	body := mustEncode(j)
	for range 10 {
		status, _, vm := wd.call(http.MethodPost, zone, id, body)
		wd.record("client POST %s at %s: %d", id, vm, status)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(500 * time.Millisecond)
		default:
			return id, status/100 == 2
		}
	}
	return id, false
}

// state asks for the state of a job; "": no answer, "gone": 410.
func (wd *world) state(zone, id string) string {
	status, body, vm := wd.call(http.MethodGet, zone, id, nil)
	var in struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		in.State = "gone"
	case status == http.StatusOK:
		_ = json.Unmarshal(body, &in)
	}
	wd.record("client GET %s at %s: %d %s", id, vm, status, in.State)
	return in.State
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
