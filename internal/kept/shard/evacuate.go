package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// reassignRetryInterval is between two tries to store a submission under another shard.
const reassignRetryInterval = 300 * time.Millisecond

// SetEvacuated says whether anything may start in the shard's failure domain.
//
// What runs there goes on to its end. An order that is on its way is void some time later by its own
// deadline, and one without an answer is asked for and made void as always. When the domain is used
// again, its workers may be cold, all at once, so each takes more work only as it shows that it can
// do it.
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

// giveAwayIfEvacuated gives what waits in an evacuated domain to other shards: without it work waits for room
// that it cannot get, while its caller's time passes and others have room.
func (s *Shard) giveAwayIfEvacuated(now time.Duration, j *job) {
	switch {
	case !s.evacuated, j.state.Final():
	case j.rec.Transient:
		s.returnTasks(now, j, len(j.tasks))
	default:
		s.reassignStored(now, j)
	}
}

// returnTasks gives up to so many tasks that certainly do not run back to their home, and returns how
// many. Steps that wait for each other stay together, as only their holder knows which have
// completed: they go once none runs.
func (s *Shard) returnTasks(now time.Duration, j *job, most int) int {
	if len(j.steps) > 1 && (!j.isIdle() || j.tasksLeft > most) {
		return 0
	}
	before := len(j.returned)
	for _, t := range j.tasks {
		// A suspect takes down no worker of another domain.
		if t.state == taskWaiting && len(j.returned)-before < most && (s.evacuated || !s.isSuspect(t)) {
			j.returned = append(j.returned, ReturnedTask{Task: t.ref.Task, Run: t.newestRun, FailedRuns: t.failures, Losses: t.losses})
			j.closeTask(t, taskElsewhere)
		}
	}
	switch {
	case len(j.returned) == before:
	case j.tasksLeft == 0:
		s.finish(now, j)
	default:
		s.reportState(j)
	}
	return len(j.returned) - before
}

// isIdle reports whether no task of it runs, or may run.
func (j *job) isIdle() bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.occupies() || t.state == taskUnlocated })
}

// reassignStored has a stored submission written under another shard once nothing of it runs here.
func (s *Shard) reassignStored(now time.Duration, j *job) {
	if j.reassigning || j.saving || now < j.reassignAt || !j.isIdle() {
		return
	}
	j.reassigning = true
	rec := *j.rec
	rec.Progress = j.progress()
	for _, t := range j.tasks {
		rec.MaxRunElsewhere = max(rec.MaxRunElsewhere, t.newestRun)
	}
	s.actions.Reassigns = append(s.actions.Reassigns, ReassignAction{Record: &rec, Revision: j.revision})
}

// Moved says that a submission is stored under another shard at a revision.
func (s *Shard) Reassigned(now time.Duration, id submission.ID, revision uint64) {
	j, open := s.jobs[id]
	if !open || !j.reassigning {
		return
	}
	j.endStored = true // its ends are in the record that names the other shard
	s.recentlyEnded[id] = endedJob{reassignedRevision: revision, at: now}
	s.acknowledge()
	delete(s.jobs, id)
}

// ReassignFailed says that a submission stays here for now.
func (s *Shard) ReassignFailed(now time.Duration, id submission.ID) {
	if j, open := s.jobs[id]; open {
		j.reassigning = false
		j.reassignAt = now + reassignRetryInterval
		s.placementDue = true
	}
}
