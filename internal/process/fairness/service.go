package fairness

import (
	"time"
)

// Start records that n tasks of a job were started. If the job has fewer queued
// tasks, it changes nothing and returns false.
func (q *Queue[K]) Start(now time.Time, key K, n int) bool {
	q.advance(now)
	j := q.jobs[key]
	if j == nil || n <= 0 || n > j.queued {
		return false
	}
	cost := q.cost(j, n)
	level := j.level
	j.addQueued(-n)
	j.startSum += float64(n) * q.now
	j.charged += cost
	j.wasParked = false
	if j.running == 0 {
		j.lane.runningJobs++
	}
	j.running += n
	if q.starved == j {
		q.starved = nil
	}
	q.occupy(j, n)
	q.relevel(j)
	j.lane.settle(level, j.taskCost()*float64(n), q.settings.AgeingShare)
	j.lane.leaf.charge(cost, q.settings.Memory.Seconds())
	q.chargePass(j.lane, cost, level == urgentLevel)
	if level == urgentLevel {
		q.occupyPass(j, n)
	}
	q.reorder(j.lane.leaf)
	return true
}

// relevel moves a job that started tasks to the list it belongs to.
func (q *Queue[K]) relevel(j *job[K]) {
	if j.queued == 0 {
		q.delist(j)
		return
	}
	if q.arrivals != nil || j.list == nil || j.list == &q.parked {
		return
	}
	q.sink(j)
}

// occupy counts n tasks as running, or as ended when n is negative.
func (q *Queue[K]) occupy(j *job[K], n int) {
	slots := int64(n) * int64(j.Slots)
	milliwatts := int64(n) * int64(j.Milliwatts)
	j.lane.slots += slots
	j.lane.milliwatts += milliwatts
	for m := j.lane.leaf; m.parent != nil; m = m.parent {
		m.slots += slots
		m.milliwatts += milliwatts
	}
}

// Finish records that n running tasks of a job ended, whatever their outcome.
// busy is the sum of their run times and milliwattSeconds the sum of their
// energy; they replace the estimates that Start charged. An energy of 0 means
// that it is not known yet, since usage is reported with a delay; the declared
// power is charged then.
func (q *Queue[K]) Finish(now time.Time, key K, n int, busy time.Duration, milliwattSeconds float64) bool {
	q.advance(now)
	j := q.jobs[key]
	if j == nil || n <= 0 || n > j.running {
		return false
	}
	correction := q.actual(j, busy, milliwattSeconds) - q.uncharge(j, n)
	j.learnt.learn(busy.Seconds() / float64(n))
	j.attained += busy.Seconds() * float64(j.Slots)
	j.JobRemaining -= n
	q.occupy(j, -n)
	if j.running == 0 {
		j.lane.runningJobs--
	}
	leaf := j.lane.leaf
	leaf.charge(correction, q.settings.Memory.Seconds())
	q.chargePass(j.lane, correction, j.level == urgentLevel)
	if ended := min(n, j.passed); ended > 0 {
		q.occupyPass(j, -ended)
	}
	q.unblock(leaf)
	q.relevelTail(j)
	q.reorder(leaf)
	q.forget(j)
	return true
}

// uncharge takes the estimates of n ended tasks from the job and returns them.
func (q *Queue[K]) uncharge(j *job[K], n int) float64 {
	part := float64(n) / float64(j.running)
	charged := j.charged * part
	j.charged -= charged
	j.startSum -= j.startSum * part
	j.running -= n
	return charged
}

// actual is the service given, in share-seconds.
func (q *Queue[K]) actual(j *job[K], busy time.Duration, milliwattSeconds float64) float64 {
	if q.scarce == Watts && milliwattSeconds > 0 {
		return milliwattSeconds / q.capacity.Milliwatts
	}
	return busy.Seconds() * q.share(int64(j.Slots), int64(j.Milliwatts))
}

// relevelTail prefers a job that became nearly finished.
func (q *Queue[K]) relevelTail(j *job[K]) {
	if j.queued > 0 && j.JobRemaining <= q.settings.TailTasks {
		q.relevel(j)
	}
}

// unblock brings back the accounts of a path whose quota has room again.
func (q *Queue[K]) unblock(leaf *node[K]) {
	for n := leaf; n.parent != nil; n = n.parent {
		if n.blockedNeed > 0 && n.room() >= n.blockedNeed {
			n.blockedNeed = 0
			q.unblockPasses(n)
			n.refresh()
		}
	}
}

// forget drops the record of a job that has neither queued nor running tasks.
func (q *Queue[K]) forget(j *job[K]) {
	if j.queued+j.running > 0 {
		return
	}
	q.timers.remove(j)
	if q.starved == j {
		q.starved = nil
	}
	delete(q.jobs, j.Key)
	j.lane.leaf.refreshBusy()
}
