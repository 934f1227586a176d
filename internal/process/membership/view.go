package membership

import "slices"

// evaluate brings the doubts about all members up to date.
func (c *Core) evaluate() {
	for _, m := range c.members {
		if m.fact.State == Gone {
			continue
		}
		evaluate := c.evaluateRemote
		if m.fact.Domain == c.self.Domain {
			evaluate = c.evaluateLocal
		}
		reason, excluded := evaluate(m)
		if reason != m.reason {
			m.since = c.now
		}
		if reason != m.reason || excluded != m.excluded {
			c.changed = true
		}
		m.reason, m.excluded = reason, excluded
	}
	c.dropUnlisted()
}

// dropUnlisted ends the incarnations that are both silent and no longer listed.
// Silence alone never does: a cut that heals would leave every VM of the other
// side to start again.
func (c *Core) dropUnlisted() {
	for _, id := range slices.Concat(c.local, c.remote) {
		m := c.members[id]
		if !m.excluded || !m.wasListed || m.listed {
			continue
		}
		gone := m.fact
		gone.State, gone.Sign = Gone, SignList
		c.learn(gone)
	}
}

// View returns what the node knows now. It is rebuilt only after a change, and
// must not be modified.
func (c *Core) View() View {
	if !c.changed {
		return c.view
	}
	c.changed = false
	c.view = View{
		Version:  c.view.Version + 1,
		Standing: c.standing,
		Pauses:   c.pauses,
		Leaving:  c.self.State == Leaving,
		Live:     map[string][]Fact{c.self.Domain: {c.self}},
	}
	c.view.ListDoubted = c.listDoubted
	heard := 0
	for _, id := range slices.Concat(c.local, c.remote) {
		m := c.members[id]
		if !m.excluded && m.seen() {
			heard++
			c.view.Live[m.fact.Domain] = append(c.view.Live[m.fact.Domain], m.fact)
		}
		if m.reason != "" {
			suspect := Suspect{VM: m.fact, Reason: m.reason, Since: m.since, Live: !m.excluded}
			c.view.Suspects = append(c.view.Suspects, suspect)
		}
	}
	c.view.Isolated = heard == 0 && len(c.local)+len(c.remote) > 0
	for _, w := range c.workers {
		if w.fact.State != Gone {
			c.view.Workers = append(c.view.Workers, w.fact)
		}
	}
	c.sortView()
	return c.view
}

// seen reports whether some sign of the member has been had at all.
func (m *member) seen() bool { return !m.heardAt.IsZero() || !m.namedLiveAt.IsZero() }

func (c *Core) sortView() {
	slices.SortFunc(c.view.Workers, byID)
	for _, live := range c.view.Live {
		slices.SortFunc(live, byID)
	}
	slices.SortFunc(c.view.Suspects, func(a, b Suspect) int { return byID(a.VM, b.VM) })
}
