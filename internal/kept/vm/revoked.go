package vm

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A shard may get a new holder just after its home VM has cancelled a part there. The new holder finds the runs at the
// workers and does not know that they were cancelled: it would take them for runs of a submission that is still to be
// handed over, and extend their leases. So a home VM tells new holders, too, for a while.

const (
	// revokedRetention is longer than runs go on without a home VM that hands them over, at two holders in a row.
	revokedRetention = 5 * time.Second
	maxRevoked       = 4096 // the oldest are forgotten
	// revokedCheckInterval is between two looks at the holders, unless some have changed.
	revokedCheckInterval = 20 * time.Millisecond
)

// revokedPart is a part that this VM has cancelled.
type revokedPart struct {
	id    submission.ID
	shard string
	refs  []*pb.KeptRef // the messages that cancel it
	token uint64        // of the newest holder that was told
	at    time.Duration
}

// revoke remembers that a part was cancelled, and told to the holder that it was sent to.
func (e *engine) revoke(t *transientSubmission, p *part) {
	if p.holderToken == 0 {
		return // no holder was sent it
	}
	e.revoked = append(e.revoked, revokedPart{id: t.record.ID, shard: p.shard, refs: p.cancellations(t.record.ID), token: p.holderToken, at: e.now})
	e.revoked = e.revoked[max(len(e.revoked)-maxRevoked, 0):]
}

// tellNewHolders tells the holders that shards have got since of the parts that were cancelled there.
func (e *engine) tellNewHolders(holdersChanged bool) {
	if !holdersChanged && e.now-e.revokedCheckedAt < revokedCheckInterval {
		return
	}
	e.revokedCheckedAt = e.now
	e.revoked = slices.DeleteFunc(e.revoked, func(r revokedPart) bool { return e.now-r.at > revokedRetention })
	for i := range e.revoked {
		r := &e.revoked[i]
		own := e.shards[r.shard]
		holder, token := e.presentHolder(r.shard)
		if token <= r.token || own == nil && holder == "" {
			continue
		}
		r.token = token
		klog.InfoS("kept: part cancelled at a new holder", "id", r.id, "shard", r.shard, "holder", cmp.Or(holder, e.vm.config.Name), "token", token, "serial", r.refs[0].Serial, "ago", e.now-r.at)
		for _, ref := range r.refs {
			if own != nil {
				e.cancelInOwnShards(ref)
			}
			if holder != "" {
				f := e.frame(holder)
				f.Cancelled = append(f.Cancelled, ref)
			}
		}
	}
}
