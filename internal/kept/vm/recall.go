package vm

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A transient submission that is split over several shards must be refused as a whole or not at all, and only
// its home VM knows all parts. When no part has started and it is too late to go on waiting, the home VM
// recalls the parts. Each holder then reports definitely that its part is rejected or that it has started. If
// all parts are rejected, the caller is refused; if some have started, the rejected ones are assigned to
// shards again.
//
// Without this, such a submission waits until its caller's time-out: under overload that happened to two in a
// hundred submissions, and none of their callers learnt that nothing had run.

// recallTimeout limits the wait for the holders' reports: after it the rejected parts are assigned again even
// if a report is missing, as the message may be lost.
const recallTimeout = 250 * time.Millisecond

// recallOrReassign recalls the parts of a split submission when it has waited too long, and assigns rejected
// parts again when other parts have started.
func (e *engine) recallOrReassign(t *transientSubmission) {
	if t.bindsLate {
		e.endHopeless(t)
		return
	}
	if !e.vm.config.Policy.TakeBack || len(t.parts) < 2 || t.state.Final() {
		return
	}
	switch {
	case t.recalledAt == 0 && t.anyRejected():
		t.recalledAt = e.now // a holder has rejected its part without a recall
	case !t.anyRejected() && !t.anyStarted() && (t.recalledAt == 0 || e.now-t.recalledAt > recallTimeout):
		if reason := e.keepWaiting(t); reason.Refused() {
			e.recall(t, reason) // again if no holder has reported, as the messages may be lost
		}
	case t.recalledAt > 0 && t.anyRejected() && (t.anyStarted() || e.now-t.recalledAt > recallTimeout):
		e.reassignRejected(t)
	}
}

// keepWaiting returns why a submission of which nothing has begun need not wait any longer, if there is a reason.
func (e *engine) keepWaiting(t *transientSubmission) policy.Reason {
	return e.vm.config.Policy.KeepWaiting(e.now, e.policyWork(t.record, t.receivedAt))
}

// anyStarted reports whether a task of the submission may have started.
func (t *transientSubmission) anyStarted() bool {
	return t.mayHaveRun || slices.ContainsFunc(t.parts, func(p *part) bool {
		return p.state == submission.Running || p.state == submission.Done
	})
}

func (t *transientSubmission) anyRejected() bool {
	return slices.ContainsFunc(t.parts, func(p *part) bool { return p.state == submission.Rejected })
}

// recall asks the holders of all unfinished parts to reject them unless they have started.
func (e *engine) recall(t *transientSubmission, reason policy.Reason) {
	t.recalledAt = e.now
	klog.InfoS("kept: parts recalled", "id", t.record.ID, "queue", t.record.Queue, "parts", len(t.parts), "why", reason, "after", e.now-t.receivedAt)
	e.notifyPartHolders(t,
		func(own *shard.Shard) { own.Recall(e.now, t.record.ID) },
		func(f *pb.KeptFrame, p *part) { f.TakenBack = append(f.TakenBack, p.ref(t.record.ID)) })
}

// reassignRejected sends rejected parts to the shards that would finish them first. A shard has at most one
// part of a submission.
func (e *engine) reassignRejected(t *transientSubmission) {
	for _, p := range t.parts {
		if p.state != submission.Rejected {
			continue
		}
		l := e.selectShard(t, p)
		if l == nil {
			// The part was rejected, and no shard can take it.
			e.giveUp(t, "a part of it came back and no shard can be reached")
			return
		}
		klog.InfoS("kept: rejected part assigned again", "id", t.record.ID, "shard", p.shard, "holder", l.holder, "token", l.token, "tasks", p.record.TaskCount())
		e.reassignPart(t, p, l)
	}
	t.recalledAt = 0
}

// reassignPart sends a part of which no task has begun to the shard that was selected for it.
func (e *engine) reassignPart(t *transientSubmission, p *part, l *knownLoad) {
	p.record.Serial = e.nextSerial()
	p.record.Shard = p.shard
	p.state = submission.Queued
	p.holderToken = 0
	p.updatedAt = e.now
	e.sendPart(t, p, l)
}

// selectShard chooses the shard to which a rejected part is sent next, and returns that shard's load; nil if
// there is none. Shards that have another part of the submission are left out.
func (e *engine) selectShard(t *transientSubmission, p *part) *knownLoad {
	shards := e.eligibleShards(p.record)
	shards = slices.DeleteFunc(shards, func(c policy.Candidate) bool {
		other := t.part(c.Shard)
		return other != nil && other != p
	})
	allocations := e.vm.config.Policy.Split(shards, p.record.TaskCount(), false, longestEstimate(p.record))
	if len(allocations) == 0 {
		return nil
	}
	p.shard = allocations[0].Shard
	return e.loads[p.shard]
}

// receiveRecall handles the recall of a part by its home VM.
func (e *engine) receiveRecall(ref *pb.KeptRef) {
	if h := e.shards[ref.Shard]; h != nil {
		h.core.RecallAttempt(e.now, submission.ID(ref.Id), ref.Serial)
	}
}
