package membership

import (
	"slices"
	"time"
)

// fewDropped is how many workers a list may always drop.
const fewDropped = 8

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
	dropped := c.droppedWorkers(names)
	c.setListDoubted(2*len(dropped) > len(c.workers) && len(dropped) > fewDropped)
	if c.listDoubted {
		return nil
	}
	for _, fact := range dropped {
		if c.learn(fact) {
			news = append(news, fact)
		}
	}
	return news
}

// droppedWorkers are those that a list named before and this one does not, as
// gone, by ID. A worker that the list is too old to know is not among them.
func (c *Core) droppedWorkers(names map[string]bool) (dropped []Fact) {
	for id, w := range c.workers {
		w.wasListed = w.wasListed || names[id]
		if names[id] || !w.wasListed || w.fact.State == Gone {
			continue
		}
		gone := w.fact
		gone.State, gone.Sign = Gone, SignList
		dropped = append(dropped, gone)
	}
	slices.SortFunc(dropped, byID)
	return dropped
}

// setListDoubted notes whether the newest list drops most workers at once.
//
// What goes wrong otherwise: the platform hands out an empty or cut-off list,
// all workers count as gone, and the site stands still. Even a whole failure
// domain is less than half of the workers. The workers' own word still counts.
func (c *Core) setListDoubted(doubted bool) {
	c.changed = c.changed || doubted != c.listDoubted
	c.listDoubted = doubted
}

// turn is how long one reading of the list is to last. A domain that is cut off
// is few, and reads more seldom.
func (c *Core) turn() time.Duration {
	live := 1
	for _, id := range slices.Concat(c.local, c.remote) {
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
	for _, id := range slices.Concat(c.local, c.remote) {
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
