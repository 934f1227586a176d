package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// reassignRetryInterval is the time between two attempts to store a submission under another shard.
const reassignRetryInterval = 300 * time.Millisecond

// SetEvacuated says whether anything may start in the shard's failure domain.
//
// Runs that have begun go on to their end. A start order in flight is void after its own deadline, and one
// without an answer is probed and stopped as always. When the domain is used again, all its workers may be
// cold at once, so each begins with a slow start.
func (s *Shard) SetEvacuated(now time.Duration, evacuated bool) {
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	s.placementDue = true
	s.nextSweepAt = now
	if evacuated {
		return
	}
	for _, h := range s.workers {
		h.health.BeginSlowStart()
	}
}

// drainIfEvacuated gives the waiting tasks of a submission in an evacuated domain to other shards. Otherwise
// they would wait in vain until their caller's timeout while other shards have free capacity.
func (s *Shard) drainIfEvacuated(now time.Duration, j *job) {
	switch {
	case !s.evacuated, j.state.Final():
	case j.rec.Transient:
		s.returnTasks(now, j, len(j.tasks))
	default:
		s.reassignStored(now, j, nil)
	}
}

// returnTasks returns up to limit waiting tasks to their home VM, and reports how many. Tasks of steps that
// depend on each other stay together, as only their holder knows which have completed: all that are left are returned
// at once, when none runs, or none.
func (s *Shard) returnTasks(now time.Duration, j *job, limit int) int {
	dependent := len(j.steps) > 1
	if dependent && (!j.isIdle() || j.tasksLeft > limit) {
		return 0
	}
	var leaving []*task
	for _, t := range j.tasks {
		if len(leaving) < limit && s.mayReturn(t) {
			leaving = append(leaving, t)
		}
	}
	if dependent && len(leaving) < j.tasksLeft {
		return 0
	}
	for _, t := range leaving {
		j.returned = append(j.returned, ReturnedTask{Task: t.ref.Task, Run: t.newestRun, Failures: t.failures, FailedRuns: t.failedRuns, Losses: t.losses})
		j.closeTask(t, taskElsewhere)
		s.recordReturn(now, t)
	}
	switch {
	case len(leaving) == 0:
	case j.tasksLeft == 0:
		s.finish(now, j)
	default:
		s.reportState(j)
	}
	return len(leaving)
}

// mayReturn reports whether a task may go to another shard: it waits, and no run of it may be left here. Suspects stay,
// so that they crash no workers of another domain, unless this one is evacuated.
func (s *Shard) mayReturn(t *task) bool {
	return t.state == taskWaiting && !t.job.hasStrayRun(t) && (s.evacuated || !s.isSuspect(t))
}

// isIdle reports whether none of its tasks runs or may be running.
func (j *job) isIdle() bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.occupies() || t.state == taskUnlocated || j.hasStrayRun(t) })
}

// areLossOutcomesKnown reports whether all its tasks may start as far as their losses are concerned.
func (s *Shard) areLossOutcomesKnown(now time.Duration, j *job) bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == taskWaiting && !s.lossOutcomeKnown(now, t) })
}

// reassignStored has a stored submission stored under another shard once none of its tasks runs here: any other one, or
// one that can run one of the stranded steps. Only this shard can learn whether the workers that it has lost here have
// ended.
func (s *Shard) reassignStored(now time.Duration, j *job, stranded []int) {
	if j.reassigning || j.saving || now < j.reassignAt || !j.isIdle() || !s.areLossOutcomesKnown(now, j) {
		return
	}
	j.reassigning = true
	rec := *j.rec
	rec.Progress = j.progress()
	rec.Progress.Attempts = nil // they name tokens of this shard
	for _, t := range j.tasks {
		rec.MaxRunElsewhere = max(rec.MaxRunElsewhere, t.newestRun)
	}
	s.actions.Reassigns = append(s.actions.Reassigns, ReassignAction{Record: &rec, Revision: j.revision, Stranded: stranded})
}

// Reassigned records that a submission is stored under another shard at the given revision.
func (s *Shard) Reassigned(now time.Duration, id submission.ID, revision uint64) {
	j, open := s.jobs[id]
	if !open || !j.reassigning {
		return
	}
	j.endStored = true // its progress is in the record that names the other shard
	s.recentlyEnded[id] = endedJob{reassignedRevision: revision, leaseLimit: NoLeaseLimit, at: now}
	s.acknowledge()
	delete(s.jobs, id)
}

// ReassignFailed records that a submission stays here for now, and is to be reassigned later.
func (s *Shard) ReassignFailed(now time.Duration, id submission.ID) {
	if j, open := s.jobs[id]; open {
		j.reassigning = false
		j.reassignAt = now + reassignRetryInterval
		if j.strandedSince > 0 {
			j.reassignAt = now + strandedRetryInterval
		}
		s.placementDue = true
	}
}
