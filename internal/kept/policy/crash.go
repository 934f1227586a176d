package policy

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A worker that is lost while a task runs there is evidence against the task: a task may crash each
// worker that starts it. Its neighbours there look the same, and so do tasks on workers that lose power
// together or are cut off. So a first loss makes a task a suspect, which from then on runs alone on its
// worker, and only a loss of that worker tells the task from its neighbours.
//
// Losses at the same moment of workers with nothing in common weigh nothing: they have another cause, or
// several tasks that crash. But they count: a task that many such losses hit runs alone as well, or a
// number of tasks that crash would excuse each other.

// What the loss of a worker weighs as evidence against a task there.
const (
	weightUnrelated = 0 // workers with nothing in common were lost at the same moment
	weightShared    = 1 // other tasks ran there, or it is not known that this one did
	weightAlone     = 2
)

const (
	suspectLossCount = 2 // losses that make a task a suspect, whatever they weigh
	maxLossCount     = 3 // losses after which a task is given up, whatever they weigh
)

// The part of a shard's workers that suspects may have at a time: one in workersPerSuspect, and minSuspectWorkers at
// least.
const (
	workersPerSuspect = 4
	minSuspectWorkers = 2
)

// Lost is the loss of a worker as it concerns a task there.
type LossContext struct {
	StartedAlone    bool // the task was started alone
	KnownToRun      bool // it is known to have run there
	UnrelatedLosses bool // other workers, with other submissions, were lost at the same moment
}

// Weight is what a loss weighs against the task.
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

// Suspect reports whether a task must run alone.
func (s *Settings) IsSuspect(losses []submission.Loss) bool {
	return s.LossEvidence > 0 && (totalWeight(losses) > 0 || len(losses) >= suspectLossCount)
}

// ShouldGiveUp reports whether a task starts no more, as the workers that start it are lost. Only a worker
// that has certainly ended counts, unless losses that are not certain suffice.
func (s *Settings) ShouldGiveUp(losses []submission.Loss, uncertain bool) bool {
	counted := losses
	if !uncertain {
		counted = slices.DeleteFunc(slices.Clone(losses), func(l submission.Loss) bool { return !l.Certain })
	}
	return s.LossEvidence > 0 && (totalWeight(counted) >= s.LossEvidence || len(counted) >= maxLossCount)
}

// LossConfirmationTime is how soon a lost worker, or its next incarnation, answers in most cases. A task that
// may have to be given up waits for it.
const LossConfirmationTime = 5 * time.Second

// MaxSuspectWorkers is how many of a shard's workers suspects may have at a time.
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
