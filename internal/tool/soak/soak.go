// Package soak runs real entry VMs as separate processes, injects faults from outside
// them, and checks the promises by what callers and workers see.
//
// Faults: connections between the VMs, to the store and to workers are delayed, reset,
// silenced or cut one way by loopback proxies; processes are paused, killed, stopped and
// started again by signals. Signals and faults come in series and overlap. The store
// and the workers are stand-ins in the soak's own process, which records what runs.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
)

// Options of a soak.
type Options struct {
	Daemon   string // path of pumiceyardd
	Seed     uint64
	Duration time.Duration // of the faults; the recovery takes some seconds more
	VMs      int
	Logs     string // directory for the VMs' logs
	Out      io.Writer
}

// Times of a soak.
const (
	readyWithin  = 15 * time.Second
	healedWithin = 20 * time.Second // for all accepted work to end after the faults
	faultMost    = 2500 * time.Millisecond
	faultPause   = 400 * time.Millisecond
	submitPause  = 25 * time.Millisecond
	restartPause = 300 * time.Millisecond
	endedSlack   = time.Second // a start so long after the end was shown is a second one
)

var domains = []string{"hall-a", "hall-b"}

// process is one entry VM as a process of its own.
type process struct {
	name     string
	settings string // file
	callers  string // URL
	peer     *proxy
	store    *proxy
	logPath  string

	starting sync.Mutex // held while a new process is started
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

type soak struct {
	opt     Options
	rand    *rand.Rand
	site    *keptsite.Site
	vms     []*process
	workers []*proxy
	began   time.Time

	mu      sync.Mutex
	taken   map[string]time.Time // kept submissions that were accepted
	refused []string             // submissions whose only attempt was refused as not run
	counts  map[string]int
	faults  int
}

// Broken is a promise that the soak saw broken.
type Broken struct {
	Seed    uint64
	Promise string
}

func (b *Broken) Error() string { return fmt.Sprintf("seed %d: broken promise: %s", b.Seed, b.Promise) }

// Run runs one soak and returns what it found broken.
func Run(ctx context.Context, opt Options) error {
	s := &soak{
		opt:    opt,
		rand:   rand.New(rand.NewPCG(opt.Seed, 1)),
		began:  time.Now(),
		taken:  make(map[string]time.Time),
		counts: make(map[string]int),
	}
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return err
	}
	working, stop := context.WithTimeout(ctx, opt.Duration)
	defer stop()
	var duties sync.WaitGroup
	for i := range 3 {
		duties.Go(func() { s.submitAll(working, i) })
	}
	s.inject(working)
	duties.Wait()
	s.heal()
	err := s.judge(ctx)
	fmt.Fprintf(opt.Out, "seed %d: %d faults, %v, %.1f s: %v\n", opt.Seed, s.faults, s.counts, time.Since(s.began).Seconds(), verdict(err))
	return err
}

func verdict(err error) string {
	if err != nil {
		return err.Error()
	}
	return "all promises kept"
}

func (s *soak) start(ctx context.Context) error {
	site, err := keptsite.StartBehind("127.0.0.1:0", domains, 3, func(address string) (string, error) {
		p, err := newProxy(address)
		if err != nil {
			return "", err
		}
		s.workers = append(s.workers, p)
		return p.address(), nil
	})
	if err != nil {
		return err
	}
	s.site = site
	for i := range s.opt.VMs {
		if err := s.addVM(i); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

func (s *soak) addVM(i int) error {
	store, err := newProxy(s.site.StoreAddr)
	if err != nil {
		return err
	}
	callers, err := keptsite.FreeAddress()
	if err != nil {
		return err
	}
	listen, err := keptsite.FreeAddress()
	if err != nil {
		return err
	}
	peer, err := newProxy(listen)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm%d", i+1)
	b, err := json.Marshal(daemon.Settings{
		Name:         name,
		Domain:       domains[i%len(domains)],
		Domains:      domains,
		CallerListen: callers,
		PeerListen:   listen,
		PeerAddress:  peer.address(),
		Store:        store.address(),
		LeaseMillis:  daemon.DefaultLeaseMillis,
		StopMillis:   300,
	})
	if err != nil {
		return err
	}
	p := &process{
		name:     name,
		settings: filepath.Join(s.opt.Logs, fmt.Sprintf("%d-%s.json", s.opt.Seed, name)),
		logPath:  filepath.Join(s.opt.Logs, fmt.Sprintf("%d-%s.log", s.opt.Seed, name)),
		callers:  "http://" + callers,
		peer:     peer,
		store:    store,
	}
	s.vms = append(s.vms, p)
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return err
	}
	return p.run(s.opt.Daemon)
}

// run starts the VM's process.
func (p *process) run(binary string) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "kept", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process has an error, which says nothing
		_ = log.Close()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended already
	}
}

