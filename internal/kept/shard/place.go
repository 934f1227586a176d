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
	stopAgain = 150 * time.Millisecond
	lookAgain = 300 * time.Millisecond
)

// Tick does what is due by time, and starts what can start. It is to be called
// after each round of events, and every 50 ms without any.
func (s *Shard) Tick(now time.Duration) {
	s.liftBarrier(now)
	if now >= s.sweepAt {
		s.sweepAt = now + sweepEvery
		s.sweep(now)
	}
	s.place(now)
}

// sweepEvery is how often all submissions are looked through for what is due by time. The shortest
// of those times is 40 ms.
const sweepEvery = 5 * time.Millisecond

// sweep does what is due by time.
func (s *Shard) sweep(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		s.repeatOrders(now, j)
		s.saveProgress(now, j)
		s.rejectHopeless(now, j)
		s.giveAwayIfEvacuated(now, j)
	}
	for _, h := range s.workers {
		s.repeatRevocations(now, h)
	}
	s.forget(now)
	s.forgetPast(now)
}

// forgetPast drops ended submissions that no late message can name any more.
func (s *Shard) forgetPast(now time.Duration) {
	if now < s.pruneAt {
		return
	}
	s.pruneAt = now + pastFor/10
	s.losses = slices.DeleteFunc(s.losses, func(l lostWorker) bool { return now-l.at > pastFor })
	maps.DeleteFunc(s.orphans, func(_ submission.ID, o []orphanEnd) bool { return now-o[0].at > pastFor })
	s.forgetLateStarts(now)
	maps.DeleteFunc(s.dead, func(_ string, d deadWorker) bool { return now-d.at > pastFor })
	maps.DeleteFunc(s.past, func(_ submission.ID, p endedJob) bool { return now-p.at > pastFor })
}

// liftBarrier frees the tasks that an earlier holder may have started, once none
// of its runs can be left that no worker lists.
func (s *Shard) liftBarrier(now time.Duration) {
	if !s.barred || !s.scanned {
		return
	}
	all := now >= s.barrierAt || s.allListed()
	if !all && now < s.shortAt {
		return
	}
	s.barred = !all
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

func (s *Shard) allListed() bool {
	for _, h := range s.workers {
		if !h.hasAnswered {
			return false
		}
	}
	return len(s.workers) > 0
}

func (s *Shard) anyListed() bool {
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
			if now-t.stateSince >= stopAgain && t.stopAckClock == 0 {
				t.stateSince = now
				s.stop(t, "the stop had no answer")
			}
		case taskUnconfirmed:
			if now-t.stateSince >= lookAgain {
				t.stateSince = now
				s.out.Probes = append(s.out.Probes, t.host.info.ID)
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
	s.out.Saves = append(s.out.Saves, SaveAction{Record: &rec, Revision: j.revision})
}

// forget drops workers that have left the list and do not answer any more.
func (s *Shard) forget(now time.Duration) {
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
	if !s.dirty || !s.scanned {
		return
	}
	s.dirty = false
	open, alone := s.divideCandidates(s.rooms(now))
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
			if r := s.choose(now, t, rooms); r != nil {
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
		if j.state.Final() || !j.anyStartable() {
			continue
		}
		w := s.work(j)
		w.RemainingWork = j.workLeft()
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
func (s *Shard) work(j *job) *policy.Work {
	takes := s.remaining(j)
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

// workLeft is the work of the tasks that may start and have not, cores times seconds.
func (j *job) workLeft() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if j.isStartable(t) {
			sum += t.step.Estimate.Seconds() * float64(t.step.CPUMilli) / submission.MilliPerCore
		}
	}
	return sum
}

// rejectHopeless ends a transient submission of which nothing has run and that is not worth
// waiting for any more. The caller learns at once that it has not run.
func (s *Shard) rejectHopeless(now time.Duration, j *job) {
	if !j.rec.Transient || j.rec.Partial || j.state.Final() || j.hasBegun() {
		return
	}
	if reason := s.settings.Policy.KeepWaiting(now, s.work(j)); reason.Refused() {
		s.end(now, j, submission.Rejected, string(reason))
	}
}

func (j *job) anyStartable() bool { return slices.ContainsFunc(j.tasks, j.isStartable) }

// remaining is the time a submission takes if all its tasks start now.
func (s *Shard) remaining(j *job) time.Duration {
	return time.Duration(float64(j.criticalPath) * s.factor(j.rec.Queue))
}

// room is what is free at a worker.
type room struct {
	host    *host
	cpu     int64
	mem     int64
	gpu     int64
	byTasks map[stepKey]int

	suspect *job // a submission with a task there that must run alone
}

type stepKey struct {
	id   submission.ID
	step int
}

// rooms returns the usable workers with what is free there.
func (s *Shard) rooms(now time.Duration) []*room {
	byHost := make(map[*host]*room, len(s.workers))
	var out []*room
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[id]
		// How much room a run takes whose submission is not known here is not known either.
		if !s.usable(now, h) || len(h.strays) > 0 && !s.settings.enforcesCapacity(h.info.Service) {
			continue
		}
		r := &room{host: h, cpu: h.info.CPUMilli, mem: h.info.MemMB, gpu: h.info.GPU, byTasks: make(map[stepKey]int)}
		byHost[h] = r
		out = append(out, r)
	}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if !t.occupies() {
				continue
			}
			if r := byHost[t.host]; r != nil {
				r.take(t)
				if s.isSuspect(t) {
					r.suspect = j
				}
			}
		}
	}
	return slices.DeleteFunc(out, func(r *room) bool { return r.cpu <= 0 })
}

