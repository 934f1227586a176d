package membership

import "time"

// Pauses of the node itself.

// probeOthers is how many nodes outside the domain are asked after a pause.
const probeOthers = 2

// enoughVerdicts settle a probe.
const enoughVerdicts = 2

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
	c.verdicts = 0
	asked := append([]string(nil), c.near...)
	for range min(probeOthers, len(c.far)) {
		asked = append(asked, c.far[c.random.IntN(len(c.far))])
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
		if !m.vouchedAt.IsZero() {
			m.vouchedAt = now
		}
	}
}

// probed tells a node that was paused how it stands here.
func (c *Core) probed(sender Fact) {
	verdict := Verdict{Incarnation: sender.Incarnation}
	if m := c.members[sender.ID]; m != nil {
		verdict.Gone = m.fact.Incarnation > sender.Incarnation ||
			m.fact.Incarnation == sender.Incarnation && m.fact.State == Gone
		verdict.Suspected = m.excluded
	}
	c.send(sender.ID, verdict)
}

// judged takes in how this node stands with another.
func (c *Core) judged(v Verdict) {
	if v.Incarnation != c.self.Incarnation {
		return
	}
	c.verdicts++
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
	enough := c.verdicts >= min(enoughVerdicts, len(c.near)+len(c.far))
	if enough || !c.now.Before(c.probeEnds) {
		c.standing = Acting
		c.changed = true
	}
}
