package membership

import (
	"slices"
	"time"
)

// The platform's list of VMs: whose turn it is to read it, and what it changes.

// readList asks for the list when it is this node's turn, or when it has never
// read it.
//
// Nodes take turns by the wall clock, so that the fleet together reads once in
// an interval without talking about it: the list is long, and read by each node
// it would take up the bytes that a node may spend. Views that differ cost a
// read too many, or one that the next turn makes up for.
func (c *Core) readList() {
	slot := c.now.Unix() / int64(c.turn().Seconds())
	turnBegins := slot != c.listSlot
	c.listSlot = slot
	if c.listWaiting {
		return
	}
	neverRead := c.listVersion == 0 && !c.now.Before(c.nextList)
	if neverRead || turnBegins && c.isMyTurn(slot) {
		c.listWaiting = true
		c.actions = append(c.actions, ReadList{})
	}
}

// listRead takes in a list of VMs.
func (c *Core) listRead(list ListRead) {
	c.listWaiting = false
	if list.Failed {
		c.nextList = c.now.Add(listRetry/2 + c.jitter(listRetry/2))
		return
	}
	if list.Version <= c.listVersion {
		return // an old replica
	}
	first := c.listVersion == 0
	c.listVersion = list.Version
	c.listBytes = factsSize(list.VMs)
	news := c.learnAll(list.VMs, SignList)
	news = append(news, c.unlisted(list.VMs)...)
	if !first {
		c.spread(news, false)
	}
}

// unlisted finds the VMs that the list has dropped. A worker is gone; an entry
// VM that still beats stays, since the list is a hint.
func (c *Core) unlisted(listed []Fact) (news []Fact) {
	names := make(map[string]bool, len(listed))
	for _, fact := range listed {
		names[fact.ID] = true
	}
	for id, m := range c.members {
		m.listed = names[id]
		m.wasListed = m.wasListed || m.listed
	}
	for id, w := range c.workers {
		w.wasListed = w.wasListed || names[id]
		if names[id] || !w.wasListed {
			continue // a worker that this list is too old to know stays
		}
		gone := w.fact
		gone.State, gone.Sign = Gone, SignList
		if c.learn(gone) {
			news = append(news, gone)
		}
	}
	slices.SortFunc(news, byID)
	return news
}

// turn is how long one reading of the list is to last. A domain that is cut off
// is few, and reads more seldom.
func (c *Core) turn() time.Duration {
	live := 1
	for _, id := range slices.Concat(c.near, c.far) {
		if !c.members[id].excluded {
			live++
		}
	}
	affordable := time.Duration(c.listBytes/(listRate*live)) * time.Second
	return max(listInterval, affordable)
}

// isMyTurn reports whether the turn falls to this node. Turns go round, so that
// none reads twice while another has not read.
func (c *Core) isMyTurn(slot int64) bool {
	live, before := 1, 0
	for _, id := range slices.Concat(c.near, c.far) {
		if c.members[id].excluded {
			continue
		}
		live++
		if id < c.self.ID {
			before++
		}
	}
	return slot%int64(live) == int64(before)
}
