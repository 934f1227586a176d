package vm

import (
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
	e.vm.spawn(func() {
		state, err := e.vm.storeCancel(e.ctx, ev.id)
		e.vm.post(cancelledEvent{id: ev.id, state: state, err: err, reply: ev.reply})
	})
}

// storeCancel replaces the record of an unfinished submission by the final state Cancelled, retrying for up to
// cancelTimeout. It returns the final state, or Unknown if there is no such submission.
func (v *VM) storeCancel(ctx context.Context, id submission.ID) (submission.State, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		found, err := v.readSubmission(ctx, id)
		if err == nil && found.record == nil {
			return found.state, nil
		}
		if err == nil {
			_, err = v.store.Commit(ctx, finalTxn(id, found.revision, submission.Cancelled))
			if err == nil {
				return submission.Cancelled, nil
			}
		}
		if ctx.Err() != nil {
			return submission.Unknown, err
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			pause.For(ctx, watchBackoffStep)
		}
	}
}

// cancelTimeout limits the attempts to store a cancellation.
const cancelTimeout = 1400 * time.Millisecond

type cancelledEvent struct {
	id    submission.ID
	state submission.State
	err   error
	reply chan StateAnswer
}

func (ev cancelledEvent) apply(e *engine) {
	if ev.err != nil {
		klog.InfoS("kept: could not store a cancellation", "id", ev.id, "why", ev.err)
		ev.reply <- StateAnswer{Err: ErrUnavailable}
		return
	}
	klog.InfoS("kept: cancelled", "id", ev.id, "state", ev.state.String())
	ev.reply <- StateAnswer{State: ev.state}
	if ev.state != submission.Cancelled {
		return
	}
	e.applyStateReport(ev.id, stateReport{state: submission.Cancelled})
	ref := &pb.KeptRef{Id: string(ev.id)}
	e.cancelInOwnShards(ref)
	for name := range e.links {
		f := e.frame(name)
		f.Cancelled = append(f.Cancelled, ref)
	}
}

// cancelInOwnShards cancels a submission in the shards that this VM holds, or in the one that ref names.
func (e *engine) cancelInOwnShards(ref *pb.KeptRef) {
	for name, h := range e.shards {
		if ref.Shard == "" || ref.Shard == name {
			h.core.Cancel(e.now, submission.ID(ref.Id))
		}
	}
}
