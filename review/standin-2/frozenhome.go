package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Times of frozenHome, from when the client sends its job.
const (
	clientDeadline = 1500 * time.Millisecond
	retransmit     = 1300 * time.Millisecond // after no response, until the client sends the job again
	freezeAt       = 1420 * time.Millisecond
	frozenFor      = 3500 * time.Millisecond
	killAt         = 1940 * time.Millisecond
	restartAfter   = 450 * time.Millisecond
)

// frozenHome freezes the node that has taken a best-effort job, and kills the process that runs the job's tasks. The
// client sends the job again to another node.
func frozenHome(s *site, trouble bool) (int, error) {
	const id = "b41c70e95d2a6f38"
	time.Sleep(contactMs)
	home, holder, other := s.nodes[0], s.nodes[1], s.nodes[2]
	body := job(4000, 4000, true, step(2, 4000, 1200))
	sent := s.now()
	first := make(chan reply, 1)
	go func() { first <- s.send(home, "POST", prefix+id, body, clientDeadline) }()
	if trouble {
		time.Sleep(sent + freezeAt - s.now())
		if len(s.runsOf(id)) != 2 {
			return notRun, errors.New("the job has not begun")
		}
		s.log("SIGSTOP to %s", home.name)
		_ = home.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() {
			s.log("SIGCONT to %s", home.name)
			_ = home.cmd.Process.Signal(syscall.SIGCONT)
		})
		time.Sleep(sent + killAt - s.now())
		s.log("SIGKILL to %s", holder.name)
		_ = holder.cmd.Process.Kill()
		time.AfterFunc(restartAfter, func() { _ = s.startNode(holder) })
	}
	r := <-first
	if r.Status != 0 && r.Status != 504 {
		return notRun, fmt.Errorf("the job was answered: %v", r)
	}
	time.Sleep(r.At + retransmit - s.now())
	s.send(other, "POST", prefix+id, body, clientDeadline)
	time.Sleep(3 * time.Second)
	return s.verdict(s.simultaneousRuns()), nil
}
