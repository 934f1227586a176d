package shard

import (
	"math"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A worker's lease covers everything that runs there, and whoever calls the worker extends it. So that no run of a transient
// submission outlives the time after which its caller may have submitted it again, a lease ends at the latest
// leaseAfterConfirmation after the oldest word of a home VM that it still waits for one of these runs. See
// docs/design/leases.md.

const (
	// MaxRenewal is the longest time by which a lease is extended.
	MaxRenewal = time.Second
	// leaseAfterConfirmation runs from when the question was sent that the home VM has answered. Callers submit again 1.3 s
	// after their home VM has given up, or their connection to it has broken.
	leaseAfterConfirmation = 1200 * time.Millisecond
	// maxConfirmationAgeAtStart is the age of a confirmation with which a task may start: the lease of its worker may just
	// have been extended by MaxRenewal.
	maxConfirmationAgeAtStart = leaseAfterConfirmation - MaxRenewal
	// minLeaseAtStart is for how long the lease of a worker that gets a task can be extended at least: until the second
	// renewal after the start.
	minLeaseAtStart = 400 * time.Millisecond
)

// NoLeaseLimit is the limit of a lease that may be extended at any time.
const NoLeaseLimit = time.Duration(math.MaxInt64)

// LeaseLimit returns the time until which the lease of a worker may be extended at most; 0 if not at all, as something
// may run there of which nothing is known.
func (s *Shard) LeaseLimit(id string) time.Duration {
	if h, known := s.workers[id]; known {
		return h.leaseLimit
	}
	return 0
}

// updateLeaseLimits sets the limits of all workers' leases.
func (s *Shard) updateLeaseLimits(now time.Duration) {
	for id, h := range s.workers {
		before := h.leaseLimit
		h.leaseLimit = s.limitOfStrayRuns(id, h)
		s.placementDue = s.placementDue || before < now+minLeaseAtStart && h.leaseLimit >= now+minLeaseAtStart
	}
	for _, j := range s.jobs {
		limit := j.leaseLimit()
		if limit == NoLeaseLimit {
			continue
		}
		for _, t := range j.tasks {
			if t.occupies() {
				t.host.leaseLimit = min(t.host.leaseLimit, limit)
			}
		}
	}
}

// limitOfStrayRuns returns the limit for the runs that a worker lists and that are not those of tasks here.
func (s *Shard) limitOfStrayRuns(id string, h *host) time.Duration {
	limit := NoLeaseLimit
	if !h.hasAnswered {
		early, listed := s.earlyListings[id]
		if !listed {
			return 0
		}
		for _, r := range early.listing.Running {
			limit = min(limit, s.limitOfRun(r.Task))
		}
		return limit
	}
	for ref := range h.strayRuns {
		limit = min(limit, s.limitOfRun(ref))
	}
	return limit
}

// limitOfRun returns the limit for a run that a worker lists. The submission may be unknown here, or another attempt than that
// of the run may be here with other tasks.
func (s *Shard) limitOfRun(ref submission.TaskRef) time.Duration {
	j, open := s.jobs[ref.ID]
	if open && (j.task(ref.Task) != nil || j.leaseLimit() == NoLeaseLimit) {
		return j.leaseLimit()
	}
	return s.recentlyEnded[ref.ID].leaseLimit
}

// leaseLimit returns the time until which leases may be extended at which a task of the submission runs.
func (j *job) leaseLimit() time.Duration {
	if !j.rec.Transient || !j.rec.HomeAnswers {
		return NoLeaseLimit
	}
	return j.confirmation.at + leaseAfterConfirmation
}
