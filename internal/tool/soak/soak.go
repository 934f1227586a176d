// Package soak runs entry VMs as separate processes, injects faults from outside, and checks
// the guarantees from what callers and workers observe.
//
// Loopback proxies delay, reset or silence the connections between the VMs, to the store and
// to the workers, in one or both directions. Signals pause, stall, kill and stop the processes;
// those that end are restarted. Faults follow each other at random intervals and may overlap. The store
// and the workers are stand-ins in the soak's own process, which records every run of a task.
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
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
)

// Options of a soak.
type Options struct {
	Daemon   string // path of pumiceyardd
	Seed     uint64
	Duration time.Duration // how long faults are injected; the recovery takes some seconds more
	VMs      int
	Stalls   bool   // whether the VMs are stalled for the seeds that say so
	Retries  bool   // whether callers leave early and send work again for the seeds that say so
	LogDir   string // directory for the logs of the VMs and of the faults; created if it does not exist
	Out      io.Writer
}

// Timing of a soak.
const (
	readyTimeout      = 15 * time.Second
	recoveryTimeout   = 20 * time.Second // for all accepted work to end after the faults
	maxFaultDuration  = 2500 * time.Millisecond
	minFaultInterval  = 400 * time.Millisecond
	minSubmitInterval = 25 * time.Millisecond
	restartDelay      = 300 * time.Millisecond
	lateStartWait     = time.Second // wait after the end of all submissions, so that a late second start is seen
)

// submitters is how many callers submit random work.
const submitters = 3

var domains = []string{"hall-a", "hall-b"}

type soak struct {
	opt           Options
	rand          *rand.Rand
	stalls        stalls
	retries       bool
	site          *keptsite.Site
	vms           []*process
	workerProxies []*proxy
	startedAt     time.Time
	faults        *eventLog
	callers       *eventLog // of the attempts that may be followed by others

	mu         sync.Mutex
	acceptedAt map[string]time.Time // by key of the accepted stored submissions
	refused    []string             // keys of the submissions whose only attempt was refused as not run
	outcomes   map[string]int
	faultCount int

	stallCount     int
	stallsAtStarts int // stalls that began when the VM ordered a start
}

// Violation is a guarantee that did not hold in a soak.
type Violation struct {
	Seed      uint64
	Guarantee string
}

func (b *Violation) Error() string {
	return fmt.Sprintf("seed %d: guarantee violated: %s", b.Seed, b.Guarantee)
}

// Run runs one soak. It returns a *Violation if a guarantee did not hold.
func Run(ctx context.Context, opt Options) error {
	s := &soak{
		opt:        opt,
		rand:       rand.New(rand.NewPCG(opt.Seed, 1)),
		startedAt:  time.Now(),
		acceptedAt: make(map[string]time.Time),
		outcomes:   make(map[string]int),
	}
	if opt.Stalls {
		s.stalls = stallsOf(opt.Seed, opt.VMs)
	}
	s.retries = opt.Retries && retriesOf(opt.Seed)
	var err error
	if s.faults, err = newFaultLog(opt.LogDir, opt.Seed); err != nil {
		return err
	}
	if s.callers, err = newEventLog(opt.LogDir, opt.Seed, "callers"); err != nil {
		return errors.Join(err, s.faults.close())
	}
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return errors.Join(err, s.closeLogs())
	}
	working, stop := context.WithTimeout(ctx, opt.Duration)
	defer stop()
	var busy sync.WaitGroup
	for i := range submitters {
		busy.Go(func() { s.submitAll(working, i) })
	}
	if s.stalls.on {
		busy.Go(func() { s.submitShortWork(working) })
		busy.Go(func() { s.injectStalls(working) })
	}
	if s.retries {
		r := rand.New(rand.NewPCG(s.opt.Seed, 401))
		busy.Go(func() { s.submitLongWork(working) })
		busy.Go(func() { s.injectFaults(working, r, func() fault { return s.randomConnectionFault(r) }) })
	}
	s.injectFaults(working, s.rand, s.randomFault)
	busy.Wait()
	s.clearFaults()
	err = s.checkGuarantees(ctx)
	if broken := new(Violation); errors.As(err, &broken) {
		s.printLines(broken)
	}
	err = errors.Join(err, s.closeLogs())
	fmt.Fprintln(opt.Out, s.report(err))
	return err
}

func (s *soak) closeLogs() error { return errors.Join(s.faults.close(), s.callers.close()) }

// report returns the line that says what the soak has seen. A run that starts after another one of its task has
// completed is work done twice. The platform's rule allows it once the lease of the first run's worker has lapsed, so
// all of them are counted, and those whose lease had not lapsed beside them.
func (s *soak) report(err error) string {
	again, withinLease := s.site.Fleet.StartsAfterCompletion()
	return fmt.Sprintf("seed %d: late binding %v, retries %v, %d faults, %d stalls (%d at a start), %v, %d runs started after another run of their task had completed (%d of them before its lease had lapsed), %.1f s: %v",
		s.opt.Seed, policyOf(s.opt.Seed).LateBinding, s.retries, s.faultCount, s.stallCount, s.stallsAtStarts, s.outcomes,
		again, withinLease, time.Since(s.startedAt).Seconds(), resultText(err))
}

