package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Times of zoneLoss.
const (
	finishS  = 14 * time.Second // from the end of the traffic until the jobs are asked for
	idleTime = 3 * time.Second  // that a job may have nothing running
)

// zoneLoss loses a zone, its machines and its workers, for good while it has accepted jobs.
func zoneLoss(s *site, trouble bool) (int, error) {
	const count = 12
	time.Sleep(contactMs)
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%016x", 0x3a7c51d2e6f0+i)
		r := s.send(s.nodes[i%2], "POST", prefix+id, job(4000, 4000, false, step(4, 4000, 4000), step(4, 4000, 4000, 0)), 1500*time.Millisecond)
		if r.Status == 200 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return notRun, errors.New("no job was accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		s.loseZone(zones[0])
	}
	time.Sleep(finishS + 8*time.Second)
	s.log("the jobs are asked for, %d workers are up, %d runs go on", len(s.workers)-s.gone(), s.running())
	var faults []string
	before := map[string]int{}
	for _, id := range ids {
		before[id] = len(s.runsOf(id))
	}
	time.Sleep(idleTime)
	for _, id := range ids {
		g := s.send(s.nodes[len(s.nodes)-1], "GET", prefix+id, nil, 1500*time.Millisecond)
		if !strings.Contains(g.Body, "done") && before[id] == len(s.runsOf(id)) && !s.isRunning(id) {
			faults = append(faults, fmt.Sprintf("job %s was accepted and is %s; nothing of it ran for %v", id, g.Body, idleTime))
		}
	}
	return s.verdict(faults), nil
}

// loseZone ends the processes and the workers of a zone, which don't come back.
func (s *site) loseZone(zone string) {
	s.log("the zone %s is lost", zone)
	for _, n := range s.nodes {
		if n.zone == zone {
			_ = n.cmd.Process.Kill()
		}
	}
	for _, w := range s.workers {
		if w.zone == zone {
			w.crash()
			time.AfterFunc(3*heartbeat, func() { s.store.Delete("servers/" + w.id) })
		}
	}
}

// gone returns how many workers have crashed.
func (s *site) gone() (n int) {
	for _, w := range s.workers {
		w.mu.Lock()
		if w.gone {
			n++
		}
		w.mu.Unlock()
	}
	return n
}

func (s *site) isRunning(id string) bool {
	for _, r := range s.runsOf(id) {
		if r.ended == 0 {
			return true
		}
	}
	return false
}
