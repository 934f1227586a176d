package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
)

// group returns the group that shares the room of its priority with others.
func (s *Shard) group(j *job) policy.Group {
	g := policy.Group{Priority: j.rec.Terms.Priority, Queue: j.rec.Queue}
	if s.settings.DomainOf != nil {
		g.Callers = s.settings.DomainOf(j.rec.Home)
	}
	return g
}

// standing returns the standing of a submission's group when the submissions were last ordered.
func (s *Shard) standing(j *job) policy.Standing {
	if s.settings.Shares == nil {
		return policy.WithinShare
	}
	return s.standings[s.group(j)]
}

// setStandings sets the standings of the groups with waiting tasks.
func (s *Shard) setStandings(now time.Duration) {
	if s.settings.Shares == nil {
		return
	}
	waiting := make(map[policy.Group]time.Duration)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if j.isStartable(t) {
				waiting[s.group(j)] += policy.CoreTime(1, t.step.CPUMilli, s.expectedRunTime(t))
			}
		}
	}
	s.standings = s.settings.Shares.Standings(now, s.settings.Policy.ShareFloor, waiting)
}

// SeenBy returns queued work as a group sees it that may have a better standing: work of a standing that comes after
// it counts as of the next priority.
func SeenBy(g policy.Group, queued []QueuedWork, standings map[policy.Group]policy.Standing) []QueuedWork {
	if len(standings) == 0 {
		return queued
	}
	out := slices.Clone(queued)
	for i := range out {
		if out[i].Priority == g.Priority && out[i].Standing > standings[g] {
			out[i].Priority++
		}
	}
	return out
}

// recordService counts a task that starts as served.
func (s *Shard) recordService(now time.Duration, t *task) {
	if s.settings.Shares != nil {
		s.settings.Shares.Add(now, s.group(t.job), policy.CoreTime(1, t.step.CPUMilli, s.expectedRunTime(t)))
	}
}
