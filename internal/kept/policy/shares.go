package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// Group is one of the groups of submissions that share the room of their priority.
type Group struct {
	Priority int
	Queue    string
	Callers  string // failure domain of the entry VM that received it
}

// Standing says what a group has been served against its share of the room, which is an equal one; what groups
// that ask for less leave is shared by the others.
type Standing uint8

// The standings, in the order in which groups of a priority are served.
const (
	WithinShare Standing = iota // asks for no more than its share, and has not got its floor yet
	BelowShare                  // asks for more, and has not got its floor yet
	AboveFloor
)

var standingNames = [...]string{"within share", "below share", "above floor"}

func (s Standing) String() string { return standingNames[s] }

// shareMemory is the time constant with which service is forgotten: several times what a submission waits, so that
// the service counts that delays those that wait, and not more.
const shareMemory = time.Second

// Shares measures what groups are served. The zero value has seen nothing. It is not safe for concurrent use.
type Shares struct {
	served decaying[Group] // core time in nanoseconds
}

// leastServed is the core time below which a group counts as not served.
const leastServed = float64(time.Microsecond)

// CoreTime returns the time that one core would take for the work of tasks.
func CoreTime(tasks int, cpuMilli int64, runTime time.Duration) time.Duration {
	return timespan.OfNanos(float64(tasks) * float64(cpuMilli) / 1000 * float64(runTime))
}

// Add records that a task of a group has started.
func (s *Shares) Add(now time.Duration, g Group, coreTime time.Duration) {
	s.served.decay(now, shareMemory, leastServed)
	s.served.add(g, float64(coreTime))
}

// Standings returns the standing of the groups whose work waits, in core time, other than WithinShare. A group asks
// for what it was served lately and what waits. The floor is a share of what it is due, from 0 to 1.
//
// While nothing is known of what was served, as after a change of the holder, all are AboveFloor and none comes first.
func (s *Shares) Standings(now time.Duration, floor float64, waiting map[Group]time.Duration) map[Group]Standing {
	s.served.decay(now, shareMemory, leastServed)
	asked := make(map[int][]float64) // by priority
	for g, served := range s.served.sums {
		asked[g.Priority] = append(asked[g.Priority], served+float64(waiting[g]))
	}
	room := make(map[int]float64)
	for g, w := range waiting {
		if _, known := s.served.sums[g]; !known {
			asked[g.Priority] = append(asked[g.Priority], float64(w))
		}
		room[g.Priority] -= float64(w)
	}
	due := make(map[int]float64, len(asked))
	for p := range asked {
		slices.Sort(asked[p])
		for _, a := range asked[p] {
			room[p] += a
		}
		due[p] = equalShare(room[p], asked[p])
	}
	out := make(map[Group]Standing, len(waiting))
	for g, w := range waiting {
		served, share := s.served.sums[g], due[g.Priority]
		switch ask := served + float64(w); {
		case served >= floor*min(ask, share):
			out[g] = AboveFloor
		case ask > share:
			out[g] = BelowShare
		}
	}
	return out
}

// equalShare returns the share with which groups that get what they ask for, but no more than it, use all room. asked
// is sorted.
func equalShare(room float64, asked []float64) float64 {
	for i, a := range asked {
		if share := room / float64(len(asked)-i); a >= share {
			return max(share, 0)
		}
		room -= a
	}
	return math.Inf(1)
}

// Compare orders groups by priority, queue and failure domain.
func (g Group) Compare(other Group) int {
	return cmp.Or(cmp.Compare(g.Priority, other.Priority), cmp.Compare(g.Queue, other.Queue), cmp.Compare(g.Callers, other.Callers))
}
