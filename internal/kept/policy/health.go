package policy

import (
	"math"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// WorkerHealth is what the runs on a worker have shown about it. The zero value is that of a worker
// about which nothing is known.
type WorkerHealth struct {
	failureStreak  int           // failed runs since the last completed one
	lastFailed     submission.ID // submission of the last counted failure; "": none
	slowness       float64       // mean ratio of run times here to the usual ones; 0: not known
	ejectedUntil   time.Duration // time until which it gets no tasks
	ejections      int           // since the last completed run, up to 4
	slowStartLimit int           // maximum of tasks at a time; 0: as many as fit

	Speed Speed // with Settings.LearnSpeed
}

// A worker that fails what completes elsewhere is ejected: it gets no tasks for a while. Otherwise a
// worker that fails every run immediately would attract all work, as it always has free capacity. On
// healthy workers two runs in a thousand fail, so two failures of different submissions without a
// completed run between them suffice. After one failure a worker is the last choice and gets one
// task at a time.
const (
	ejectionStreak    = 2               // failed runs in a row, of different submissions
	baseEjectionTime  = 2 * time.Second // doubled with each ejection
	maxEjectionTime   = 8 * time.Second
	slownessWeight    = 0.2 // weight of a new run in the moving average
	minSlowness       = 0.5 // lowest slowness that counts in Rank
	failingCostFactor = 10  // for a worker that has failed since its last completed run
)

// RecordFailure records that a run of a submission failed on the worker.
func (s *Settings) RecordFailure(now time.Duration, h *WorkerHealth, id submission.ID) {
	if !s.Eject || h.lastFailed == id {
		return // ejection is off, or a failure of this submission was counted already
	}
	h.lastFailed = id
	h.failureStreak++
	if h.failureStreak >= ejectionStreak && now >= h.ejectedUntil {
		h.eject(now)
	}
}

// RecordHang records that the tasks on the worker are stalled. The worker is ejected, for longer each
// time, and then gets one task at a time until one has completed: with all its capacity in use it
// would delay three tasks at each try.
func (h *WorkerHealth) RecordHang(now time.Duration) {
	h.failureStreak = max(h.failureStreak, 1)
	if now >= h.ejectedUntil {
		h.eject(now)
	}
}

func (h *WorkerHealth) eject(now time.Duration) {
	h.ejectedUntil = now + min(baseEjectionTime<<h.ejections, maxEjectionTime)
	h.ejections = min(h.ejections+1, 4)
}

// ForgiveFailure takes back the failure of a submission that failed on other workers too.
func (h *WorkerHealth) ForgiveFailure(id submission.ID) {
	if h.lastFailed != id || h.failureStreak == 0 {
		return
	}
	h.lastFailed = ""
	h.failureStreak--
	h.ejectedUntil = 0
}

// RecordCompletion records a completed run and the ratio of its duration to the usual one.
func (h *WorkerHealth) RecordCompletion(ratio float64) {
	if ratio <= slowStartPassRatio {
		h.raiseSlowStartLimit()
	}
	h.failureStreak = 0
	h.lastFailed = ""
	h.ejections = 0
	if h.slowness == 0 {
		h.slowness = 1
	}
	h.slowness += (ratio - h.slowness) * slownessWeight
}

// IsEjected reports whether the worker gets no tasks at present.
func (h *WorkerHealth) IsEjected(now time.Duration) bool { return now < h.ejectedUntil }

// CanAccept reports whether the worker may get another task while it has a number of tasks.
func (h *WorkerHealth) CanAccept(now time.Duration, current int) bool {
	if h.IsEjected(now) || h.Speed.isExcluded(now) {
		return false
	}
	if h.slowStartLimit > 0 && current >= h.slowStartLimit {
		return false
	}
	return h.failureStreak == 0 && !h.Speed.turnedSlow || current == 0
}

// Slow start: a worker may be cold, that is, tasks take several times as long there for some time
// after its start or while its domain was not in use. Filled at once, it would delay all of those
// tasks. So it gets one task at first, and the limit doubles each time that a run has taken about
// the usual time.
const (
	slowStartInitial     = 1   // tasks at a time
	slowStartMax         = 8   // tasks at a time; above it there is no limit
	slowStartPassRatio   = 1.5 // highest ratio of a run's duration to the usual one that raises the limit
	slowStartUsableShare = 0.5 // share of its capacity that a forecast counts during slow start
)

// BeginSlowStart limits a worker that may be cold to a few tasks at a time.
func (h *WorkerHealth) BeginSlowStart() { h.slowStartLimit = slowStartInitial }

// raiseSlowStartLimit doubles the limit after a run at about the usual speed.
func (h *WorkerHealth) raiseSlowStartLimit() {
	h.slowStartLimit *= 2
	if h.slowStartLimit > slowStartMax {
		h.slowStartLimit = 0
	}
}

// InSlowStart reports whether the worker may be cold, so that its runs say nothing about its speed.
func (h *WorkerHealth) InSlowStart() bool { return h.slowStartLimit > 0 }

// UsableShare returns the share of the worker's capacity that a forecast may count: above 1 for one that is faster
// than usual.
func (s *Settings) UsableShare(now time.Duration, h *WorkerHealth) float64 {
	switch {
	case h.slowStartLimit > 0:
		return slowStartUsableShare
	case !s.RoomBySpeed || !s.LearnSpeed:
		return 1
	case h.Speed.isExcluded(now):
		return 0
	default:
		return math.Round(shareSteps/h.Speed.Slowness()) / shareSteps
	}
}

// shareSteps is into how many steps the usual speed is divided, so that loads don't change with each run.
const shareSteps = 8

// HasBetterFit reports whether a worker is preferred to another of the same cost, given the free
// processor of both: with BestFit the one with less, otherwise the one with more.
func (s *Settings) HasBetterFit(free, otherFree int64) bool {
	if s.BestFit {
		return free < otherFree
	}
	return free > otherFree
}

// Pace is the learned ratio of the durations of a queue's tasks to their callers' estimates. Its
// zero value takes the estimates as they are.
type Pace struct {
	factor float64
	runs   int

	log         float64 // mean of the logarithm of the ratio on a worker of the usual speed
	logVariance float64
	logRuns     int
}

// The pace of a queue is a moving average.
const (
	paceWeight     = 0.05 // lowest weight of a new run
	paceWarmUpRuns = 10   // runs over which it is the plain mean; later runs weigh as much as the last of these
	paceMaxRatio   = 4    // a run counts as at most this many times the present pace
	paceMaxLogStep = 1    // the same for the mean logarithm, either way

	unknownLogVariance = 1.0
	minLogVariance     = 0.05
)

// Factor returns the factor by which to multiply estimates.
func (p *Pace) Factor() float64 {
	if p == nil || p.runs == 0 {
		return 1
	}
	return p.factor
}

// logRatio returns the mean and variance of the logarithm of the ratio of durations on a worker of the usual speed to
// their estimates. The mean is below the logarithm of Factor, as a few runs take several times as long as most. Until
// some runs have shown it, the estimates may be off by any factor.
func (p *Pace) logRatio() (mean, variance float64) {
	switch {
	case p == nil:
		return 0, unknownLogVariance
	case p.logRuns < paceWarmUpRuns:
		return p.log, unknownLogVariance
	default:
		return p.log, max(p.logVariance, minLogVariance)
	}
}

// LearnLog updates the mean logarithm by a completed run on a worker of a known speed.
func (p *Pace) LearnLog(took, estimate time.Duration, speed *Speed) {
	deviation := math.Log(took.Seconds()/estimate.Seconds()) - speed.mean - p.log
	p.logRuns++
	if p.logRuns == 1 {
		p.log, p.logVariance = deviation, unknownLogVariance
		return
	}
	weight := max(paceWeight, 1/float64(min(p.logRuns, paceWarmUpRuns)+1))
	deviation = clampLogStep(deviation)
	p.log += deviation * weight
	p.logVariance += (deviation*deviation - p.logVariance) * weight
}

func clampLogStep(d float64) float64 { return min(max(d, -paceMaxLogStep), paceMaxLogStep) }

// Learn updates the pace by a completed run, given the ratio of its duration to its estimate. It
// returns that ratio relative to the pace before: above 1 the run was slow for its queue.
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
