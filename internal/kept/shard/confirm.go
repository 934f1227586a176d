package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A transient submission is kept only by its home VM, which cancels it when it gives it up or its callers have left. The
// cancellation may be lost with a link, or cannot be sent while the link is down, and the caller's next attempt may run
// at another shard. So a holder goes on with a submission only for as long as its home VM confirms that it waits for it.

const (
	// confirmInterval is the time between two questions to the home VM. A cancellation that is lost takes effect within
	// this time and a round trip. A home VM may stand still for the rest of the time that a confirmation is valid.
	confirmInterval = 250 * time.Millisecond
	// startConfirmInterval is the same for a submission with tasks that wait, which start only on a recent answer.
	startConfirmInterval = 150 * time.Millisecond
	// confirmationValidity runs from when the question was sent that the home VM has answered. After it no task starts.
	confirmationValidity = 900 * time.Millisecond
	// confirmTimeout is how long the home VM has then to answer before the submission ends. Callers submit again 1.3 s after
	// their home VM has given up, or their connection to it has broken: by then the runs have to be stopped.
	confirmTimeout = 150 * time.Millisecond
)

// confirmation is what a holder knows of the home VM's interest in a transient submission.
type confirmation struct {
	at        time.Duration // when the newest question that was answered with yes was sent, or the submission arrived
	askedAt   time.Duration // when the home VM was last asked
	overdueAt time.Duration // when the home VM was first asked after the confirmation had become invalid; 0: it is valid
	isStale   bool          // it is too old for a task to start
}

// recordHomeSent records that the home VM has just sent the submission, or further tasks of it.
func (j *job) recordHomeSent(now time.Duration) { j.confirmation = confirmation{at: now, askedAt: now} }

// confirm asks the home VM of a transient submission whether it still waits for it, and ends the submission if that is not
// answered in time. After a standstill of this holder it asks first, too. An answer that came since is applied before.
func (s *Shard) confirm(now time.Duration, j *job) {
	c := &j.confirmation
	if !j.rec.Transient || !j.rec.HomeAnswers || j.state.Final() {
		return
	}
	valid, stale := now-c.at <= confirmationValidity, now-c.at > maxConfirmationAgeAtStart
	if c.isStale && !stale {
		s.placementDue = true
	}
	c.isStale = stale
	switch {
	case valid:
		c.overdueAt = 0
		if j.isQuestionDue(now) {
			s.askHome(now, j)
		}
	case c.overdueAt == 0:
		c.overdueAt = now
		s.askHome(now, j)
	case now-c.overdueAt >= confirmTimeout:
		s.actions.Unconfirmed = append(s.actions.Unconfirmed, UnconfirmedAction{Home: j.rec.Home, ID: j.rec.ID, Serial: j.rec.Serial, Age: now - c.at})
		s.endSubmission(now, j, submission.Cancelled, "its home VM has not confirmed it")
	}
}

// isQuestionDue reports whether the home VM of a submission is to be asked again.
func (j *job) isQuestionDue(now time.Duration) bool {
	since := now - max(j.confirmation.at, j.confirmation.askedAt)
	return since >= confirmInterval || since >= startConfirmInterval && j.hasStartable()
}

func (s *Shard) askHome(now time.Duration, j *job) {
	j.confirmation.askedAt = now
	s.actions.Confirms = append(s.actions.Confirms, ConfirmAction{Home: j.rec.Home, ID: j.rec.ID, Serial: j.rec.Serial})
}

// Confirmed records that the home VM of a transient submission waited for it when it answered a question that was sent at
// askedAt.
func (s *Shard) Confirmed(id submission.ID, serial uint64, askedAt time.Duration) {
	if j := s.jobs[id]; j != nil && j.rec.Serial == serial {
		j.confirmation.at = max(j.confirmation.at, askedAt)
	}
}

// CancelAttempt cancels an attempt at a transient submission. A later attempt, which may be here by now, goes on. If the
// submission is not known here, runs of it are stopped that workers list, now or for a while: its home VM hands over none.
func (s *Shard) CancelAttempt(now time.Duration, id submission.ID, serial uint64) {
	j := s.jobs[id]
	switch {
	case j == nil:
		s.revoked[id] = now
		s.stopRevokedRuns(now, id)
	case j.isAttempt(serial):
		s.Cancel(now, id)
	}
}

// isAttempt reports whether a message about an attempt with a serial is about this one; 0 stands for any attempt.
func (j *job) isAttempt(serial uint64) bool { return serial == 0 || j.rec.Serial == serial }
