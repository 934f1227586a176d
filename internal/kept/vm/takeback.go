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

// A submission that is divided over shards is refused as a whole or not at all, and only
// its home knows all parts. When no part of it has begun and it is not worth waiting for
// any more, its home takes the parts back. Each holder answers for certain: the part is
// rejected, or has begun. Either all parts are rejected, and the caller is refused, or some
// have begun, and the others are given out anew.
//
// Without it such a submission waits to the end of its caller's time: under overload two in
// a hundred submissions ended so, and none of their callers learnt that nothing had run.

// recallTimeout is up to when the holders answer. A message that was lost is not waited
// for: the parts that came back are given out again.
const recallTimeout = 250 * time.Millisecond

// reconsider takes a divided submission back when its time is over, and gives parts that
// came back out again when others have begun.
func (e *engine) recallOrReassign(t *transientSubmission) {
	if !e.vm.config.Policy.TakeBack || len(t.parts) < 2 || t.state.Final() {
		return
	}
	switch {
	case t.recalledAt == 0 && t.anyRejected():
		t.recalledAt = e.now // a holder has rejected its part by itself
	case t.recalledAt == 0 && !t.anyStarted():
		if reason := e.vm.config.Policy.KeepWaiting(e.now, e.policyWork(t.record, t.receivedAt)); reason.Refused() {
			e.recall(t, reason)
		}
	case t.recalledAt > 0 && t.anyRejected() && (t.anyStarted() || e.now-t.recalledAt > recallTimeout):
		e.reassignRejected(t)
	}
}

func (t *transientSubmission) anyStarted() bool {
	return t.started || slices.ContainsFunc(t.parts, func(p *part) bool {
		return p.resends > 0 || p.state == submission.Running || p.state == submission.Done
	})
}

func (t *transientSubmission) anyRejected() bool {
	return slices.ContainsFunc(t.parts, func(p *part) bool { return p.state == submission.Rejected })
}

func (e *engine) recall(t *transientSubmission, reason policy.Reason) {
	t.recalledAt = e.now
	klog.InfoS("kept: taken back", "id", t.record.ID, "queue", t.record.Queue, "parts", len(t.parts), "why", reason, "after", e.now-t.receivedAt)
	e.notifyPartHolders(t,
		func(own *shard.Shard) { own.TakeBack(e.now, t.record.ID) },
		func(f *pb.KeptFrame, part *pb.KeptRef) { f.TakenBack = append(f.TakenBack, part) })
}

// reassignRejected hands the parts that came back to the shards that do them soonest. A shard
// has one part of a submission at most.
func (e *engine) reassignRejected(t *transientSubmission) {
	for _, p := range t.parts {
		if p.state != submission.Rejected {
			continue
		}
		l := e.selectShard(t, p)
		if l == nil {
			e.giveUp(t, "a part of it came back and no shard can be reached")
			return
		}
		p.record.Serial = e.nextSerial()
		p.record.Shard = p.shard
		p.state = submission.Queued
		p.holderToken = 0
		p.updatedAt = e.now
		klog.InfoS("kept: given out again", "id", t.record.ID, "shard", p.shard, "holder", l.holder, "token", l.token, "tasks", p.record.TaskCount())
		e.sendPart(t, p, l)
	}
	t.recalledAt = 0
}

// selectShard chooses the shard that a part is given to next; nil if there is none.
func (e *engine) selectShard(t *transientSubmission, p *part) *knownLoad {
	shards := e.eligibleShards(p.record)
	shards = slices.DeleteFunc(shards, func(c policy.Candidate) bool {
		other := t.part(c.Shard)
		return other != nil && other != p
	})
	portions := e.vm.config.Policy.Split(shards, p.record.TaskCount(), false, longestEstimate(p.record))
	if len(portions) == 0 {
		return nil
	}
	p.shard = portions[0].Shard
	return e.loads[p.shard]
}

// receiveRecall answers a home that takes a part back.
func (e *engine) receiveRecall(ref *pb.KeptRef) {
	if h := e.shards[ref.Shard]; h != nil {
		h.core.TakeBack(e.now, submission.ID(ref.Id))
	}
}
