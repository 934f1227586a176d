package policy

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a shard that could take tasks of a submission.
type Candidate struct {
	Shard       string
	InOwnDomain bool          // of this VM's failure domain
	Free        int           // tasks that fit now
	Capacity    int           // tasks that fit in all
	Wait        time.Duration // until one more task would start, if none fits now
	QueueTime   time.Duration // that all that waits there takes, also what is served later
}

// Portion is the number of a submission's tasks that a shard gets.
type Allocation struct {
	Shard string
	Tasks int
}

// Split decides which shards get how many of equal tasks. All go to one shard if one
// has room for them. Otherwise those that fit nowhere are spread so that all shards
// end at about the same time; each is task long. Without the spread a wide submission
// waits for its last tasks in one shard while others have room.
func (s *Settings) Split(shards []Candidate, tasks int, divisible bool, task time.Duration) []Allocation {
	if len(shards) == 0 || tasks == 0 {
		return nil
	}
	order := slices.Clone(shards)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.QueueTime, b.QueueTime), cmp.Compare(a.Shard, b.Shard))
	})
	for _, c := range order {
		if c.InOwnDomain && float64(c.Free-tasks) >= s.OwnReserve*float64(c.Capacity) {
			return []Allocation{{c.Shard, tasks}}
		}
	}
	if order[0].Free >= tasks {
		return []Allocation{{order[0].Shard, tasks}}
	}
	if !divisible || tasks == 1 || !s.Spread {
		best := soonest(order, make([]int, len(order)), task)
		return []Allocation{{order[best].Shard, tasks}}
	}
	return spread(order, tasks, task)
}

func spread(order []Candidate, tasks int, task time.Duration) []Allocation {
	given := make([]int, len(order))
	left := tasks
	for i, c := range order {
		given[i] = min(c.Free, left)
		left -= given[i]
	}
	queued := make([]int, len(order))
	for ; left > 0; left-- {
		i := soonest(order, queued, task)
		queued[i]++
		given[i]++
	}
	var out []Allocation
	for i, c := range order {
		if given[i] > 0 {
			out = append(out, Allocation{c.Shard, given[i]})
		}
	}
	return out
}

// soonest is the index of the shard where one more task would begin first. Of equal ones it is the one
// with less to do in all: what comes first everywhere would otherwise always go to the same
// shard.
func soonest(order []Candidate, queued []int, task time.Duration) int {
	best := -1
	var bestWait, bestQueue time.Duration
	for i, c := range order {
		mine := task * time.Duration(queued[i]) / time.Duration(max(c.Capacity, 1))
		wait, queue := c.Wait+mine, c.QueueTime+mine
		if c.Capacity == 0 {
			wait += time.Hour
		}
		if best < 0 || cmp.Or(cmp.Compare(wait, bestWait), cmp.Compare(queue, bestQueue)) < 0 {
			best, bestWait, bestQueue = i, wait, queue
		}
	}
	return best
}
