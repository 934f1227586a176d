package policy

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Work holds the properties of a submission that its admission and its place in the queue
// depend on.
type Work struct {
	ID            submission.ID
	Priority      int           // of its queue; lower values are served first
	ReceivedAt    time.Duration // time since boot
	Objective     time.Duration // time after ReceivedAt within which it should be done
	RunTime       time.Duration // time that it still takes if its tasks start now
	CallerTimeout time.Duration // how long its caller waits after ReceivedAt; 0: not known
	Started       bool          // a task of it was sent to a worker
	RemainingWork float64       // of the tasks that can start and have not, in core-seconds; 0: not set
	Standing      Standing      // of its group
}

// LatenessBand says whether a submission can still be done within its objective.
type LatenessBand uint8

// The bands, in the order in which they are served.
const (
	InTime  LatenessBand = iota
	Late                 // after its objective, but within submission.LateFactor times it
	TooLate              // later still, and of little use to its caller
)

// Band returns the band of the submission if it starts at the given time.
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

// Urgency is the sort key of a submission in the queue of its shard.
type Urgency struct {
	band     LatenessBand
	priority int
	standing Standing
	size     int // see sizeRank
	deadline time.Duration
	id       submission.ID
}

// Urgency returns the sort key of a submission at the time now.
func (s *Settings) Urgency(now time.Duration, w *Work) Urgency {
	u := Urgency{priority: w.Priority, standing: w.Standing, deadline: w.ReceivedAt + w.Objective, id: w.ID}
	if s.Bands {
		u.band = w.Band(now)
	}
	if s.KeepBegun && w.Started {
		u.band, u.standing = InTime, WithinShare // its room is spent
	}
	if s.SmallFirst && w.RemainingWork > 0 {
		u.size = s.sizeRank(w)
	}
	return u
}

// sizeRank returns the place of a submission among others of its band and priority: the binary
// exponent of its remaining work, or the first place for the share SizeFloor of all submissions. Which
// ones these are depends on the ID alone, so all VMs and the next holder agree on it without state.
func (s *Settings) sizeRank(w *Work) int {
	if s.SizeFloor > 0 && float64(xxhash.Sum64String(string(w.ID))) < s.SizeFloor*math.MaxUint64 {
		return math.MinInt
	}
	_, exponent := math.Frexp(w.RemainingWork)
	return exponent
}

// Compare orders submissions, the most urgent first: by band, priority, standing of their groups,
// remaining work and deadline. The ID breaks ties, so that the order is the same each time.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(
		cmp.Compare(u.band, other.band),
		cmp.Compare(u.priority, other.priority),
		cmp.Compare(u.standing, other.standing),
		cmp.Compare(u.size, other.size),
		cmp.Compare(u.deadline, other.deadline),
		cmp.Compare(u.id, other.id),
	)
}
