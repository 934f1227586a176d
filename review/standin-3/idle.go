package main

import "time"

const (
	workBeforeLoss = 500 * time.Millisecond // from the last acknowledgement to the loss of a worker
	finish         = 14 * time.Second       // finish_s of the settings
	idleFor        = 3 * time.Second        // how long a job may have nothing running then
)

// checkIdle records a broken rule for each accepted job that isn't final and has had nothing running for idleFor.
func (s *Site) checkIdle(jobs []*Job) {
	up := s.workersUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range jobs {
		if j.acceptedAt.IsZero() || j.final != "" {
			continue
		}
		if at, running := s.lastWork(j); !running && time.Since(at) > idleFor {
			s.broken("LOST: %s, accepted %.1f s ago, has had nothing running for %.1f s; %d of %d workers are up, with %d tasks", j.ID,
				time.Since(j.acceptedAt).Seconds(), time.Since(at).Seconds(), up, len(s.workers), s.tasksRunning())
		}
	}
}

// lastWork returns when a task of a job last ran, or the job was accepted, and whether one runs now. The caller holds the mutex.
func (s *Site) lastWork(j *Job) (at time.Time, running bool) {
	at = j.acceptedAt
	for _, task := range j.taskNames() {
		v := s.tasks[task]
		if v == nil {
			continue
		}
		for _, r := range v.runs {
			running = running || r.ended.IsZero()
			if r.ended.After(at) {
				at = r.ended
			}
		}
	}
	return at, running
}

// tasksRunning counts the tasks that run. The caller holds the mutex.
func (s *Site) tasksRunning() (n int) {
	for _, v := range s.tasks {
		for _, r := range v.runs {
			if r.ended.IsZero() {
				n++
			}
		}
	}
	return n
}

// workersUp counts the workers that are up.
func (s *Site) workersUp() (n int) {
	for _, w := range s.workers {
		w.mu.Lock()
		if w.up {
			n++
		}
		w.mu.Unlock()
	}
	return n
}