func (r *room) take(t *task) {
	r.cpu -= t.step.CPUMilli
	r.mem -= t.step.MemMB
	r.gpu -= t.step.GPU
	r.byTasks[stepKey{t.ref.ID, t.ref.Step}]++
}

// closed reports whether nothing may start at any worker here.
func (s *Shard) closed() bool { return s.evacuated || s.outdated }

// usable reports whether a worker may get something new.
func (s *Shard) usable(now time.Duration, h *host) bool {
	switch {
	case s.closed(), !h.hasAnswered, h.info.Leaving, now < h.fullUntil, now < h.unavailableUntil:
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
func (s *Shard) choose(now time.Duration, t *task, rooms []*room) *room {
	var best *room
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
		if best == nil || cost < bestCost || cost == bestCost && s.settings.Policy.HasBetterFit(r.cpu, best.cpu) {
			best, bestCost = r, cost
		}
	}
	return best
}

func (s *Shard) fits(now time.Duration, t *task, r *room) bool {
	info := &r.host.info
	step := t.step
	switch {
	case info.Service != t.job.rec.Terms.Service, !info.HasLabel(step.RequiredLabel):
		return false
	case step.CPUMilli > r.cpu, step.MemMB > r.mem, step.GPU > r.gpu:
		return false
	case step.MaxPerWorker > 0 && r.byTasks[stepKey{t.ref.ID, t.ref.Step}] >= step.MaxPerWorker:
		return false
	default:
		return r.host.health.CanAccept(now, s.runsOn(r))
	}
}

func (s *Shard) runsOn(r *room) int {
	n := 0
	for _, c := range r.byTasks {
		n += c
	}
	return n
}

func (s *Shard) factor(queue string) float64 { return s.pace[queue].Factor() }

// learn takes the time of a run that has completed.
func (s *Shard) learn(now time.Duration, h *host, t *task) {
	if t.startedAt == 0 || t.step.Estimate <= 0 {
		return
	}
	queue := t.job.rec.Queue
	p := s.pace[queue]
	if p == nil {
		p = &policy.Pace{}
		s.pace[queue] = p
	}
	h.health.RecordCompletion(s.settings.Policy.Learn(p, float64(now-t.startedAt)/float64(t.step.Estimate)))
}

func (s *Shard) start(now time.Duration, t *task, r *room) {
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
	r.take(t)
	if t.startedAlone = s.isSuspect(t); t.startedAlone {
		r.suspect = t.job
	}
	s.out.Starts = append(s.out.Starts, StartAction{
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
