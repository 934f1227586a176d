package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Times of the case "stuck".
const (
	stuckTraffic = 15 * time.Second
	stuckFinish  = 14 * time.Second // finish_s
	stuckLook    = 3 * time.Second  // a job may have nothing running for this long
	stuckAfter   = 25 * time.Second // how long it is watched after that
	stuckJobs    = 3
	stuckTasks   = 4 // of the second step
	stuckCPU     = 6800
	neededLabel  = "b"
)

// playStuck crashes the workers with one label in one zone, 5 of 48, for good. Jobs that were accepted there and need the
// label have to run on the 10 workers of the other zones that have it.
func playStuck(wd *world) error {
	if err := wd.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var ids []string
	for range stuckJobs {
		id, accepted := wd.submit(zones[0], &wireJob{Spec: "quote", Steps: []wireStep{
			{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 3000, Constraints: "a"},
			{Count: stuckTasks, CPU: stuckCPU, MemMB: 64, EstimateMs: 900, After: []int{0}, Constraints: neededLabel},
		}})
		if !accepted {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	zone := wd.zoneOf(ids[0])
	wd.record("the first step of %s runs in %s", ids[0], zone)
	if wd.trouble {
		for _, w := range wd.workers {
			if w.zone == zone && slices.Contains(w.labels, neededLabel) {
				w.crash()
			}
		}
	}
	for time.Since(began) < stuckTraffic {
		wd.submit(zones[1], &wireJob{Spec: "check", Steps: []wireStep{{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 200}}})
		time.Sleep(500 * time.Millisecond)
	}
	wd.record("the traffic has ended")
	time.Sleep(stuckFinish)
	wd.checkStuck(ids)
	return nil
}

// zoneOf returns the zone of the worker on which a job's first task has started.
func (wd *world) zoneOf(id string) string {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if t := wd.tasks[id+".0.0.0"]; t != nil && len(t.starts) > 0 {
		for _, w := range wd.workers {
			if w.id == t.starts[0].worker {
				return w.zone
			}
		}
	}
	return zones[0]
}

// checkStuck watches the jobs: none may have nothing running for 3 s while a task's turn has come, there is capacity for
// it twice over and under half of the service's capacity is in use.
func (wd *world) checkStuck(ids []string) {
	began := time.Now()
	idle := make(map[string]time.Duration) // the longest such time
	since := make(map[string]time.Time)
	for time.Since(began) < stuckLook+stuckAfter {
		free, inUse := wd.capacity()
		for _, id := range ids {
			if !wd.stepDone(id, 0) || wd.stepDone(id, 1) || wd.runsNow(id) || free < 2*stuckTasks || inUse >= 0.5 {
				delete(since, id)
				continue
			}
			if _, known := since[id]; !known {
				since[id] = time.Now()
			}
			idle[id] = max(idle[id], time.Since(since[id]))
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range ids {
		state := wd.state(zones[1], id)
		if idle[id] >= stuckLook {
			free, inUse := wd.capacity()
			wd.fail("job %s is shown as %q: from %s after the end of the traffic on, nothing of it ran for %.1f s, while workers with label %q had room for %d of its %d tasks and %.0f%% of the capacity was in use",
				id, state, stuckFinish, idle[id].Seconds(), neededLabel, free, stuckTasks, 100*inUse)
		}
	}
}

func (wd *world) runsNow(id string) bool {
	for _, w := range wd.workers {
		w.mu.Lock()
		runs := w.sortedRuns()
		w.mu.Unlock()
		if slices.ContainsFunc(runs, func(r *run) bool { return strings.HasPrefix(r.task, id+".") }) {
			return true
		}
	}
	return false
}

// stepDone reports whether all tasks of a job's step have ended done.
func (wd *world) stepDone(id string, step int) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for i := range wd.jobs[id].Steps[step].Count {
		t := wd.tasks[fmt.Sprintf("%s.0.%d.%d", id, step, i)]
		if t == nil || !slices.ContainsFunc(t.ends, func(e finished) bool { return e.how == "done" }) {
			return false
		}
	}
	return true
}

// capacity returns how many tasks of the second step the workers have room for, and the share of the capacity in use.
func (wd *world) capacity() (free int, inUse float64) {
	var used, all int64
	for _, w := range wd.workers {
		w.mu.Lock()
		if !w.gone {
			room := w.cpu
			for _, r := range w.running {
				used += r.cpu
				room -= r.cpu
			}
			all += w.cpu
			if slices.Contains(w.labels, neededLabel) {
				free += int(room / stuckCPU)
			}
		}
		w.mu.Unlock()
	}
	return free, float64(used) / float64(all)
}
