package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Intervals at which orders without an answer are repeated.
const (
	stopRetryInterval  = 150 * time.Millisecond
	failedStopDelay    = 20 * time.Millisecond // after a stop has failed, as when its connection was reset
	probeRetryInterval = 300 * time.Millisecond
)

// Tick carries out what has become due and starts the tasks that can start. The caller calls it after
// each batch of events, and at least every 50 ms.
func (s *Shard) Tick(now time.Duration) {
	s.liftBarrier(now)
	if now >= s.nextSweepAt {
		s.nextSweepAt = now + sweepInterval
		s.sweep(now)
	}
	s.place(now)
}

// sweepInterval is how often all submissions are checked for retries and time-outs that are due. The
// shortest fixed interval among these is stopRetryInterval.
const sweepInterval = 5 * time.Millisecond

// sweep carries out the retries and time-outs that are due.
func (s *Shard) sweep(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		s.repeatOrders(now, j)
		s.retryWrite(now, j)
		s.saveProgress(now, j)
		s.rejectIfWaitTooLong(now, j)
		s.drainIfEvacuated(now, j)
		s.confirm(now, j)
	}
	for _, id := range s.workerIDs {
		h := s.workers[id]
		s.repeatRevocations(now, h)
		s.endHandover(now, h)
		if h.releaseAt > 0 {
			s.releaseExpired(now, h)
		}
	}
	s.updateLeaseLimits(now)
	s.moveStranded(now)
	s.forgetMissingWorkers(now)
	s.centreSpeeds(now)
	s.pruneExpired(now)
}

// pruneExpired removes what is remembered of ended submissions, lost workers and replaced incarnations
// once no delayed message can refer to it any more.
func (s *Shard) pruneExpired(now time.Duration) {
	if now < s.nextPruneAt {
		return
	}
	s.nextPruneAt = now + endedRetention/10
	s.recentLosses = slices.DeleteFunc(s.recentLosses, func(l lostWorker) bool { return now-l.at > endedRetention })
	maps.DeleteFunc(s.earlyEnds, func(_ submission.ID, o []earlyEnd) bool { return now-o[0].at > endedRetention })
	maps.DeleteFunc(s.revoked, func(_ submission.ID, at time.Duration) bool { return now-at > endedRetention })
	s.pruneStarts(now)
	maps.DeleteFunc(s.replacedWorkers, func(_ string, d replacedWorker) bool { return now-d.at > endedRetention })
	maps.DeleteFunc(s.recentlyEnded, func(_ submission.ID, p endedJob) bool { return now-p.at > endedRetention })
}

// liftBarrier releases the tasks that an earlier holder may have started, once each run that it left has
// ended or is listed by a worker: when all workers have answered, or the leases of the earlier holders have
// expired. For transient submissions that is the case earlier, at transientBarrierUntil. It waits for workers that have
// more ended runs than they list at a time.
func (s *Shard) liftBarrier(now time.Duration) {
	if !s.barrierUp || !s.recordsLoaded {
		return
	}
	all := now >= s.barrierUntil || s.allAnswered()
	if !all && now < s.transientBarrierUntil || s.moreEndsToCome() {
		return
	}
	s.barrierUp = !all
	var vanished []*task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !all && !j.rec.Transient {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskUnlocated {
				s.countVanished(now, t)
				s.confirmStoredLosses(now, t)
				vanished = append(vanished, t)
				s.release(now, t, BarrierLifted)
			}
		}
	}
	s.giveUpTasks(now, vanished)
}

func (s *Shard) allAnswered() bool {
	for _, h := range s.workers {
		if !h.hasAnswered {
			return false
		}
	}
	return len(s.workers) > 0
}

// moreEndsToCome reports whether a worker may have ended runs that it has not listed yet.
func (s *Shard) moreEndsToCome() bool {
	for _, h := range s.workers {
		if h.hasMoreEnded && !h.leaseExpired {
			return true
		}
	}
	return false
}

func (s *Shard) anyAnswered() bool {
	for _, h := range s.workers {
		if h.hasAnswered {
			return true
		}
	}
	return false
}

// repeatOrders repeats the stop orders and probes of a submission that had no answer.
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

// saveProgress stores the progress of a submission that goes on, so that its ended runs can be
// acknowledged. Ends are acknowledged in order, so the worker would otherwise list all its later ends
// in each answer.
func (s *Shard) saveProgress(now time.Duration, j *job) {
	if j.rec.Transient || j.saving || j.writeRetryAt > 0 || j.reassigning || j.unsavedSince == 0 || j.state.Final() || now-j.unsavedSince < s.settings.SaveDelay {
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
	j.changeAttempts(attemptWanted, attemptSaving)
	rec := *j.rec
	rec.Progress = j.progress()
	s.actions.Saves = append(s.actions.Saves, SaveAction{Record: &rec, Revision: j.revision})
}

// saveAtOnce makes the progress of a submission due to be stored, in place of after SaveDelay.
func (s *Shard) saveAtOnce(now time.Duration, j *job) {
	j.unsavedSince = max(now-s.settings.SaveDelay, 1) // 0 means that there is nothing to store
}

// forgetMissingWorkers removes workers that have left the list and no longer answer.
func (s *Shard) forgetMissingWorkers(now time.Duration) {
	for _, id := range s.workerIDs {
		h := s.workers[id]
		if h.isMissing(now) && now-h.newestListingSentAt > missingTimeout {
			s.remove(now, id, false, WorkerForgotten)
		}
	}
}
