package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case "cancelled".
const (
	cancelBound   = 3 * time.Second // cancel_ms
	stopTimeout   = 50 * time.Millisecond
	contact       = 3 * time.Second // contactMs
	blockerMs     = 45000
	queuedMs      = 20000
	taskCPU       = 3400
	queuedJobs    = 800
	cancelEvery   = 12 * time.Millisecond
	cancelRollGap = time.Second // gap_s of roll_term
	cancelRolled  = 3           // machines of 8
	cancelSettle  = 12 * time.Second
	specBytes     = 4000
)

// playCancelled cancels jobs that wait for room while machines are stopped and started in turn. No task of them may start
// later than cancel_ms after the cancelling was acknowledged.
func playCancelled(wd *world) error {
	if err := wd.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	blockersSent := time.Now()
	blocker := &wireJob{Spec: "blocker", Steps: []wireStep{{Count: 14, CPU: taskCPU, MemMB: 64, EstimateMs: blockerMs}}}
	for i := range 18 {
		wd.submit(zones[i%len(zones)], blocker)
	}
	time.Sleep(500 * time.Millisecond)
	ids := wd.submitQueued(&wireJob{Spec: strings.Repeat("x", specBytes), Steps: []wireStep{{Count: 1, CPU: taskCPU, MemMB: 64, EstimateMs: queuedMs}}})
	if len(ids) < queuedJobs/2 {
		return fmt.Errorf("only %d jobs were accepted", len(ids))
	}
	rolled := make(chan error, 1)
	var lastTouched time.Time
	go func() {
		for _, m := range wd.startersFirst()[:cancelRolled] {
			if !wd.trouble || time.Since(blockersSent) > blockerMs*time.Millisecond-12*time.Second {
				break
			}
			if err := m.restart(); err != nil {
				rolled <- err
				return
			}
			lastTouched = time.Now()
			time.Sleep(cancelRollGap)
		}
		rolled <- nil
	}()
	acked := make(map[string]time.Time)
	var mu sync.Mutex
	var cancels sync.WaitGroup
	for i, id := range ids {
		cancels.Go(func() {
			for range 20 {
				status, _, vm := wd.call(http.MethodDelete, zones[i%len(zones)], id, nil)
				wd.record("client DELETE %s at %s: %d", id, vm, status)
				if status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(cancelEvery)
	}
	cancels.Wait()
	if err := <-rolled; err != nil {
		return err
	}
	wd.record("%d of %d cancels were acknowledged", len(acked), len(ids))
	time.Sleep(time.Until(blockersSent.Add(blockerMs*time.Millisecond + cancelSettle)))
	calm := lastTouched.Add(contact)
	for _, id := range ids {
		at, known := acked[id]
		if !known {
			continue
		}
		wd.mu.Lock()
		log := *wd.log(id + ".0.0.0")
		wd.mu.Unlock()
		for _, s := range log.starts {
			if s.at.Sub(at) > cancelBound && s.at.After(calm) {
				wd.fail("job %s: its cancelling was acknowledged at %.3f, and run %d started on %s %.3f s later", id, at.Sub(wd.began).Seconds(), s.run,
					s.worker, s.at.Sub(at).Seconds())
			}
		}
		for _, e := range log.ends {
			if e.at.Sub(at) > cancelBound+stopTimeout && e.at.Sub(calm) > cancelBound+stopTimeout {
				wd.fail("job %s: its cancelling was acknowledged at %.3f, and run %d on %s went on until it ended %s %.3f s later, %.3f s after the last restart",
					id, at.Sub(wd.began).Seconds(), e.run, e.worker, e.how, e.at.Sub(at).Seconds(), e.at.Sub(lastTouched).Seconds())
			}
		}
	}
	return nil
}

// submitQueued hands in jobs that have to wait, and returns those that were accepted.
func (wd *world) submitQueued(j *wireJob) []string {
	var mu sync.Mutex
	var ids []string
	var sent sync.WaitGroup
	for i := range queuedJobs {
		sent.Go(func() {
			if id, accepted := wd.submit(zones[i%len(zones)], j); accepted {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	sent.Wait()
	return ids
}

// startersFirst returns the machines, those first that give orders to workers.
func (wd *world) startersFirst() []*machine {
	wd.store.mu.Lock()
	defer wd.store.mu.Unlock()
	holds := make(map[string]bool)
	for key, it := range wd.store.items {
		if strings.HasPrefix(key, "pumiceyard/site/shard/") {
			for _, m := range wd.vms {
				holds[m.name] = holds[m.name] || strings.Contains(string(it.Value), `"`+m.name+`"`)
			}
		}
	}
	out := slices.Clone(wd.vms)
	slices.SortStableFunc(out, func(a, b *machine) int {
		switch {
		case holds[a.name] == holds[b.name]:
			return 0
		case holds[a.name]:
			return -1
		default:
			return 1
		}
	})
	return out
}