func resultText(err error) string {
	if err != nil {
		return err.Error()
	}
	return "all guarantees held"
}

func (s *soak) start(ctx context.Context) error {
	site, err := keptsite.StartProxied("127.0.0.1:0", domains, 3, func(address string) (string, error) {
		p, err := newProxy(address)
		if err != nil {
			return "", err
		}
		s.workerProxies = append(s.workerProxies, p)
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
	callerProxy, err := newProxy(callers)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm%d", i+1)
	settings := daemon.Settings{
		Name:         name,
		Domain:       domains[i%len(domains)],
		Domains:      domains,
		CallerListen: callers,
		PeerListen:   listen,
		PeerAddress:  peer.address(),
		Store:        store.address(),
		LeaseMillis:  daemon.DefaultLeaseMillis,
		StopMillis:   300,
	}
	if p := policyOf(s.opt.Seed); p != policy.Defaults() {
		settings.Policy = p // a daemon of another build may not know all settings
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	p := &process{
		name:         name,
		domain:       settings.Domain,
		settingsPath: filepath.Join(s.opt.LogDir, fmt.Sprintf("%d-%s.json", s.opt.Seed, name)),
		logPath:      filepath.Join(s.opt.LogDir, fmt.Sprintf("%d-%s.log", s.opt.Seed, name)),
		callerURL:    "http://" + callers,
		callerProxy:  callerProxy,
		peerProxy:    peer,
		storeProxy:   store,
	}
	if s.stalls.on {
		p.procs = s.stalls.procs[i]
	}
	s.vms = append(s.vms, p)
	if err := os.WriteFile(p.settingsPath, b, 0o600); err != nil {
		return err
	}
	return p.run(s.opt.Daemon)
}

// lateBindingEvery: one seed in lateBindingEvery is played with late binding.
const lateBindingEvery = 2

// policyOf returns the policy settings of the VMs, which the seed determines. It takes nothing from the random numbers
// of the faults.
func policyOf(seed uint64) policy.Settings {
	p := policy.Defaults()
	if rand.New(rand.NewPCG(seed, 2)).IntN(lateBindingEvery) == 0 {
		p.LateBinding, p.LateBindingShards = true, 0
	} else {
		p.LateBinding = false
	}
	return p
}

var errNotReady = errors.New("soak: not all VMs completed a test submission in time")

// awaitReady waits until each VM has completed a transient submission.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, p := range s.vms {
		k, err := client.NewKeptClient(p.callerURL)
		if err != nil {
			return err
		}
		w := newWork(fmt.Sprintf("ready-%d", i), 1, 20, true)
		for ctx.Err() == nil {
			state, err := k.Submit(ctx, w)
			if err == nil && state == client.StateDone {
				break
			}
			time.Sleep(minSubmitInterval)
		}
	}
	if ctx.Err() != nil {
		return errNotReady
	}
	return nil
}

func newWork(key string, tasks uint32, millis int, transient bool) client.Work {
	return newWorkWithSpec(key, tasks, millis, transient, fmt.Sprintf(`{"run_millis":%d,"cpu_milli":2000}`, millis))
}

// newSmallWork returns work whose tasks need little CPU.
func newSmallWork(key string, tasks uint32, millis int, transient bool) client.Work {
	w := newWorkWithSpec(key, tasks, millis, transient, fmt.Sprintf(`{"run_millis":%d,"cpu_milli":100}`, millis))
	w.Steps[0].CPUMilli = 100
	return w
}

// newCrashingWork returns work whose task crashes its workers.
func newCrashingWork(key string, millis int) client.Work {
	return newWorkWithSpec(key, 1, millis, false, fmt.Sprintf(`{"run_millis":%d,"cpu_milli":2000,"crash":true}`, millis))
}

func newWorkWithSpec(key string, tasks uint32, millis int, transient bool, spec string) client.Work {
	return client.Work{
		Queue:     "crew-assignment",
		Key:       key,
		Spec:      spec,
		Steps:     []client.WorkStep{{Count: tasks, CPUMilli: 2000, MemoryMB: 64, Estimate: time.Duration(millis) * time.Millisecond}},
		Transient: transient,
	}
}

// submitAll submits work to randomly chosen VMs until ctx ends, then waits for the answers.
func (s *soak) submitAll(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(s.opt.Seed, uint64(100+caller)))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("s%d-c%d-%d", s.opt.Seed, caller, n)
		w := newWork(key, 1+r.Uint32N(4), 20+r.IntN(400), r.IntN(2) == 0)
		if r.IntN(crashingEvery) == 0 {
			w = newCrashingWork(crashingPrefix+key, r.IntN(100))
		}
		at := s.vms[r.IntN(len(s.vms))]
		running.Go(func() { s.submit(at, w) })
		time.Sleep(minSubmitInterval + time.Duration(r.IntN(40))*time.Millisecond)
	}
}

