package vm

import (
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// applyPartReport applies a holder's report of the state of a part.
//
// A previous holder that does not know yet that it was replaced may reject the part in its queue while the
// new holder, which has the part too, starts it: the caller would be told that it has not run. A report under
// another fencing token than that of the part therefore counts only if it says that the part is done or has
// failed.
//
// A holder remembers ended parts. If it is queried before the next attempt of the part, or another part for
// the same shard, has arrived, it reports the earlier one: the caller would be told that the submission has
// not run while it does, or that it is done while a part of it is not. A final state with another serial is
// therefore taken to mean that the holder does not have the part.
func (e *engine) applyPartReport(t *transientSubmission, p *part, report stateReport) {
	if t.state.Final() || p.state.Final() {
		return
	}
	state := report.state
	if state == submission.Unknown && report.token == 0 {
		e.partNotHeld(t, p, report.serial)
		return
	}
	sameAttempt := report.serial == p.record.Serial
	if state.Final() && !sameAttempt {
		state = submission.Unknown
	}
	if report.token != p.holderToken && state != submission.Done && state != submission.Failed {
		return
	}
	p.updatedAt = e.now
	if report.token == p.holderToken {
		p.notHeldSince = 0
	}
	if t.bindsLate && !e.applyJoinReport(t, p, &report) {
		return
	}
	// Steps that depend on each other go to another shard only once the holder has ended the part: tasks that it did not
	// return would count as completed there.
	if sameAttempt && (len(p.record.Steps) == 1 || state == submission.Returned) {
		e.reassignReturned(t, p, report.returned)
	}
	if e.transients[t.record.ID] != t {
		return // no shard could take the returned tasks
	}
	if t.bindsLate && (state == submission.Done || state == submission.Returned) && !p.hasAllTasks(&report) {
		e.giveUp(t, "the holder of a shard has not got all tasks of its part")
		return
	}
	switch state {
	case submission.Returned:
		e.completeReturned(t, p)
	case submission.Unknown:
		// The holder never got the part.
		if l := e.loads[p.shard]; l.token == p.holderToken && e.reachable(p.shard) {
			e.resendPart(t, p, l)
		}
	case submission.Cancelled:
		p.state = state
		e.giveUp(t, "a holder has ended it")
	case submission.Rejected:
		p.state = state
		switch {
		case t.allPartsIn(submission.Rejected) && len(t.unassigned) == 0:
			e.endRejected(t)
		case t.bindsLate:
			e.takeRejected(t, p)
		}
	case submission.Failed:
		p.state = state
		e.cancelParts(t)
		e.endTransient(t, state)
	case submission.Done:
		p.state = state
		e.completeIfDone(t)
	default:
		p.state = max(p.state, state)
	}
}

// partNotHeld handles the answer of a VM that does not hold the shard of a part (any more). serial is that of the part
// that the VM was sent and has not taken; 0: it has answered a query. Until a load report says that the shard is held,
// nothing is assigned to it. If the answer came from an earlier holder, the next report of the present one corrects that.
//
// A part that was sent once, and was not taken, has not begun: it goes to another shard. Otherwise the next holder of
// the shard gets it once its load report arrives.
func (e *engine) partNotHeld(t *transientSubmission, p *part, serial uint64) {
	if l := e.loads[p.shard]; l != nil && l.token == p.holderToken {
		l.Ready = false
	}
	sentOnce := p.resends == 0 && p.joins == 0 && p.state < submission.Running && p.record.Token == p.holderToken
	if sentOnce && serial == p.record.Serial && serial != 0 && e.sendElsewhere(t, p) {
		return
	}
	if p.notHeldSince == 0 {
		p.notHeldSince = e.now
	}
}

// sendElsewhere assigns a part that has not begun to another shard. It returns false if there is none.
func (e *engine) sendElsewhere(t *transientSubmission, p *part) bool {
	if t.bindsLate {
		e.takeRejected(t, p)
		return true
	}
	l := e.selectShard(t, p)
	if l == nil {
		return false
	}
	klog.InfoS("kept: part assigned to another shard, a VM does not hold its shard any more", "id", t.record.ID, "from", p.record.Shard, "shard", p.shard,
		"holder", l.holder, "token", l.token, "tasks", p.record.TaskCount())
	e.reassignPart(t, p, l)
	return true
}
