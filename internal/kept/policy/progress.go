package policy

import "time"

// Progress is the progress of a run as its worker reported it. The zero value means that nothing
// was reported yet.
type Progress struct {
	percent   int           // of its work, as last reported
	changedAt time.Duration // when this percentage was first reported
	seenAt    time.Duration // when the last report came
}

// Update records a report of the run. now is the time when the worker's answer came.
func (p *Progress) Update(now time.Duration, percent int) {
	if p.seenAt == 0 || percent != p.percent {
		p.percent = percent
		p.changedAt = now
	}
	p.seenAt = now
}

// A run counts as stalled if its progress has not changed for the longest of three times:
//   - the time in which a run of the expected duration does stallWorkShare of its work;
//   - stallPercentFactor times what one percent has taken so far, for runs that take many times
//     as long as expected;
//   - minStallTime, as listings come every 250 ms and one may be missed.
//
// Before its first percent a run gets twice the longer of the first and the last.
const (
	stallWorkShare     = 0.3
	stallPercentFactor = 3
	minStallTime       = 300 * time.Millisecond
)

// IsStalled reports whether a run has made no progress for so long that its worker is considered
// hung: it answers calls, but its tasks make no progress. started is when the run was started.
func (p Progress) IsStalled(started, expected time.Duration) bool {
	if p.seenAt == 0 || p.percent >= 100 {
		return false
	}
	timeout := max(minStallTime, time.Duration(stallWorkShare*float64(expected)))
	if p.percent == 0 {
		timeout *= 2
	} else {
		timeout = max(timeout, stallPercentFactor*(p.changedAt-started)/time.Duration(p.percent))
	}
	return p.seenAt-p.changedAt >= timeout
}

// minPercentToExtrapolate is the progress below which rounding to whole percents makes an
// extrapolation too inexact.
const minPercentToExtrapolate = 4

// EstimatedTotal extrapolates how long the run takes in all if it goes on at its present rate. age
// is its age at the last report. known is false until the run has done enough of its work.
func (p Progress) EstimatedTotal(age time.Duration) (total time.Duration, known bool) {
	if p.percent < minPercentToExtrapolate || age <= 0 {
		return 0, false
	}
	return age * 100 / time.Duration(p.percent), true
}

// Age is the age, at the last report, of a run that was started at the given time.
func (p Progress) Age(started time.Duration) time.Duration { return p.seenAt - started }

// AdvancedAfter reports whether the run has made progress since the other one last did.
func (p Progress) AdvancedAfter(other Progress) bool {
	return p.changedAt > other.changedAt+minStallTime/2
}

// slowRunFactor is beyond the differences between the tasks of a step and between sound workers. moveCost is the
// time for the stop, the listing that confirms it and the new start.
const (
	slowRunFactor = 2.5
	moveCost      = 60 * time.Millisecond
)
