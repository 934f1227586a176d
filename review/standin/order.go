package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case "order".
const (
	orderLength     = 24 * time.Second // of the traffic
	orderEvery      = 50 * time.Millisecond
	orderCrashAt    = 3 * time.Second
	orderCrashEvery = 3 * time.Second
	orderCrashes    = 6 // workers of 48
	orderTaskMs     = 400
	orderTasks      = 4
	orderCPU        = 2500
	baseTaskMs      = 1500
	baseEvery       = time.Second
	orderPatience   = 5 * time.Second // how long its clients wait
)

// playOrder hands in jobs of two steps that need not be kept, while small kept jobs give each worker of their zone
// something to do, and crashes some workers, one at a time. No task of a second step may start before all tasks of the first have ended done.
func playOrder(wd *world) error {
	if err := wd.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	wd.patience = orderPatience
	base := &wireJob{Spec: "base", Steps: []wireStep{{Count: workersInZone, CPU: 2000, MemMB: 64, EstimateMs: baseTaskMs, AntiAffinity: 1}}}
	id, accepted := wd.submit(zones[0], base)
	if !accepted {
		return fmt.Errorf("the base job was not accepted")
	}
	time.Sleep(baseEvery)
	w := wd.workerOf(id + ".0.0.0")
	if w == nil {
		return fmt.Errorf("the base job has not started")
	}
	zone := w.zone
	wd.record("the base job runs in %s", zone)
	began := time.Now()
	go func() {
		time.Sleep(orderCrashAt)
		crashed := 0
		for _, w := range wd.allWorkers() {
			if !wd.trouble || crashed == orderCrashes || time.Since(began) > orderLength-2*time.Second {
				return
			}
			if w.zone == zone {
				w.crash()
				crashed++
				time.Sleep(orderCrashEvery)
			}
		}
	}()
	var sent sync.WaitGroup
	sent.Go(func() {
		for time.Since(began) < orderLength {
			wd.submit(zone, base)
			time.Sleep(baseEvery)
		}
	})
	job := &wireJob{Spec: "two steps", BestEffort: true, Steps: []wireStep{
		{Count: orderTasks, CPU: orderCPU, MemMB: 64, EstimateMs: orderTaskMs},
		{Count: orderTasks, CPU: orderCPU, MemMB: 64, EstimateMs: 200, After: []int{0}},
	}}
	for time.Since(began) < orderLength {
		sent.Go(func() { wd.submitOnce(zone, job) })
		time.Sleep(orderEvery)
	}
	sent.Wait()
	time.Sleep(2 * time.Second)
	wd.checkOrder()
	return nil
}

// submitOnce hands in a job that need not be kept, and does not send it again.
func (wd *world) submitOnce(zone string, j *wireJob) {
	id := newID()
	wd.mu.Lock()
	wd.jobs[id] = j
	wd.mu.Unlock()
	status, answer, vm := wd.call(http.MethodPost, zone, id, mustEncode(j))
	wd.record("client POST %s at %s: %d %s", id, vm, status, strings.TrimSpace(string(answer)))
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.answers[id] = fmt.Sprintf("%d %s", status, strings.TrimSpace(string(answer)))
}

// checkOrder reports starts before all tasks of an earlier step have ended done.
func (wd *world) checkOrder() {
	wd.mu.Lock()
	var found []string
	for name, t := range wd.tasks {
		parts := strings.Split(name, ".")
		j := wd.jobs[parts[0]]
		step, err := strconv.Atoi(parts[2])
		if j == nil || err != nil {
			continue
		}
		for _, s := range t.starts {
			for _, before := range j.Steps[step].After {
				for i := range j.Steps[before].Count {
					earlier := fmt.Sprintf("%s.0.%d.%d", parts[0], before, i)
					log := wd.tasks[earlier]
					if log != nil && slices.ContainsFunc(log.ends, func(e finished) bool { return e.how == "done" && e.at.Before(s.at) }) {
						continue
					}
					found = append(found, fmt.Sprintf("task %s, run %d, started on %s at %.3f, before %s had ended done (%s); its job was answered %s", name, s.run,
						s.worker, s.at.Sub(wd.began).Seconds(), earlier, log.history(wd.began), wd.answers[parts[0]]))
				}
			}
		}
	}
	wd.mu.Unlock()
	slices.Sort(found)
	for _, f := range found {
		wd.fail("%s", f)
	}
}

// history lists what the workers saw of a task.
func (t *taskLog) history(began time.Time) string {
	if t == nil {
		return "never started"
	}
	var out []string
	for _, s := range t.starts {
		out = append(out, fmt.Sprintf("run %d started at %.3f", s.run, s.at.Sub(began).Seconds()))
	}
	for _, e := range t.ends {
		out = append(out, fmt.Sprintf("run %d ended %s at %.3f", e.run, e.how, e.at.Sub(began).Seconds()))
	}
	return strings.Join(out, ", ")
}
