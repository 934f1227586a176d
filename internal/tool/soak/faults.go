package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
)

// injectFaults starts a random fault at random intervals until ctx ends. Faults may overlap.
func (s *soak) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		s.faultCount++
		fault := s.randomFault()
		running.Go(fault)
		select {
		case <-ctx.Done():
		case <-time.After(minFaultInterval + time.Duration(s.rand.IntN(600))*time.Millisecond):
		}
	}
}

// randomFault returns a fault to inject. The seed determines its kind, target and duration.
func (s *soak) randomFault() func() {
	p := s.vms[s.rand.IntN(len(s.vms))]
	w := s.workerProxies[s.rand.IntN(len(s.workerProxies))]
	d := time.Duration(s.rand.Int64N(int64(maxFaultDuration)))
	domain := domains[s.rand.IntN(len(domains))]
	choices := []func(){
		func() { s.restart(p, syscall.SIGKILL) },
		func() { s.restart(p, syscall.SIGTERM) },
		func() { s.pause(p, d) },
		func() { p.signal(syscall.SIGHUP) },
		func() { applyFor(d, p.storeProxy, func(x *proxy) { x.dropToTarget, x.dropToCaller = true, true }) },
		func() { applyFor(d, p.storeProxy, func(x *proxy) { x.dropToCaller = true }) },
		func() { applyFor(d, p.storeProxy, func(x *proxy) { x.delay = 120 * time.Millisecond }) },
		func() { applyFor(d, p.storeProxy, func(x *proxy) { x.resetNew = true }) },
		func() { p.storeProxy.resetConnections() },
		func() { applyFor(d, p.peerProxy, func(x *proxy) { x.dropToTarget, x.dropToCaller = true, true }) },
		func() { applyFor(d, p.peerProxy, func(x *proxy) { x.dropToCaller = true }) },
		func() { p.peerProxy.resetConnections() },
		func() { applyFor(d, w, func(x *proxy) { x.dropToTarget, x.dropToCaller = true, true }) },
		func() { applyFor(d, w, func(x *proxy) { x.dropToCaller = true }) },
		func() { w.resetConnections() },
		func() { s.silenceStore(d) },
		func() { s.evacuate(domain, d) },
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
