package main

import (
	"net/http"
	"sync"
	"time"
)

func init() {
	scenarios["latecancel"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 4, MachinesByZone: 2, WorkersByZone: 12, CPU: 16000, RackSize: 6}, lateCancel}
}

const (
	lateWrite      = 5800 * time.Millisecond // "done 1 to 6 s later"
	lateWriteFor   = 2200 * time.Millisecond // how long answers are lost
	otherJobs      = 9
	lateCancelPlay = 12 * time.Second
)

// lateCancel hands ten jobs in. The store's answers to the writes of one of them are lost, and the writes done later. Its client, that
// got no acceptance, cancels the job.
func lateCancel(s *Site, o options) error {
	var wg sync.WaitGroup
	for i := range otherJobs {
		wg.Go(func() {
			j := s.NewJob("/q0/", Step{Count: 2, CPU: 1500, Takes: 200 * time.Millisecond})
			if s.Submit(j, func() *Machine { return s.machines[1+i%(len(s.machines)-1)] }) {
				s.follow(j, time.Now().Add(3*time.Second))
			}
		})
	}
	j := s.NewJob("/q1/", Step{Count: 2, CPU: 1500, Takes: 200 * time.Millisecond})
	if o.trouble {
		s.log("writes of %s are done %.1f s later", j.ID, lateWrite.Seconds())
		s.store.SetLate(j.ID, lateWrite)
		time.AfterFunc(lateWriteFor, func() { s.store.SetLate(j.ID, 0) })
	}
	status, _ := s.call(s.machines[0], http.MethodPost, j.Prefix+j.ID, j.body(), clientDeadline)
	s.log("POST %s at %s: %d", j.ID, s.machines[0].name, status)
	for range 5 {
		if s.Cancel(j, s.machines[1]) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(lateCancelPlay)
	return nil
}
