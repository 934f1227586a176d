package shard

import (
	"maps"
	"slices"
	"time"
)

// Times of moving submissions that no worker here can run.
const (
	strandedCheckInterval = 300 * time.Millisecond
	// strandedAfter is how long no worker may be able to run a submission before it is moved the first time; most workers that
	// restart answer within it. It doubles with each of the first maxStrandedDoublings moves.
	strandedAfter         = time.Second
	maxStrandedDoublings  = 3
	strandedRetryInterval = 2 * time.Second // between two searches for a shard that can run it
)

// moveStranded has stored submissions stored under another shard if no worker here can run any task of theirs whose turn has
// come. Transient ones are offloaded instead.
func (s *Shard) moveStranded(now time.Duration) {
	if now < s.nextStrandedAt || s.isClosed() || !s.recordsLoaded {
		return
	}
	s.nextStrandedAt = now + strandedCheckInterval
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.reassigning {
			continue
		}
		steps := s.strandedSteps(now, j)
		switch {
		case len(steps) == 0:
			j.strandedSince = 0
		case j.strandedSince == 0:
			j.strandedSince = now
		case now-j.strandedSince >= strandedAfter<<min(j.rec.Moves, maxStrandedDoublings):
			s.reassignStored(now, j, steps)
		}
	}
}

// strandedSteps returns the steps of a stored submission whose tasks wait, if no worker here can run any of them and none of
// its tasks runs.
func (s *Shard) strandedSteps(now time.Duration, j *job) []int {
	if j.rec.Transient || j.state.Final() || !j.isIdle() {
		return nil
	}
	var steps []int
	for _, t := range j.tasks {
		if !j.isStartable(t) || slices.Contains(steps, t.ref.Step) {
			continue
		}
		if s.anyWorkerSuits(now, t) {
			return nil
		}
		steps = append(steps, t.ref.Step)
	}
	return steps
}

// anyWorkerSuits reports whether a worker in service could run a task if it had no others.
func (s *Shard) anyWorkerSuits(now time.Duration, t *task) bool {
	for _, h := range s.workers {
		if h.isInService(now) && t.suits(&h.info) {
			return true
		}
	}
	return false
}
