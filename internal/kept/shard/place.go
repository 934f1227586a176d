package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
)

// place starts tasks, those of the most urgent submission first, each on the worker where it should
// complete soonest. Suspect tasks, which may have crashed earlier workers, start only on exclusive candidates.
func (s *Shard) place(now time.Duration) {
	if !s.placementDue || !s.recordsLoaded {
		return
	}
	s.placementDue = false
	s.confirmAllStoredLosses(now)
	s.startAttempted(now)
	usable := s.usableWorkers(now)
	shared, exclusive := s.divideCandidates(now, withFreeCPU(usable))
	defer s.keepRoom(usable, shared)
	if len(shared)+len(exclusive) == 0 {
		s.setStandings(now) // which the load reports tell
		return
	}
	s.freeMilli = 0
	for _, c := range shared {
		s.freeMilli += c.freeCPUMilli
	}
	order := s.byUrgency(now)
	if s.startInOrder(now, order, shared, exclusive, false) {
		s.startInOrder(now, order, shared, exclusive, true)
	}
}

// startInOrder starts the tasks that can start. Without acceptLate it passes over tasks that would miss their
// objective on each free worker, and not on a faster one: workers that are too slow for them are for tasks that have
// time to spare. It reports whether it has passed over any.
func (s *Shard) startInOrder(now time.Duration, order []*job, shared, exclusive []*candidate, acceptLate bool) (passedOver bool) {
	for _, j := range order {
		for _, t := range j.tasks {
			if !j.isStartable(t) || j.confirmation.isStale || t.reservesPlace() || !s.lossOutcomeKnown(now, t) {
				continue
			}
			candidates := shared
			if s.isSuspect(t) {
				candidates = exclusiveCandidatesFor(j, exclusive)
			}
			switch c, late := s.chooseWorker(now, t, candidates); {
			case c == nil:
			case late && !acceptLate:
				passedOver = true
			default:
				s.startOn(now, t, c)
			}
		}
	}
	return passedOver
}

// durationFactor returns how many times its estimate a run of a queue usually takes.
func (s *Shard) durationFactor(queue string) float64 { return s.paceByQueue[queue].Factor() }

// recordDuration updates the pace of the queue and the worker's health from a completed run.
func (s *Shard) recordDuration(now time.Duration, h *host, t *task) {
	if t.startedAt == 0 || t.step.Estimate <= 0 {
		return
	}
	ratio := float64(now-t.startedAt) / float64(t.step.Estimate)
	h.health.RecordCompletion(s.settings.Policy.Learn(s.pace(t.job.rec.Queue), ratio))
}

// pace returns the pace of a queue.
func (s *Shard) pace(queue string) *policy.Pace {
	p := s.paceByQueue[queue]
	if p == nil {
		p = &policy.Pace{}
		s.paceByQueue[queue] = p
	}
	return p
}

// start orders a run of a task on a candidate.
func (s *Shard) start(now time.Duration, t *task, c *candidate) {
	first := !t.job.startSent
	t.job.startSent = true
	t.state = taskStarting
	t.hasBegun = false
	t.newestRun = max(t.newestRun, t.job.runBase) + 1
	t.host = c.host
	t.startedRuns = append(t.startedRuns, startedRun{t.newestRun, c.host})
	c.host.recordStart(now, t.ref, t.newestRun)
	c.host.startsVoidAt = now + startValidity
	c.host.leaseLimit = min(c.host.leaseLimit, t.job.leaseLimit())
	t.stateSince = now
	t.startedAt = now
	t.acceptClock = 0
	t.stopAckClock = 0
	t.resumed = t.checkpoint != ""
	t.wasOverdue = false
	t.projected = 0
	t.markClock = 0
	t.progress = policy.Progress{}
	t.startedAlone = s.isSuspect(t)
	s.takePlace(t, c)
	s.recordService(now, t)
	s.actions.Starts = append(s.actions.Starts, StartAction{
		Worker:     c.host.info,
		Task:       t.ref,
		Run:        t.newestRun,
		Spec:       t.job.rec.Spec,
		Checkpoint: t.checkpoint,
		Waited:     now - t.job.submittedAt,
		Queue:      t.job.rec.Queue,
		IsFirst:    first,
		Serial:     t.job.rec.Serial,
		Home:       t.job.rec.Home,
		Origin:     c.host.origin,
	})
}
