package main

import (
	"errors"
	"sync"
	"time"
)

func init() {
	scenarios["suspects"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 4, MachinesByZone: 2, WorkersByZone: 12, CPU: 16000, RackSize: 6}, suspects}
}

const (
	suspectJobs  = 8 // they fill a worker, and its slots
	suspectCPU   = 2000
	suspectTakes = 9 * time.Second
)

// suspects lets the worker crash that runs most tasks of some jobs, each of one task. finish_s after the last job was handed in
// none of them may wait while most workers are idle.
func suspects(s *Site, o options) error {
	near := s.machinesOf(s.zones[0])
	var jobs []*Job
	var wg sync.WaitGroup
	for i := range suspectJobs {
		j := s.NewJob("/q1/", Step{Count: 1, CPU: suspectCPU, Takes: suspectTakes})
		jobs = append(jobs, j)
		wg.Go(func() { s.Submit(j, func() *Machine { i++; return near[i%len(near)] }) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	trafficEnd := time.Now()
	if o.trouble {
		time.Sleep(workBeforeLoss)
		w := s.busiestWorker()
		if w == nil {
			return errors.New("nothing runs")
		}
		w.Crash()
		time.AfterFunc(crashFor, w.Restart)
	}
	for time.Since(trafficEnd) < finish+idleFor {
		for i, j := range jobs {
			if j.final == "" && !j.acceptedAt.IsZero() {
				s.Ask(j, s.machines[i%len(s.machines)])
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.checkIdle(jobs)
	return nil
}

// busiestWorker returns the worker that runs most tasks; nil: none runs any.
func (s *Site) busiestWorker() (best *Worker) {
	most := 0
	for _, w := range s.workers {
		w.mu.Lock()
		if n := len(w.running); n > most {
			best, most = w, n
		}
		w.mu.Unlock()
	}
	return best
}
