package main

import (
	"sync"
	"time"
)

func init() {
	scenarios["nocpu"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 4, MachinesByZone: 2, WorkersByZone: 12, CPU: 16000, RackSize: 6}, noCPU}
}

const (
	ordinaryCallers = 8
	ordinaryPause   = 400 * time.Millisecond
	ordinaryTraffic = 16 * time.Second
	poisonAfter     = 2 * time.Second
	maxOwnEnds      = 3 // of a machine's processes, by the rule on faults
	minMachines     = 2 // a tenth of eight machines, and two at least
)

// noCPU hands one job in that can never be done, as no worker has what it asks for, and that asks for no processor, beside ordinary
// jobs. Processes that end by themselves are started again.
func noCPU(s *Site, o options) error {
	for _, m := range s.machines {
		m.mu.Lock()
		m.restarts = true
		m.mu.Unlock()
	}
	end := time.Now().Add(ordinaryTraffic)
	var wg sync.WaitGroup
	for c := range ordinaryCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				j := s.NewJob("/q0/", Step{Count: 2, CPU: 1500, Takes: 200 * time.Millisecond})
				if s.Submit(j, func() *Machine { return s.machines[c] }) {
					s.Ask(j, s.anyMachine())
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	time.Sleep(poisonAfter)
	if o.trouble {
		s.Submit(s.NewJob("/q1/", Step{Count: 1, GPU: 1, Takes: 200 * time.Millisecond}), func() *Machine { return s.machines[0] })
	}
	wg.Wait()
	s.checkOwnEnds()
	return nil
}

// checkOwnEnds records a broken rule if the processes of minMachines machines have ended by themselves maxOwnEnds times each.
func (s *Site) checkOwnEnds() {
	bad := 0
	for _, m := range s.machines {
		m.mu.Lock()
		n := m.ownEnds
		m.mu.Unlock()
		s.log("machine %s: %d processes have ended by themselves", m.name, n)
		if n >= maxOwnEnds {
			bad++
		}
	}
	if bad >= minMachines {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.broken("Fault: on %d of %d machines processes have ended by themselves %d times or more, without a disruption there", bad, len(s.machines), maxOwnEnds)
	}
}
