package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A holder that is lost soon after a worker takes what it knows of that worker's loss with it. If the loss has not been
// stored, the next holder starts the tasks as if nothing had happened, and a task that crashes its workers would go on
// with each change of the holder. So the start of a task that may have crashed a worker is stored first, with the
// worker, as an attempt. The next holder counts it as a loss if that worker has ended and no worker lists a run.

// attemptState says whether the record of a stored submission names an attempt of this holder at a task.
type attemptState uint8

const (
	noAttempt attemptState = iota
	attemptWanted
	attemptSaving // part of the progress that is being stored
	attemptStored
)

// startOn starts a task on a candidate, or reserves its place there and has the attempt stored, if the next holder has
// to learn of it. While the store is down, such a task waits.
func (s *Shard) startOn(now time.Duration, t *task, c *candidate) {
	if !s.needsAttempt(t) {
		s.start(now, t, c)
		return
	}
	t.attempt = attemptWanted
	t.attemptAt = c.host
	s.hasAttempts = true
	s.saveAtOnce(now, t.job)
	s.takePlace(t, c)
}

// startAttempted starts the tasks whose attempts are stored. If the worker cannot be used any more, the task gets
// another one.
func (s *Shard) startAttempted(now time.Duration) {
	if !s.hasAttempts {
		return
	}
	s.hasAttempts = false
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		for _, t := range s.jobs[id].tasks {
			s.hasAttempts = s.hasAttempts || t.reservesPlace()
			if t.attempt != attemptStored || t.state != taskWaiting {
				continue
			}
			h := t.attemptAt
			if s.workers[h.info.ID] != h || !s.isUsable(now, h) || !t.job.isStartable(t) {
				t.attempt = noAttempt
				continue
			}
			s.start(now, t, &candidate{host: h})
		}
	}
}

// reservesPlace reports whether a waiting task has a place on a worker while its attempt is being stored.
func (t *task) reservesPlace() bool { return t.state == taskWaiting && t.attempt != noAttempt }

// needsAttempt reports whether the next holder has to learn of a run of the task that is lost with its worker and this
// holder.
func (s *Shard) needsAttempt(t *task) bool {
	return !t.job.rec.Transient && s.settings.Policy.LossEvidence > 0 && (t.mayHaveVanished || len(t.losses) > 0)
}

// changeAttempts changes the state of all attempts of a submission that are in one state.
func (j *job) changeAttempts(from, to attemptState) {
	for _, t := range j.tasks {
		if t.attempt == from {
			t.attempt = to
		}
	}
}

// adoptAttempts takes in the attempts of an earlier holder from the record of an adopted submission.
func (s *Shard) adoptAttempts(j *job) {
	for ref, a := range j.rec.Progress.Attempts {
		if t := j.task(ref); t != nil && a.Token >= j.rec.Token && a.Token < s.token {
			t.earlierAttempt = a
			t.earlierRunBase = runBaseUnder(j.rec, a.Token)
		}
	}
}

// countVanished records that no worker lists a run of a task that an earlier holder may have started. If the worker of
// an attempt has ended, this is a loss. If it does not answer, its loss is uncertain.
func (s *Shard) countVanished(now time.Duration, t *task) {
	a := t.earlierAttempt
	if a == (submission.Attempt{}) {
		t.mayHaveVanished = true
		return
	}
	loss := submission.Loss{Worker: a.Worker, Address: a.Address, Run: t.earlierRunBase, Weight: policy.LossContext{}.Weight(), Certain: true}
	t.earlierAttempt = submission.Attempt{}
	for _, h := range s.workers {
		if !h.isIncarnation(loss.Worker) {
			continue
		}
		if h.hasAnswered {
			t.mayHaveVanished = true
			return
		}
		loss.Worker, loss.Certain = h.incarnation, false
		h.leaseExpired = true
	}
	s.addLoss(now, t, loss)
}

// confirmAllStoredLosses confirms stored losses of all tasks, and gives up those that have one too many then. A worker
// may answer long after its losses were read.
func (s *Shard) confirmAllStoredLosses(now time.Duration) {
	if !s.hasLosses {
		return
	}
	var confirmed []*task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		for _, t := range s.jobs[id].tasks {
			if t.state != taskUnlocated && t.state != taskCompleted && s.confirmStoredLosses(now, t) {
				confirmed = append(confirmed, t)
			}
		}
	}
	s.giveUpTasks(now, confirmed)
}

// confirmStoredLosses confirms the losses that earlier holders have stored as uncertain, of workers at whose addresses
// other incarnations answer now. It reports whether there were any.
func (s *Shard) confirmStoredLosses(now time.Duration, t *task) bool {
	confirmed := false
	for _, l := range t.losses {
		if !l.Certain && s.isReplacedAt(l) {
			l.Certain = true
			s.addLoss(now, t, l)
			confirmed = true
		}
	}
	return confirmed
}

// isReplacedAt reports whether another incarnation answers at the address of a lost worker. One under the same ID may be
// the lost one if the start time of that was not known.
func (s *Shard) isReplacedAt(l submission.Loss) bool {
	for _, h := range s.workers {
		if h.info.Address == l.Address && h.hasAnswered && !h.isIncarnation(l.Worker) && l.Worker != h.info.ID {
			return true
		}
	}
	return false
}

// isIncarnation reports whether the worker has the name of an incarnation, which may be without its start time.
func (h *host) isIncarnation(name string) bool {
	return name == h.incarnation || name == h.info.Incarnation().String() || h.info.Born == 0 && name == h.info.ID
}

// settleAttempts records that a run of a task has ended without the loss of its worker.
func (t *task) settleAttempts(run uint64) {
	t.attempt = noAttempt
	if run <= t.earlierRunBase || run > t.earlierRunBase+runsPerToken {
		return
	}
	t.earlierAttempt = submission.Attempt{}
	t.losses = slices.DeleteFunc(t.losses, func(l submission.Loss) bool { return l.Run == t.earlierRunBase })
}
