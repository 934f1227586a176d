package policy

import (
	"slices"
	"time"
)

// Progress is how far a run was seen to be. Its zero value is that of a run that was not
// seen yet.
type Progress struct {
	percent int           // of its work, as its worker last said
	since   time.Duration // when it was first seen there
	at      time.Duration // when it was last seen
}

// See takes what a worker says of a run, at the time when its answer came.
func (p *Progress) See(now time.Duration, percent int) {
	if p.at == 0 || percent != p.percent {
		p.percent = percent
		p.since = now
	}
	p.at = now
}

// A run whose progress does not change stands still. One that runs as expected gains
// stillShare of its work in the time that is waited for. One that takes many times as long
// gains a percent in stillSteps times what its percents took up to now; before its first it is
// given twice the time. Listings come each 250 ms, so less than stillLeast could be one that
// was missed.
const (
	stillShare = 0.3
	stillSteps = 3
	stillLeast = 300 * time.Millisecond
)

// StandsStill reports whether a run has made no progress for so long that its worker must be
// taken for hung: its tasks stand still while it answers calls. started is when it was
// started.
func (p Progress) StandsStill(started, expected time.Duration) bool {
	if p.at == 0 || p.percent >= 100 {
		return false
	}
	within := max(stillLeast, time.Duration(stillShare*float64(expected)))
	if p.percent == 0 {
		within *= 2
	} else {
		within = max(within, stillSteps*(p.since-started)/time.Duration(p.percent))
	}
	return p.at-p.since >= within
}

// seenLeast is the percent below which the rounding to whole ones weighs too much.
const seenLeast = 4

// Total is how long a run would take in all if it goes on as it did, known once it has made
// some progress. age is its age when it was last seen.
func (p Progress) Total(age time.Duration) (total time.Duration, known bool) {
	if p.percent < seenLeast || age <= 0 {
		return 0, false
	}
	return age * 100 / time.Duration(p.percent), true
}

// Age is the age of a run that was started at a time, when it was last seen.
func (p Progress) Age(started time.Duration) time.Duration { return p.at - started }

// MovedAfter reports whether a run has made progress after another one did so last.
func (p Progress) MovedAfter(other Progress) bool { return p.since > other.since+stillLeast/2 }

// Run is a run under way, with what its siblings tell of the submission.
type Run struct {
	Total    time.Duration   // it would take in all, as it goes on
	Left     time.Duration   // of that
	Siblings []time.Duration // what tasks of the same step take or took on other workers
}

// A run is moved if it would be done sooner from the start on a worker like those of its
// siblings. Tasks of a step differ by a sixth and workers by a half; slowMost is beyond
// both, so that only a sick worker's runs are moved. moveCost is for the stop, its listing
// and the new start.
const (
	slowMost = 2.5
	moveCost = 60 * time.Millisecond
)

// IsHeldUp reports whether a run's worker holds it up, by what its siblings take elsewhere.
// Estimates are no ground for it: they are off by a half, and by the same factor for all
// tasks of a submission.
func (r Run) IsHeldUp() bool {
	if len(r.Siblings) == 0 {
		return false
	}
	usual := median(r.Siblings)
	return float64(r.Total) > slowMost*float64(usual) && r.Left > usual+moveCost
}

func median(d []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}
