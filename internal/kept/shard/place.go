package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Times after which an order is looked at again.
const (
	stopRetryInterval  = 150 * time.Millisecond
	probeRetryInterval = 300 * time.Millisecond
)

// Tick does what is due by time, and starts what can start. It is to be called
// after each round of events, and every 50 ms without any.
func (s *Shard) Tick(now time.Duration) {
	s.liftBarrier(now)
	if now >= s.nextSweepAt {
		s.nextSweepAt = now + sweepInterval
		s.sweep(now)
	}
	s.place(now)
}

// sweepInterval is how often all submissions are looked through for what is due by time. The shortest
// of those times is 40 ms.
const sweepInterval = 5 * time.Millisecond

// sweep does what is due by time.
func (s *Shard) sweep(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		s.repeatOrders(now, j)
		s.saveProgress(now, j)
		s.rejectIfTooLate(now, j)
		s.giveAwayIfEvacuated(now, j)
	}
	for _, h := range s.workers {
		s.repeatRevocations(now, h)
	}
	s.forgetMissingWorkers(now)
	s.pruneExpired(now)
}

// pruneExpired drops ended submissions that no late message can name any more.
func (s *Shard) pruneExpired(now time.Duration) {
	if now < s.nextPruneAt {
		return
	}
	s.nextPruneAt = now + endedRetention/10
	s.recentLosses = slices.DeleteFunc(s.recentLosses, func(l lostWorker) bool { return now-l.at > endedRetention })
	maps.DeleteFunc(s.earlyEnds, func(_ submission.ID, o []earlyEnd) bool { return now-o[0].at > endedRetention })
	s.forgetLateStarts(now)
	maps.DeleteFunc(s.replacedWorkers, func(_ string, d replacedWorker) bool { return now-d.at > endedRetention })
	maps.DeleteFunc(s.recentlyEnded, func(_ submission.ID, p endedJob) bool { return now-p.at > endedRetention })
}

// liftBarrier frees the tasks that an earlier holder may have started, once none
// of its runs can be left that no worker lists.
func (s *Shard) liftBarrier(now time.Duration) {
	if !s.barrierUp || !s.recordsLoaded {
		return
	}
	all := now >= s.barrierUntil || s.allAnswered()
	if !all && now < s.transientBarrierUntil {
		return
	}
	s.barrierUp = !all
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !all && !j.rec.Transient {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskUnlocated {
				s.release(now, t)
			}
		}
	}
}

func (s *Shard) allAnswered() bool {
	for _, h := range s.workers {
		if !h.hasAnswered {
			return false
		}
	}
	return len(s.workers) > 0
}

func (s *Shard) anyAnswered() bool {
	for _, h := range s.workers {
		if h.hasAnswered {
			return true
		}
	}
	return false
}

// repeatOrders repeats stops and looks that had no answer.
func (s *Shard) repeatOrders(now time.Duration, j *job) {
	for _, t := range j.tasks {
		switch t.state {
		case taskStoppingToRestart, taskStoppingForGood:
			if now-t.stateSince >= stopRetryInterval && t.stopAckClock == 0 {
				t.stateSince = now
				s.orderStop(t, "the stop had no answer")
			}
		case taskUnconfirmed:
			if now-t.stateSince >= probeRetryInterval {
				t.stateSince = now
				s.actions.Probes = append(s.actions.Probes, t.host.info.ID)
			}
		}
	}
}

// saveProgress stores the ends of a submission that goes on. Without it a worker
// would list all its later ends again in each answer.
func (s *Shard) saveProgress(now time.Duration, j *job) {
	if j.rec.Transient || j.saving || j.reassigning || j.unsavedSince == 0 || j.state.Final() || now-j.unsavedSince < s.settings.SaveDelay {
		return
	}
	j.unsavedSince = 0
	j.saving = true
	for _, h := range s.workers {
		for i := range h.unackedEnds {
			if h.unackedEnds[i].job == j {
				h.unackedEnds[i].saving = true
			}
		}
	}
	rec := *j.rec
	rec.Progress = j.progress()
	s.actions.Saves = append(s.actions.Saves, SaveAction{Record: &rec, Revision: j.revision})
}

// forget drops workers that have left the list and do not answer any more.
func (s *Shard) forgetMissingWorkers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[id]
		if h.missingSince > 0 && now-h.missingSince > missingTimeout && now-h.newestListingSentAt > missingTimeout {
			s.remove(now, id, false)
		}
	}
}

