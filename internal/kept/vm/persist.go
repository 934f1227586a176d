package vm

import (
	"fmt"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// guard returns the condition that this VM still holds the shard, for writes that only the holder may make.
func (h *heldShard) guard() store.Condition {
	return store.Condition{Key: site.ShardKey(h.holding.Shard), Revision: h.holding.Revision}
}

// storeFinal writes the final state of a submission to the store through the journal.
func (e *engine) storeFinal(name string, h *heldShard, f shard.FinalAction) {
	token := h.holding.Token
	klog.InfoS("kept: ended", "id", f.ID, "shard", name, "state", f.State.String(), "why", f.Reason)
	ok := e.vm.ends.Add(&journal.Row{
		Txn:         finalTxn(f.ID, f.Revision, f.State),
		Guards:      []store.Condition{h.guard()},
		GiveUpAfter: endsWriteTimeout,
		Done: func(r journal.Result) {
			e.vm.deliver(finalStoredEvent{shard: name, id: string(f.ID), token: token, state: f.State, result: r})
		},
	})
	if !ok {
		klog.InfoS("kept: journal is full, a final state is stored later", "id", f.ID)
		h.core.WriteNotQueued(e.now, f.ID)
	}
}

// finalTxn makes the transaction that replaces a submission's record by its final state.
func finalTxn(id submission.ID, revision uint64, state submission.State) store.Txn {
	return store.Txn{
		Expect: []store.Condition{{Key: submission.OpenKey(id), Revision: revision}},
		Put:    []store.Put{{Key: submission.FinalKey(id), Value: []byte(state.String())}},
		Delete: []string{submission.OpenKey(id)},
	}
}

// revokeTxn makes the transaction that keeps a submission without a record from being stored: each write of a new record
// expects that there is no final state. A write that had no answer may be carried out seconds later.
func revokeTxn(id submission.ID) store.Txn {
	return store.Txn{
		Expect: []store.Condition{{Key: submission.OpenKey(id)}, {Key: submission.FinalKey(id)}},
		Put:    []store.Put{{Key: submission.FinalKey(id), Value: []byte(submission.Revoked.String())}},
	}
}

// cancelRevokedTxn makes the transaction that shows a revoked submission as cancelled, once it has been submitted.
func cancelRevokedTxn(id submission.ID, revision uint64) store.Txn {
	return store.Txn{
		Expect: []store.Condition{{Key: submission.FinalKey(id), Revision: revision}},
		Put:    []store.Put{{Key: submission.FinalKey(id), Value: []byte(submission.Cancelled.String())}},
	}
}

func (ev finalStoredEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	id := submission.ID(ev.id)
	if ev.result.Outcome == journal.Stored {
		h.core.FinalStored(e.now, id)
		return
	}
	klog.InfoS("kept: could not store a final state", "id", id, "shard", ev.shard, "outcome", fmt.Sprint(ev.result.Outcome))
	if ev.result.Outcome == journal.Conflict && !guardFailed(ev.result, h) {
		h.core.RecordConflict(e.now, id)
	}
}

// guardFailed reports whether a write failed because the shard has a new holder.
func guardFailed(r journal.Result, h *heldShard) bool {
	g := h.guard()
	for _, it := range r.Items {
		if it.Key == g.Key && it.Revision != g.Revision {
			return true
		}
	}
	return false
}

// storeProgress writes the record of an unfinished submission, with its progress, to the store through the
// journal.
func (e *engine) storeProgress(name string, h *heldShard, s shard.SaveAction) {
	token := h.holding.Token
	id := string(s.Record.ID)
	key := submission.OpenKey(s.Record.ID)
	ok := e.vm.ends.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: key, Revision: s.Revision}},
			Put:    []store.Put{{Key: key, Value: s.Record.Encode()}},
		},
		Guards:      []store.Condition{h.guard()},
		GiveUpAfter: endsWriteTimeout,
		Done: func(r journal.Result) {
			e.vm.deliver(progressStoredEvent{shard: name, id: id, token: token, result: r})
		},
	})
	if !ok {
		klog.InfoS("kept: journal is full, progress is stored later", "id", s.Record.ID)
		h.core.WriteNotQueued(e.now, s.Record.ID)
	}
}

func (ev progressStoredEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	id := submission.ID(ev.id)
	switch {
	case ev.result.Outcome == journal.Stored:
		h.core.ProgressSaved(e.now, id, ev.result.Revision)
	case ev.result.Outcome == journal.Conflict && !guardFailed(ev.result, h):
		h.core.RecordConflict(e.now, id)
	}
}
