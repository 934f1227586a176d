package policy

import (
	"math"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Speed is what the runs on a worker have shown about how fast it is. All of its figures are natural logarithms
// of the ratio of a duration there to that on a worker of the usual speed: 0 is the usual speed, above 0 it is
// slower. The zero value is that of a worker about which nothing is known.
type Speed struct {
	mean     float64
	variance float64       // of the mean; 0: nothing is known
	at       time.Duration // when the mean last changed

	soundAt     time.Duration // when the last run was known that was not much longer than the mean says
	slowRuns    int           // runs in a row that took much longer than the mean says
	slowSum     float64       // sum of their ratios
	slowLast    submission.ID // submission of the last of these
	turnedSlow  bool          // until a run takes about the usual time again
	excludedFor time.Duration // the last time for which it was left out
}

// The spread of durations. Estimates are off by half; the tasks of a step differ by a sixth.
const (
	unknownVariance = 0.25  // between workers, before anything is known about one
	siblingVariance = 0.1   // a reference with less is one by siblings that ran on other workers
	taskVariance    = 0.03  // between the tasks of a step
	runDrift        = 0.001 // added to the variance of a speed with each run
	idleDrift       = 0.02  // added to it with each second
	maxLogSpeed     = 2.5
)

// A run counts as much too long beyond both slowRunFactor and slowRunDeviations standard deviations of what is
// known. Three runs in a hundred take several times as long on any worker, so that one says nothing about
// the worker. Two in a row are nearly always the worker's fault.
const (
	slowRunDeviations = 2.5
	slowRunsToFind    = 2
	recoveredRatio    = 2.0 // highest ratio of a run after which a worker is no longer taken for one that has turned slow
)

// A worker that has turned slow gets no task for a while, then one at a time.
const (
	baseSlowExclusion = time.Second // doubled with each slow try
	maxSlowExclusion  = 4 * time.Second
)

// SpeedChange is what a run has shown.
type SpeedChange uint8

// The changes of a worker's speed.
const (
	SpeedUnchanged SpeedChange = iota
	TurnedSlow
	Recovered
	SpeedsForgotten // of all workers of the shard: most seemed to have turned slow
)

var speedChangeNames = [...]string{"unchanged", "turned slow", "recovered", "forgotten"}

func (c SpeedChange) String() string { return speedChangeNames[c] }

// Reference is how long a task should take on a worker of the usual speed, as a logarithm of seconds, with its
// variance.
type Reference struct{ log, variance float64 }

// EstimatedReference is the reference by the caller's estimate and the pace of the queue.
func EstimatedReference(estimate time.Duration, p *Pace) Reference {
	log, variance := p.logRatio()
	return Reference{log: math.Log(estimate.Seconds()) + log, variance: variance}
}

// With combines two references to the same duration.
func (r Reference) With(other Reference) Reference {
	variance := 1 / (1/r.variance + 1/other.variance)
	return Reference{log: variance * (r.log/r.variance + other.log/other.variance), variance: variance}
}

// Duration returns the reference as a duration.
func (r Reference) Duration() time.Duration {
	return time.Duration(math.Exp(r.log) * float64(time.Second))
}

// Reference returns what a run on a worker of this speed says about its siblings.
func (s *Speed) Reference(took time.Duration) Reference {
	return Reference{log: math.Log(took.Seconds()) - s.mean, variance: taskVariance + s.spread()}
}

// Slowness returns the factor by which runs take longer than usual.
func (s *Speed) Slowness() float64 { return math.Exp(s.mean) }

// soundFor is how long a sound run shows that the usual time of tasks is right.
const soundFor = time.Second

// IsSound reports whether the worker has lately had a run of about the time that it should take, and no longer one since.
func (s *Speed) IsSound(now time.Duration) bool {
	return !s.turnedSlow && s.slowRuns == 0 && s.soundAt > 0 && now-s.soundAt <= soundFor
}

// HasTurnedSlow reports whether the worker has turned slow and not recovered.
func (s *Speed) HasTurnedSlow() bool { return s.turnedSlow }

// ShouldMove reports whether a run of a given age, which takes total in all, would end sooner if it were started anew
// on another worker. It does so only for a worker that has turned slow, and a run that takes longer than it should:
// on other workers a long run is the task's own doing, and would be as long elsewhere.
func (s *Speed) ShouldMove(total, age time.Duration, ref Reference) bool {
	elsewhere := time.Duration(float64(total) / s.Slowness())
	return s.turnedSlow && float64(total) > slowRunFactor*float64(ref.Duration()) && total-age > elsewhere+moveCost
}

// CentreSpeeds shifts the speeds of a shard's workers so that the median is the usual speed. Siblings show only how fast
// workers are relative to each other, so that all speeds together would drift.
func CentreSpeeds(speeds []*Speed) {
	var means []float64
	for _, s := range speeds {
		if s.variance > 0 && !s.turnedSlow {
			means = append(means, s.mean)
		}
	}
	if len(means) == 0 {
		return
	}
	slices.Sort(means)
	shift := (means[(len(means)-1)/2] + means[len(means)/2]) / 2
	for _, s := range speeds {
		if s.variance > 0 {
			s.mean -= shift
		}
	}
}

// Bounds of what is told to the next holder of a shard.
const (
	coarseStep       = 0.25 // of the logarithm
	coarseVariance   = 0.1  // highest that is told; also that of what was told
	restoredVariance = coarseVariance
)

// Coarse returns the slowness in coarse steps. known is false if too little is known about the worker, or it has
// turned slow, which the next holder should find out for itself.
func (s *Speed) Coarse() (slowness float64, known bool) {
	if s.variance == 0 || s.variance > coarseVariance || s.turnedSlow {
		return 0, false
	}
	return math.Exp(math.Round(s.mean/coarseStep) * coarseStep), true
}

// Restore sets the slowness to what an earlier holder has told, unless something is known or what was told is not a
// possible slowness.
func (s *Speed) Restore(now time.Duration, slowness float64) {
	if mean := math.Log(slowness); s.variance == 0 && mean >= -maxLogSpeed && mean <= maxLogSpeed {
		s.mean, s.variance, s.at = mean, restoredVariance, now
	}
}

// isExcluded reports whether the worker gets no tasks at present because it has turned slow.
func (s *Speed) isExcluded(now time.Duration) bool { return s.turnedSlow && now < s.at+s.excludedFor }

func (s *Speed) spread() float64 {
	if s.variance == 0 {
		return unknownVariance
	}
	return s.variance
}

// drift lets what is known about the speed become less certain with time.
func (s *Speed) drift(now time.Duration) {
	if s.variance > 0 {
		s.variance = min(s.variance+runDrift+idleDrift*(now-s.at).Seconds(), unknownVariance)
	}
	s.at = now
}

// isMuchLonger reports whether a ratio is far above what is known about the worker.
func (s *Speed) isMuchLonger(ratio, variance float64) bool {
	limit := max(math.Log(slowRunFactor), slowRunDeviations*math.Sqrt(s.spread()+variance))
	return ratio > s.mean+limit
}

// IsMuchLonger reports whether a run took far longer than what is known about the worker explains. Such a run says
// nothing about its siblings.
func (s *Speed) IsMuchLonger(took time.Duration, ref Reference) bool {
	return s.isMuchLonger(math.Log(took.Seconds())-ref.log, ref.variance+taskVariance)
}

// RecordRun records a completed run.
func (s *Speed) RecordRun(now time.Duration, id submission.ID, took time.Duration, ref Reference) SpeedChange {
	ratio := math.Log(took.Seconds()) - ref.log
	variance := ref.variance + taskVariance
	if s.turnedSlow {
		if ratio > math.Log(recoveredRatio) {
			return s.confirmSlow(now, ratio)
		}
		*s = Speed{at: now, soundAt: now}
		s.update(ratio, variance)
		return Recovered
	}
	s.drift(now)
	if s.isMuchLonger(ratio, variance) {
		return s.recordSlowRun(now, id, ratio, ref)
	}
	s.recordSound(now)
	// A run that is far too short has a reference that is far too long.
	ratio = max(ratio, s.mean-slowRunDeviations*math.Sqrt(s.spread()+variance))
	s.update(ratio, variance)
	return SpeedUnchanged
}

// RecordSound records that a run takes at most atMost in all. If that is not much too long, the long ones before it
// were their tasks' own doing.
func (s *Speed) RecordSound(now, atMost time.Duration, ref Reference) {
	if !s.isMuchLonger(math.Log(atMost.Seconds())-ref.log, ref.variance+taskVariance) {
		s.recordSound(now)
	}
}

func (s *Speed) recordSound(now time.Duration) {
	s.soundAt = now
	s.slowRuns, s.slowSum, s.slowLast = 0, 0, ""
}

// RecordOverdue records a run in progress that takes at least atLeast in all, if that is much too long. counted
// says that it was, and that the run must not be recorded again.
func (s *Speed) RecordOverdue(now time.Duration, id submission.ID, atLeast time.Duration, ref Reference) (counted bool, change SpeedChange) {
	ratio := math.Log(atLeast.Seconds()) - ref.log
	switch {
	case s.turnedSlow && ratio > math.Log(slowRunFactor):
		return true, s.confirmSlow(now, ratio)
	case !s.turnedSlow && s.isMuchLonger(ratio, ref.variance+taskVariance):
		return true, s.recordSlowRun(now, id, ratio, ref)
	default:
		return false, SpeedUnchanged
	}
}

// update is the step of a Kalman filter for a value that is measured directly.
func (s *Speed) update(ratio, variance float64) {
	spread := s.spread()
	gain := spread / (spread + variance)
	s.mean = min(max(s.mean+gain*(ratio-s.mean), -maxLogSpeed), maxLogSpeed)
	s.variance = (1 - gain) * spread
}

// recordSlowRun counts a run that took much too long. Several of one submission count once, unless its siblings
// elsewhere did not: the estimate of all its tasks may be far too low.
func (s *Speed) recordSlowRun(now time.Duration, id submission.ID, ratio float64, ref Reference) SpeedChange {
	if s.slowLast == id && ref.variance > siblingVariance {
		return SpeedUnchanged
	}
	s.slowLast = id
	s.slowRuns++
	s.slowSum += ratio
	if s.slowRuns < slowRunsToFind {
		return SpeedUnchanged
	}
	mean := min(s.slowSum/float64(s.slowRuns), maxLogSpeed)
	*s = Speed{mean: mean, variance: unknownVariance, at: now, turnedSlow: true, excludedFor: baseSlowExclusion}
	return TurnedSlow
}

// RetryIfDue ranks a worker that has turned slow as one of the usual speed once it was left out for some time, so that
// the next task shows whether it has recovered.
func (s *Speed) RetryIfDue(now time.Duration) {
	if s.turnedSlow && !s.isExcluded(now) {
		s.mean = 0
	}
}

// confirmSlow leaves a worker out for longer that has turned slow.
func (s *Speed) confirmSlow(now time.Duration, ratio float64) SpeedChange {
	s.mean = min(ratio, maxLogSpeed)
	if now-s.at >= s.excludedFor {
		s.excludedFor = min(2*s.excludedFor, maxSlowExclusion)
		s.at = now
	}
	return SpeedUnchanged
}
