package policy

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Trust is what runs on a worker have shown of it. Its zero value is that of a worker of
// which nothing is known.
type WorkerHealth struct {
	failureStreak  int           // failed runs since the last that completed
	lastFailed     submission.ID // whose run failed last; "": none
	slowness       float64       // how much longer runs take here than elsewhere; 0: not known
	ejectedUntil   time.Duration // until when it gets nothing
	ejections      int
	slowStartLimit int // tasks that it may have at once; 0: as many as fit
}

// A worker that fails what completes elsewhere is left alone for a while. Without it a
// worker that fails all at once draws all work, as it always has room. Sound workers
// fail two runs in a thousand, so two failures of different submissions without a
// completed run between them are enough; one makes it the last choice, for one task at
// a time.
const (
	ejectionStreak    = 2               // failed runs in a row, of different submissions
	baseEjectionTime  = 2 * time.Second // doubled with each ejection
	maxEjectionTime   = 8 * time.Second
	slownessWeight    = 0.2 // of a new run in the mean
	minSlowness       = 0.5
	failingCostFactor = 10 // of a worker whose last run failed
)

// Failed notes a failed run of a submission at a worker.
func (s *Settings) RecordFailure(now time.Duration, r *WorkerHealth, id submission.ID) {
	if !s.Eject || r.lastFailed == id {
		return // not asked for, or counted
	}
	r.lastFailed = id
	r.failureStreak++
	if r.failureStreak >= ejectionStreak && now >= r.ejectedUntil {
		r.eject(now)
	}
}

// Hung notes that tasks stand still at a worker. It gets nothing for a while, longer each
// time, and then one task at a time until one has completed: with all its room it would hold
// up three tasks at each try.
func (r *WorkerHealth) RecordHang(now time.Duration) {
	r.failureStreak = max(r.failureStreak, 1)
	if now >= r.ejectedUntil {
		r.eject(now)
	}
}

func (r *WorkerHealth) eject(now time.Duration) {
	r.ejectedUntil = now + min(baseEjectionTime<<r.ejections, maxEjectionTime)
	r.ejections = min(r.ejections+1, 4)
}

// Pardon takes back a failure of a submission that failed elsewhere too.
func (r *WorkerHealth) ForgiveFailure(id submission.ID) {
	if r.lastFailed != id || r.failureStreak == 0 {
		return
	}
	r.lastFailed = ""
	r.failureStreak--
	r.ejectedUntil = 0
}

// Completed notes a run and the ratio of its time to the expected one.
func (r *WorkerHealth) RecordCompletion(ratio float64) {
	if ratio <= slowStartPassRatio {
		r.raiseSlowStartLimit()
	}
	r.failureStreak = 0
	r.lastFailed = ""
	r.ejections = 0
	if r.slowness == 0 {
		r.slowness = 1
	}
	r.slowness += (ratio - r.slowness) * slownessWeight
}

// Admits reports whether a worker may get a task beside those it has.
func (r *WorkerHealth) CanAccept(now time.Duration, beside int) bool {
	if now < r.ejectedUntil {
		return false
	}
	if r.slowStartLimit > 0 && beside >= r.slowStartLimit {
		return false
	}
	return r.failureStreak == 0 || beside == 0
}

// A worker may be cold: for some time after its start, or after its domain was not used, tasks
// take several times as long there. Given all its room at once it would hold all of them up. So
// it has one task at first, and twice as many each time that one has taken about the usual time.
const (
	slowStartInitial     = 1
	slowStartMax         = 8   // tasks at once; a worker that has shown more is given what fits
	slowStartPassRatio   = 1.5 // of a run's time and the usual one
	slowStartUsableShare = 0.5 // of its room that a forecast may count on meanwhile
)

// Prove has a worker show again that it is not cold.
func (r *WorkerHealth) BeginSlowStart() { r.slowStartLimit = slowStartInitial }

// proved notes a run that a worker which has to prove itself has done well.
func (r *WorkerHealth) raiseSlowStartLimit() {
	r.slowStartLimit *= 2
	if r.slowStartLimit > slowStartMax {
		r.slowStartLimit = 0
	}
}

// Share is the part of its room that a worker can be counted on for.
func (r *WorkerHealth) UsableShare() float64 {
	if r.slowStartLimit > 0 {
		return slowStartUsableShare
	}
	return 1
}

// Place is a worker as a choice for a task.
type Placement struct {
	Health        *WorkerHealth
	DataElsewhere bool // the task's data is elsewhere
	FailedBefore  bool // the task failed there before
}

// Cost ranks workers for a task, the lowest first: how much longer it takes there.
func (s *Settings) Cost(p Placement) float64 {
	slow := p.Health.slowness
	if slow == 0 || !s.FastFirst {
		slow = 1
	}
	cost := max(slow, minSlowness)
	if p.DataElsewhere {
		cost *= remoteCostFactor
	}
	if p.Health.failureStreak > 0 {
		cost *= failingCostFactor
	}
	if p.FailedBefore {
		cost *= failedBeforeCostFactor
	}
	return float64(int(cost * costSteps))
}

const (
	remoteCostFactor       = 1.5 // time of a task away from its data, by the platform's figures
	failedBeforeCostFactor = 100 // where it failed before: last choice
	costSteps              = 5   // differences under a fifth are noise
)

// Better reports whether a worker with some processor left is preferred to another that
// costs the same.
func (s *Settings) HasBetterFit(left, otherLeft int64) bool {
	if s.BestFit {
		return left < otherLeft
	}
	return left > otherLeft
}

// Pace is how long a queue's tasks take, against their callers' estimates. Its zero value
// trusts the estimates.
type Pace struct {
	factor float64
	runs   int
}

// Learning of a queue's pace.
const (
	paceWeight     = 0.05
	paceWarmUpRuns = 10 // runs for which the plain mean is used
	paceMaxRatio   = 4  // a run counts as at most so many times the usual one
)

// Factor is by how much to multiply estimates.
func (p *Pace) Factor() float64 {
	if p == nil || p.runs == 0 {
		return 1
	}
	return p.factor
}

// Learn takes the time of a run that has completed, as a share of its estimate. It returns
// that share against the queue's pace: above 1 the run was slow.
func (s *Settings) Learn(p *Pace, ratio float64) float64 {
	factor := p.Factor()
	if !s.LearnPace {
		return ratio
	}
	p.runs++
	weight := max(paceWeight, 1/float64(min(p.runs, paceWarmUpRuns)+1))
	p.factor = factor + (min(ratio, paceMaxRatio*factor)-factor)*weight
	return ratio / factor
}
