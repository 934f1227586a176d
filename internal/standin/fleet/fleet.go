// Package fleet simulates the workers of a site. The calls to them can be blocked, lost and
// delayed. It runs in real time, or in the time of a test's synctest bubble.
package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

const (
	oneWayDelay     = 200 * time.Microsecond // latency of a call or of its reply
	endPollInterval = 2 * time.Millisecond   // between checks for ended runs while a Hold waits
)

// Fleet is the workers of a site. It is safe for concurrent use.
type Fleet struct {
	Ledger *runhost.Ledger

	mu             sync.Mutex
	startedAt      time.Time
	hosts          map[string]*runhost.Host // by address
	works          map[submission.ID]runhost.Work
	partitioned    map[string]bool // failure domains cut off from the others
	loseReply      func(worker.Start) bool
	dropStart      func(worker.Start) bool
	startDelay     func(worker.Start) time.Duration
	startsOutlive  bool // delayed starts reach the next incarnation of their worker under the same ID
	onStart        func(worker.Info, worker.Start)
	startsByWorker map[string]int  // by worker ID
	slowdown       map[string]int  // by worker ID: by which factor tasks take longer there
	unreachable    map[string]bool // worker IDs that no VM can reach

	ignoresCapacity bool // new workers accept starts beyond their capacity

	onRestart      func(old, next worker.Info)
	restarts       int
	restartPlanned map[*runhost.Host]bool // incarnations that have crashed and will be replaced
}

// crashDowntime is how long a worker is down after a task has crashed it.
const crashDowntime = 2 * time.Second

// clockAfterRestart is what the clock of a worker shows right after a restart.
const clockAfterRestart = time.Second

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		Ledger:         runhost.NewLedger(),
		startedAt:      time.Now(),
		hosts:          make(map[string]*runhost.Host),
		works:          make(map[submission.ID]runhost.Work),
		partitioned:    make(map[string]bool),
		startsByWorker: make(map[string]int),
		slowdown:       make(map[string]int),
		unreachable:    make(map[string]bool),
		restartPlanned: make(map[*runhost.Host]bool),
	}
}

// OnRestart sets a function that is called after a worker that a task has crashed was
// restarted, with its old and its new incarnation.
func (f *Fleet) OnRestart(onRestart func(old, next worker.Info)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onRestart = onRestart
}

// advance simulates all workers up to now. Otherwise a run that has ended by itself would count as
// running until the next call to its worker. f.mu must be held.
func (f *Fleet) advance(now time.Duration) {
	for _, h := range f.hosts {
		h.Advance(now)
		if h.Crashed() && !f.restartPlanned[h] {
			f.restartPlanned[h] = true
			time.AfterFunc(crashDowntime, func() { f.restartCrashed(h) })
		}
	}
}

// restartCrashed replaces an incarnation that has crashed, unless that was done already.
func (f *Fleet) restartCrashed(crashed *runhost.Host) {
	f.mu.Lock()
	delete(f.restartPlanned, crashed)
	if f.hosts[crashed.Info.Address] != crashed {
		f.mu.Unlock()
		return
	}
	next := f.nextIncarnation(crashed.Info)
	f.addRestarted(next)
	onRestart := f.onRestart
	f.mu.Unlock()
	if onRestart != nil {
		onRestart(crashed.Info, next)
	}
}

// nextIncarnation returns the incarnation that follows one that has crashed. If the worker reports when it
// started (Born), every second restart keeps its ID. f.mu must be held.
func (f *Fleet) nextIncarnation(crashed worker.Info) worker.Info {
	f.restarts++
	next := crashed
	if crashed.Born > 0 && f.restarts%2 == 0 {
		next.Born = time.Now().UnixMilli()
		return next
	}
	_, first, again := strings.Cut(crashed.ID, "of-")
	if !again {
		first = crashed.ID
	}
	next.ID = fmt.Sprintf("life%d-of-%s", f.restarts, first)
	return next
}

// Crashes returns how many workers have crashed while they ran tasks of a submission.
func (f *Fleet) Crashes(id submission.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return runhost.SumOf(f.Ledger.Crashes, id)
}

// MaxStartsAfterCrashLimit returns the highest number of times that a task was started after
// runhost.CrashLimit workers had crashed under it.
func (f *Fleet) MaxStartsAfterCrashLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := 0
	for _, n := range f.Ledger.StartsAfterCrashLimit {
		highest = max(highest, n)
	}
	return highest
}

// StartsAfterCompletion returns how many runs were started after another run of their task had completed, and how many
// of them although the lease of that run's worker had not lapsed.
func (f *Fleet) StartsAfterCompletion() (all, withinLease int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.Ledger.StartsAfterCompletion {
		all += n
	}
	for _, n := range f.Ledger.StartsWithinLease {
		withinLease += n
	}
	return all, withinLease
}

