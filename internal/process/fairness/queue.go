package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Queue orders the waiting tasks of one entry VM. See the package comment for
// the contract.
type Queue[K comparable] struct {
	settings Settings
	epoch    time.Time
	now      float64 // seconds since epoch

	accounts  []Account
	root      *node[K]
	nodes     map[string]*node[K]
	lanes     map[string]*lane[K]
	jobs      map[K]*job[K]
	estimates map[estimateKey]*estimate
	passes    *node[K]
	arrivals  *lane[K] // holds all jobs under PolicyFIFO
	parked    jobList[K]
	timers    wheel[K]

	scarce   Resource
	capacity Capacity
	remoteAt float64 // when the remote usage was last accounted

	starved   *job[K] // others are held back for it
	holdUntil float64
}

// New returns an empty queue. It panics on settings that Validate rejects. Until
// SetCapacity is called, the capacity is one slot and one milliwatt: shares are
// right then, but bounds expressed in time are far too tight.
func New[K comparable](s Settings) *Queue[K] {
	if err := s.Validate(); err != nil {
		panic(err)
	}
	q := &Queue[K]{
		settings:  s,
		lanes:     make(map[string]*lane[K]),
		jobs:      make(map[K]*job[K]),
		estimates: make(map[estimateKey]*estimate),
		capacity:  Capacity{Slots: 1, Milliwatts: 1},
		passes:    &node[K]{index: noIndex},
	}
	q.rebuild()
	if s.Policy == PolicyFIFO {
		q.arrivals = &lane[K]{}
	}
	return q
}

// advance moves the queue's clock forward to the caller's time.
func (q *Queue[K]) advance(now time.Time) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.now = max(q.now, seconds(now, q.epoch))
}

// SetCapacity sets the total capacity of the shared resources. Values of zero or
// less leave the previous value.
func (q *Queue[K]) SetCapacity(now time.Time, c Capacity) {
	q.advance(now)
	if c.Slots > 0 {
		q.capacity.Slots = c.Slots
	}
	if c.Milliwatts > 0 {
		q.capacity.Milliwatts = c.Milliwatts
	}
	q.rekey()
}

// SetScarce sets the resource that accounts share by weight from now on.
func (q *Queue[K]) SetScarce(now time.Time, r Resource) {
	q.advance(now)
	q.scarce = r
	q.rekey()
}

// Push adds tasks to a new or existing job. For an existing job, the fields that
// can change (remaining tasks, deadline, expected time) are updated from j.
func (q *Queue[K]) Push(now time.Time, j Job[K], tasks int) {
	q.advance(now)
	if tasks <= 0 {
		return
	}
	known := q.jobs[j.Key]
	if known == nil {
		known = q.create(j)
	}
	known.JobRemaining = max(j.JobRemaining, known.queued+known.running+tasks)
	known.Expected = j.Expected
	q.setDeadline(known, j.Deadline)
	known.addQueued(tasks)
	if known.list == nil {
		q.enlist(known)
	}
	known.lane.leaf.refreshBusy()
}

// create records a new job.
func (q *Queue[K]) create(spec Job[K]) *job[K] {
	spec.Slots = max(spec.Slots, 1)
	j := &job[K]{Job: spec, bucket: noIndex}
	j.lane = q.laneOf(spec.Account)
	j.learnt = q.estimateOf(spec.Account, spec.Template)
	q.jobs[spec.Key] = j
	return j
}

// estimateOf returns the learnt run times of a template, or nil when the table
// is full.
func (q *Queue[K]) estimateOf(account, template string) *estimate {
	key := estimateKey{account, template}
	e := q.estimates[key]
	if e == nil && len(q.estimates) < maxEstimates {
		e = &estimate{}
		q.estimates[key] = e
	}
	return e
}

// setDeadline replaces a job's deadline.
func (q *Queue[K]) setDeadline(j *job[K], deadline time.Time) {
	q.timers.remove(j)
	j.Deadline = deadline
	if !deadline.IsZero() {
		q.timers.add(j, seconds(deadline, q.epoch))
	}
}

// enlist adds a job with queued tasks to the list of ready jobs of its level.
func (q *Queue[K]) enlist(j *job[K]) {
	if q.arrivals != nil {
		q.arrivals.add(j, 0)
		return
	}
	j.lane.add(j, j.levelBy(q.now, &q.settings))
	q.refreshPass(j.lane)
	j.lane.leaf.refresh()
}

// delist removes a job from the list that holds it.
func (q *Queue[K]) delist(j *job[K]) {
	switch {
	case j.list == nil:
	case j.list == &q.parked:
		q.parked.remove(j)
		j.lane.parked--
	case q.arrivals != nil:
		q.arrivals.take(j)
	default:
		j.lane.take(j)
		q.refreshPass(j.lane)
		j.lane.leaf.refresh()
	}
}

// Next returns the job whose tasks should start next. It reports false if no task
// may start: nothing is queued, all work is parked or over quota, or it is held
// back for a job that was parked too long.
func (q *Queue[K]) Next(now time.Time) (Pick[K], bool) {
	q.advance(now)
	if q.arrivals != nil {
		return q.nextArrival()
	}
	if pick, found := q.nextStarved(); found {
		return pick, true
	}
	if pick, found := q.nextPass(); found {
		return pick, true
	}
	if q.starved != nil {
		return Pick[K]{}, false
	}
	for len(q.root.heap) > 0 {
		pick, found := q.nextShare()
		if found {
			return pick, true
		}
	}
	return Pick[K]{}, false
}