// place starts tasks: the most pressing submission first, each task on the worker
// where it ends soonest.
func (s *Shard) place(now time.Duration) {
	if !s.placementDue || !s.recordsLoaded {
		return
	}
	s.placementDue = false
	open, alone := s.divideCandidates(s.candidates(now))
	if len(open)+len(alone) == 0 {
		return
	}
	for _, j := range s.byUrgency(now) {
		for _, t := range j.tasks {
			if !j.isStartable(t) || !s.lossOutcomeKnown(now, t) {
				continue
			}
			rooms := open
			if s.isSuspect(t) {
				rooms = exclusiveCandidatesFor(j, alone)
			}
			if r := s.chooseWorker(now, t, rooms); r != nil {
				s.start(now, t, r)
			}
		}
	}
}

// byUrgency returns the submissions with tasks that may start, the most pressing first.
func (s *Shard) byUrgency(now time.Duration) []*job {
	type ranked struct {
		job     *job
		urgency policy.Urgency
	}
	var list []ranked
	for _, j := range s.jobs {
		if j.state.Final() || !j.hasStartable() {
			continue
		}
		w := s.policyWork(j)
		w.RemainingWork = j.startableWork()
		list = append(list, ranked{job: j, urgency: s.settings.Policy.Urgency(now, w)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return a.urgency.Compare(b.urgency) })
	out := make([]*job, len(list))
	for i := range list {
		out[i] = list[i].job
	}
	return out
}

// work is a submission as the policy sees it, but for what is left of it.
func (s *Shard) policyWork(j *job) *policy.Work {
	takes := s.estimatedRunTime(j)
	return &policy.Work{
		ID:            j.rec.ID,
		Priority:      j.rec.Terms.Priority,
		ReceivedAt:    j.submittedAt,
		Objective:     j.rec.Terms.Objective(takes),
		RunTime:       takes,
		CallerTimeout: j.rec.CallerTimeout,
		Started:       j.startSent,
	}
}

// startableWork is the work of the tasks that may start and have not, cores times seconds.
func (j *job) startableWork() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if j.isStartable(t) {
			sum += t.step.Estimate.Seconds() * float64(t.step.CPUMilli) / submission.MilliPerCore
		}
	}
	return sum
}

// rejectIfTooLate ends a transient submission of which nothing has run and that is not worth
// waiting for any more. The caller learns at once that it has not run.
func (s *Shard) rejectIfTooLate(now time.Duration, j *job) {
	if !j.rec.Transient || j.rec.Partial || j.state.Final() || j.hasBegun() {
		return
	}
	if reason := s.settings.Policy.KeepWaiting(now, s.policyWork(j)); reason.Refused() {
		s.endSubmission(now, j, submission.Rejected, string(reason))
	}
}

func (j *job) hasStartable() bool { return slices.ContainsFunc(j.tasks, j.isStartable) }

// remaining is the time a submission takes if all its tasks start now.
func (s *Shard) estimatedRunTime(j *job) time.Duration {
	return time.Duration(float64(j.criticalPath) * s.durationFactor(j.rec.Queue))
}

// room is what is free at a worker.
type candidate struct {
	host         *host
	freeCPUMilli int64
	freeMemMB    int64
	freeGPU      int64
	tasksByStep  map[stepKey]int

	suspect *job // a submission with a task there that must run alone
}

type stepKey struct {
	id   submission.ID
	step int
}

// rooms returns the usable workers with what is free there.
func (s *Shard) candidates(now time.Duration) []*candidate {
	byHost := make(map[*host]*candidate, len(s.workers))
	var out []*candidate
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[id]
		// How much room a run takes whose submission is not known here is not known either.
		if !s.isUsable(now, h) || len(h.strayRuns) > 0 && !s.settings.enforcesCapacity(h.info.Service) {
			continue
		}
		r := &candidate{host: h, freeCPUMilli: h.info.CPUMilli, freeMemMB: h.info.MemMB, freeGPU: h.info.GPU, tasksByStep: make(map[stepKey]int)}
		byHost[h] = r
		out = append(out, r)
	}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if !t.occupies() {
				continue
			}
			if r := byHost[t.host]; r != nil {
				r.reserve(t)
				if s.isSuspect(t) {
					r.suspect = j
				}
			}
		}
	}
	return slices.DeleteFunc(out, func(r *candidate) bool { return r.freeCPUMilli <= 0 })
}