// life is closed when the present process has ended.
func (p *process) life() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

var errNotReady = errors.New("soak: the VMs did not become ready")

// awaitReady waits until a transient submission is answered at each VM.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, p := range s.vms {
		k, err := client.NewKept(p.callers)
		if err != nil {
			return err
		}
		w := work(fmt.Sprintf("ready-%d", i), 1, 20, true)
		for ctx.Err() == nil {
			state, err := k.Submit(ctx, w)
			if err == nil && state == client.StateDone {
				break
			}
			time.Sleep(submitPause)
		}
	}
	if ctx.Err() != nil {
		return errNotReady
	}
	return nil
}

func work(key string, tasks uint32, millis int, transient bool) client.Work {
	return client.Work{
		Queue:     "crew-assignment",
		Key:       key,
		Spec:      fmt.Sprintf(`{"run_millis":%d,"cpu_milli":2000}`, millis),
		Steps:     []client.WorkStep{{Count: tasks, CPUMilli: 2000, MemoryMB: 64, Estimate: time.Duration(millis) * time.Millisecond}},
		Transient: transient,
	}
}

// submitAll hands work in at all VMs in turn, over connections that stay open.
func (s *soak) submitAll(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(s.opt.Seed, uint64(100+caller)))
	var under sync.WaitGroup
	defer under.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("s%d-c%d-%d", s.opt.Seed, caller, n)
		w := work(key, 1+r.Uint32N(4), 20+r.IntN(400), r.IntN(2) == 0)
		at := s.vms[r.IntN(len(s.vms))]
		under.Go(func() { s.submit(at, w) })
		time.Sleep(submitPause + time.Duration(r.IntN(40))*time.Millisecond)
	}
}

const attemptWithin = 6 * time.Second

// submit makes one attempt and keeps what was promised.
func (s *soak) submit(at *process, w client.Work) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptWithin)
	defer cancel()
	state, err := client.SubmitOnce(ctx, at.callers, w)
	var notRun *client.NotRunError
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.As(err, &notRun):
		s.counts["refused"]++
		s.refused = append(s.refused, w.Key)
	case err != nil:
		s.counts["unknown"]++
	case w.Transient:
		s.counts["transient "+string(state)]++
	default:
		s.counts["taken"]++
		s.taken[w.Key] = time.Now()
	}
}

// inject makes faults, one after the other and overlapping, until ctx ends.
func (s *soak) inject(ctx context.Context) {
	var under sync.WaitGroup
	defer under.Wait()
	for ctx.Err() == nil {
		s.faults++
		fault := s.draw()
		under.Go(fault)
		select {
		case <-ctx.Done():
		case <-time.After(faultPause + time.Duration(s.rand.IntN(600))*time.Millisecond):
		}
	}
}

