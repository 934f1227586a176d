package fairness

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// levelCount is the number of feedback levels within an account.
const levelCount = 5

const (
	// urgentLevel is only for short urgent jobs, which would otherwise wait
	// behind a burst of short jobs without a blocked caller.
	urgentLevel = 0
	// shortLevel is the highest level of normal work.
	shortLevel = 1
	// tailLevel is for the last tasks of a long job.
	tailLevel = 2
	// bulkLevel is the highest level of bulk work.
	bulkLevel = 3
)

// job is the queue's record of one submission's tasks at this entry VM.
type job[K comparable] struct {
	Job[K]
	lane   *lane[K]
	learnt *estimate

	queued  int
	running int
	passed  int // running tasks that were short urgent work when they started
	// charged is the estimated service of the running tasks, in share-seconds.
	charged float64
	// attained is the finished service in slot-seconds, startSum the sum of the
	// start times of the running tasks, in seconds.
	attained float64
	startSum float64

	level       int
	list        *jobList[K] // the list that holds the job, or nil
	prev, next  *job[K]
	parkedSince float64 // first unsuccessful placement since the last start
	wasParked   bool

	bucket               int // in the deadline wheel, or noIndex
	timerPrev, timerNext *job[K]
}

// jobList is a doubly linked list, so that any job can be removed in constant time.
type jobList[K comparable] struct {
	head, tail *job[K]
	count      int
}

func (l *jobList[K]) pushBack(j *job[K]) {
	j.list, j.prev, j.next = l, l.tail, nil
	if l.tail == nil {
		l.head = j
	} else {
		l.tail.next = j
	}
	l.tail = j
	l.count++
}

func (l *jobList[K]) pushFront(j *job[K]) {
	j.list, j.prev, j.next = l, nil, l.head
	if l.head == nil {
		l.tail = j
	} else {
		l.head.prev = j
	}
	l.head = j
	l.count++
}

func (l *jobList[K]) remove(j *job[K]) {
	if j.prev == nil {
		l.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		l.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.list, j.prev, j.next = nil, nil, nil
	l.count--
}

// lane holds the work of one account, in feedback levels. Each level is in order of
// arrival and starts all tasks of its first job before the next one, so that of two
// jobs with many tasks one finishes early instead of both late.
type lane[K comparable] struct {
	account string
	leaf    *node[K]
	pass    *node[K]
	// passBlocked: a quota keeps the pass out of the order.
	passBlocked bool
	levels      [levelCount]jobList[K]

	ready       int // jobs in the levels
	parked      int
	queuedTasks int
	queuedJobs  int
	runningJobs int
	slots       int64
	milliwatts  int64
	// owed is the service, in slot-seconds, that the higher levels owe the lowest
	// level with waiting work (Settings.AgeingShare).
	owed      float64
	parkedWhy reason.Code // of the job parked last
}

// active reports whether the account queues or runs work.
func (l *lane[K]) active() bool { return l.queuedTasks > 0 || l.runningJobs > 0 }

// add puts a job at the end of its level.
func (l *lane[K]) add(j *job[K], level int) {
	j.level = level
	l.levels[level].pushBack(j)
	l.ready++
}

// take removes a job from its level.
func (l *lane[K]) take(j *job[K]) {
	j.list.remove(j)
	l.ready--
}

// shallowest returns the highest level with work.
func (l *lane[K]) shallowest() int {
	for level := range l.levels {
		if l.levels[level].head != nil {
			return level
		}
	}
	panic("fairness: an account without ready jobs was picked")
}

// deepest returns the lowest level with work.
func (l *lane[K]) deepest() int {
	for level := levelCount - 1; level > 0; level-- {
		if l.levels[level].head != nil {
			return level
		}
	}
	return 0
}

// front returns the job whose tasks go next in this account.
func (l *lane[K]) front(s *Settings) (*job[K], reason.Code) {
	first, deepest := l.shallowest(), l.deepest()
	j, aged := l.levels[first].head, l.levels[deepest].head
	switch {
	case first < deepest && l.owed >= aged.taskCost():
		return aged, Aged
	case j.nearlyDone(s):
		return j, JobTail
	}
	return j, ShareDue
}

// settle updates the service owed after a level received slotSeconds.
func (l *lane[K]) settle(level int, slotSeconds, share float64) {
	deepest := l.deepest()
	if l.ready == 0 || level == deepest {
		l.owed = max(0, l.owed-slotSeconds)
		return
	}
	if level < deepest {
		l.owed += share * slotSeconds
	}
}

// addQueued changes the count of queued tasks, for the job and its account.
func (j *job[K]) addQueued(n int) {
	before := j.queued
	j.queued += n
	j.lane.queuedTasks += n
	switch {
	case before == 0 && j.queued > 0:
		j.lane.queuedJobs++
	case before > 0 && j.queued == 0:
		j.lane.queuedJobs--
	}
}

// taskCost is the expected service of one task, in slot-seconds.
func (j *job[K]) taskCost() float64 {
	return j.taskSeconds() * float64(j.Slots)
}

// taskSeconds is the expected run time of one task.
func (j *job[K]) taskSeconds() float64 {
	return j.learnt.seconds(j.Expected)
}

// attainedBy returns the job's service up to now, in slot-seconds. Running tasks
// count with their expected or their elapsed time, whichever is more. Otherwise a
// job with many tasks, or with a wrongly declared size, would stay in the short
// levels until its first task ends.
func (j *job[K]) attainedBy(now float64) float64 {
	if j.running == 0 {
		return j.attained
	}
	elapsed := float64(j.running)*now - j.startSum
	expected := float64(j.running) * j.taskSeconds()
	return j.attained + max(elapsed, expected)*float64(j.Slots)
}

// sizeBy returns the minimum expected total service of the job, in slot-seconds.
// Until run times of its template and account are known, this is its attained
// service, since declared sizes are unreliable. Afterwards the waiting tasks count
// too: without them, each job with many tasks would begin in the short levels and
// overtake older large jobs, so that all of them would end late.
func (j *job[K]) sizeBy(now float64) float64 {
	attained := j.attainedBy(now)
	if !j.learnt.known() {
		return attained
	}
	return attained + float64(j.queued)*j.taskCost()
}

// levelBy returns the job's feedback level.
func (j *job[K]) levelBy(now float64, s *Settings) int {
	size := j.sizeBy(now)
	level := shortLevel
	for level < levelCount-1 && size >= s.quantum(level) {
		level++
	}
	switch {
	case j.Class == Bulk:
		level = max(level, bulkLevel)
	case j.Class == Urgent && level == shortLevel:
		level = urgentLevel
	}
	if level > tailLevel && j.nearlyDone(s) {
		level = tailLevel
	}
	return level
}

// nearlyDone reports whether only the last tasks of a started job remain. Its
// response time is that of its slowest task, so finishing it serves a caller at
// little cost.
func (j *job[K]) nearlyDone(s *Settings) bool {
	return j.attained > 0 && j.JobRemaining <= s.TailTasks
}

// quantumTasks returns how many tasks the job may start before it drops a level.
func (j *job[K]) quantumTasks(now float64, s *Settings) int {
	if j.level >= levelCount-1 {
		return j.queued
	}
	left := s.quantum(j.level) - j.attainedBy(now)
	return max(1, int(min(left/j.taskCost(), float64(j.queued))))
}

// seconds converts a time to the queue's internal clock.
func seconds(t, epoch time.Time) float64 { return t.Sub(epoch).Seconds() }
