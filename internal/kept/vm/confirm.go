package vm

import (
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// askHome asks the home VM of a part that a shard of this VM has whether it still waits for it.
func (e *engine) askHome(h *heldShard, c shard.ConfirmAction) {
	if c.Home == e.vm.config.Name {
		if e.waitsFor(c.ID, h.holding.Shard, c.Serial) {
			h.core.Confirmed(c.ID, c.Serial, e.now)
		} else {
			h.core.CancelAttempt(e.now, c.ID, c.Serial)
		}
		return
	}
	f := e.frame(c.Home)
	f.Confirms = append(f.Confirms, &pb.KeptConfirm{Id: string(c.ID), Shard: h.holding.Shard, Serial: c.Serial, AskedNs: uint64(e.now)})
}

// logUnconfirmed logs and counts the parts that end as their home VMs have not confirmed them.
func (e *engine) logUnconfirmed(h *heldShard, parts []shard.UnconfirmedAction) {
	for _, p := range parts {
		e.vm.metrics.unconfirmedParts.Inc(1)
		klog.InfoS("kept: part ended, its home VM has not confirmed it", "id", p.ID, "shard", h.holding.Shard, "token", h.holding.Token,
			"home", p.Home, "serial", p.Serial, "confirmed_ago", p.Age, "link_up", p.Home == e.vm.config.Name || e.linkUp[p.Home])
	}
}

const maxUnwantedPartLines = 100 // a second

// receiveConfirm answers a holder that asks whether this VM still waits for a part.
func (e *engine) receiveConfirm(from string, c *pb.KeptConfirm) {
	f := e.frame(from)
	if e.waitsFor(submission.ID(c.Id), c.Shard, c.Serial) {
		f.Confirmed = append(f.Confirmed, c)
		return
	}
	e.vm.metrics.unwantedParts.Inc(1)
	if omitted, allowed := e.unwantedPartLines.allow(e.now, maxUnwantedPartLines); allowed {
		klog.InfoS("kept: part cancelled, its holder goes on with it", "id", c.Id, "shard", c.Shard, "holder", from, "serial", c.Serial, "omitted", omitted)
	}
	f.Cancelled = append(f.Cancelled, &pb.KeptRef{Id: c.Id, Shard: c.Shard, Serial: c.Serial})
}

// receiveConfirmed records that the home VM of a part waits for it.
func (e *engine) receiveConfirmed(c *pb.KeptConfirm) {
	if h := e.shards[c.Shard]; h != nil {
		h.core.Confirmed(submission.ID(c.Id), c.Serial, min(time.Duration(c.AskedNs), e.now))
	}
}

// waitsFor reports whether this VM is the home of an unfinished submission and a shard has a part of it under a serial,
// perhaps without the tasks that are to join it.
func (e *engine) waitsFor(id submission.ID, shard string, serial uint64) bool {
	t := e.open[id]
	if t == nil {
		return false
	}
	p := t.part(shard)
	return p != nil && !p.state.Final() && (p.record.Serial == serial || p.joins == serial)
}
