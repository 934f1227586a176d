package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// lossWindow is the maximum time between the detection of two worker losses that may have the same cause:
// a power cut, a network failure, or a task. A loss is detected when the worker's lease expires, which for
// several workers may be some tenths of a second apart.
const lossWindow = time.Second

// lostWorker is a worker that was lost while it had tasks.
type lostWorker struct {
	info        worker.Info
	incarnation string
	at          time.Duration
	jobs        []*job
}

// recordLoss records the loss of a worker as evidence against the tasks there. A worker that had announced
// that it leaves was not crashed by its tasks. ended says that its incarnation has certainly ended.
func (s *Shard) recordLoss(now time.Duration, h *host, tasks []*task, ended bool) {
	tasks = slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return t.state == taskStoppingForGood || t.job.state.Final() })
	if len(tasks) == 0 || h.info.Leaving {
		return
	}
	lost := lostWorker{info: h.info, incarnation: h.incarnation, at: now}
	for _, t := range tasks {
		if !slices.Contains(lost.jobs, t.job) {
			lost.jobs = append(lost.jobs, t.job)
		}
	}
	unrelated := s.unrelatedLosses(now, h, lost.jobs)
	s.recentLosses = append(s.recentLosses, lost)
	for _, t := range tasks {
		weight := policy.LossContext{StartedAlone: t.startedAlone, KnownToRun: t.hasBegun, UnrelatedLosses: unrelated}.Weight()
		under := t.hasBegun && (ended || h.endedInLease)
		s.addLoss(now, t, submission.Loss{Worker: h.incarnation, Address: h.info.Address, Run: t.newestRun, Weight: weight, Certain: ended, Under: under})
	}
	s.actions.WorkerLosses = append(s.actions.WorkerLosses, WorkerLossAction{Worker: h.incarnation, Tasks: len(tasks), Unrelated: unrelated})
}

// addLoss adds a loss to those of a task, and has it stored or reported to the home VM before the task
// starts again.
func (s *Shard) addLoss(now time.Duration, t *task, l submission.Loss) {
	t.losses = submission.AddLoss(t.losses, l)
	if _, known := t.lossLearntAt[l.Run]; !known {
		if t.lossLearntAt == nil {
			t.lossLearntAt = make(map[uint64]time.Duration)
		}
		t.lossLearntAt[l.Run] = now
	}
	if t.occupies() && l.Run == t.newestRun {
		t.attempt = noAttempt // the loss takes its place in the record
	}
	s.hasLosses = true
	if t.job.rec.Transient {
		s.actions.TaskLosses = append(s.actions.TaskLosses, TaskLossesAction{Home: t.job.rec.Home, Task: t.ref, Losses: slices.Clone(t.losses)})
		return
	}
	s.saveAtOnce(now, t.job)
}

// unrelatedLosses reports whether a worker that had none of the given submissions was lost at the same
// moment, or is silent now and so probably is. Neither loss is evidence against a task then, and the weight
// of the earlier ones is taken back.
func (s *Shard) unrelatedLosses(now time.Duration, h *host, jobs []*job) bool {
	unrelated := false
	for _, l := range s.recentLosses {
		if now-l.at > lossWindow || l.incarnation == h.incarnation || shareAny(l.jobs, jobs) {
			continue
		}
		unrelated = true
		s.discountLoss(now, l.incarnation)
	}
	for _, other := range s.workers {
		silent := other.hasAnswered && now-other.newestListingSentAt > maxSilence
		unrelated = unrelated || other != h && silent && !other.leaseExpired && !other.info.Leaving && !s.hasTasksOf(other, jobs)
	}
	return unrelated
}

// shareAny reports whether two lists of submissions have one in common.
func shareAny(a, b []*job) bool {
	return slices.ContainsFunc(a, func(j *job) bool { return slices.Contains(b, j) })
}

// hasTasksOf reports whether any of the submissions has a task on a worker.
func (s *Shard) hasTasksOf(h *host, jobs []*job) bool {
	for _, j := range jobs {
		for _, t := range j.tasks {
			if t.host == h && t.occupies() {
				return true
			}
		}
	}
	return false
}

// discountLoss sets the weight of a worker's loss to that of an unrelated one, which is no evidence against
// the tasks that were there.
func (s *Shard) discountLoss(now time.Duration, incarnation string) {
	s.updateLosses(now, incarnation, func(l *submission.Loss) { l.Weight = policy.LossContext{UnrelatedLosses: true}.Weight() })
}

// confirmLoss records that the incarnation of a lost worker has certainly ended.
func (s *Shard) confirmLoss(now time.Duration, incarnation string) {
	s.updateLosses(now, incarnation, func(l *submission.Loss) { l.Certain = true })
}

// confirmLossesAt confirms the losses of workers at the address of a newer one.
func (s *Shard) confirmLossesAt(now time.Duration, newer worker.Info) {
	for _, l := range s.recentLosses {
		later := l.info.ID != newer.ID || newer.Incarnation().Succeeds(l.info.Incarnation())
		if l.info.Address == newer.Address && later {
			s.confirmLoss(now, l.incarnation)
		}
	}
}

// updateLosses changes the loss of a worker in all tasks that have it, and gives up those for which it is
// one too many.
func (s *Shard) updateLosses(now time.Duration, incarnation string, change func(*submission.Loss)) {
	if !s.hasLosses {
		return
	}
	var tasks []*task
	for _, key := range slices.Sorted(maps.Keys(s.jobs)) {
		for _, t := range s.jobs[key].tasks {
			for _, l := range t.losses {
				before := l
				if change(&l); l.Worker == incarnation && l != before {
					s.addLoss(now, t, l)
					tasks = append(tasks, t)
				}
			}
		}
	}
	s.giveUpTasks(now, tasks)
}

