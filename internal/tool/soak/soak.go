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
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
)

// Options of a soak.
type Options struct {
	Daemon   string // path of pumiceyardd
	Seed     uint64
	Duration time.Duration // of the faults; the recovery takes some seconds more
	VMs      int
	LogDir   string // directory for the VMs' logs
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
type Violation struct {
	Seed      uint64
	Guarantee string
}

func (b *Violation) Error() string {
	return fmt.Sprintf("seed %d: broken promise: %s", b.Seed, b.Guarantee)
}

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
		settings: filepath.Join(s.opt.LogDir, fmt.Sprintf("%d-%s.json", s.opt.Seed, name)),
		logPath:  filepath.Join(s.opt.LogDir, fmt.Sprintf("%d-%s.log", s.opt.Seed, name)),
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

var errNotReady = errors.New("soak: the VMs did not become ready")

// awaitReady waits until a transient submission is answered at each VM.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, p := range s.vms {
		k, err := client.NewKeptClient(p.callers)
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
	return workOf(key, tasks, millis, transient, fmt.Sprintf(`{"run_millis":%d,"cpu_milli":2000}`, millis))
}

// crashing is work whose tasks crash their workers.
func crashing(key string, millis int) client.Work {
	return workOf(key, 1, millis, false, fmt.Sprintf(`{"run_millis":%d,"cpu_milli":2000,"crash":true}`, millis))
}

func workOf(key string, tasks uint32, millis int, transient bool, spec string) client.Work {
	return client.Work{
		Queue:     "crew-assignment",
		Key:       key,
		Spec:      spec,
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
		if r.IntN(crashingEvery) == 0 {
			w = crashing(crashingPrefix+key, r.IntN(100))
		}
		at := s.vms[r.IntN(len(s.vms))]
		under.Go(func() { s.submit(at, w) })
		time.Sleep(submitPause + time.Duration(r.IntN(40))*time.Millisecond)
	}
}

const attemptWithin = 6 * time.Second

// One submission in crashingEvery has a task that crashes its workers; its key begins with crashingPrefix.
const (
	crashingEvery  = 60
	crashingPrefix = "crashing-"
)

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

// judge waits for the end of all that was accepted, and checks what ran.
func (s *soak) judge(ctx context.Context) error {
	var all []string
	for _, p := range s.vms {
		all = append(all, p.callers)
	}
	k, err := client.NewKeptClient(all...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, healedWithin)
	defer cancel()
	failed := make(map[string]bool)
	for _, key := range s.accepted() {
		state, err := k.Wait(ctx, key)
		want := client.StateDone
		if strings.HasPrefix(key, crashingPrefix) || s.mayHaveFailed(key, state) {
			want = client.StateFailed
			failed[key] = true
		}
		if err != nil || state != want {
			return s.broken("the accepted submission %s ends as %s: it is %s (%v)", key, want, state, err)
		}
	}
	if n := s.site.Fleet.MaxStartsAfterCrashLimit(); n > runhost.MaxStartsAfterCrashLimit {
		return s.broken("a task that crashes its workers is given up: it was started %d times after %d crashes", n, runhost.CrashLimit)
	}
	time.Sleep(endedSlack)
	if faults := s.site.Fleet.Violations(); len(faults) > 0 {
		return s.broken("no task runs twice at once: %s", faults[0])
	}
	for _, key := range s.refused {
		if n := s.site.Fleet.StartsOf(key); n > 0 {
			return s.broken("a refusal is true: %s has run %d times", key, n)
		}
	}
	for _, key := range s.accepted() {
		if !failed[key] && !s.site.Fleet.AllCompleted(key) {
			return s.broken("each task of an accepted submission completes: %s", key)
		}
	}
	return nil
}

// mayHaveFailed reports whether a submission may be shown as failed though its tasks do not crash: two
// workers have crashed under them.
func (s *soak) mayHaveFailed(key string, state client.State) bool {
	return state == client.StateFailed && s.site.Fleet.Crashes(submission.ID(key)) > 1
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
	return &Violation{Seed: s.opt.Seed, Guarantee: fmt.Sprintf(format, args...)}
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
