package vm

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// suspension lets a whole VM stand still now and then, as a process that is suspended.
type suspension struct {
	mu    sync.Mutex
	until time.Time
}

// begin makes the VM stand still for a while.
func (s *suspension) begin(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// left returns for how long the VM still stands still; 0: it does not.
func (s *suspension) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.until), 0)
}

// wait waits while the VM stands still, and reports whether it did. Its goroutines go on in a random order.
func (s *suspension) wait(rng *rand.Rand) bool {
	left := s.left()
	if left == 0 {
		return false
	}
	time.Sleep(left + time.Duration(rng.Int64N(int64(ms))))
	return true
}

// stallableReaders are the functions of this package that read the clock without holding a lock. A goroutine that stands
// still while others wait for its lock would stop the virtual time.
var stallableReaders = []string{
	"(*engine).settleAfterStandstill", "(*engine).applyEvents", "leaseExpiredEvent.apply",
	"(*workerSession).run", "(*workerSession).postExpiry", "(*workerSession).renew", "(*workerSession).listNow", "(*workerSession).listOnce",
	"(*workerSession).start", "(*workerSession).startDeadline", "(*workerSession).stop", "(*workerSession).timedCall",
}

// suspendableReaders are those and the same of package link.
var suspendableReaders = append(slices.Clone(stallableReaders), "(*Link).run", "(*Link).connect", "(*Link).serve", "(*Server).Link")

// clockReader returns the function that reads the clock through the caller's caller, if it is one of those given; "": it
// must not stand still.
func clockReader(readers []string) string {
	callers := make([]uintptr, 3)
	frames := runtime.CallersFrames(callers[:runtime.Callers(4, callers)])
	f, _ := frames.Next()
	_, name, _ := strings.Cut(f.Function[strings.LastIndex(f.Function, "/")+1:], ".")
	name, _, _ = strings.Cut(name, ".func")
	if slices.Contains(readers, name) {
		return name
	}
	return ""
}

// suspendable returns the suspension of a VM with a configuration, which it changes: the VM's goroutines stand still where
// they read the clock, and where they call workers and the store.
func suspendable(c *Config) *suspension {
	s := &suspension{}
	clock := c.Now
	c.Now = func() time.Duration { return s.now(clock) }
	c.Workers = &suspendableClient{Client: c.Workers, suspension: s}
	c.StoreTransport = &suspendableTransport{Transport: c.StoreTransport, suspension: s}
	return s
}

// now reads the VM's clock.
func (s *suspension) now(clock func() time.Duration) time.Duration {
	if s.left() > 0 && clockReader(suspendableReaders) != "" {
		s.wait(newRand())
	}
	return clock()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 31)) }

// call makes a call, and reports whether it had an answer before ctx ended.
func (s *suspension) call(ctx context.Context, call func()) bool {
	s.wait(newRand())
	if ctx.Err() != nil {
		return false
	}
	call()
	s.wait(newRand())
	return ctx.Err() == nil
}

// suspendableClient is the client of the workers of a VM that stands still now and then.
type suspendableClient struct {
	worker.Client
	*suspension
}

func (c *suspendableClient) Start(ctx context.Context, to worker.Info, s worker.Start) (r worker.Reply) {
	if !c.call(ctx, func() { r = c.Client.Start(ctx, to, s) }) {
		return worker.Reply{Verdict: worker.NoAnswer}
	}
	return r
}

func (c *suspendableClient) Stop(ctx context.Context, to worker.Info, s worker.Stop) (r worker.Reply) {
	if !c.call(ctx, func() { r = c.Client.Stop(ctx, to, s) }) {
		return worker.Reply{Verdict: worker.NoAnswer}
	}
	return r
}

func (c *suspendableClient) Hold(ctx context.Context, to worker.Info, o worker.Hold) (l worker.Listing, r worker.Reply) {
	if !c.call(ctx, func() { l, r = c.Client.Hold(ctx, to, o) }) {
		return worker.Listing{}, worker.Reply{Verdict: worker.NoAnswer}
	}
	return l, r
}

// suspendableTransport makes the calls to the store of a VM that stands still now and then.
type suspendableTransport struct {
	relay.Transport
	*suspension
}

func (t *suspendableTransport) Do(ctx context.Context, c relay.Call) (r relay.Reply, err error) {
	if !t.call(ctx, func() { r, err = t.Transport.Do(ctx, c) }) {
		return relay.Reply{}, ctx.Err()
	}
	return r, err
}

// standStill makes a VM stand still for a while: what it sends and what it is sent waits.
func (w *world) standStill(name string, d time.Duration) {
	w.suspensions[name].begin(d)
	w.mesh.SetHeld(addressOf(name), true)
	time.AfterFunc(d, func() { w.mesh.SetHeld(addressOf(name), false) })
}