func (r *candidate) reserve(t *task) {
	r.freeCPUMilli -= t.step.CPUMilli
	r.freeMemMB -= t.step.MemMB
	r.freeGPU -= t.step.GPU
	r.tasksByStep[stepKey{t.ref.ID, t.ref.Step}]++
}

// closed reports whether nothing may start at any worker here.
func (s *Shard) isClosed() bool { return s.evacuated || s.listOutdated }

// usable reports whether a worker may get something new.
func (s *Shard) isUsable(now time.Duration, h *host) bool {
	switch {
	case s.isClosed(), !h.hasAnswered, h.info.Leaving, now < h.fullUntil, now < h.unavailableUntil:
		return false
	case now-h.newestListingSentAt > maxSilence:
		return false
	case h.missingSince > 0 && now-h.missingSince > missingTimeout:
		return false
	default:
		return true
	}
}

// choose finds the worker on which a task ends soonest; nil if it fits nowhere.
// Of equally fast ones it takes the one that it fills best, so that wide rooms
// stay for wide tasks.
func (s *Shard) chooseWorker(now time.Duration, t *task, rooms []*candidate) *candidate {
	var best *candidate
	var bestCost float64
	for _, r := range rooms {
		if !s.fits(now, t, r) {
			continue
		}
		cost := s.settings.Policy.Cost(policy.Placement{
			Health:        &r.host.health,
			DataElsewhere: t.step.DataRack != "" && t.step.DataRack != r.host.info.Rack,
			FailedBefore:  t.avoidHost == r.host,
		})
		if best == nil || cost < bestCost || cost == bestCost && s.settings.Policy.HasBetterFit(r.freeCPUMilli, best.freeCPUMilli) {
			best, bestCost = r, cost
		}
	}
	return best
}

func (s *Shard) fits(now time.Duration, t *task, r *candidate) bool {
	info := &r.host.info
	step := t.step
	switch {
	case info.Service != t.job.rec.Terms.Service, !info.HasLabel(step.RequiredLabel):
		return false
	case step.CPUMilli > r.freeCPUMilli, step.MemMB > r.freeMemMB, step.GPU > r.freeGPU:
		return false
	case step.MaxPerWorker > 0 && r.tasksByStep[stepKey{t.ref.ID, t.ref.Step}] >= step.MaxPerWorker:
		return false
	default:
		return r.host.health.CanAccept(now, s.runCount(r))
	}
}

func (s *Shard) runCount(r *candidate) int {
	n := 0
	for _, c := range r.tasksByStep {
		n += c
	}
	return n
}

func (s *Shard) durationFactor(queue string) float64 { return s.paceByQueue[queue].Factor() }

// learn takes the time of a run that has completed.
func (s *Shard) recordDuration(now time.Duration, h *host, t *task) {
	if t.startedAt == 0 || t.step.Estimate <= 0 {
		return
	}
	queue := t.job.rec.Queue
	p := s.paceByQueue[queue]
	if p == nil {
		p = &policy.Pace{}
		s.paceByQueue[queue] = p
	}
	h.health.RecordCompletion(s.settings.Policy.Learn(p, float64(now-t.startedAt)/float64(t.step.Estimate)))
}

func (s *Shard) start(now time.Duration, t *task, r *candidate) {
	first := !t.job.startSent
	t.job.startSent = true
	t.state = taskStarting
	t.hasBegun = false
	t.newestRun = max(t.newestRun, t.job.runBase) + 1
	t.host = r.host
	t.startedRuns = append(t.startedRuns, startedRun{t.newestRun, r.host})
	r.host.recordStart(now, t.ref, t.newestRun)
	t.stateSince = now
	t.startedAt = now
	t.acceptClock = 0
	t.stopAckClock = 0
	t.progress = policy.Progress{}
	r.reserve(t)
	if t.startedAlone = s.isSuspect(t); t.startedAlone {
		r.suspect = t.job
	}
	s.actions.Starts = append(s.actions.Starts, StartAction{
		Worker:     r.host.info,
		Task:       t.ref,
		Run:        t.newestRun,
		Spec:       t.job.rec.Spec,
		Checkpoint: t.checkpoint,
		Waited:     now - t.job.submittedAt,
		Queue:      t.job.rec.Queue,
		IsFirst:    first,
		Origin:     r.host.origin,
	})
}
