package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Speeds are learned from the workers' own clocks: a worker stamps its answer to a start and each listing. The
// time at which this VM sends or receives them is of no use while its own processor is busy.

// Limits of what a duration teaches.
const (
	promptAnswer     = 5 * time.Millisecond   // a hold that is answered sooner was not waiting when the run ended
	maxEndInterval   = 0.2                    // share of its duration to which the end of a run must be known
	minSpeedDuration = 5 * time.Millisecond   // shorter runs are mostly overhead
	clockTolerance   = 100 * time.Millisecond // beyond clockRatio, by which a duration may exceed the time since its order
	clockRatio       = 1.1
	badReportEvery   = time.Minute // impossible reports are told once in this time
)

// workerClock relates a worker's clock to this VM's.
type workerClock struct {
	lead  time.Duration // of the worker's clock, at least: its reading less when the answer arrived here
	known bool
}

// observe takes in a reading that was asked for at sentAt and arrived at the time now. It reports whether the clock was
// set back, or is slow: by its lead until now, it was read before it was asked for.
func (c *workerClock) observe(sentAt, now, reading time.Duration) (setBack bool) {
	if reading <= 0 {
		return false
	}
	setBack = c.known && reading-sentAt < c.lead
	if !c.known || setBack || reading-now > c.lead {
		c.lead, c.known = reading-now, true
	}
	return setBack
}

// waited returns how long a hold that was sent at sentAt had waited at most when the worker answered it.
func (c *workerClock) waited(sentAt, reading time.Duration) time.Duration {
	return reading - (sentAt + c.lead)
}

// endInterval returns the times of a worker's clock between which a run ended that the listing reports first.
func (h *host) endInterval(sentAt time.Duration, l worker.Listing) (from, to time.Duration) {
	if h.clock.waited(sentAt, l.Clock) > promptAnswer {
		return l.Clock, l.Clock // the end was what the hold waited for
	}
	return min(h.newestClock, l.Clock), l.Clock
}

// BadReport is a worker's report that cannot be true.
type BadReport struct {
	Worker string
	Task   submission.TaskRef
	What   string
	Count  int // such reports since the last that was told
}

// reportBad tells of a report that cannot be true, at most once in badReportEvery.
func (s *Shard) reportBad(now time.Duration, h *host, ref submission.TaskRef, what string) {
	s.badReports++
	if s.badReportToldAt > 0 && now-s.badReportToldAt < badReportEvery {
		return
	}
	s.actions.BadReports = append(s.actions.BadReports, BadReport{Worker: h.info.ID, Task: ref, What: what, Count: s.badReports})
	s.badReports, s.badReportToldAt = 0, now
}

// SpeedAction tells of a worker that has turned slow, or recovered.
type SpeedAction struct {
	Worker   string
	Change   policy.SpeedChange
	Slowness float64 // factor by which runs take longer than usual, as it is known now
	Task     submission.TaskRef
	Took     time.Duration // of the run that showed it; at least, if it goes on
	Usual    time.Duration // of such a task on a worker of the usual speed
}

// recordSpeed learns from a completed run how fast its worker is. ended is between which times of the worker's
// clock it ended.
func (s *Shard) recordSpeed(now time.Duration, h *host, t *task, from, to time.Duration) {
	if !s.learnsFrom(h, t) {
		return
	}
	took := to - t.acceptClock
	if took <= 0 || s.isImpossible(now, t, took) {
		s.reportBad(now, h, t.ref, "the run took longer than the time since its start order, or less than nothing")
		return
	}
	ref := s.reference(t)
	if took < minSpeedDuration || float64(to-from) > maxEndInterval*float64(took) {
		h.health.Speed.RecordSound(now, took, ref)
		return
	}
	took -= (to - from) / 2
	t.usualKnown = !t.wasOverdue && !h.health.Speed.IsMuchLonger(took, ref)
	if s.settings.Policy.LearnPace {
		s.pace(t.job.rec.Queue).LearnLog(took, t.step.Estimate, &h.health.Speed)
	}
	if !t.wasOverdue {
		s.reportSpeed(now, h, t, h.health.Speed.RecordRun(now, t.ref.ID, took, ref), took, ref)
	}
	t.usual = h.health.Speed.Reference(took)
}

// isImpossible reports whether a run cannot have this age by its worker's clock: its order was sent later.
func (s *Shard) isImpossible(now time.Duration, t *task, age time.Duration) bool {
	return float64(age) > clockRatio*float64(now-t.startedAt)+float64(clockTolerance)
}

// learnsFrom reports whether a run of a task on a worker can say how fast the worker is.
func (s *Shard) learnsFrom(h *host, t *task) bool {
	return s.settings.Policy.LearnSpeed && t.acceptClock > 0 && t.startedAt > 0 && t.step.Estimate > 0 &&
		!t.resumed && !h.health.InSlowStart() && (t.step.DataRack == "" || t.step.DataRack == h.info.Rack)
}

// maxSiblings is how many siblings of a task are looked at.
const maxSiblings = 64

// reference returns how long a task should take at the usual speed: by its estimate, and by its siblings that have
// completed, or are well under way on other workers.
func (s *Shard) reference(t *task) policy.Reference {
	ref := policy.EstimatedReference(t.step.Estimate, s.paceByQueue[t.job.rec.Queue])
	first := t.job.steps[t.ref.Step].firstTask
	for _, other := range t.job.tasks[first:min(first+t.step.Count, first+maxSiblings)] {
		switch {
		case other == t:
		case other.state == taskCompleted && other.usualKnown:
			ref = ref.With(other.usual)
		case other.state == taskRunning && other.host != t.host && other.projected > 0 && !other.wasOverdue:
			ref = ref.With(other.host.health.Speed.Reference(other.projected))
		}
	}
	return ref
}

