package vm

import (
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// An attempt at a stored submission that had no answer may have stored it. A VM that has no room for the next attempt would
// say that it does not run.

// maxRefusalLookups limits the submissions that are looked up before they are refused, at a time.
const maxRefusalLookups = 32

// refusalCheckedEvent brings what the store has of a submission that is to be refused.
type refusalCheckedEvent struct {
	record  *submission.Record
	refusal Outcome
	found   storeLookup
	err     error
}

// refuseUnlessStored refuses a submission, or accepts it if an earlier attempt has stored it. Without the store, or
// beside too many others, it is refused without a look.
func (e *engine) refuseUnlessStored(h *trackedSubmission, refusal Outcome) {
	if e.vm.router.Down() || e.refusalLookups >= maxRefusalLookups {
		e.refuse(h, refusal)
		return
	}
	e.refusalLookups++
	rec := h.record
	e.vm.spawn(func() {
		found, err := e.vm.readSubmission(e.ctx, rec.ID)
		e.vm.deliver(refusalCheckedEvent{record: rec, refusal: refusal, found: found, err: err})
	})
}

func (ev refusalCheckedEvent) apply(e *engine) {
	e.refusalLookups--
	h := e.tracked[ev.record.ID]
	if h == nil || h.stored || h.record != ev.record {
		return
	}
	switch {
	case ev.err != nil:
		klog.InfoS("kept: refused without a look into the store", "id", ev.record.ID, "why", ev.err)
		e.refuse(h, ev.refusal)
	case ev.found.record != nil:
		h.record = ev.found.record
		h.shard = ev.found.record.Shard
		e.acceptStored(h, ev.found.revision)
	case ev.found.state.Final():
		e.replyOutcome(h, Outcome{Kind: Accepted})
		e.applyStateReport(ev.record.ID, stateReport{state: ev.found.state})
	case ev.found.revoked:
		e.storeRevoked(h, ev.found.revision)
	default:
		e.refuse(h, ev.refusal)
	}
}
