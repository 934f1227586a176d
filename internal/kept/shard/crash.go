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

// lossWindow is the most between two losses of workers that may have one cause: power, a network, or a
// task. A lost worker is noticed when its lease is over, some tenths of a second after others.
const lossWindow = time.Second

// lostWorker is a worker that was lost with tasks on it.
type lostWorker struct {
	info        worker.Info
	incarnation string
	at          time.Duration
	jobs        []*job
}

// lost counts the loss of a worker against the tasks there. A worker that had given notice was not
// crashed by what ran there.
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
		s.addLoss(now, t, submission.Loss{Worker: h.incarnation, Run: t.newestRun, Weight: weight, Certain: ended})
	}
	s.actions.WorkerLosses = append(s.actions.WorkerLosses, WorkerLossAction{Worker: h.incarnation, Tasks: len(tasks), Unrelated: unrelated})
}

// blame adds a loss to what a task has taken down, and has it stored, or told to its home, before the
// task starts again.
func (s *Shard) addLoss(now time.Duration, t *task, l submission.Loss) {
	t.losses = submission.AddLoss(t.losses, l)
	t.lossChangedAt = now
	s.hasLosses = true
	if t.job.rec.Transient {
		s.actions.TaskLosses = append(s.actions.TaskLosses, TaskLossesAction{Home: t.job.rec.Home, Task: t.ref, Losses: slices.Clone(t.losses)})
		return
	}
	t.job.unsavedSince = max(now-s.settings.SaveDelay, 1)
}

// unrelatedLosses reports whether another worker went at the same moment that had no submission of the
// same ones. Then neither loss says anything of a task, and what was counted so far is taken back.
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

func shareAny(a, b []*job) bool {
	return slices.ContainsFunc(a, func(j *job) bool { return slices.Contains(b, j) })
}

// hasTasksOf reports whether any of some submissions has a task at a worker.
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

// reweigh takes the loss of a worker for one that says nothing of the tasks that were there.
func (s *Shard) discountLoss(now time.Duration, incarnation string) {
	s.updateLosses(now, incarnation, func(l *submission.Loss) { l.Weight = policy.LossContext{UnrelatedLosses: true}.Weight() })
}

// confirmLoss says that the incarnation of a worker that was lost has ended.
func (s *Shard) confirmLoss(now time.Duration, incarnation string) {
	s.updateLosses(now, incarnation, func(l *submission.Loss) { l.Certain = true })
}

// confirmLossesAt says that the workers that were lost at the address of another have ended.
func (s *Shard) confirmLossesAt(now time.Duration, newer worker.Info) {
	for _, l := range s.recentLosses {
		later := l.info.ID != newer.ID || newer.Incarnation().Succeeds(l.info.Incarnation())
		if l.info.Address == newer.Address && later {
			s.confirmLoss(now, l.incarnation)
		}
	}
}

// correct changes what is known of the loss of a worker, for all tasks that were there.
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

// withdrawLoss takes back the loss of a worker that was only silent.
func (s *Shard) withdrawLoss(now time.Duration, h *host) {
	if !h.leaseExpired {
		return
	}
	h.leaseExpired = false
	s.discountLoss(now, h.incarnation)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			t.losses = slices.DeleteFunc(t.losses, func(l submission.Loss) bool { return l.Worker == h.incarnation })
		}
	}
}

// lossOutcomeKnown reports whether it is known of a task's lost workers what became of them, if that decides
// whether it starts again.
func (s *Shard) lossOutcomeKnown(now time.Duration, t *task) bool {
	return len(t.losses) == 0 || now-t.lossChangedAt > policy.LossConfirmationTime || !s.settings.Policy.ShouldGiveUp(t.losses, true)
}

// giveUpTasks ends the submissions of tasks that take down the workers that start them.
func (s *Shard) giveUpTasks(now time.Duration, tasks []*task) {
	for _, t := range tasks {
		if t.job.state.Final() || !s.settings.Policy.ShouldGiveUp(t.losses, t.job.rec.Transient) {
			continue
		}
		s.actions.GivenUp = append(s.actions.GivenUp, GivenUpAction{Task: t.ref, Losses: slices.Clone(t.losses)})
		s.endSubmission(now, t.job, submission.Failed, "the workers that start a task of it are lost")
	}
}

// suspect reports whether a task must run alone.
func (s *Shard) isSuspect(t *task) bool {
	return len(t.losses) > 0 && s.settings.Policy.IsSuspect(t.losses)
}

// divideCandidates returns the rooms for all tasks, and those for suspects: empty ones, which are kept while
// suspects wait as under load no worker gets empty by itself, and those that suspects have. Beside a
// suspect only others of its submission start: whichever of them it is, the submission has failed.
func (s *Shard) divideCandidates(rooms []*candidate) (open, alone []*candidate) {
	if !s.hasLosses {
		return rooms, nil
	}
	wait, inUse := s.countSuspects()
	kept := min(wait, s.settings.Policy.MaxSuspectWorkers(len(s.workers))-inUse)
	byUse := slices.SortedStableFunc(slices.Values(rooms), func(a, b *candidate) int { return cmp.Compare(a.usedCPUMilli(), b.usedCPUMilli()) })
	for _, r := range byUse {
		switch {
		case r.suspect != nil:
			alone = append(alone, r)
		case kept <= 0:
			open = append(open, r)
		default:
			kept--
			if len(r.tasksByStep) == 0 {
				alone = append(alone, r)
			}
		}
	}
	return open, alone
}

// exclusiveCandidatesFor returns the rooms for suspects that those of a submission may have.
func exclusiveCandidatesFor(j *job, alone []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(alone), func(r *candidate) bool { return r.suspect != nil && r.suspect != j })
}

// countSuspects counts the suspects that may start, and the workers that suspects have.
func (s *Shard) countSuspects() (wait, inUse int) {
	s.hasLosses = false
	hosts := make(map[*host]bool)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			s.hasLosses = s.hasLosses || t.state != taskCompleted && len(t.losses) > 0
			switch {
			case t.state == taskCompleted || !s.isSuspect(t):
			case t.occupies():
				hosts[t.host] = true
			case !j.state.Final() && j.isStartable(t):
				wait++
			}
		}
	}
	return wait, len(hosts)
}

// used is the processor that is taken, in thousandths of a core.
func (r *candidate) usedCPUMilli() int64 { return r.host.info.CPUMilli - r.freeCPUMilli }
