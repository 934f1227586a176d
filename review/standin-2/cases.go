package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// lateWork returns the runs of a job that break UNASKED after its cancelling was acknowledged: those that began later
// than cancel_ms after it, and those that went on stopTimeoutMs after that.
func (s *site) lateWork(id string, acked time.Duration) (out []string) {
	for _, r := range s.runsOf(id) {
		switch {
		case r.began > acked+cancelMs:
			out = append(out, fmt.Sprintf("%s run %d started %v after the acknowledgement", r.task, r.number, r.began-acked))
		case r.ended == 0 && s.now() > acked+cancelMs+stopTimeout, r.ended > acked+cancelMs+stopTimeout:
			out = append(out, fmt.Sprintf("%s run %d went on until %v after the acknowledgement", r.task, r.number, r.ended-acked))
		}
	}
	return out
}

func (s *site) verdict(faults []string) int {
	for _, f := range faults {
		s.log("BROKEN: %s", f)
	}
	if len(faults) > 0 {
		return broken
	}
	s.log("the rule held")
	return held
}

// notCancelled is how many jobs cancelBestEffort hands in beside the one that it cancels: a share of 0.1 is cancelled.
const notCancelled = 9

// cancelBestEffort cancels a best-effort job at the node that runs it.
func cancelBestEffort(s *site, trouble bool) (int, error) {
	const id = "5c0e7a21d94b36f8"
	time.Sleep(contactMs)
	home := s.nodes[0]
	done := make(chan reply, 1)
	go func() {
		done <- s.send(home, "POST", prefix+id, job(1500, 4000, true, step(2, 4000, 1500), step(2, 4000, 1500, 0), step(2, 4000, 1500, 1), step(2, 4000, 1500, 2)), 12*time.Second)
	}()
	for i := range notCancelled {
		go s.send(s.nodes[i%len(s.nodes)], "POST", fmt.Sprintf("%s%016x", prefix, 0xf0f0+i), job(1500, 4000, true, step(2, 4000, 1500)), 12*time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	if len(s.runsOf(id)) == 0 {
		return notRun, errors.New("the job has not begun")
	}
	if !trouble {
		if r := <-done; r.Status != 200 || !strings.Contains(r.Body, "done") {
			return notRun, fmt.Errorf("the job has not ended as done: %v", r)
		}
		return s.verdict(nil), nil
	}
	c := s.send(home, "DELETE", prefix+id, nil, 1500*time.Millisecond)
	if c.Status/100 != 2 && c.Status != 410 {
		return notRun, fmt.Errorf("the cancelling was not acknowledged: %v", c)
	}
	<-done
	time.Sleep(500 * time.Millisecond)
	return s.verdict(s.lateWork(id, c.At)), nil
}

// stopWhileWaiting stops a node while a best-effort job that it took waits for capacity.
func stopWhileWaiting(s *site, trouble bool) (int, error) {
	const id = "7d1f8b32ea5c47a9"
	time.Sleep(contactMs)
	// A stored job for each zone's workers.
	for i := range 12 {
		if s.running() >= len(s.workers) {
			break
		}
		if r := s.send(s.nodes[i%len(s.nodes)], "POST", fmt.Sprintf("%s%016x", prefix, 0xb0b0+i), job(30000, 16000, false, step(8, 16000, 30000)), 1500*time.Millisecond); r.Status != 200 {
			return notRun, fmt.Errorf("a job was not accepted: %v", r)
		}
		time.Sleep(700 * time.Millisecond)
	}
	if s.running() < len(s.workers) {
		return notRun, fmt.Errorf("only %d of %d workers are at work", s.running(), len(s.workers))
	}
	time.Sleep(contactMs)
	n := s.nodes[0]
	stopped := s.now()
	if trouble {
		s.log("SIGTERM to %s", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(graceS, func() { _ = n.cmd.Process.Kill() })
	}
	time.Sleep(300 * time.Millisecond)
	r := s.send(n, "POST", second+id, job(3000, 16000, true, step(1, 16000, 3000)), 14*time.Second)
	passedOn := len(s.runsOf(id)) > 0
	switch {
	case r.Status != 0:
		return s.verdict(nil), nil
	case r.SentAt > stopped+graceS, passedOn, r.At-r.SentAt > 13500*time.Millisecond, strings.Contains(fmt.Sprint(r.Err), "refused"):
		return notRun, fmt.Errorf("not a case of the rule: %v", r)
	case r.At-r.SentAt > requestLossMs:
		return s.verdict([]string{fmt.Sprintf("the connection ended %v after the request was sent, %v after SIGTERM, without an answer: %v", r.At-r.SentAt, r.At-stopped, r.Err)}), nil
	}
	return s.verdict(nil), nil
}

// Limits of the lost answers of the store in cancelUnanswered, as the site file and the kinds of the bench have them.
const (
	lostShare  = 0.35
	lostWindow = 4500 * time.Millisecond
	doneAfter  = 5800 * time.Millisecond // 1 to 6 s
)

// cancelUnanswered cancels a job whose hand-in had no answer, as the store lost the answers to its writes.
func cancelUnanswered(s *site, trouble bool) (int, error) {
	const id = "9e2a9c43fb6d58ba"
	const loseFor = 2 * time.Second
	time.Sleep(contactMs)
	end := make(chan struct{})
	go s.otherJobs(end)
	time.Sleep(time.Second)
	var lost int
	var lastLost time.Duration // guarded by the store's mu, as lost
	began := s.now()
	before := s.store.countWrites()
	if trouble {
		s.store.setLateWrite(func(in *txnIn) time.Duration {
			if !in.puts(id) || s.now()-began > loseFor {
				return 0
			}
			lost++
			lastLost = s.now()
			s.log("store: the answer to write %d of job %s is lost; it is done %v later", lost, id, doneAfter)
			return doneAfter
		})
	}
	post := s.send(s.nodes[0], "POST", prefix+id, job(1500, 4000, false, step(2, 4000, 1500), step(2, 4000, 1500, 0)), 1500*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	s.log("client: the answer to the POST was %d; the client cancels", post.Status)
	c := s.send(s.nodes[2], "DELETE", prefix+id, nil, 1500*time.Millisecond)
	if c.Status/100 != 2 && c.Status != 410 {
		return notRun, fmt.Errorf("the cancelling was not acknowledged: %v", c)
	}
	time.Sleep(began + lostWindow - s.now())
	all := s.store.countWrites() - before
	s.store.setLateWrite(nil)
	close(end)
	s.log("store: in %v the answers to %d of %d writes were lost, the last at %.3f", lostWindow, lost, all, lastLost.Seconds())
	if trouble && (lost == 0 || float64(lost) > lostShare*float64(all)) {
		return notRun, errors.New("not within the limits of the disruption")
	}
	time.Sleep(9 * time.Second)
	for _, r := range s.runsOf(id) {
		if trouble && r.began < lastLost+contactMs {
			return notRun, errors.New("the core was not stable yet when the task began")
		}
	}
	return s.verdict(s.lateWork(id, c.At)), nil
}

// otherJobs hands in jobs whose writes are answered, until end is closed.
func (s *site) otherJobs(end chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(60 * time.Millisecond):
			n := s.nodes[1+i%(len(s.nodes)-1)]
			go s.send(n, "POST", fmt.Sprintf("%s%016x", second, 0xc0c0+i), job(100, 2000, false, step(1, 2000, 100)), 1500*time.Millisecond)
		}
	}
}
