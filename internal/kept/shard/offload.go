package shard

import (
	"slices"
	"time"
)

// Offload returns tasks of transient submissions that have waited here for minWait to their home VMs, which
// give them to other shards, and reports how many. The most urgent submission comes first. roomElsewhere
// reports how many tasks of the given size, in thousandths of a core, other shards have capacity for. It is
// called once, with the size of the task that is served next here, at least 1.
//
// A home VM knows the load of a shard with some ten milliseconds' delay, and a shard may lose its workers.
// Otherwise tasks would wait at a full shard, or at one without workers, until their caller's timeout while
// other shards have free capacity.
func (s *Shard) Offload(now, minWait time.Duration, roomElsewhere func(milli int64) int) int {
	ranked := s.byUrgency(now)
	if len(ranked) == 0 {
		return 0
	}
	returned, limit := 0, roomElsewhere(ranked[0].nextTaskSizeMilli())
	for _, j := range ranked {
		if returned >= limit {
			break
		}
		if j.rec.Transient && now-j.waitingSince() >= minWait {
			returned += s.returnTasks(now, j, limit-returned)
		}
	}
	return returned
}

// waitingSince returns since when a submission has waited for capacity: since this shard received it, or
// since the last of its waiting tasks was released.
func (j *job) waitingSince() time.Duration {
	since := j.receivedAt
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			since = max(since, t.stateSince)
		}
	}
	return since
}

// nextTaskSizeMilli returns the size of its first startable task, in thousandths of a core.
func (j *job) nextTaskSizeMilli() int64 {
	return j.tasks[slices.IndexFunc(j.tasks, j.isStartable)].step.SizeMilli()
}
