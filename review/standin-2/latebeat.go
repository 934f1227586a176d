package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of lateBeat, from when the worker's last heartbeat was sent.
const (
	beatLate     = 5500 * time.Millisecond // until the store makes the write that it has not answered: 1 to 6 s
	downFor      = 1500 * time.Millisecond
	entryExpiry  = 3 * heartbeat // of an entry that is not written again
	firstStop    = 2 * time.Second
	stopGap      = 1150 * time.Millisecond // as the site file has it
	watchedAfter = 3 * time.Second         // after the late write
)

// crashed is how many workers crash, of 24.
const crashed = 1

// lateBeat lets workers crash and start again at their addresses, and stops the nodes of their zone in turn. The store
// makes the last heartbeats of the workers' earlier lives late.
func lateBeat(s *site, trouble bool) (int, error) {
	time.Sleep(contactMs)
	end := make(chan struct{})
	var jobs sync.WaitGroup
	jobs.Add(1)
	go func() {
		defer jobs.Done()
		s.longJobs(end)
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		sent := s.now()
		for i := range crashed {
			s.crashAndReturn(i)
		}
		time.Sleep(downFor)
		time.Sleep(sent + firstStop - s.now())
		for _, n := range s.nodes {
			if n.zone == zones[0] {
				go s.restart(n)
				time.Sleep(stopGap)
			}
		}
		time.Sleep(sent + beatLate + watchedAfter - s.now())
	} else {
		time.Sleep(beatLate + watchedAfter)
	}
	close(end)
	jobs.Wait()
	if s.running() == 0 {
		return notRun, errors.New("nothing ran")
	}
	return s.verdict(s.simultaneousRuns()), nil
}

// crashAndReturn crashes a worker, which starts again at its address after downFor. Its last heartbeat is done late.
func (s *site) crashAndReturn(i int) {
	w := s.workers[i]
	s.log("store: the answer to the heartbeat of %s is lost; it is done %v later", w.id, beatLate)
	late := w.nextEntry()
	time.AfterFunc(beatLate, func() {
		s.log("store: the late heartbeat of %s is done", w.id)
		s.store.Put("servers/"+w.id, late)
		time.AfterFunc(entryExpiry, func() { s.store.Delete("servers/" + w.id) })
	})
	w.crash()
	time.AfterFunc(entryExpiry, func() { s.store.Delete("servers/" + w.id) })
	time.AfterFunc(downFor, func() {
		next, err := startWorker(s, w.id+"b", w.address, w.zone, w.rack, w.kind)
		if err != nil {
			s.log("worker %s cannot start again: %v", w.id, err)
			return
		}
		s.log("worker %s is back at %s as %s", w.id, w.address, next.id)
	})
}

// restart stops a node as the platform does and starts it again.
func (s *site) restart(n *node) {
	s.log("SIGTERM to %s", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceS):
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if err := s.startNode(n); err != nil {
		s.log("%s cannot be started: %v", n.name, err)
	}
}

// longJobs hands in best-effort jobs of some seconds until end is closed.
func (s *site) longJobs(end chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(150 * time.Millisecond):
			n := s.nodes[i%4] // half of them in the zone whose nodes stop
			go s.send(n, "POST", fmt.Sprintf("%s%016x", prefix, 0xe0e0+i), job(2000, 4000, true, step(2, 4000, 2000)), 10*time.Second)
		}
	}
}

// simultaneousRuns returns the pairs of runs of one task that went on at the same time.
func (s *site) simultaneousRuns() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range s.runs {
		for _, other := range byTask[r.task] {
			if other.ended == 0 || other.ended > r.began {
				out = append(out, fmt.Sprintf("%s: run %d on %s from %.3f to %.3f (%s), run %d on %s from %.3f", r.task,
					other.number, other.worker, other.began.Seconds(), other.ended.Seconds(), other.how, r.number, r.worker, r.began.Seconds()))
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	return out
}
