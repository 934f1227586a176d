package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Park takes a job out of the order until Unpark, because no worker can take
// one of its tasks now. why is kept for the status page.
//
// Without a bound, smaller tasks would take each freed slot and a large one
// would wait for ever; one would see a parked job whose wait grows while others
// start. A job parked for longer than the patience therefore holds the others
// back until it is placed or the hold ends.
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

// Unpark puts all parked jobs back at the front of their levels, in their former
// order. Each job costs constant time, paid for by its Park.
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

// Drop withdraws the queued tasks of a job and returns their count. Running
// tasks stay accounted until Finish.
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

// Expire withdraws the queued tasks of the jobs whose deadline passed and
// returns their keys. Running tasks stay accounted until Finish.
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
