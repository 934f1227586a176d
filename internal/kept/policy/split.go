package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// Candidate is a shard that could take tasks of a submission.
type Candidate struct {
	Shard       string
	InOwnDomain bool          // in this VM's failure domain
	Free        int           // number of tasks that can start now
	Capacity    int           // number of tasks that can run at a time, when nothing else runs
	Wait        time.Duration // time until one more task would start, if none can start now
	QueueTime   time.Duration // time that all queued work takes, including work that is served later
}

// Allocation is the number of a submission's tasks that go to a shard.
type Allocation struct {
	Shard string
	Tasks int
}

// Split decides how many of a number of equal tasks go to each shard; task is the duration of one.
//
// All tasks go to one shard if it can start them all now; the shard of this VM's failure domain is
// preferred while it keeps Settings.OwnReserve free. Otherwise each shard gets as many as it
// can start now, and the rest is queued so that all shards end at about the same time. Without the
// division a submission with many tasks would wait for its last ones at one shard while others have
// free capacity. Tasks that are not divisible all go to the shard that would start them first.
func (s *Settings) Split(shards []Candidate, tasks int, divisible bool, task time.Duration) []Allocation {
	if len(shards) == 0 || tasks == 0 {
		return nil
	}
	order := byFree(shards)
	if whole := s.fitWhole(order, tasks); whole != nil {
		return whole
	}
	if !divisible || tasks == 1 || !s.Spread {
		best := soonest(order, make([]int, len(order)), task)
		return []Allocation{{order[best].Shard, tasks}}
	}
	return spread(order, tasks, task)
}

// Fit decides how many of a number of equal tasks that may be divided go to each shard that can start them now, like
// Split. The tasks that no shard can start now are left out.
func (s *Settings) Fit(shards []Candidate, tasks int) []Allocation {
	if len(shards) == 0 || tasks == 0 {
		return nil
	}
	order := byFree(shards)
	if whole := s.fitWhole(order, tasks); whole != nil {
		return whole
	}
	var out []Allocation
	for _, c := range order {
		if n := min(c.Free, tasks); n > 0 {
			out = append(out, Allocation{c.Shard, n})
			tasks -= n
		}
	}
	return out
}

// byFree returns the shards sorted by free capacity, the largest first, and those without by when they would start one
// more task.
func byFree(shards []Candidate) []Candidate {
	order := slices.Clone(shards)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.QueueTime, b.QueueTime), cmp.Compare(a.Shard, b.Shard))
	})
	return order
}

// fitWhole gives all tasks to one shard that can start them all now; nil: there is none.
func (s *Settings) fitWhole(order []Candidate, tasks int) []Allocation {
	for _, c := range order {
		if c.InOwnDomain && float64(c.Free-tasks) >= s.OwnReserve*float64(c.Capacity) {
			return []Allocation{{c.Shard, tasks}}
		}
	}
	if order[0].Free >= tasks {
		return []Allocation{{order[0].Shard, tasks}}
	}
	return nil
}

// spread fills the free capacity of the shards in order and queues the remaining tasks one by one.
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

// soonest returns the index of the shard where one more task would start first, given how many were
// queued at each already. Of equal shards it takes the one with less queued work: the most urgent
// work waits nowhere, and would otherwise always go to the same shard.
func soonest(order []Candidate, queued []int, task time.Duration) int {
	best := -1
	var bestWait, bestQueue time.Duration
	for i, c := range order {
		added := timespan.Times(task, float64(queued[i])/float64(max(c.Capacity, 1)))
		wait, queue := c.Wait+added, c.QueueTime+added
		if c.Capacity == 0 {
			wait += time.Hour
		}
		if best < 0 || cmp.Or(cmp.Compare(wait, bestWait), cmp.Compare(queue, bestQueue)) < 0 {
			best, bestWait, bestQueue = i, wait, queue
		}
	}
	return best
}
