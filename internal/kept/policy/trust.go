package policy

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Trust is what runs on a worker have shown of it. Its zero value is that of a worker of
// which nothing is known.
type Trust struct {
	streak    int           // failed runs since the last that completed
	last      submission.ID // whose run failed last; "": none
	slow      float64       // how much longer runs take here than elsewhere; 0: not known
	ejected   time.Duration // until when it gets nothing
	ejections int
	proving   int // tasks that it may have at once; 0: as many as fit
}

// A worker that fails what completes elsewhere is left alone for a while. Without it a
// worker that fails all at once draws all work, as it always has room. Sound workers
// fail two runs in a thousand, so two failures of different submissions without a
// completed run between them are enough; one makes it the last choice, for one task at
// a time.
const (
	streakMost = 2               // failed runs in a row, of different submissions
	ejectFirst = 2 * time.Second // doubled with each ejection
	ejectMost  = 8 * time.Second
	slowWeight = 0.2 // of a new run in the mean
	slowFloor  = 0.5
	doubtCost  = 10 // of a worker whose last run failed
)

// Failed notes a failed run of a submission at a worker.
func (s *Settings) Failed(now time.Duration, r *Trust, id submission.ID) {
	if !s.Eject || r.last == id {
		return // not asked for, or counted
	}
	r.last = id
	r.streak++
	if r.streak >= streakMost && now >= r.ejected {
		r.eject(now)
	}
}

// Hung notes that tasks stand still at a worker. It gets nothing for a while, longer each
// time, and then one task at a time until one has completed: with all its room it would hold
// up three tasks at each try.
func (r *Trust) Hung(now time.Duration) {
	r.streak = max(r.streak, 1)
	if now >= r.ejected {
		r.eject(now)
	}
}

func (r *Trust) eject(now time.Duration) {
	r.ejected = now + min(ejectFirst<<r.ejections, ejectMost)
	r.ejections = min(r.ejections+1, 4)
}

// Pardon takes back a failure of a submission that failed elsewhere too.
func (r *Trust) Pardon(id submission.ID) {
	if r.last != id || r.streak == 0 {
		return
	}
	r.last = ""
	r.streak--
	r.ejected = 0
}

// Completed notes a run and the ratio of its time to the expected one.
func (r *Trust) Completed(ratio float64) {
	if ratio <= provedRatio {
		r.proved()
	}
	r.streak = 0
	r.last = ""
	r.ejections = 0
	if r.slow == 0 {
		r.slow = 1
	}
	r.slow += (ratio - r.slow) * slowWeight
}

// Admits reports whether a worker may get a task beside those it has.
func (r *Trust) Admits(now time.Duration, beside int) bool {
	if now < r.ejected {
		return false
	}
	if r.proving > 0 && beside >= r.proving {
		return false
	}
	return r.streak == 0 || beside == 0
}

// A worker may be cold: for some time after its start, or after its domain was not used, tasks
// take several times as long there. Given all its room at once it would hold all of them up. So
// it has one task at first, and twice as many each time that one has taken about the usual time.
const (
	proveFirst  = 1
	proveMost   = 8   // tasks at once; a worker that has shown more is given what fits
	provedRatio = 1.5 // of a run's time and the usual one
	proveShare  = 0.5 // of its room that a forecast may count on meanwhile
)

// Prove has a worker show again that it is not cold.
func (r *Trust) Prove() { r.proving = proveFirst }

// proved notes a run that a worker which has to prove itself has done well.
func (r *Trust) proved() {
	r.proving *= 2
	if r.proving > proveMost {
		r.proving = 0
	}
}

// Share is the part of its room that a worker can be counted on for.
func (r *Trust) Share() float64 {
	if r.proving > 0 {
		return proveShare
	}
	return 1
}

// Place is a worker as a choice for a task.
type Place struct {
	Trust  *Trust
	Remote bool // the task's data is elsewhere
	Avoid  bool // the task failed there before
}

// Cost ranks workers for a task, the lowest first: how much longer it takes there.
func (s *Settings) Cost(p Place) float64 {
	slow := p.Trust.slow
	if slow == 0 || !s.FastFirst {
		slow = 1
	}
	cost := max(slow, slowFloor)
	if p.Remote {
		cost *= remoteFactor
	}
	if p.Trust.streak > 0 {
		cost *= doubtCost
	}
	if p.Avoid {
		cost *= avoidFactor
	}
	return float64(int(cost * costSteps))
}

const (
	remoteFactor = 1.5 // time of a task away from its data, by the platform's figures
	avoidFactor  = 100 // where it failed before: last choice
	costSteps    = 5   // differences under a fifth are noise
)

// Better reports whether a worker with some processor left is preferred to another that
// costs the same.
func (s *Settings) Better(left, otherLeft int64) bool {
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
	paceWeight = 0.05
	paceEarly  = 10 // runs for which the plain mean is used
	paceMost   = 4  // a run counts as at most so many times the usual one
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
	weight := max(paceWeight, 1/float64(min(p.runs, paceEarly)+1))
	p.factor = factor + (min(ratio, paceMost*factor)-factor)*weight
	return ratio / factor
}
