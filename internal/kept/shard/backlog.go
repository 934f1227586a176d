package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// WaitingWork is work that waits for workers outside the queues of their shards.
type WaitingWork struct {
	Queued        []QueuedWork
	CapacityMilli int64 // CPU of these workers, in thousandths of a core
}

// Backlog sums the loads of the shards that can take a submission, and what else waits for their workers, for its
// forecast. Tasks move between shards, so the capacity of all serves the queues of all. Capacity that is free
// while work waits is left out: whole tasks do not fit there. cpuMilli is the CPU of its largest task, in
// thousandths of a core.
func Backlog(loads []*Load, waiting []WaitingWork, priority int, cpuMilli int64) policy.Backlog {
	var b policy.Backlog
	var capacity, overtaking, arriving int64
	queues := slices.Clone(waiting)
	for _, l := range loads {
		capacity += l.usedCapacity(len(waiting) > 0)
		b.FreeSlots += l.FreeSlots(cpuMilli, 0)
		queues = append(queues, WaitingWork{Queued: l.Queued, CapacityMilli: l.CapacityMilli})
		for _, a := range l.Arriving {
			arriving += a.CPUMilli
			if a.Priority < priority {
				overtaking += a.CPUMilli
			}
		}
	}
	if capacity <= 0 {
		return b
	}
	for _, q := range queues {
		share := float64(q.CapacityMilli) / float64(capacity)
		addQueued(&b, q.Queued, share, priority)
	}
	b.Overtaking = float64(overtaking) / float64(capacity)
	b.Arriving = float64(arriving) / float64(capacity)
	return b
}

// OwnWork returns the time in which the workers of all shards together do the tasks of a submission but one. cpuMilli is
// the CPU of a task in thousandths of a core.
func OwnWork(loads []*Load, tasks int, cpuMilli int64, runTime time.Duration) time.Duration {
	var capacity int64
	for _, l := range loads {
		capacity += l.CapacityMilli
	}
	return timespan.Times(runTime, float64(tasks-1)*float64(cpuMilli)/float64(max(capacity, 1)))
}

// addQueued adds the work of a queue whose workers have a share of the capacity.
func addQueued(b *policy.Backlog, queued []QueuedWork, share float64, priority int) {
	for _, q := range queued {
		work := timespan.Times(q.DrainTime, share)
		switch {
		case q.Band == policy.InTime && q.Priority <= priority:
			b.Ahead = timespan.Add(b.Ahead, work)
			b.InTime = timespan.Add(b.InTime, work)
		case q.Band == policy.InTime:
			b.InTime = timespan.Add(b.InTime, work)
		case q.Band == policy.Late && q.Priority <= priority:
			b.Late = timespan.Add(b.Late, work)
		}
	}
}

// usedCapacity returns the capacity that waiting work can use, in thousandths of a core. othersWait: work waits for its
// workers that is not in its queue.
func (l *Load) usedCapacity(othersWait bool) int64 {
	used := l.CapacityMilli
	if len(l.Queued) > 0 || othersWait {
		for _, free := range l.FreeMilli {
			used -= free
		}
	}
	return max(used, 0)
}

// recordArrival counts the work of a new submission in the arrivals that are reported with the load.
func (s *Shard) recordArrival(now time.Duration, j *job) {
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			s.arrivals.Add(now, j.rec.Terms.Priority, t.step.CPUMilli, s.expectedRunTime(t))
		}
	}
}

// recordReturn takes a returned task out of the arrivals, as it arrives at another shard.
func (s *Shard) recordReturn(now time.Duration, t *task) {
	s.arrivals.Add(now, t.job.rec.Terms.Priority, -t.step.CPUMilli, s.expectedRunTime(t))
}

// expectedRunTime returns the estimate of a task, corrected by the pace of its queue.
func (s *Shard) expectedRunTime(t *task) time.Duration {
	return timespan.Times(t.step.Estimate, s.durationFactor(t.job.rec.Queue))
}
