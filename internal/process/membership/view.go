package membership

import "slices"

// judge brings the doubts about all members up to date.
func (c *Core) judge() {
	for _, m := range c.members {
		if m.fact.State == Gone {
			continue
		}
		judgement := c.judgeFar
		if m.fact.Domain == c.self.Domain {
			judgement = c.judgeNear
		}
		reason, excluded := judgement(m)
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
	for _, id := range slices.Concat(c.near, c.far) {
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
	heard := 0
	for _, id := range slices.Concat(c.near, c.far) {
		m := c.members[id]
		if !m.excluded && m.judged() {
			heard++
			c.view.Live[m.fact.Domain] = append(c.view.Live[m.fact.Domain], m.fact)
		}
		if m.reason != "" {
			suspect := Suspect{VM: m.fact, Reason: m.reason, Since: m.since, Live: !m.excluded}
			c.view.Suspects = append(c.view.Suspects, suspect)
		}
	}
	c.view.Isolated = heard == 0 && len(c.near)+len(c.far) > 0
	for _, w := range c.workers {
		if w.fact.State != Gone {
			c.view.Workers = append(c.view.Workers, w.fact)
		}
	}
	c.sortView()
	return c.view
}

// judged reports whether some sign of the member has been had at all.
func (m *member) judged() bool { return !m.heardAt.IsZero() || !m.vouchedAt.IsZero() }

func (c *Core) sortView() {
	slices.SortFunc(c.view.Workers, byID)
	for _, live := range c.view.Live {
		slices.SortFunc(live, byID)
	}
	slices.SortFunc(c.view.Suspects, func(a, b Suspect) int { return byID(a.VM, b.VM) })
}
