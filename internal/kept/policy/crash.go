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
	lossUnrelated = 0 // workers with nothing in common were lost at the same moment
	lossShared    = 1 // other tasks ran there, or it is not known that this one did
	lossAlone     = 2
)

const (
	lossesSuspect = 2 // losses that make a task a suspect, whatever they weigh
	lossesMost    = 3 // losses after which a task is given up, whatever they weigh
)

// The part of a shard's workers that suspects may have at a time: one in suspectShare, and suspectLeast at
// least.
const (
	suspectShare = 4
	suspectLeast = 2
)

// Lost is the loss of a worker as it concerns a task there.
type Lost struct {
	Alone     bool // the task was started alone
	Ran       bool // it is known to have run there
	Unrelated bool // other workers, with other submissions, were lost at the same moment
}

// Weight is what a loss weighs against the task.
func (l Lost) Weight() int {
	switch {
	case l.Unrelated:
		return lossUnrelated
	case l.Alone && l.Ran:
		return lossAlone
	default:
		return lossShared
	}
}

// Suspect reports whether a task must run alone.
func (s *Settings) Suspect(losses []submission.Loss) bool {
	return s.LossEvidence > 0 && (evidence(losses) > 0 || len(losses) >= lossesSuspect)
}

// GivenUp reports whether a task starts no more, as the workers that start it are lost. Only a worker
// that has certainly ended counts, unless losses that are not certain suffice.
func (s *Settings) GivenUp(losses []submission.Loss, uncertain bool) bool {
	counted := losses
	if !uncertain {
		counted = slices.DeleteFunc(slices.Clone(losses), func(l submission.Loss) bool { return !l.Certain })
	}
	return s.LossEvidence > 0 && (evidence(counted) >= s.LossEvidence || len(counted) >= lossesMost)
}

// LossKnownWithin is how soon a lost worker, or its next incarnation, answers in most cases. A task that
// may have to be given up waits for it.
const LossKnownWithin = 5 * time.Second

// SuspectRoom is how many of a shard's workers suspects may have at a time.
func (s *Settings) SuspectRoom(workers int) int { return max(workers/suspectShare, suspectLeast) }

func evidence(losses []submission.Loss) int {
	sum := 0
	for _, l := range losses {
		sum += l.Weight
	}
	return sum
}
