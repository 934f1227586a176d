package policy

import (
	"cmp"
	"time"
)

// Placement is a worker that a task could be started on.
type Placement struct {
	Health        *WorkerHealth
	DataElsewhere bool          // the task's data is in another rack
	FailedBefore  bool          // the task failed there, or was moved away from it
	RunTime       time.Duration // of the task on a worker of the usual speed; 0: not known
	Left          time.Duration // until the end of the objective of the task's submission
}

// Rank ranks workers for a task.
type Rank struct {
	Late bool    // the task is likely to miss its objective there, though not on a faster worker
	Cost float64 // roughly the factor by which the task takes longer there than usual
}

// Compare orders ranks, the best first.
func (r Rank) Compare(other Rank) int {
	if r.Late != other.Late {
		if other.Late {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.Cost, other.Cost)
}

// Rank ranks a worker for a task. A task that would be late on any worker is late on none: it has nothing to gain by
// waiting for a faster one.
func (s *Settings) Rank(p Placement) Rank {
	cost := s.slowness(p.Health)
	if p.DataElsewhere {
		cost *= remoteCostFactor
	}
	if p.Health.failureStreak > 0 {
		cost *= failingCostFactor
	}
	if p.FailedBefore {
		cost *= failedBeforeCostFactor
	}
	rank := Rank{Cost: float64(int(cost * costSteps))}
	if s.MatchSpeed && p.RunTime > 0 && cost > 1 {
		share := float64(p.Left) / float64(p.RunTime)
		rank.Late = share >= minSlowness && share < cost*lateMargin
	}
	return rank
}

// slowness returns the factor by which runs on a worker take longer than usual.
func (s *Settings) slowness(h *WorkerHealth) float64 {
	switch {
	case !s.FastFirst:
		return 1
	case s.LearnSpeed:
		return max(h.Speed.Slowness(), minSlowness)
	case h.slowness == 0:
		return 1
	default:
		return max(h.slowness, minSlowness)
	}
}

const (
	remoteCostFactor       = 1.5 // factor of a task's duration away from its data, by the platform's figures
	failedBeforeCostFactor = 100 // makes the worker the last choice
	lateMargin             = 1.0 // a task with less than this times its run time left is likely to be late
	costSteps              = 5   // costs are rounded to fifths: smaller differences are noise
)
