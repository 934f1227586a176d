package policy

import (
	"slices"
	"time"
)

// Progress is how far a run was seen to be. Its zero value is that of a run that was not
// seen yet.
type Progress struct {
	percent   int           // of its work, as its worker last said
	changedAt time.Duration // when it was first seen there
	seenAt    time.Duration // when it was last seen
}

// See takes what a worker says of a run, at the time when its answer came.
func (p *Progress) Update(now time.Duration, percent int) {
	if p.seenAt == 0 || percent != p.percent {
		p.percent = percent
		p.changedAt = now
	}
	p.seenAt = now
}

// A run whose progress does not change stands still. One that runs as expected gains
// stallWorkShare of its work in the time that is waited for. One that takes many times as long
// gains a percent in stallPercentFactor times what its percents took up to now; before its first it is
// given twice the time. Listings come each 250 ms, so less than minStallTime could be one that
// was missed.
const (
	stallWorkShare     = 0.3
	stallPercentFactor = 3
	minStallTime       = 300 * time.Millisecond
)

// IsStalled reports whether a run has made no progress for so long that its worker must be
// taken for hung: its tasks stand still while it answers calls. started is when it was
// started.
func (p Progress) IsStalled(started, expected time.Duration) bool {
	if p.seenAt == 0 || p.percent >= 100 {
		return false
	}
	within := max(minStallTime, time.Duration(stallWorkShare*float64(expected)))
	if p.percent == 0 {
		within *= 2
	} else {
		within = max(within, stallPercentFactor*(p.changedAt-started)/time.Duration(p.percent))
	}
	return p.seenAt-p.changedAt >= within
}

// minPercentToExtrapolate is the percent below which the rounding to whole ones weighs too much.
const minPercentToExtrapolate = 4

// Total is how long a run would take in all if it goes on as it did, known once it has made
// some progress. age is its age when it was last seen.
func (p Progress) EstimatedTotal(age time.Duration) (total time.Duration, known bool) {
	if p.percent < minPercentToExtrapolate || age <= 0 {
		return 0, false
	}
	return age * 100 / time.Duration(p.percent), true
}

// Age is the age of a run that was started at a time, when it was last seen.
func (p Progress) Age(started time.Duration) time.Duration { return p.seenAt - started }

// AdvancedAfter reports whether a run has made progress after another one did so last.
func (p Progress) AdvancedAfter(other Progress) bool {
	return p.changedAt > other.changedAt+minStallTime/2
}

// Run is a run under way, with what its siblings tell of the submission.
type Run struct {
	Total     time.Duration   // it would take in all, as it goes on
	Remaining time.Duration   // of that
	Siblings  []time.Duration // what tasks of the same step take or took on other workers
}

// A run is moved if it would be done sooner from the start on a worker like those of its
// siblings. Tasks of a step differ by a sixth and workers by a half; slowRunFactor is beyond
// both, so that only a sick worker's runs are moved. moveCost is for the stop, its listing
// and the new start.
const (
	slowRunFactor = 2.5
	moveCost      = 60 * time.Millisecond
)

// ShouldMove reports whether a run's worker holds it up, by what its siblings take elsewhere.
// Estimates are no ground for it: they are off by a half, and by the same factor for all
// tasks of a submission.
func (r Run) ShouldMove() bool {
	if len(r.Siblings) == 0 {
		return false
	}
	usual := median(r.Siblings)
	return float64(r.Total) > slowRunFactor*float64(usual) && r.Remaining > usual+moveCost
}

func median(d []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}
