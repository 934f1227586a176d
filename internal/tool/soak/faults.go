package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
)

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
	domain := domains[s.rand.IntN(len(domains))]
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
		func() { s.evacuate(domain, d) },
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

// evacuate has nothing start in a domain for some time.
func (s *soak) evacuate(domain string, d time.Duration) {
	s.site.Store.Put(daemon.EvacuationPrefix+domain, []byte("{}"))
	time.Sleep(d)
	s.site.Store.Delete(daemon.EvacuationPrefix + domain)
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
