package membership

import "time"

// Pauses of the node itself.

// probeOthers is how many nodes outside the domain are asked after a pause.
const probeOthers = 2

// enoughReplies settle a probe.
const enoughReplies = 2

// noticePause finds that the node was paused, before it does anything else.
//
// What goes wrong otherwise: a VM is paused, its peers take it for dead and its
// id starts again elsewhere; it wakes and acts on what it knew. The gap between
// two steps shows the pause. The clock that only runs forward may stand still
// while a VM is suspended, so the wall clock is compared as well; when that
// merely jumps, the node probes without need.
func (c *Core) noticePause(now time.Time) {
	steady := now.Sub(c.now)
	wall := now.Round(0).Sub(c.now.Round(0))
	if max(steady, wall) <= pauseLimit {
		return
	}
	c.pauses++
	c.changed = true
	if c.standing != Superseded {
		c.standing = Probing
	}
	c.probeEnds = now.Add(probeLimit)
	c.replies = 0
	asked := append([]string(nil), c.local...)
	for range min(probeOthers, len(c.remote)) {
		asked = append(asked, c.remote[c.random.IntN(len(c.remote))])
	}
	for _, id := range asked {
		c.send(id, Probe{Sender: c.self})
	}
	c.excuseSilence(now)
}

// excuseSilence gives the others time to be heard again: they were not silent,
// this node did not listen.
func (c *Core) excuseSilence(now time.Time) {
	for _, m := range c.members {
		if !m.heardAt.IsZero() {
			m.heardAt = now
		}
		if !m.namedLiveAt.IsZero() {
			m.namedLiveAt = now
		}
	}
}

// probed tells a node that was paused how it stands here.
func (c *Core) probed(sender Fact) {
	reply := ProbeReply{Incarnation: sender.Incarnation}
	if m := c.members[sender.ID]; m != nil {
		reply.Gone = m.fact.Incarnation > sender.Incarnation ||
			m.fact.Incarnation == sender.Incarnation && m.fact.State == Gone
		reply.Suspected = m.excluded
	}
	c.send(sender.ID, reply)
}

// probeReply takes in how this node stands with another.
func (c *Core) probeReply(v ProbeReply) {
	if v.Incarnation != c.self.Incarnation {
		return
	}
	c.replies++
	if v.Gone {
		c.standing = Superseded
		c.changed = true
	}
}

// endProbe lets the node act again once enough others answered and none said
// that it is gone, or nobody did in time. In the latter case it is cut off, and
// has to go on serving what it can; the workers' leases keep it from harm.
func (c *Core) endProbe() {
	if c.standing != Probing {
		return
	}
	enough := c.replies >= min(enoughReplies, len(c.local)+len(c.remote))
	if enough || !c.now.Before(c.probeEnds) {
		c.standing = Acting
		c.changed = true
	}
}
