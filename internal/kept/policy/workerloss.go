package policy

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A task may crash every worker that starts it, so losing a worker while a task runs there is
// evidence against the task. The evidence is ambiguous: the other tasks on that worker look just
// as guilty, and so do tasks on workers that lose power together or are cut off from the network.
// Therefore a first loss only makes a task a suspect. From then on it runs alone on its worker, and
// the loss of that worker can be due to no other task.
//
// If workers that run no submission in common are lost at the same moment, the losses have weight 0:
// there is another cause, such as a power cut, or several tasks crash their workers. They still count
// by number. A task hit by many of them runs alone as well, since otherwise several crashing tasks
// would clear each other.

// The weight of the loss of a worker as evidence against a task that was there.
const (
	weightUnrelated = 0 // workers without a common submission were lost at the same moment
	weightShared    = 1 // other tasks ran there, or it is not known whether this one had started
	weightAlone     = 2 // the task is known to have run there, alone
)

const (
	suspectLossCount = 2 // number of losses, of any weight, that make a task a suspect
	maxLossCount     = 3 // number of losses, of any weight, after which a task is given up
	minLossesUnder   = 2 // losses of workers under a run of a stored task without which fewer do not end it
)

// Suspects may use one in workersPerSuspect of a shard's workers at a time, and at least
// minSuspectWorkers.
const (
	workersPerSuspect = 4
	minSuspectWorkers = 2
)

// LossContext describes the loss of a worker from the point of view of one task there.
type LossContext struct {
	StartedAlone    bool // the task was started alone on its worker
	KnownToRun      bool // the task is known to have run there
	UnrelatedLosses bool // other workers, with other submissions, were lost at the same moment
}

// Weight returns the weight of the loss as evidence against the task.
func (l LossContext) Weight() int {
	switch {
	case l.UnrelatedLosses:
		return weightUnrelated
	case l.StartedAlone && l.KnownToRun:
		return weightAlone
	default:
		return weightShared
	}
}

// IsSuspect reports whether a task must run alone on its worker.
func (s *Settings) IsSuspect(losses []submission.Loss) bool {
	return s.LossEvidence > 0 && (totalWeight(losses) > 0 || len(losses) >= suspectLossCount)
}

// ShouldGiveUp reports whether a task must not be started again because the workers that start it are lost. Callers of
// transient tasks do not wait until it is known what has ended, and under which runs.
func (s *Settings) ShouldGiveUp(losses []submission.Loss, transient bool) bool {
	if transient {
		return s.isEnough(losses)
	}
	return s.MayGiveUp(slices.DeleteFunc(slices.Clone(losses), func(l submission.Loss) bool { return !l.Certain }))
}

// MayGiveUp reports whether a stored task is given up once the workers are known to have ended.
func (s *Settings) MayGiveUp(losses []submission.Loss) bool {
	under := 0
	for _, l := range losses {
		if l.Under {
			under++
		}
	}
	return s.isEnough(losses) && (under >= minLossesUnder || len(losses) >= maxLossCount)
}

func (s *Settings) isEnough(losses []submission.Loss) bool {
	return s.LossEvidence > 0 && (totalWeight(losses) >= s.LossEvidence || len(losses) >= maxLossCount)
}

// LossConfirmationTime is the time within which a lost worker, or its next incarnation, answers in
// most cases, which shows whether the worker had ended or was only cut off. A task that might have
// to be given up is not started again before that.
const LossConfirmationTime = 5 * time.Second

// MaxSuspectWorkers is how many of a shard's workers suspects may use at a time.
func (s *Settings) MaxSuspectWorkers(workers int) int {
	return max(workers/workersPerSuspect, minSuspectWorkers)
}

func totalWeight(losses []submission.Loss) int {
	sum := 0
	for _, l := range losses {
		sum += l.Weight
	}
	return sum
}
