package vm

import (
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
func (e *engine) tellNewHolders() {
	e.revoked = slices.DeleteFunc(e.revoked, func(r revokedPart) bool { return e.now-r.at > revokedRetention })
	for i := range e.revoked {
		r := &e.revoked[i]
		holder, token := e.presentHolder(r.shard)
		if token <= r.token {
			continue
		}
		r.token = token
		klog.InfoS("kept: part cancelled at a new holder", "id", r.id, "shard", r.shard, "holder", holder, "token", token, "serial", r.refs[0].Serial, "ago", e.now-r.at)
		for _, ref := range r.refs {
			if holder == e.vm.config.Name {
				e.cancelInOwnShards(ref)
				continue
			}
			f := e.frame(holder)
			f.Cancelled = append(f.Cancelled, ref)
		}
	}
}

// presentHolder returns the newest holder of a shard that this VM has heard of, by the store or from the holder itself, and
// its token; 0: there is none.
func (e *engine) presentHolder(shard string) (holder string, token uint64) {
	if h := e.shards[shard]; h != nil {
		return e.vm.config.Name, h.holding.Token
	}
	holding := e.site.Holding(shard)
	if l := e.loads[shard]; l != nil && l.token > holding.Token {
		return l.holder, l.token
	}
	if holding.Holder == e.vm.config.Name {
		return "", 0 // this VM does not serve it yet, or not any more
	}
	return holding.Holder, holding.Token
}
