package membership

import "slices"

// Heartbeats inside the failure domain.

// beat tells the domain that this node lives.
func (c *Core) beat() {
	if c.now.Before(c.nextHeartbeat) {
		return
	}
	c.nextHeartbeat = c.now.Add(heartbeatInterval)
	heartbeat := Heartbeat{
		Sender:  c.self,
		Silent:  c.silent(),
		Workers: c.hashWorkers(),
		Facts:   c.repeats(),
	}
	c.sendToOwnDomains(heartbeat.Facts)
	for _, id := range c.local {
		c.send(id, heartbeat)
	}
}

// silent names the members of the domain that this node does not hear. A node
// that has just started is no witness yet against those it never heard.
func (c *Core) silent() (ids []string) {
	isNew := c.now.Sub(c.started) <= suspectAfter
	for _, id := range c.local {
		m := c.members[id]
		if !c.hears(m) && !(isNew && m.heardAt.IsZero()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Core) hears(m *member) bool {
	return !m.heardAt.IsZero() && c.now.Sub(m.heardAt) <= suspectAfter
}

func (c *Core) heard(h Heartbeat) {
	sender := h.Sender
	sender.Sign = SignOwnWord
	if c.learn(sender) {
		c.introduce(sender)
	}
	m := c.members[sender.ID]
	if m == nil {
		return // under this node's own id
	}
	if m.fact.Incarnation != sender.Incarnation || m.fact.State == Gone {
		c.probed(sender) // it has not found out that it is gone
		return
	}
	c.changed = c.changed || !m.seen()
	m.heardAt = c.now
	m.silent = h.Silent
	c.learnAll(h.Facts, SignPeer)
	c.compareWorkers(m, h.Workers)
}

// introduce makes a VM that has just come known, and makes the fleet known to it.
// What goes wrong otherwise: the platform's list is out, the VM was told of one
// member only, and neither it nor the others of the domain ever hear of each
// other.
func (c *Core) introduce(newcomer Fact) {
	c.spread([]Fact{newcomer}, false)
	c.send(newcomer.ID, Summary{Sender: c.self, Digests: c.digests()})
}

// evaluateLocal says why a member of the own domain is in doubt, if it is, and
// whether it no longer counts as live.
//
// What goes wrong otherwise: one connection goes silent, one node takes the
// other for dead and takes over its work, and both act. So another member has
// to say the same; only where none is there to ask, and after longer, a node
// decides alone.
func (c *Core) evaluateLocal(m *member) (reason Reason, excluded bool) {
	if m.heardAt.IsZero() {
		return NeverHeard, true
	}
	if c.hears(m) {
		return "", false
	}
	agree, disagree := c.witnesses(m)
	switch {
	case agree > 0:
		return SilentToSeveral, true
	case disagree > 0:
		return SilentHereOnly, false
	case m.wasListed && !m.listed:
		return SilentAndUnlisted, true
	case c.now.Sub(m.heardAt) > aloneAfter:
		return SilentNoWitness, true
	}
	return "", false
}

// witnesses counts the members that this node hears by whether they hear the
// other.
func (c *Core) witnesses(m *member) (agree, disagree int) {
	for _, id := range c.local {
		witness := c.members[id]
		switch {
		case witness == m || !c.hears(witness):
		case slices.Contains(witness.silent, m.fact.ID):
			agree++
		default:
			disagree++
		}
	}
	return agree, disagree
}
