package vm

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a shard that could take tasks.
type candidate struct {
	shard   string
	own     bool // of this VM's failure domain
	free    int  // tasks that fit now
	room    int  // tasks that fit in all
	backlog time.Duration
}

// portion is the number of a submission's tasks that a shard gets.
type portion struct {
	shard string
	tasks int
}

// ownReserve is the share of its room that a shard keeps free of its neighbours'
// balance: above it the own failure domain is taken, as it is nearer and cannot be
// cut off from this VM.
const ownReserve = 0.1

// split decides which shards get how many of equal tasks. All go to one shard if one
// has room for them. Otherwise those that fit nowhere are spread so that all shards
// end at about the same time; each is task long. Without the spread a wide submission
// waits for its last tasks in one shard while others have room.
func split(shards []candidate, tasks int, divisible bool, task time.Duration) []portion {
	if len(shards) == 0 || tasks == 0 {
		return nil
	}
	order := slices.Clone(shards)
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.backlog, b.backlog), cmp.Compare(a.shard, b.shard))
	})
	for _, c := range order {
		if c.own && float64(c.free-tasks) >= ownReserve*float64(c.room) {
			return []portion{{c.shard, tasks}}
		}
	}
	if order[0].free >= tasks {
		return []portion{{order[0].shard, tasks}}
	}
	if !divisible || tasks == 1 {
		return []portion{{soonest(order, make([]int, len(order)), task), tasks}}
	}
	return spread(order, tasks, task)
}

func spread(order []candidate, tasks int, task time.Duration) []portion {
	given := make([]int, len(order))
	left := tasks
	for i, c := range order {
		given[i] = min(c.free, left)
		left -= given[i]
	}
	queued := make([]int, len(order))
	for ; left > 0; left-- {
		name := soonest(order, queued, task)
		i := slices.IndexFunc(order, func(c candidate) bool { return c.shard == name })
		queued[i]++
		given[i]++
	}
	var out []portion
	for i, c := range order {
		if given[i] > 0 {
			out = append(out, portion{c.shard, given[i]})
		}
	}
	return out
}

// soonest is the shard where one more task would begin first.
func soonest(order []candidate, queued []int, task time.Duration) string {
	best, bestWait := "", time.Duration(0)
	for i, c := range order {
		wait := c.backlog + task*time.Duration(queued[i])/time.Duration(max(c.room, 1))
		if c.room == 0 {
			wait += time.Hour
		}
		if best == "" || wait < bestWait {
			best, bestWait = c.shard, wait
		}
	}
	return best
}
