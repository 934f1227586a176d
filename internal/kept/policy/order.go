package policy

import (
	"cmp"
	"math"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Work is what the order and the admission of a submission depend on.
type Work struct {
	ID            submission.ID
	Priority      int           // of its queue; 0 comes first
	ReceivedAt    time.Duration // when it came
	Objective     time.Duration // in which it should be done, since it came
	RunTime       time.Duration // if all its tasks start now
	CallerTimeout time.Duration // how long its caller waits, since it came; 0: not known
	Started       bool          // a task of it was given to a worker
	RemainingWork float64       // work of the tasks that have not started, cores times seconds
}

// Band says whether a submission can still be done in time.
type LatenessBand uint8

// The bands, in the order in which they are served.
const (
	InTime  LatenessBand = iota
	Late                 // within submission.LateFactor times its objective
	TooLate              // of little use to its caller
)

// Band returns the band of a submission that would start at a time.
func (w *Work) Band(start time.Duration) LatenessBand {
	switch ends := start + w.RunTime; {
	case ends <= w.ReceivedAt+w.Objective:
		return InTime
	case ends <= w.ReceivedAt+submission.LateFactor*w.Objective:
		return Late
	default:
		return TooLate
	}
}

// Urgency is a submission's place in the order of its shard.
type Urgency struct {
	band     LatenessBand
	priority int
	size     int // of the work left, as a power of two
	deadline time.Duration
	id       submission.ID
}

// Urgency returns the place of a submission in the order of its shard, now.
func (s *Settings) Urgency(now time.Duration, w *Work) Urgency {
	u := Urgency{priority: w.Priority, deadline: w.ReceivedAt + w.Objective, id: w.ID}
	if s.Bands {
		u.band = w.Band(now)
	}
	if s.KeepBegun && w.Started {
		u.band = InTime
	}
	if s.SmallFirst && w.RemainingWork > 0 {
		_, u.size = math.Frexp(w.RemainingWork)
	}
	return u
}

// Compare orders submissions, the most pressing first: by band, by priority, by the size of
// what is left, then by the objective's end. The identity decides between equals, so that
// the order is the same each time.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(
		cmp.Compare(u.band, other.band),
		cmp.Compare(u.priority, other.priority),
		cmp.Compare(u.size, other.size),
		cmp.Compare(u.deadline, other.deadline),
		cmp.Compare(u.id, other.id),
	)
}
