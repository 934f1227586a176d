package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
)

// fault is a fault to inject: its kind, the VM, worker or failure domain that it concerns, and for how long.
type fault struct {
	kind   string
	target string
	inject func() // returns when the fault has ended
}

// injectFaults starts the next fault at random intervals until ctx ends. Faults may overlap.
func (s *soak) injectFaults(ctx context.Context, r *rand.Rand, next func() fault) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		s.mu.Lock()
		s.faultCount++
		s.mu.Unlock()
		f := next()
		running.Go(func() {
			s.faults.write("begins", f)
			f.inject()
			s.faults.write("ends", f)
		})
		select {
		case <-ctx.Done():
		case <-time.After(minFaultInterval + time.Duration(r.IntN(600))*time.Millisecond):
		}
	}
}

// randomFault returns a fault to inject. The seed determines its kind, target and duration.
func (s *soak) randomFault() fault {
	p := s.vms[s.rand.IntN(len(s.vms))]
	w := s.workerProxies[s.rand.IntN(len(s.workerProxies))]
	d := time.Duration(s.rand.Int64N(int64(maxFaultDuration)))
	domain := domains[s.rand.IntN(len(domains))]
	store, peer := p.name+"'s store", p.name+"'s listener for peers"
	worker := "the worker at " + w.address()
	dropAll := func(x *proxy) { x.dropToTarget, x.dropToCaller = true, true }
	dropReplies := func(x *proxy) { x.dropToCaller = true }
	choices := []fault{
		{"kill", p.name, func() { s.restart(p, syscall.SIGKILL) }},
		{"planned stop", p.name, func() { s.restart(p, syscall.SIGTERM) }},
		{"pause", p.name, func() { s.pause(p, d) }},
		{"reload", p.name, func() { p.signal(syscall.SIGHUP) }},
		{"silence", store, func() { applyFor(d, p.storeProxy, dropAll) }},
		{"replies lost", store, func() { applyFor(d, p.storeProxy, dropReplies) }},
		{"delay", store, func() { applyFor(d, p.storeProxy, func(x *proxy) { x.delay = 120 * time.Millisecond }) }},
		{"new connections reset", store, func() { applyFor(d, p.storeProxy, func(x *proxy) { x.resetNew = true }) }},
		{"connections reset", store, func() { p.storeProxy.resetConnections() }},
		{"silence", peer, func() { applyFor(d, p.peerProxy, dropAll) }},
		{"replies lost", peer, func() { applyFor(d, p.peerProxy, dropReplies) }},
		{"connections reset", peer, func() { p.peerProxy.resetConnections() }},
		{"silence", worker, func() { applyFor(d, w, dropAll) }},
		{"replies lost", worker, func() { applyFor(d, w, dropReplies) }},
		{"connections reset", worker, func() { w.resetConnections() }},
		{"replies lost", "the store of all VMs", func() { s.silenceStore(d) }},
		{"evacuation", domain, func() { s.evacuate(domain, d) }},
	}
	return choices[s.rand.IntN(len(choices))]
}

// applyFor sets a fault of a proxy for the given time.
func applyFor(d time.Duration, p *proxy, fault func(*proxy)) {
	p.setFault(fault)
	time.Sleep(d)
	p.clearFaults()
}

// silenceStore drops all replies of the store to all VMs.
func (s *soak) silenceStore(d time.Duration) {
	for _, p := range s.vms {
		p.storeProxy.setFault(func(x *proxy) { x.dropToCaller = true })
	}
	time.Sleep(d)
	for _, p := range s.vms {
		p.storeProxy.clearFaults()
	}
}

// evacuate evacuates a failure domain for the given time.
func (s *soak) evacuate(domain string, d time.Duration) {
	s.site.Store.Put(daemon.EvacuationPrefix+domain, []byte("{}"))
	time.Sleep(d)
	s.site.Store.Delete(daemon.EvacuationPrefix + domain)
}

// pause suspends a process for the given time.
func (s *soak) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart ends a process with the signal and starts a new one.
func (s *soak) restart(p *process, sig syscall.Signal) {
	exited := p.exitChannel()
	p.signal(sig)
	p.signal(syscall.SIGCONT)
	<-exited
	time.Sleep(restartDelay)
	p.startMu.Lock()
	defer p.startMu.Unlock()
	if p.exitChannel() != exited {
		return // another fault has restarted it in the meantime
	}
	if err := p.run(s.opt.Daemon); err != nil {
		fmt.Fprintf(s.opt.Out, "%s failed to start: %v\n", p.name, err)
	}
}

// clearFaults resumes all processes and ends the faults of all proxies.
func (s *soak) clearFaults() {
	for _, p := range s.vms {
		p.signal(syscall.SIGCONT)
		p.storeProxy.clearFaults()
		p.peerProxy.clearFaults()
	}
	for _, w := range s.workerProxies {
		w.clearFaults()
	}
}