const attemptTimeout = 6 * time.Second

// One submission in crashingEvery has a task that crashes its workers; its key begins with crashingPrefix.
const (
	crashingEvery  = 60
	crashingPrefix = "crashing-"
)

// submit makes one attempt and records the outcome.
func (s *soak) submit(at *process, w client.Work) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	state, err := client.SubmitOnce(ctx, at.callerURL, w)
	var notRun *client.NotRunError
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.As(err, &notRun):
		s.outcomes["refused"]++
		s.refused = append(s.refused, w.Key)
	case err != nil:
		s.outcomes["unknown"]++
	case w.Transient:
		s.outcomes["transient "+string(state)]++
	default:
		s.outcomes["taken"]++
		s.acceptedAt[w.Key] = time.Now()
	}
}

// checkGuarantees waits until all accepted submissions have ended, and checks their results and
// the recorded runs of their tasks.
func (s *soak) checkGuarantees(ctx context.Context) error {
	var all []string
	for _, p := range s.vms {
		all = append(all, p.callerURL)
	}
	k, err := client.NewKeptClient(all...)
	if err != nil {
		return err
	}
	failed, ends := s.checkEnds(awaitEnds(ctx, k, s.acceptedKeys()))
	time.Sleep(lateStartWait)
	if faults := s.site.Fleet.Violations(); len(faults) > 0 {
		return errors.Join(s.violation("no task may run twice at the same time: %s (%d such cases)", faults[0], len(faults)), ends)
	}
	if ends != nil {
		return ends
	}
	if n := s.site.Fleet.MaxStartsAfterCrashLimit(); n > runhost.MaxStartsAfterCrashLimit {
		return s.violation("a task that crashes its workers must be given up: one was started %d times after %d crashes", n, runhost.CrashLimit)
	}
	for _, key := range s.refused {
		if n := s.site.Fleet.StartsOf(key); n > 0 {
			return s.violation("a submission refused as not run must never start: tasks of %s were started %d times", key, n)
		}
	}
	for _, key := range s.acceptedKeys() {
		if !failed[key] && !s.site.Fleet.AllCompleted(key) {
			return s.violation("each task of an accepted submission must complete: %s has tasks that did not", key)
		}
	}
	return nil
}

// checkEnds returns the keys of the submissions that have failed as they must, and the first one that has not ended as it
// must; nil: all have.
func (s *soak) checkEnds(ends []shownEnd) (failed map[string]bool, err error) {
	failed = make(map[string]bool)
	for _, end := range ends {
		want := client.StateDone
		if strings.HasPrefix(end.key, crashingPrefix) || s.mayHaveFailed(end.key, end.state) {
			want = client.StateFailed
			failed[end.key] = true
		}
		if end.err != nil || end.state != want {
			return failed, s.violation("accepted submission %s must end as %s: its state is %s after %v (%v)", end.key, want, end.state, end.after, end.err)
		}
	}
	return failed, nil
}

// shownEnd is the state in which a submission was shown last, and after which time.
type shownEnd struct {
	key   string
	state client.State
	after time.Duration
	err   error
}

// stateWaiter waits until a submission is shown as ended.
type stateWaiter interface {
	Wait(ctx context.Context, key string) (client.State, error)
}

// awaitEnds waits for the ends of submissions side by side, for recoveryTimeout at most, and returns them in the order
// of the keys.
func awaitEnds(ctx context.Context, k stateWaiter, keys []string) []shownEnd {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	startedAt := time.Now()
	ends := make([]shownEnd, len(keys))
	var waiting sync.WaitGroup
	for i, key := range keys {
		waiting.Go(func() {
			state, err := k.Wait(ctx, key)
			ends[i] = shownEnd{key: key, state: state, after: time.Since(startedAt), err: err}
		})
	}
	waiting.Wait()
	return ends
}

// mayHaveFailed reports whether a failed state is allowed for a submission whose tasks do not crash
// their workers: at least two workers have crashed while running them.
func (s *soak) mayHaveFailed(key string, state client.State) bool {
	return state == client.StateFailed && s.site.Fleet.Crashes(submission.ID(key)) > 1
}

func (s *soak) acceptedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.acceptedAt {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

func (s *soak) violation(format string, args ...any) error {
	return &Violation{Seed: s.opt.Seed, Guarantee: fmt.Sprintf(format, args...)}
}

// stop kills the VMs' processes and closes the proxies and stand-ins.
func (s *soak) stop() {
	for _, p := range s.vms {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if exited := p.exitChannel(); exited != nil {
			<-exited
		}
		p.storeProxy.close()
		p.peerProxy.close()
		p.callerProxy.close()
	}
	for _, w := range s.workerProxies {
		w.close()
	}
	if s.site != nil {
		s.site.Stop()
	}
}