// nextArrival returns the job that arrived first.
func (q *Queue[K]) nextArrival() (Pick[K], bool) {
	j := q.arrivals.levels[0].head
	if j == nil {
		return Pick[K]{}, false
	}
	return Pick[K]{j.Key, min(j.queued, q.settings.MaxBatch), ArrivalOrder}, true
}

// nextStarved returns the job for which other work is held back. It ends the hold
// after ParkHold, so that a job that no worker can run does not block the others
// forever.
func (q *Queue[K]) nextStarved() (Pick[K], bool) {
	j := q.starved
	if j == nil {
		return Pick[K]{}, false
	}
	if q.now >= q.holdUntil {
		j.parkedSince = q.now
		q.starved = nil
		return Pick[K]{}, false
	}
	if j.list == &q.parked || q.pathRoom(j) < int64(j.Slots) {
		return Pick[K]{}, false
	}
	return Pick[K]{j.Key, 1, Starved}, true
}

// nextShare returns the first job of the account furthest behind its due. It reports
// false if it changed the order instead, because a job dropped a level or an account
// reached its quota.
func (q *Queue[K]) nextShare() (Pick[K], bool) {
	n := q.root
	for n.lane == nil {
		n = n.heap[0].node
	}
	j, why := n.lane.front(&q.settings)
	if q.sink(j) {
		return Pick[K]{}, false
	}
	room := q.pathRoom(j)
	if room < int64(j.Slots) {
		q.block(j)
		return Pick[K]{}, false
	}
	most := min(j.queued, q.settings.MaxBatch, int(room/int64(j.Slots)))
	most = min(most, j.quantumTasks(q.now, &q.settings), q.turnTasks(j))
	if why == Aged {
		most = 1
	}
	return Pick[K]{j.Key, most, why}, true
}

// sink moves a ready job to the level for its current size and reports whether the
// level changed.
func (q *Queue[K]) sink(j *job[K]) bool {
	level := j.levelBy(q.now, &q.settings)
	if level == j.level {
		return false
	}
	j.lane.take(j)
	j.lane.add(j, level)
	q.refreshPass(j.lane)
	return true
}

// pathRoom returns the slots that the quotas of the job's accounts leave.
func (q *Queue[K]) pathRoom(j *job[K]) int64 {
	room := maxRoom
	for n := j.lane.leaf; n.parent != nil; n = n.parent {
		room = min(room, n.room())
	}
	return room
}

// block removes the account whose quota is used up from the order until slots are
// freed. A job larger than the quota itself is parked instead, since it would block
// the account forever.
func (q *Queue[K]) block(j *job[K]) {
	for n := j.lane.leaf; n.parent != nil; n = n.parent {
		if n.room() >= int64(j.Slots) {
			continue
		}
		if n.quota < int64(j.Slots) {
			q.Park(j.Key, reason.QuotaExceeded)
			return
		}
		n.blockedNeed = int64(j.Slots)
		n.refresh()
		q.blockPass(n, j.lane)
		return
	}
}

// turnTasks returns how many tasks may start before another account is further
// behind its due.
func (q *Queue[K]) turnTasks(j *job[K]) int {
	turn := float64(q.settings.MaxBatch)
	step := q.cost(j, 1) + q.settings.OccupancyWeight.Seconds()*q.share(int64(j.Slots), int64(j.Milliwatts))
	for n := j.lane.leaf; n.parent != nil; n = n.parent {
		rival, found := n.parent.heap.runnerUp()
		if !found {
			continue
		}
		ahead := (rival - n.key) * float64(n.weight)
		turn = min(turn, ahead/step+1)
	}
	return max(1, int(turn))
}

// share converts an occupancy to a part of the capacity of the scarce resource.
func (q *Queue[K]) share(slots, milliwatts int64) float64 {
	if q.scarce == Watts {
		return float64(milliwatts) / q.capacity.Milliwatts
	}
	return float64(slots) / q.capacity.Slots
}

// cost is the expected service of n tasks, in share-seconds.
func (q *Queue[K]) cost(j *job[K], n int) float64 {
	return j.taskSeconds() * float64(n) * q.share(int64(j.Slots), int64(j.Milliwatts))
}

// setKey recomputes a node's place in the order without moving it.
func (q *Queue[K]) setKey(n *node[K]) {
	use := q.share(n.slots, n.milliwatts)
	if q.scarce == Watts {
		use += n.remoteMilli / q.capacity.Milliwatts
	} else {
		use += n.remoteSlots / q.capacity.Slots
	}
	n.key = n.vt + q.settings.OccupancyWeight.Seconds()*use/float64(n.weight)
}

// reorder recomputes the keys from a leaf up and restores the heaps.
func (q *Queue[K]) reorder(leaf *node[K]) {
	for n := leaf; n.parent != nil; n = n.parent {
		q.setKey(n)
		if n.index != noIndex {
			n.parent.heap.fix(n)
		}
		n.parent.catchUp()
	}
}