// Add starts a worker.
func (f *Fleet) Add(info worker.Info) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(info)
}

// addRestarted adds a new incarnation of a worker, whose clock starts again. f.mu must be held.
func (f *Fleet) addRestarted(info worker.Info) {
	f.add(info).ClockOffset = clockAfterRestart - time.Since(f.startedAt)
}

// add puts a worker at its address. f.mu must be held.
func (f *Fleet) add(info worker.Info) *runhost.Host {
	h := runhost.New(info, f.Ledger, func(s worker.Start) runhost.Work {
		w, set := f.works[s.Task.ID]
		if !set {
			w = runhost.ParseWork(s.Spec)
		}
		w.Time *= time.Duration(max(f.slowdown[info.ID], 1))
		return w
	})
	h.IgnoresCapacity = f.ignoresCapacity
	f.hosts[info.Address] = h
	return h
}

// IgnoreCapacity makes workers that are added from now on accept starts beyond their capacity, which are violations.
func (f *Fleet) IgnoreCapacity() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ignoresCapacity = true
}

// SetWork sets what the tasks of a submission do, in place of their spec.
func (f *Fleet) SetWork(id submission.ID, w runhost.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.works[id] = w
}

// SlowDown makes the tasks that start on a worker from now on take longer by a factor.
func (f *Fleet) SlowDown(id string, factor int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowdown[id] = factor
}

// LoseStartReplies makes the replies to the starts for which loseReply returns true get lost.
func (f *Fleet) LoseStartReplies(loseReply func(worker.Start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseReply = loseReply
}

// DropStarts makes the starts for which dropStart returns true get lost before they reach the worker.
func (f *Fleet) DropStarts(dropStart func(worker.Start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropStart = dropStart
}

// DelayStarts makes starts reach the worker after the delay that startDelay returns, and get no
// reply; 0: no delay.
func (f *Fleet) DelayStarts(startDelay func(worker.Start) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startDelay = startDelay
}

// LetStartsOutliveWorkers makes delayed starts reach the next incarnation of their worker under the same ID. By
// default they are lost with the incarnation that received them.
func (f *Fleet) LetStartsOutliveWorkers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startsOutlive = true
}

// OnStart sets a function that is called for each start that a worker accepts. It must not call
// methods of the fleet, whose lock is held.
func (f *Fleet) OnStart(onStart func(worker.Info, worker.Start)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStart = onStart
}

// CutDomain sets whether a failure domain is cut off: its workers from VMs of other domains, and its VMs
// from workers of other domains.
func (f *Fleet) CutDomain(domain string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[domain] = partitioned
}

// SetUnreachable sets whether no VM can reach a worker. Its runs go on until its lease expires.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// RestartWorker ends the worker at an address, with its runs, and starts a new incarnation with the given
// ID, which may be the same. It returns the new incarnation.
func (f *Fleet) RestartWorker(address, id string) worker.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.hosts[address]
	info := old.Info
	old.Advance(time.Since(f.startedAt))
	old.Crash()
	info.ID = id
	if info.Born > 0 {
		info.Born = max(time.Now().UnixMilli(), info.Born+1)
	}
	f.addRestarted(info)
	return info
}

// Violations returns what must not happen but did: see runhost.Ledger.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.Ledger.Violations...)
}

// Starts returns how many times tasks of a submission were started.
func (f *Fleet) Starts(id submission.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return runhost.SumOf(f.Ledger.Starts, id)
}

// Running returns how many runs of a submission's tasks are in progress.
func (f *Fleet) Running(id submission.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Since(f.startedAt))
	return f.Ledger.CountRunning(id)
}

// Completions returns how many times a task has completed.
func (f *Fleet) Completions(ref submission.TaskRef) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Ledger.Completions(ref)
}

// StartsOn returns how many starts a worker has accepted.
func (f *Fleet) StartsOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsByWorker[id]
}

// StartsOf is Starts for a submission ID given as a string.
func (f *Fleet) StartsOf(name string) int { return f.Starts(submission.ID(name)) }

// AllCompleted reports whether tasks of a submission were started and each of them has completed.
func (f *Fleet) AllCompleted(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := false
	for ref := range f.Ledger.Starts {
		if ref.ID != submission.ID(name) {
			continue
		}
		started = true
		if f.Ledger.Completions(ref) == 0 {
			return false
		}
	}
	return started
}

// ClientFrom returns a client with which a VM in the given failure domain calls the workers.
func (f *Fleet) ClientFrom(domain string) worker.Client { return &client{fleet: f, domain: domain} }

type client struct {
	fleet  *Fleet
	domain string
}

