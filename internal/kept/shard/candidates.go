package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// candidate is a usable worker with its free capacity.
type candidate struct {
	host         *host
	freeCPUMilli int64
	freeMemMB    int64
	freeGPU      int64
	tasks        int             // that it has
	limited      map[stepKey]int // those of steps with a limit per worker; nil: none
	reserved     pool.Resources  // not part of the free capacity

	suspect    *job // the submission of a suspect task that runs there; nil: none
	lastResort bool // all workers that could be used are ejected: see areAllEjected
}

// stepKey identifies a step of a submission.
type stepKey struct {
	id   submission.ID
	step int
}

// candidates returns the usable workers that have free CPU.
func (s *Shard) candidates(now time.Duration) []*candidate { return withFreeCPU(s.usableWorkers(now)) }

func withFreeCPU(workers []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(workers), func(c *candidate) bool { return c.freeCPUMilli <= 0 })
}

// usableWorkers returns the usable workers with their free capacity, less what is reserved.
func (s *Shard) usableWorkers(now time.Duration) []*candidate {
	byHost := make(map[*host]*candidate, len(s.workers))
	lastResort := s.areAllEjected(now)
	all := make([]candidate, 0, len(s.workers)) // never grows: out points into it
	out := make([]*candidate, 0, len(s.workers))
	for _, id := range s.workerIDs {
		h := s.workers[id]
		// The resources that a stray run uses are not known, so a worker that does not refuse tasks beyond its
		// capacity gets no others beside it.
		if !s.isUsable(now, h) || len(h.strayRuns) > 0 && !s.settings.enforcesCapacity(h.info.Service) {
			continue
		}
		all = append(all, candidate{host: h, freeCPUMilli: h.info.CPUMilli - h.strayCPUMilli, freeMemMB: h.info.MemMB, freeGPU: h.info.GPU, lastResort: lastResort})
		c := &all[len(all)-1]
		c.takeReserved(s.reserved[id])
		byHost[h] = c
		out = append(out, c)
	}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			h := t.host
			switch {
			case t.reservesPlace():
				h = t.attemptAt
			case !t.occupies():
				continue
			}
			if c := byHost[h]; c != nil {
				s.takePlace(t, c)
			}
		}
	}
	return out
}

// takePlace takes the resources of a task from a candidate, which a suspect has to itself then.
func (s *Shard) takePlace(t *task, c *candidate) {
	c.reserve(t)
	if s.isSuspect(t) {
		c.suspect = t.job
	}
}

// reserve takes the resources of a task from the free capacity.
func (c *candidate) reserve(t *task) {
	c.freeCPUMilli -= t.step.CPUMilli
	c.freeMemMB -= t.step.MemMB
	c.freeGPU -= t.step.GPU
	c.tasks++
	if t.step.MaxPerWorker > 0 {
		if c.limited == nil {
			c.limited = make(map[stepKey]int)
		}
		c.limited[stepKey{t.ref.ID, t.ref.Step}]++
	}
}

// isClosed reports whether no task may start in the whole shard.
func (s *Shard) isClosed() bool { return s.evacuated || s.listOutdated }

// isUsable reports whether new tasks may be started on a worker.
func (s *Shard) isUsable(now time.Duration, h *host) bool {
	switch {
	case s.isClosed(), !h.isInService(now), now < h.fullUntil, now < h.unavailableUntil, h.leaseLimit < now+minLeaseAtStart:
		return false
	default:
		return !h.hasMoreEnded && now-h.newestListingSentAt <= maxSilence
	}
}

// chooseWorker returns the best worker for a task, or nil if it fits on none, and whether the task is likely to miss
// its objective there.
// Of equally fast ones it prefers the best fit if the policy is set so, which keeps large free capacity
// for large tasks.
func (s *Shard) chooseWorker(now time.Duration, t *task, candidates []*candidate) (best *candidate, late bool) {
	var bestRank policy.Rank
	runTime := s.expectedRunTime(t)
	left := t.job.submittedAt + s.objective(t.job) - now
	for _, c := range candidates {
		if !s.fits(now, t, c) {
			continue
		}
		rank := s.settings.Policy.Rank(policy.Placement{
			Health:        &c.host.health,
			DataElsewhere: t.step.DataRack != "" && t.step.DataRack != c.host.info.Rack,
			FailedBefore:  t.avoidHost == c.host,
			RunTime:       runTime,
			Left:          left,
		})
		order := rank.Compare(bestRank)
		if best == nil || order < 0 || order == 0 && s.settings.Policy.HasBetterFit(c.freeCPUMilli, best.freeCPUMilli) {
			best, bestRank = c, rank
		}
	}
	return best, bestRank.Late
}

// fits reports whether a task may be started on a candidate.
func (s *Shard) fits(now time.Duration, t *task, c *candidate) bool {
	step := t.step
	switch {
	case !t.suits(&c.host.info):
		return false
	case step.CPUMilli > c.freeCPUMilli, step.MemMB > c.freeMemMB, step.GPU > c.freeGPU:
		return false
	case step.MaxPerWorker > 0 && c.limited[stepKey{t.ref.ID, t.ref.Step}] >= step.MaxPerWorker:
		return false
	default:
		return mayGet(now, t, c, c.tasks)
	}
}

// fitsAlone reports whether a task could be started on a candidate that had no other tasks.
func fitsAlone(now time.Duration, t *task, c *candidate) bool {
	return t.suits(&c.host.info) && mayGet(now, t, c, 0)
}

// mayGet reports whether the health of a candidate allows it one more task while it has a number of tasks.
func mayGet(now time.Duration, t *task, c *candidate, tasks int) bool {
	return c.host.health.CanAccept(now, tasks) || tasks == 0 && !t.job.rec.Transient && c.lastResort
}

// suits reports whether a worker without other tasks has what the task needs.
func (t *task) suits(w *worker.Info) bool {
	return w.SuitsStep(t.job.rec.Terms.Service, t.step)
}

// areAllEjected reports whether all workers that could be used are ejected. Then the tasks are more likely to be at
// fault than the workers, and a stored submission cannot go to another shard: it would wait though the workers are idle.
// So each ejected worker gets one task of a stored submission at a time.
func (s *Shard) areAllEjected(now time.Duration) bool {
	for _, h := range s.workers {
		if s.isUsable(now, h) && !h.health.IsEjected(now) {
			return false
		}
	}
	return true
}
