package main

import (
	"errors"
	"sync"
	"time"
)

func init() {
	scenarios["crash"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 4, MachinesByZone: 2, WorkersByZone: 12, CPU: 16000, RackSize: 6}, crash}
}

// runningTask returns the worker at which the only task of a job runs, nil if it doesn't run, and how many of its runs have begun.
func (s *Site) runningTask(j *Job) (at *Worker, begun int) {
	s.mu.Lock()
	id := ""
	if v := s.tasks[j.ID+".0.0.0"]; v != nil {
		begun = len(v.runs)
		for _, r := range v.runs {
			if r.ended.IsZero() {
				id = r.worker
			}
		}
	}
	s.mu.Unlock()
	for _, w := range s.workers {
		w.mu.Lock()
		here := w.up && w.id == id
		w.mu.Unlock()
		if here {
			return w, begun
		}
	}
	return nil, begun
}

const (
	crashFor    = 4500 * time.Millisecond // for_s of srv_crash
	afterCrash  = 50 * time.Millisecond
	newJobs     = 24
	taskTakes   = 2500 * time.Millisecond
	secondLimit = 20 * time.Second
)

// crash lets one worker crash, hands jobs in, and lets a second worker crash under a job of which the first worker had not begun
// anything: one worker has crashed under it.
func crash(s *Site, o options) error {
	first := s.workers[0]
	if o.trouble {
		first.Crash()
		time.AfterFunc(crashFor, first.Restart)
		time.Sleep(afterCrash)
	}
	var jobs []*Job
	var wg sync.WaitGroup
	for range newJobs {
		j := s.NewJob("/q1/", Step{Count: 1, CPU: 6800, Takes: taskTakes})
		jobs = append(jobs, j)
		wg.Go(func() { s.Submit(j, func() *Machine { return s.machines[0] }) })
	}
	wg.Wait()
	time.Sleep(400 * time.Millisecond)
	var late []*Job
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			continue
		}
		if _, begun := s.runningTask(j); begun == 0 {
			late = append(late, j)
		}
	}
	s.log("%d of %d jobs have not begun", len(late), len(jobs))
	if o.trouble {
		if len(late) == 0 {
			return errors.New("no start was sent to the worker that had crashed")
		}
		s.crashUnder(late)
	}
	end := time.Now().Add(14 * time.Second)
	for _, j := range jobs {
		wg.Go(func() { s.follow(j, end) })
	}
	wg.Wait()
	return nil
}

// crashUnder lets the worker crash at which the first of some jobs runs.
func (s *Site) crashUnder(late []*Job) {
	for end := time.Now().Add(secondLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, j := range late {
			if w, begun := s.runningTask(j); w != nil && begun == 1 {
				time.Sleep(500 * time.Millisecond)
				s.log("second crash, under job %s", j.ID)
				w.Crash()
				time.AfterFunc(crashFor, w.Restart)
				return
			}
		}
	}
}