// hostAt returns the worker that a call reaches, nil if none. If another incarnation has the address of to,
// it returns the ID of that one as successor. The lock of the fleet must be held.
func (c *client) hostAt(to worker.Info) (h *runhost.Host, successor string) {
	if c.fleet.unreachable[to.ID] {
		return nil, ""
	}
	if c.domain != to.Domain && (c.fleet.partitioned[to.Domain] || c.fleet.partitioned[c.domain]) {
		return nil, ""
	}
	h = c.fleet.hosts[to.Address]
	if h != nil && h.Crashed() {
		return nil, ""
	}
	if h != nil && h.Info.ID != to.ID {
		return nil, h.Info.ID
	}
	return h, ""
}

// isRefused reports whether a worker has crashed, and its address can be reached.
func (c *client) isRefused(to worker.Info) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	cut := c.fleet.unreachable[to.ID] || c.domain != to.Domain && (c.fleet.partitioned[to.Domain] || c.fleet.partitioned[c.domain])
	h := c.fleet.hosts[to.Address]
	return !cut && h != nil && h.Crashed()
}

// roundTrip makes a call after oneWayDelay and returns its reply after another one. call returns the reply
// and whether it arrives.
func (c *client) roundTrip(ctx context.Context, to worker.Info, call func(h *runhost.Host, now time.Duration) (worker.Reply, bool)) worker.Reply {
	silent := worker.Reply{Verdict: worker.NoAnswer}
	if !pause.For(ctx, oneWayDelay) {
		return silent
	}
	c.fleet.mu.Lock()
	now := time.Since(c.fleet.startedAt)
	c.fleet.advance(now)
	h, successor := c.hostAt(to)
	answered := h != nil
	reply := silent
	if h != nil {
		reply, answered = call(h, now)
	}
	c.fleet.mu.Unlock()
	if successor != "" {
		return worker.Reply{Verdict: worker.Replaced, Successor: worker.Incarnation{ID: successor}}
	}
	if !answered {
		<-ctx.Done()
		return silent
	}
	if !pause.For(ctx, oneWayDelay) {
		return silent
	}
	return reply
}

// Start implements worker.Client.
func (c *client) Start(ctx context.Context, to worker.Info, s worker.Start) worker.Reply {
	return c.roundTrip(ctx, to, func(h *runhost.Host, now time.Duration) (worker.Reply, bool) {
		if c.fleet.dropStart != nil && c.fleet.dropStart(s) {
			return worker.Reply{}, false
		}
		if c.fleet.startDelay != nil {
			if d := c.fleet.startDelay(s); d > 0 {
				c.fleet.startLater(d, h, s)
				return worker.Reply{}, false
			}
		}
		r := c.fleet.start(h, now, s)
		return r, c.fleet.loseReply == nil || !c.fleet.loseReply(s)
	})
}

// start passes a start to a worker. f.mu must be held.
func (f *Fleet) start(h *runhost.Host, now time.Duration, s worker.Start) worker.Reply {
	r := h.Start(now, s)
	if r.Verdict == worker.Accepted {
		f.startsByWorker[h.Info.ID]++
		if f.onStart != nil {
			f.onStart(h.Info, s)
		}
	}
	return r
}

// startLater passes a start that a worker has received to it after a delay, if that incarnation is still up.
func (f *Fleet) startLater(delay time.Duration, received *runhost.Host, s worker.Start) {
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := time.Since(f.startedAt)
		f.advance(now)
		h := f.hosts[received.Info.Address]
		same := h == received || f.startsOutlive && h.Info.ID == received.Info.ID
		if same && !h.Crashed() {
			f.start(h, now, s)
		}
	})
}

// Stop implements worker.Client.
func (c *client) Stop(ctx context.Context, to worker.Info, s worker.Stop) worker.Reply {
	return c.roundTrip(ctx, to, func(h *runhost.Host, now time.Duration) (worker.Reply, bool) {
		return h.Stop(now, s), true
	})
}

// Hold implements worker.Client.
func (c *client) Hold(ctx context.Context, to worker.Info, o worker.Hold) (worker.Listing, worker.Reply) {
	var listing worker.Listing
	until := time.Now().Add(o.Wait)
	for {
		r := c.roundTrip(ctx, to, func(h *runhost.Host, now time.Duration) (worker.Reply, bool) {
			l, r := h.Hold(now, o)
			listing = l
			return r, true
		})
		if r.Verdict == worker.NoAnswer {
			r.Refused = c.isRefused(to)
		}
		if r.Verdict != worker.Accepted || len(listing.Ended) > 0 || !time.Now().Before(until) {
			return listing, r
		}
		if !pause.For(ctx, endPollInterval) {
			return worker.Listing{}, worker.Reply{Verdict: worker.NoAnswer}
		}
	}
}
