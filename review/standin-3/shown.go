package main

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["shown"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 4, MachinesByZone: 2, WorkersByZone: 12, CPU: 16000, RackSize: 6}, shown}
}

// holderOf returns the machine that holds the shards of a zone, by what the store says; nil: none does.
func (s *Site) holderOf(zone string) *Machine {
	for _, key := range s.store.Keys("pumiceyard/site/shard/" + zone) {
		it, _ := s.store.Get(key)
		var h struct {
			Holder string `json:"h"`
		}
		_ = json.Unmarshal(it.Value, &h)
		for _, m := range s.machines {
			if m.name == h.Holder {
				return m
			}
		}
	}
	return nil
}

func (s *Site) machinesOf(zone string) (out []*Machine) {
	for _, m := range s.machines {
		if m.zone == zone {
			out = append(out, m)
		}
	}
	return out
}

const (
	shownCallers = 24
	shownTraffic = 6 * time.Second
	troubleAfter = 4 * time.Second // from the start of the traffic
	killedFor    = 500 * time.Millisecond
	shownWatch   = 14 * time.Second
)

// shown plays the same in two zones, one after the other, and then waits for starts that come too late.
func shown(s *Site, o options) error {
	for _, zone := range s.zones[:2] {
		if err := s.loseHolderAndRack(zone, o); err != nil {
			return err
		}
	}
	time.Sleep(shownWatch)
	return nil
}

// loseHolderAndRack kills the machine that holds the shard of a zone, and lets the workers of one rack there crash at the same
// moment, while clients hand short jobs in and ask for their states.
func (s *Site) loseHolderAndRack(zone string, o options) error {
	near := s.machinesOf(zone)
	end := time.Now().Add(shownTraffic)
	var wg sync.WaitGroup
	for c := range shownCallers {
		wg.Go(func() {
			for i := c; time.Now().Before(end); i++ {
				j := s.NewJob("/q1/", Step{Count: 2, CPU: 1500, Takes: 200 * time.Millisecond})
				if !s.Submit(j, func() *Machine { i++; return near[i%len(near)] }) {
					continue
				}
				s.followAtOnce(j, time.Now().Add(2*time.Second))
			}
		})
	}
	defer wg.Wait()
	if !o.trouble {
		return nil
	}
	time.Sleep(troubleAfter)
	holder := s.holderOf(zone)
	if holder == nil {
		return errors.New("nobody holds the shard of the zone")
	}
	holder.Signal(syscall.SIGKILL)
	for _, w := range s.workers {
		if w.zone == zone && strings.HasSuffix(w.rack, "-0") {
			w.Crash()
			time.AfterFunc(crashFor, w.Restart)
		}
	}
	time.Sleep(killedFor)
	return holder.Start(o.root)
}

// followAtOnce asks for a job again and again until it is final.
func (s *Site) followAtOnce(j *Job, until time.Time) {
	for time.Now().Before(until) {
		switch s.Ask(j, s.anyMachine()) {
		case "done", "failed", "cancelled":
			return
		case "":
			time.Sleep(50 * time.Millisecond)
		}
	}
}
