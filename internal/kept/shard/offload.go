package shard

import (
	"slices"
	"time"
)

// Offload gives tasks that have waited here for a time, the most pressing first, back to their homes,
// which give them to other shards. room says how many tasks of a processor, in thousandths of a core,
// may go: the caller knows where others have room. It is asked for the task that is next here.
//
// What a home knows of a shard's room is some ten milliseconds old, and a shard may lose its workers:
// without it tasks wait at a full shard, or at one without workers, to the end of their caller's
// time beside others that are free.
func (s *Shard) Offload(now, waited time.Duration, room func(milli int64) int) int {
	ranked := s.byUrgency(now)
	if len(ranked) == 0 {
		return 0
	}
	given, most := 0, room(ranked[0].nextTaskCPU())
	for _, j := range ranked {
		if given >= most {
			break
		}
		if j.rec.Transient && now-j.waitingSince() >= waited {
			given += s.returnTasks(now, j, most-given)
		}
	}
	return given
}

// waitingSince is since when a submission has waited for room: since it came to this shard, or since a
// run of it was lost here.
func (j *job) waitingSince() time.Duration {
	since := j.receivedAt
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			since = max(since, t.stateSince)
		}
	}
	return since
}

// nextTaskCPU is the processor of its first task that may start, in thousandths of a core.
func (j *job) nextTaskCPU() int64 {
	return j.tasks[slices.IndexFunc(j.tasks, j.isStartable)].step.CPUMilli
}
