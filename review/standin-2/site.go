package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

const (
	host   = "nony24.example"
	prefix = "/lohu930/" // queue with the first priority
	second = "/pufi791/" // queue with the second
	// What the pages state for a small deployment.
	cancelMs      = 3000 * time.Millisecond
	stopTimeout   = 50 * time.Millisecond
	requestLossMs = 200 * time.Millisecond
	contactMs     = 3000 * time.Millisecond
	graceS        = 6 * time.Second
)

// run is what was seen of one run of a task at a worker.
type run struct {
	task   string
	number uint64
	worker string
	began  time.Duration
	ended  time.Duration // 0: it goes on
	how    string
	acked  time.Duration // when its end was taken note of; 0: it was not
}

// node is a process of the system.
type node struct {
	name, zone, ip string
	front, ready   string
	cmd            *exec.Cmd
	exited         chan struct{}
	settings, logs string
}

// site is a small deployment on loopback addresses.
type site struct {
	service string
	dir     string
	store   *kvStore
	nodes   []*node
	workers []*worker
	began   time.Time
	net     string // the first three numbers of its addresses

	mu     sync.Mutex
	record *os.File
	runs   []*run
}

func (s *site) now() time.Duration { return time.Since(s.began) }

func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", s.now().Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) noteStart(w *worker, task string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, &run{task: task, number: number, worker: w.id, began: s.now()})
}

func (s *site) find(w *worker, task string, number uint64) *run {
	for i := len(s.runs) - 1; i >= 0; i-- {
		if r := s.runs[i]; r.task == task && r.number == number && r.worker == w.id {
			return r
		}
	}
	return &run{}
}

func (s *site) noteEnd(w *worker, task string, number uint64, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(w, task, number)
	r.ended, r.how = s.now(), how
}

func (s *site) noteAck(w *worker, task string, number uint64, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.find(w, task, number).acked = s.now()
}

// runsOf returns copies of the runs of a job's tasks so far.
func (s *site) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, id+".") {
			out = append(out, *r)
		}
	}
	return out
}

// running returns how many runs go on at the workers.
func (s *site) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.ended == 0 {
			n++
		}
	}
	return n
}

var zones = []string{"hala-a", "hala-b", "hala-c"}

// pickNet returns three numbers under which addresses with the ports of the settings are free.
func pickNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		free := true
		for _, port := range []string{"8161", "8167", "9464", "7720"} {
			l, err := net.Listen("tcp", prefix+".11:"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// startSite starts the store, the workers and the processes of the system, and waits until these are ready.
func startSite(recordPath string, nodesPerZone []int, workersPerZone int) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{service: "huvo11a", dir: dir, store: newStore(), began: time.Now(), record: record}
	if s.net, err = pickNet(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.net+".1:8169")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s.store.handler()) }()
	s.writeConfig(1, 15000)
	for zi, zone := range zones {
		for i := range workersPerZone {
			kind := []string{"a", "a", "b"}[i%3]
			w, err := startWorker(s, fmt.Sprintf("i-%d%02d", zi, i), fmt.Sprintf("%s.%d:8080", s.net, 100+zi*40+i), zone, fmt.Sprintf("r%d-%d", zi, i/8), kind)
			if err != nil {
				return nil, err
			}
			s.workers = append(s.workers, w)
		}
	}
	time.Sleep(200 * time.Millisecond)
	for zi, zone := range zones {
		for i := range nodesPerZone[zi] {
			n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", s.net, 11+zi*10+i)}
			s.nodes = append(s.nodes, n)
			if err := s.startNode(n); err != nil {
				return s, err
			}
		}
	}
	return s, s.awaitReady(25 * time.Second)
}

func (s *site) writeConfig(version int, timeoutMs int64) {
	route := func(name, path string, priority, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": path, "type": "unsafe", "timeoutMs": timeoutMs, "targetLatencyMs": 60,
			"priority": priority, "service": s.service, "attempts": attempts, "stretch": 1.6}
	}
	s.store.Put("op/config", map[string]any{"version": version,
		"routes": []any{route("r-3hwrr6x", prefix, 0, 3), route("r-73d3zji", second, 1, 3)},
		"services": []any{map[string]any{"name": s.service, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": true, "spare": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
}

func (s *site) settings(n *node) map[string]any {
	byZone := map[string]string{}
	for _, z := range zones {
		byZone[z] = "brno"
	}
	n.front, n.ready = n.ip+":8161", n.ip+":8167"
	return map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": n.ip, "zone": n.zone, "region": "brno",
		"zones": byZone, "listen": map[string]any{"frontend": n.front, "ready": n.ready, "control": n.ip + ":8166"},
		"internalPortRange": []int{7720, 7735}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"requestLossMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoverS": 12, "holdMaxMs": 1000,
			"stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"spreadFactor": 1.5, "checkpointIntervalS": 1, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2,
			"fencingEnforced": false, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000, "retransmitMs": 1300},
		"orders":   "call",
		"platform": map[string]any{"address": s.net + ".1:8169", "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloudApi": map[string]any{"address": s.net + ".2:8169", "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}
}

// startNode starts a process with the command of the deploy file.
func (s *site) startNode(n *node) error {
	n.settings, n.logs = filepath.Join(s.dir, n.name+".json"), filepath.Join(s.dir, n.name+".log")
	b, err := json.Marshal(s.settings(n))
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, b, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command("target/pumiceyardd", "platform", "--policy", "late_binding=true")
	n.cmd.Env = append(os.Environ(), "PUMICEYARD_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		s.log("process of %s has ended: %s", n.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (s *site) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range s.nodes {
		for {
			r, err := (&http.Client{Timeout: 300 * time.Millisecond}).Get("http://" + n.ready + "/v1/readyz")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the case has started.
func (s *site) stop() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
	_ = s.record.Close()
}

// reply is what a client got; Status 0: the connection ended, or no complete answer came.
type reply struct {
	Status int
	Body   string
	Err    error
	SentAt time.Duration
	At     time.Duration
}

// send makes a client's request on a connection of its own.
func (s *site) send(n *node, method, path string, body any, wait time.Duration) reply {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Pumiceyard-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	c := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	out := reply{SentAt: s.now()}
	s.log("client: %s %s to %s, deadline %v", method, path, n.name, wait)
	resp, err := c.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			out.Status, out.Body = resp.StatusCode, strings.TrimSpace(string(b))
		}
	}
	out.At, out.Err = s.now(), err
	s.log("client: %s %s at %s: status %d %s %v after %v", method, path, n.name, out.Status, out.Body, err, out.At-out.SentAt)
	return out
}

// step describes a step of a job for a request.
func step(count, cpu, estimateMs int, after ...int) map[string]any {
	out := map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimateMs}
	if len(after) > 0 {
		out["after"] = after
	}
	return out
}

func job(ms, cpu int, bestEffort bool, steps ...map[string]any) map[string]any {
	spec, _ := json.Marshal(taskSpec{Ms: int64(ms), CPU: int64(cpu)})
	out := map[string]any{"spec": string(spec), "steps": steps}
	if bestEffort {
		out["bestEffort"] = true
	}
	return out
}