// draw picks a fault; the seed decides which and how long.
func (s *soak) draw() func() {
	p := s.vms[s.rand.IntN(len(s.vms))]
	w := s.workers[s.rand.IntN(len(s.workers))]
	d := time.Duration(s.rand.Int64N(int64(faultMost)))
	choices := []func(){
		func() { s.restart(p, syscall.SIGKILL) },
		func() { s.restart(p, syscall.SIGTERM) },
		func() { s.pause(p, d) },
		func() { p.signal(syscall.SIGHUP) },
		func() { during(d, p.store, func(x *proxy) { x.toTarget, x.toCaller = true, true }) },
		func() { during(d, p.store, func(x *proxy) { x.toCaller = true }) },
		func() { during(d, p.store, func(x *proxy) { x.delay = 120 * time.Millisecond }) },
		func() { during(d, p.store, func(x *proxy) { x.refuse = true }) },
		func() { p.store.reset() },
		func() { during(d, p.peer, func(x *proxy) { x.toTarget, x.toCaller = true, true }) },
		func() { during(d, p.peer, func(x *proxy) { x.toCaller = true }) },
		func() { p.peer.reset() },
		func() { during(d, w, func(x *proxy) { x.toTarget, x.toCaller = true, true }) },
		func() { during(d, w, func(x *proxy) { x.toCaller = true }) },
		func() { w.reset() },
		func() { s.storeOut(d) },
	}
	return choices[s.rand.IntN(len(choices))]
}

func during(d time.Duration, p *proxy, fault func(*proxy)) {
	p.set(fault)
	time.Sleep(d)
	p.heal()
}

// storeOut silences the store for all VMs.
func (s *soak) storeOut(d time.Duration) {
	for _, p := range s.vms {
		p.store.set(func(x *proxy) { x.toCaller = true })
	}
	time.Sleep(d)
	for _, p := range s.vms {
		p.store.heal()
	}
}

// pause stops a process and lets it go on.
func (s *soak) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart ends a process and starts it again.
func (s *soak) restart(p *process, sig syscall.Signal) {
	life := p.life()
	p.signal(sig)
	p.signal(syscall.SIGCONT)
	<-life
	time.Sleep(restartPause)
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.life() != life {
		return // another fault has started it meanwhile
	}
	if err := p.run(s.opt.Daemon); err != nil {
		fmt.Fprintf(s.opt.Out, "%s does not start: %v\n", p.name, err)
	}
}

func (s *soak) heal() {
	for _, p := range s.vms {
		p.signal(syscall.SIGCONT)
		p.store.heal()
		p.peer.heal()
	}
	for _, w := range s.workers {
		w.heal()
	}
}

// judge waits for the end of all that was accepted, and checks what ran.
func (s *soak) judge(ctx context.Context) error {
	var all []string
	for _, p := range s.vms {
		all = append(all, p.callers)
	}
	k, err := client.NewKept(all...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, healedWithin)
	defer cancel()
	for _, key := range s.accepted() {
		state, err := k.Wait(ctx, key)
		if err != nil || state != client.StateDone {
			return s.broken("the accepted submission %s ends: it is %s (%v)", key, state, err)
		}
	}
	time.Sleep(endedSlack)
	if faults := s.site.Fleet.Faults(); len(faults) > 0 {
		return s.broken("no task runs twice at once: %s", faults[0])
	}
	for _, key := range s.refused {
		if n := s.site.Fleet.StartsOf(key); n > 0 {
			return s.broken("a refusal is true: %s has run %d times", key, n)
		}
	}
	for _, key := range s.accepted() {
		if !s.site.Fleet.DoneOnce(key) {
			return s.broken("each task of an accepted submission completes: %s", key)
		}
	}
	return nil
}

func (s *soak) accepted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.taken {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

func (s *soak) broken(format string, args ...any) error {
	return &Broken{Seed: s.opt.Seed, Promise: fmt.Sprintf(format, args...)}
}

// stop ends the processes that the soak started.
func (s *soak) stop() {
	for _, p := range s.vms {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if life := p.life(); life != nil {
			<-life
		}
		p.store.close()
		p.peer.close()
	}
	for _, w := range s.workers {
		w.close()
	}
	if s.site != nil {
		s.site.Stop()
	}
}
