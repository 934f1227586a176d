package main

import (
	"sync"
	"time"
)

// Times of the case "twice".
const (
	twiceLength   = 45 * time.Second // of the traffic
	twiceInterval = 40 * time.Millisecond
	twiceRollAt   = 5 * time.Second
	twiceRollGap  = 2 * time.Second // gap_s of roll_term
	twiceSettle   = 6 * time.Second
)

// playTwice hands in small jobs that are kept while all machines are stopped and started in turn. No task may start
// after a run of it has ended done and its end has been taken note of.
func playTwice(wd *world) error {
	if err := wd.awaitReady(20 * time.Second); err != nil {
		return err
	}
	var clientsDone sync.WaitGroup
	rolled := make(chan error, 1)
	began := time.Now()
	go func() {
		time.Sleep(twiceRollAt)
		for _, m := range wd.vms {
			if !wd.trouble || time.Since(began) > twiceLength-5*time.Second {
				break
			}
			if err := m.restart(); err != nil {
				rolled <- err
				return
			}
			time.Sleep(twiceRollGap)
		}
		rolled <- nil
	}()
	for n := 0; time.Since(began) < twiceLength; n++ {
		zone := zones[n%len(zones)]
		clientsDone.Go(func() {
			id, accepted := wd.submit(zone, &wireJob{Spec: "check", Steps: []wireStep{{Count: 2, CPU: 1000, MemMB: 64, EstimateMs: 200}}})
			if !accepted {
				return
			}
			time.Sleep(250 * time.Millisecond)
			for range 20 {
				if s := wd.state(zone, id); s == "done" || s == "failed" || s == "cancelled" {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
		time.Sleep(twiceInterval)
	}
	clientsDone.Wait()
	if err := <-rolled; err != nil {
		return err
	}
	time.Sleep(twiceSettle)
	wd.checkTwice()
	return nil
}

// checkTwice reports starts after an end "done" that has been taken note of then or later, and runs of a task at the
// same time.
func (wd *world) checkTwice() {
	wd.mu.Lock()
	var found []string
	var again []func()
	for task, t := range wd.tasks {
		for _, e := range t.ends {
			if e.how != "done" || e.ackedAt.IsZero() {
				continue
			}
			for _, s := range t.starts {
				if s.at.After(e.at) {
					found = append(found, task)
					again = append(again, func() {
						wd.fail("task %s: run %d ended done on %s, which was taken note of at %.3f; run %d started on %s %.3f s after its end", task, e.run,
							e.worker, e.ackedAt.Sub(wd.began).Seconds(), s.run, s.worker, s.at.Sub(e.at).Seconds())
					})
				}
			}
		}
	}
	wd.mu.Unlock()
	for _, f := range again {
		f()
	}
	wd.record("%d starts after an end done that was taken note of", len(found))
}
