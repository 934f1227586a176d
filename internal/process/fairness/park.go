package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Park excludes a job from the order until Unpark, because no worker can run one
// of its tasks now. The reason why is shown on the status page.
//
// Without a time limit, smaller tasks would take each freed slot and a large task
// would starve: a parked job's wait would grow while others start. Once a job has
// been parked for longer than ParkPatience, other work is therefore held back
// until the job is placed or ParkHold has passed.
func (q *Queue[K]) Park(key K, why reason.Code) {
	j := q.jobs[key]
	if j == nil || j.list == nil || j.list == &q.parked {
		return
	}
	q.delist(j)
	q.parked.pushBack(j)
	j.lane.parked++
	j.lane.parkedWhy = why
	if !j.wasParked {
		j.wasParked = true
		j.parkedSince = q.now
	}
	waited := q.now - j.parkedSince
	if q.starved == nil && why != reason.QuotaExceeded && waited > q.settings.ParkPatience.Seconds() {
		q.starved = j
		q.holdUntil = q.now + q.settings.ParkHold.Seconds()
	}
}

// Unpark returns all parked jobs to the front of their levels in their previous
// order. It takes constant time per parked job.
func (q *Queue[K]) Unpark() {
	for j := q.parked.tail; j != nil; j = q.parked.tail {
		q.parked.remove(j)
		j.lane.parked--
		if q.arrivals != nil {
			q.arrivals.levels[0].pushFront(j)
			q.arrivals.ready++
			continue
		}
		j.level = j.levelBy(q.now, &q.settings)
		j.lane.levels[j.level].pushFront(j)
		j.lane.ready++
		q.refreshPass(j.lane)
		j.lane.leaf.refresh()
	}
}

// Drop removes the queued tasks of a job and returns their count. Running tasks
// stay accounted until Finish.
func (q *Queue[K]) Drop(key K) int {
	j := q.jobs[key]
	if j == nil {
		return 0
	}
	dropped := j.queued
	q.delist(j)
	j.addQueued(-dropped)
	if q.starved == j {
		q.starved = nil
	}
	q.forget(j)
	return dropped
}

// Expire removes the queued tasks of jobs whose deadline has passed and returns
// the keys of these jobs. Running tasks stay accounted until Finish.
func (q *Queue[K]) Expire(now time.Time) []K {
	q.advance(now)
	var keys []K
	for _, j := range q.timers.expired(now, q.now) {
		q.timers.remove(j)
		keys = append(keys, j.Key)
		q.Drop(j.Key)
	}
	return keys
}
