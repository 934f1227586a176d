package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// byUrgency returns the submissions with startable tasks, the most urgent first.
func (s *Shard) byUrgency(now time.Duration) []*job {
	type ranked struct {
		job     *job
		urgency policy.Urgency
	}
	s.setStandings(now)
	endRate := 0.0
	if s.settings.Policy.ByLastStart {
		endRate = s.endRate()
	}
	var list []ranked
	for _, j := range s.jobs {
		if j.state.Final() || !j.hasStartable() {
			continue
		}
		w := s.policyWork(j)
		w.RemainingWork = j.startableWork()
		list = append(list, ranked{job: j, urgency: s.settings.Policy.Urgency(now+s.untilLastStart(j, endRate), w)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return a.urgency.Compare(b.urgency) })
	out := make([]*job, len(list))
	for i := range list {
		out[i] = list[i].job
	}
	return out
}

// policyWork returns a submission in the form that the policy needs, without its RemainingWork.
func (s *Shard) policyWork(j *job) *policy.Work {
	runTime := s.estimatedRunTime(j)
	return &policy.Work{
		ID:            j.rec.ID,
		Priority:      j.rec.Terms.Priority,
		ReceivedAt:    j.submittedAt,
		Objective:     s.objective(j),
		RunTime:       runTime,
		CallerTimeout: j.rec.CallerTimeout,
		Started:       j.startSent,
		Standing:      s.standing(j),
	}
}

// startableWork returns the estimated work of the startable tasks, in core-seconds.
func (j *job) startableWork() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if j.isStartable(t) {
			sum += t.step.Estimate.Seconds() * float64(t.step.CPUMilli) / submission.MilliPerCore
		}
	}
	return sum
}

// rejectIfWaitTooLong rejects a transient submission that has not begun once the policy says that waiting
// longer is of no use. Its caller learns at once that it has not run. For a submission that is divided over
// several shards, the home VM may recall all parts together.
func (s *Shard) rejectIfWaitTooLong(now time.Duration, j *job) {
	if !j.rec.Transient || j.rec.Partial || j.state.Final() || j.hasBegun() {
		return
	}
	if reason := s.settings.Policy.KeepWaiting(now, s.policyWork(j)); reason.Refused() {
		s.endSubmission(now, j, submission.Rejected, string(reason))
	}
}

func (j *job) hasStartable() bool { return slices.ContainsFunc(j.tasks, j.isStartable) }

// objective returns the time after its arrival within which a submission should be done.
func (s *Shard) objective(j *job) time.Duration { return j.rec.Terms.Objective(s.estimatedRunTime(j)) }

// estimatedRunTime returns how long a submission takes if no task has to wait for a worker.
func (s *Shard) estimatedRunTime(j *job) time.Duration {
	return timespan.Times(j.criticalPath, s.durationFactor(j.rec.Queue))
}
