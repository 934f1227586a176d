package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Turns hands out the times at which refused callers come back, by the room that this VM has promised before: its share
// of the room of all VMs, divided into parts of a second. The zero value has promised nothing. It takes the place of
// RetrySchedule, whose callers come back together when they were refused together.
//
// Nothing in a request says that it comes back. So a turn is kept by how likely it finds room, at any VM, and not by
// recognising the caller: no more come back at a time than are refused in the mean.
type Turns struct {
	Offset   float64 // of this VM among all, from 0 to 1: the later part of the times that it tells
	overload overload
	promised [turnParts]time.Duration // work, on this VM's share of the room, by part
	first    int64                    // number of the earliest part in promised
	limit    time.Duration            // of the work that is promised for a part, since the present part began
	rate     float64                  // of refused work, as a share of the room, at the time of the last refusal
}

// Parameters of the turns.
const (
	turnPart       = 250 * time.Millisecond
	turnParts      = int(maxRetryAfter/turnPart) + 1
	turnRateMemory = 5 * time.Second // time constant of the rate of refused work
	minTurnShare   = 0.1             // of the room of a part that may be promised however little is refused
	turnMargin     = 1.25            // by which more may come back in a part than are refused in its time
	// maxEarliestTurn leaves some time before maxRetryAfter over which callers are spread in a long overload.
	maxEarliestTurn = maxRetryAfter / 2
)

// TurnOffset returns the offset of a VM. VMs refuse at the same moments, and without it would tell the same times.
func TurnOffset(vm string) float64 { return float64(xxhash.Sum64String(vm)) / math.MaxUint64 }

// RetryAfter returns after what time a refused caller should retry, in whole seconds. wait is the present waiting time
// of the shortest queue, work the time that the caller's work takes on this VM's share of the room.
//
// It is the first time after the queue and after the overload, if that does not last for too long, at which there is
// room left to promise; if there is none it is the last that can be told.
func (t *Turns) RetryAfter(now, wait, work time.Duration) time.Duration {
	t.forget(now)
	t.rate = t.rateAt(now) + float64(work)/float64(turnRateMemory)
	earliest := max(wait, min(overloadDurationFactor*t.overload.refused(now), maxEarliestTurn), minRetryAfter)
	earliest += time.Duration(t.Offset * float64(min(earliest, maxRetryAfter-maxEarliestTurn)))
	after := min((earliest + time.Second - 1).Truncate(time.Second), maxRetryAfter)
	for after < maxRetryAfter && *t.part(now + after) > 0 && *t.part(now + after)+work > t.limit {
		after += time.Second
	}
	*t.part(now + after) += work
	return after
}

// rateAt returns the rate of refused work.
func (t *Turns) rateAt(now time.Duration) float64 {
	return t.rate * math.Exp(-float64(now-t.overload.lastRefusal)/float64(turnRateMemory))
}

// part returns what is promised in the part of a time.
func (t *Turns) part(at time.Duration) *time.Duration {
	return &t.promised[int64(at/turnPart)%int64(turnParts)]
}

// forget drops the promises of parts that are over, and sets the limit when a part begins.
func (t *Turns) forget(now time.Duration) {
	first := int64(now / turnPart)
	if first == t.first {
		return
	}
	t.limit = time.Duration(max(turnMargin*t.rateAt(now), minTurnShare) * float64(turnPart))
	for n := max(t.first, first-int64(turnParts)); n < first; n++ {
		t.promised[n%int64(turnParts)] = 0
	}
	t.first = first
}