// totalAtLeast extrapolates how long a run takes in all, rounded down, from its age and the whole percent of its
// work that is done.
func totalAtLeast(age time.Duration, percent int) time.Duration {
	return age * 100 / time.Duration(percent+1)
}

// Progress between two reports says how long a run takes in all if both bounds are reached: it is rounded to whole
// percents.
const (
	minPercentToProject = 4
	minProgressSpan     = 20 * time.Millisecond
)

// checkOverdue learns from a run in progress that takes much longer than it should. clock is the worker's at its
// report.
func (s *Shard) checkOverdue(now time.Duration, h *host, t *task, percent int, clock time.Duration) {
	if !s.learnsFrom(h, t) {
		return
	}
	if percent < 0 || percent > 100 || s.isImpossible(now, t, clock-t.acceptClock) {
		s.reportBad(now, h, t.ref, "the progress is not between 0 and 100, or the run is older than its start order")
		return
	}
	if t.markClock < t.acceptClock {
		t.markClock, t.markPercent = t.acceptClock, 0
	}
	span, done := clock-t.markClock, percent-t.markPercent
	if span < minProgressSpan || done < 0 {
		return // or the listing is older than the answer to the start
	}
	ref := s.reference(t)
	if done >= minPercentToProject {
		t.projected = span * 100 / time.Duration(done)
		t.markClock, t.markPercent = clock, percent
		h.health.Speed.RecordSound(now, t.projected, ref)
	}
	if t.wasOverdue {
		return
	}
	atLeast := totalAtLeast(span, done)
	counted, change := h.health.Speed.RecordOverdue(now, t.ref.ID, atLeast, ref)
	t.wasOverdue = counted
	s.reportSpeed(now, h, t, change, atLeast, ref)
}

// reportSpeed tells of a change of a worker's speed. If the reference is at fault, all is learned anew.
func (s *Shard) reportSpeed(now time.Duration, h *host, t *task, change policy.SpeedChange, took time.Duration, ref policy.Reference) {
	if change == policy.SpeedUnchanged {
		return
	}
	s.actions.Speeds = append(s.actions.Speeds, SpeedAction{Worker: h.info.ID, Change: change, Slowness: h.health.Speed.Slowness(),
		Task: t.ref, Took: took, Usual: ref.Duration()})
	if s.isReferenceAtFault(now) {
		for _, other := range s.workers {
			other.health.Speed = policy.Speed{}
		}
		s.actions.Speeds = append(s.actions.Speeds, SpeedAction{Change: policy.SpeedsForgotten, Slowness: 1})
	}
	s.placementDue = true
}

// isReferenceAtFault reports whether what tasks should take is wrong: more than half of the workers seem to have turned
// slow, and of the others no more than half show that they have not.
func (s *Shard) isReferenceAtFault(now time.Duration) bool {
	slow, sound := s.turnedSlowCount(), 0
	for _, h := range s.workers {
		if h.health.Speed.IsSound(now) {
			sound++
		}
	}
	return 2*slow > len(s.workers) && 2*sound <= len(s.workers)-slow
}

// centreInterval is how often the usual speed is set anew.
const centreInterval = 200 * time.Millisecond

// centreSpeeds makes the median of the workers' speeds the usual one, and has workers that have turned slow tried again.
func (s *Shard) centreSpeeds(now time.Duration) {
	if !s.settings.Policy.LearnSpeed || now < s.nextCentreAt {
		return
	}
	s.nextCentreAt = now + centreInterval
	speeds := make([]*policy.Speed, 0, len(s.workers))
	for _, h := range s.workers {
		h.health.Speed.RetryIfDue(now)
		speeds = append(speeds, &h.health.Speed)
	}
	policy.CentreSpeeds(speeds)
}

// speedSpread returns the ratio of the speeds of the fastest and the slowest worker.
func (s *Shard) speedSpread() float64 {
	fastest, slowest := 1.0, 1.0
	for _, h := range s.workers {
		fastest = min(fastest, h.health.Speed.Slowness())
		slowest = max(slowest, h.health.Speed.Slowness())
	}
	return slowest / fastest
}

// Slowness returns the factor by which runs on a worker take longer than usual, in coarse steps, for the next holder.
// known is false if too little is known.
func (s *Shard) Slowness(id string) (slowness float64, known bool) {
	h := s.workers[id]
	if h == nil || !s.settings.Policy.StoreSpeeds {
		return 0, false
	}
	return h.health.Speed.Coarse()
}

// SetSlowness takes over what an earlier holder knew of the speed of a worker. What is known here already is kept.
func (s *Shard) SetSlowness(now time.Duration, id string, slowness float64) {
	if h := s.workers[id]; h != nil && s.settings.Policy.LearnSpeed && s.settings.Policy.StoreSpeeds {
		h.health.Speed.Restore(now, slowness)
	}
}

// turnedSlowCount returns how many workers have turned slow.
func (s *Shard) turnedSlowCount() int {
	n := 0
	for _, h := range s.workers {
		if h.health.Speed.HasTurnedSlow() {
			n++
		}
	}
	return n
}
