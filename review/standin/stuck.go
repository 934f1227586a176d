package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Times and sizes of the cases "waiting" and "stuck".
const (
	stuckTraffic = 15 * time.Second
	stuckFinish  = 14 * time.Second // finish_s
	stuckLook    = 3 * time.Second  // a job may have nothing running for this long
	stuckAfter   = 25 * time.Second // how long it is watched after that
	stuckJobs    = 3
	stuckCPU     = 6800
	stuckDown    = 4 * time.Second // for_s of srv_crash
	neededLabel  = "b"
)

// playWaiting crashes one worker of 48 under the task of a job that needs a label. It is back after 4 s, and the four other
// workers of its zone with the label are idle all the while.
func playWaiting(wd *world) error {
	if err := wd.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	id, accepted := wd.submit(zones[0], &wireJob{Spec: "quote", Steps: []wireStep{
		{Count: 1, CPU: stuckCPU, MemMB: 64, EstimateMs: 3000, Constraints: neededLabel},
	}})
	if !accepted {
		return fmt.Errorf("job %s was not accepted", id)
	}
	time.Sleep(time.Second)
	if w := wd.workerOf(id + ".0.0.0"); wd.trouble {
		if w == nil {
			return fmt.Errorf("job %s has not started", id)
		}
		w.crash()
		time.Sleep(stuckDown)
		if _, err := w.comeBack(); err != nil {
			return err
		}
	}
	wd.sendUntil(began.Add(stuckTraffic))
	time.Sleep(stuckFinish)
	wd.checkStuck([]string{id})
	return nil
}

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
			{Count: 4, CPU: stuckCPU, MemMB: 64, EstimateMs: 900, After: []int{0}, Constraints: neededLabel},
		}})
		if !accepted {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	zone := zones[0]
	if w := wd.workerOf(ids[0] + ".0.0.0"); w != nil {
		zone = w.zone
	}
	wd.record("the first step of %s runs in %s", ids[0], zone)
	if wd.trouble {
		for _, w := range wd.allWorkers() {
			if w.zone == zone && slices.Contains(w.labels, neededLabel) {
				w.crash()
			}
		}
	}
	wd.sendUntil(began.Add(stuckTraffic))
	time.Sleep(stuckFinish)
	wd.checkStuck(ids)
	return nil
}

// sendUntil hands in a few small jobs in another zone until the traffic ends.
func (wd *world) sendUntil(end time.Time) {
	for time.Now().Before(end) {
		wd.submit(zones[1], &wireJob{Spec: "check", Steps: []wireStep{{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 200}}})
		time.Sleep(500 * time.Millisecond)
	}
	wd.record("the traffic has ended")
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
			tasks, over := wd.due(id)
			if over || wd.runsNow(id) || free < 2*tasks || inUse >= 0.5 {
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
			tasks, _ := wd.due(id)
			free, inUse := wd.capacity()
			wd.fail("job %s is shown as %q: from %s after the end of the traffic on, nothing of it ran for %.1f s, while workers with label %q had room for %d of its tasks, %d were due, and %.0f%% of the capacity was in use",
				id, state, stuckFinish, idle[id].Seconds(), neededLabel, free, tasks, 100*inUse)
		}
	}
}

// due returns how many tasks of a job's first unfinished step have not ended done; over: there is no such step. The steps of
// these cases follow each other.
func (wd *world) due(id string) (tasks int, over bool) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for step, s := range wd.jobs[id].Steps {
		for i := range s.Count {
			t := wd.tasks[fmt.Sprintf("%s.0.%d.%d", id, step, i)]
			if t == nil || !slices.ContainsFunc(t.ends, func(e finished) bool { return e.how == "done" }) {
				tasks++
			}
		}
		if tasks > 0 {
			return tasks, false
		}
	}
	return 0, true
}

func (wd *world) runsNow(id string) bool {
	for _, w := range wd.allWorkers() {
		w.mu.Lock()
		runs := w.sortedRuns()
		w.mu.Unlock()
		if slices.ContainsFunc(runs, func(r *run) bool { return strings.HasPrefix(r.task, id+".") }) {
			return true
		}
	}
	return false
}

// capacity returns how many more tasks of these cases the workers with the label have room for, and the share of the
// capacity of all workers in use.
func (wd *world) capacity() (free int, inUse float64) {
	var used, all int64
	for _, w := range wd.allWorkers() {
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