// withdrawLoss takes back the loss of a worker that answers again after its lease had expired.
func (s *Shard) withdrawLoss(now time.Duration, h *host) {
	if !h.leaseExpired {
		return
	}
	h.leaseExpired = false
	h.releaseAt = 0
	s.discountLoss(now, h.incarnation)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			t.losses = slices.DeleteFunc(t.losses, func(l submission.Loss) bool { return l.Worker == h.incarnation })
		}
	}
}

// lossOutcomeKnown reports whether a task may start as far as its losses are concerned. If uncertain losses
// would be enough to give it up, it has to wait until it is known, or no longer likely to be learnt, whether
// the workers have ended.
func (s *Shard) lossOutcomeKnown(now time.Duration, t *task) bool {
	if len(t.losses) == 0 {
		return true
	}
	mayCount := slices.DeleteFunc(slices.Clone(t.losses), func(l submission.Loss) bool {
		learntAt, learntHere := t.lossLearntAt[l.Run]
		return !l.Certain && (!learntHere || now-learntAt > policy.LossConfirmationTime)
	})
	if t.job.rec.Transient {
		return !s.settings.Policy.ShouldGiveUp(mayCount, true)
	}
	return !s.settings.Policy.MayGiveUp(mayCount)
}

// giveUpTasks fails the submissions of those tasks that have lost too many workers.
func (s *Shard) giveUpTasks(now time.Duration, tasks []*task) {
	for _, t := range tasks {
		if t.job.state.Final() || !s.settings.Policy.ShouldGiveUp(t.losses, t.job.rec.Transient) {
			continue
		}
		s.actions.GivenUp = append(s.actions.GivenUp, GivenUpAction{Task: t.ref, Losses: slices.Clone(t.losses)})
		s.endSubmission(now, t.job, submission.Failed, "the workers that start a task of it are lost")
	}
}

// isSuspect reports whether a task must run alone on its worker, as it may have crashed earlier ones.
func (s *Shard) isSuspect(t *task) bool {
	return len(t.losses) > 0 && s.settings.Policy.IsSuspect(t.losses)
}

// divideCandidates divides the candidates into shared ones, for all other tasks, and exclusive ones for
// suspects. A suspect runs on a worker without other tasks. Under load no worker becomes idle by itself, so
// while suspects wait, workers are reserved for them: they get no new tasks, and become exclusive once they
// are idle. Beside a suspect only suspects of the same submission start: whichever of them crashes the worker,
// the submission has failed.
func (s *Shard) divideCandidates(now time.Duration, candidates []*candidate) (shared, exclusive []*candidate) {
	if !s.hasLosses {
		return candidates, nil
	}
	waiting, inUse := s.waitingSuspects()
	byUse := slices.SortedStableFunc(slices.Values(candidates), func(a, b *candidate) int { return cmp.Compare(a.usedCPUMilli(), b.usedCPUMilli()) })
	reserved := reserveForSuspects(now, waiting, byUse, s.settings.Policy.MaxSuspectWorkers(len(s.workers))-inUse)
	for _, c := range byUse {
		switch {
		case c.suspect != nil:
			exclusive = append(exclusive, c)
		case !reserved[c]:
			shared = append(shared, c)
		case c.tasks == 0:
			exclusive = append(exclusive, c)
		}
	}
	return shared, exclusive
}

// reserveForSuspects chooses the least used worker that can run it for each suspect, up to limit workers in all. The
// candidates are sorted by their use.
func reserveForSuspects(now time.Duration, waiting []*task, byUse []*candidate, limit int) map[*candidate]bool {
	reserved := make(map[*candidate]bool)
	var unserved *submission.Step // the last step without a worker; its other tasks have none either
	for _, t := range waiting {
		if len(reserved) >= limit {
			break
		}
		if t.step == unserved {
			continue
		}
		i := slices.IndexFunc(byUse, func(c *candidate) bool { return c.suspect == nil && !reserved[c] && fitsAlone(now, t, c) })
		if i < 0 {
			unserved = t.step
			continue
		}
		reserved[byUse[i]] = true
	}
	return reserved
}

// exclusiveCandidatesFor returns the exclusive candidates that suspects of a submission may use.
func exclusiveCandidatesFor(j *job, exclusive []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(exclusive), func(c *candidate) bool { return c.suspect != nil && c.suspect != j })
}

// waitingSuspects returns the suspects that wait for a worker, the oldest submission's first, and how many workers
// suspects use.
func (s *Shard) waitingSuspects() (waiting []*task, inUse int) {
	s.hasLosses = false
	hosts := make(map[*host]bool)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			s.hasLosses = s.hasLosses || t.state != taskCompleted && len(t.losses) > 0
			switch {
			case t.state == taskCompleted || !s.isSuspect(t):
			case t.reservesPlace():
				hosts[t.attemptAt] = true
			case t.occupies():
				hosts[t.host] = true
			case !j.state.Final() && j.isStartable(t):
				waiting = append(waiting, t)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.submittedAt, b.job.submittedAt), cmp.Compare(a.ref.ID, b.ref.ID),
			cmp.Compare(a.ref.Step, b.ref.Step), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	return waiting, len(hosts)
}

// usedCPUMilli returns the CPU that tasks use on the worker, in thousandths of a core.
func (c *candidate) usedCPUMilli() int64 { return c.host.info.CPUMilli - c.freeCPUMilli }
