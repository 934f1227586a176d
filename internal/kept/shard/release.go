package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// ReleaseReason says why a task of which a start was ordered was released without having completed.
type ReleaseReason uint8

// The reasons of a release.
const (
	NotReleased        ReleaseReason = iota
	RefusedNoRoom                    // the worker refused the start for want of room
	RefusedUnavailable               // it refused it as it cannot carry out orders
	RefusedSuperseded                // it refused it as it has stopped or ended this run or a later one
	RefusedLate                      // it refused it as the deadline of the order had passed
	RefusedMalformed                 // it refused it as it cannot read the task
	LeaseExpired                     // the worker's lease has expired
	IncarnationEnded                 // the worker's incarnation has ended
	WorkerForgotten                  // the worker left the list and no longer answers
	NotListed                        // a listing that must have the run lacks it
	StopConfirmed                    // the worker accepted a stop, and a later listing lacks the run
	RunEnded                         // the worker listed the run as ended, not as completed
	BarrierLifted                    // no worker lists a run of it that an earlier holder may have started
)

var releaseReasonNames = [...]string{
	"not released", "refused, no room", "refused, unwell", "refused, outrun", "refused, late", "refused, malformed",
	"lease expired", "incarnation ended", "worker forgotten", "not listed", "stop confirmed", "run ended", "barrier lifted",
}

func (r ReleaseReason) String() string { return releaseReasonNames[r] }

// ReleaseAction reports that a task was released, of which a start was ordered or, with BarrierLifted, may have been.
type ReleaseAction struct {
	Worker       string // its ID; "": not known
	Task         submission.TaskRef
	Run          uint64 // 0: not known
	Reason       ReleaseReason
	StartsAgain  bool
	SinceStart   time.Duration // since this holder ordered the run; negative: it did not
	SinceListing time.Duration // since the hold was sent that the worker's newest listing answers; negative: there is none
}

// lastRelease is the last release of a task.
type lastRelease struct {
	run    uint64
	reason ReleaseReason
	at     time.Duration
}

// tellRelease reports that the newest run of a task is given up. It is called before the task leaves its worker.
func (s *Shard) tellRelease(now time.Duration, t *task, why ReleaseReason, startsAgain bool) {
	t.lastRelease = lastRelease{run: t.newestRun, reason: why, at: now}
	a := ReleaseAction{Task: t.ref, Run: t.newestRun, Reason: why, StartsAgain: startsAgain, SinceStart: -1, SinceListing: -1}
	if t.startedAt > 0 {
		a.SinceStart = now - t.startedAt
	}
	if t.host != nil {
		a.Worker = t.host.info.ID
		if t.host.hasAnswered {
			a.SinceListing = now - t.host.newestListingSentAt
		}
	}
	s.actions.Releases = append(s.actions.Releases, a)
}
