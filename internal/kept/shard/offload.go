package shard

import "time"

// Offload gives up to so many tasks that have waited here for a time, the most pressing first, back
// to their homes, which give them to other shards. The caller knows that others have room.
//
// What a home knows of a shard's room is some ten milliseconds old, and a shard may lose its workers:
// without it tasks wait at a full shard, or at one without workers, to the end of their caller's
// time beside others that are free.
func (s *Shard) Offload(now, waited time.Duration, most int) int {
	given := 0
	for _, j := range s.byUrgency(now) {
		if given >= most {
			break
		}
		if j.rec.Transient && now-j.waitsSince() >= waited {
			given += s.handBack(now, j, most-given)
		}
	}
	return given
}

// waitsSince is since when a submission has waited for room: since it came to this shard, or since a
// run of it was lost here.
func (j *job) waitsSince() time.Duration {
	since := j.here
	for _, t := range j.tasks {
		if t.state == waiting {
			since = max(since, t.since)
		}
	}
	return since
}

// Waits returns the processor of the task that is served next when there is room, in thousandths of
// a core; 0: nothing waits.
func (s *Shard) Waits(now time.Duration) int64 {
	for _, j := range s.byUrgency(now) {
		for _, t := range j.tasks {
			if j.startable(t) {
				return t.step.CPUMilli
			}
		}
	}
	return 0
}
