package vm

import (
	"cmp"
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

func (ev cancelEvent) apply(e *engine) {
	requestedAt := e.now
	e.vm.spawn(func() {
		found, err := e.vm.storeCancel(e.ctx, ev.id)
		e.vm.deliver(cancelledEvent{id: ev.id, requestedAt: requestedAt, found: found, err: err, reply: ev.reply})
	})
}

// storeCancel replaces the record of an unfinished submission by the final state Cancelled, or revokes a submission that
// has neither a record nor a final state, retrying for up to cancelTimeout. It returns the final state, or Unknown if
// there is no such submission, and the record that it replaced.
func (v *VM) storeCancel(ctx context.Context, id submission.ID) (storeLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var replaced *submission.Record // by a write that may have had no answer
	for {
		found, err := v.readSubmission(ctx, id)
		if err == nil && (found.state.Final() || found.revoked) {
			found.record = replaced
			return found, nil
		}
		if err == nil {
			replaced = cmp.Or(found.record, replaced)
			found, err = v.commitCancel(ctx, id, found)
			if err == nil {
				return found, nil
			}
		}
		if ctx.Err() != nil {
			return storeLookup{}, err
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			pause.For(ctx, watchBackoffStep)
		}
	}
}

// commitCancel stores that a submission is cancelled, which has a record or nothing in the store. It returns what the
// store has of it then.
func (v *VM) commitCancel(ctx context.Context, id submission.ID, found storeLookup) (storeLookup, error) {
	txn := revokeTxn(id)
	if found.record != nil {
		txn = finalTxn(id, found.revision, submission.Cancelled)
	}
	revision, err := v.store.Commit(ctx, txn)
	if err != nil {
		return storeLookup{}, err
	}
	found.revision = revision
	if found.record != nil {
		found.state = submission.Cancelled
	} else {
		found.revoked = true
	}
	return found, nil
}

// cancelTimeout limits the attempts to store a cancellation.
const cancelTimeout = 1400 * time.Millisecond

type cancelledEvent struct {
	id          submission.ID
	requestedAt time.Duration
	found       storeLookup // with the final state
	err         error
	reply       chan StateAnswer
}

func (ev cancelledEvent) apply(e *engine) {
	if ev.err != nil {
		klog.InfoS("kept: could not store a cancellation", "id", ev.id, "why", ev.err)
		ev.reply <- StateAnswer{Err: ErrUnavailable}
		return
	}
	klog.InfoS("kept: cancelled", "id", ev.id, "state", ev.found.state.String(), "revoked", ev.found.revoked, "revision", ev.found.revision)
	if ev.found.state != submission.Cancelled {
		ev.reply <- StateAnswer{State: ev.found.state}
		return
	}
	e.applyStateReport(ev.id, stateReport{state: submission.Cancelled})
	e.cancelInOwnShards(&pb.KeptRef{Id: string(ev.id)})
	e.broadcastCancelled(ev.id)
	e.awaitCancelHeard(ev)
}

// broadcastCancelled tells the VMs that this VM has links to of a cancellation.
func (e *engine) broadcastCancelled(id submission.ID) {
	for name := range e.links {
		f := e.frame(name)
		f.Cancelled = append(f.Cancelled, &pb.KeptRef{Id: string(id)})
	}
}

// logCancellation logs what a peer's cancellation of a part of a transient submission meets here.
func (e *engine) logCancellation(from string, ref *pb.KeptRef) {
	if ref.Shard == "" {
		return
	}
	id := submission.ID(ref.Id)
	h := e.shards[ref.Shard]
	if h == nil {
		klog.InfoS("kept: cancellation of a part received", "id", id, "shard", ref.Shard, "from", from, "held", false)
		return
	}
	report, _ := h.core.Report(id)
	klog.InfoS("kept: cancellation of a part received", "id", id, "shard", ref.Shard, "from", from, "held", true,
		"state", report.State.String(), "serial", report.Serial, "cancelled_serial", ref.Serial)
}

// cancelInOwnShards cancels a stored submission in the shards that this VM holds, or the part of one in the shard that ref
// names.
func (e *engine) cancelInOwnShards(ref *pb.KeptRef) {
	for name, h := range e.shards {
		switch ref.Shard {
		case "":
			h.core.CancelStored(e.now, submission.ID(ref.Id))
		case name:
			h.core.CancelAttempt(e.now, submission.ID(ref.Id), ref.Serial)
		}
	}
}
