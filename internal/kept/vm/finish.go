package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A VM that is stopped answers all its callers first. Transient submissions of which nothing has begun are refused as soon as
// they could not be completed in time any more, so that their callers can go elsewhere; what still runs at the end is given up.

// finishGrace is how long after FinishBy the engine's answers have precedence over answers that say nothing.
const finishGrace = 100 * time.Millisecond

// FinishBy makes the VM answer all callers within d. Submissions go on to be accepted as long as they can be completed by then.
func (v *VM) FinishBy(d time.Duration) {
	go v.deliver(finishEvent{by: v.now() + d}) // the caller does not wait for room in the queue
	time.AfterFunc(d+finishGrace, func() { v.finishOnce.Do(func() { close(v.finished) }) })
}

// finishEvent sets the time by which all callers are to be answered.
type finishEvent struct{ by time.Duration }

func (ev finishEvent) apply(e *engine) {
	e.finishBy = ev.by
	klog.InfoS("kept: stopping, callers are answered", "within", ev.by-e.now, "transients", len(e.open), "deferred", len(e.deferred))
}

// endsTooLate returns why a submission that begins now is of no use at a VM that is stopped, if there is a reason.
func (e *engine) endsTooLate(r *submission.Record) policy.Reason {
	if e.finishBy > 0 && r.Transient && e.now+r.CriticalPath() > e.finishBy {
		return policy.VMStops
	}
	return ""
}

// endBeforeStop refuses a submission that waits and could not be completed before the VM stops, and gives it up when it is time.
func (e *engine) endBeforeStop(t *transientSubmission) {
	if e.finishBy == 0 || t.state.Final() {
		return
	}
	reason := e.endsTooLate(t.record)
	switch {
	case e.now >= e.finishBy:
		e.giveUp(t, "this entry VM stops")
	case t.anyStarted() || !reason.Refused():
	case len(t.parts) == 0:
		e.refuseTransient(t, reason)
	case t.recalledAt == 0 || e.now-t.recalledAt > recallTimeout:
		e.recall(t, reason)
	}
}
