package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// News of VMs: where it comes from and how it spreads.

// learnAll takes facts in and returns those that are news.
func (c *Core) learnAll(facts []Fact, sign Sign) (news []Fact) {
	for _, fact := range facts {
		fact.Sign = sign
		if c.learn(fact) {
			news = append(news, fact)
		}
	}
	return news
}

func (c *Core) workerSaid(fact Fact) {
	c.spread(c.learnAll([]Fact{fact}, SignOwnWord), false)
}

func (c *Core) leave() {
	if c.self.State != Present {
		return
	}
	c.self.State = Leaving
	c.changed = true
	c.spread([]Fact{c.self}, false)
}

// spread hands news on: to all of the own domain and of the domain that it is
// about, and, where it arose here, to one node of each other domain. It does not
// wait for the next heartbeat, since a leaving worker must get no work within
// seconds; the next heartbeats repeat it, in case it is lost.
func (c *Core) spread(news []Fact, fromLocal bool) {
	if len(news) == 0 || fromLocal {
		return
	}
	for _, id := range c.local {
		c.send(id, Notice{Facts: news})
	}
	for _, fact := range news {
		c.updates = append(c.updates, repeated{fact: fact, left: updateRepeats})
	}
	if news[0].Sign == SignPeer {
		return // the domain where it arose tells the others
	}
	c.sendToOwnDomains(news)
	for _, id := range c.oneOfEachDomain() {
		c.send(id, Notice{Facts: news})
	}
}

// sendToOwnDomains sends each fact to the live members of the domain that it is
// about, which give the VM work.
func (c *Core) sendToOwnDomains(facts []Fact) {
	byDomain := make(map[string][]Fact)
	for _, fact := range facts {
		if fact.Sign != SignPeer {
			byDomain[fact.Domain] = append(byDomain[fact.Domain], fact)
		}
	}
	for _, id := range c.remote {
		m := c.members[id]
		if concerned := byDomain[m.fact.Domain]; concerned != nil && !m.excluded {
			c.send(id, Notice{Facts: concerned})
		}
	}
}

// oneOfEachDomain draws a live member of each other domain.
func (c *Core) oneOfEachDomain() (drawn []string) {
	byDomain := make(map[string][]string)
	var domains []string
	for _, id := range c.remote {
		m := c.members[id]
		if m.excluded {
			continue
		}
		if byDomain[m.fact.Domain] == nil {
			domains = append(domains, m.fact.Domain)
		}
		byDomain[m.fact.Domain] = append(byDomain[m.fact.Domain], id)
	}
	for _, domain := range domains {
		ids := byDomain[domain]
		drawn = append(drawn, ids[c.random.IntN(len(ids))])
	}
	return drawn
}

// repeats takes the news that the next heartbeat repeats.
func (c *Core) repeats() (facts []Fact) {
	kept := c.updates[:0]
	for _, r := range c.updates {
		facts = append(facts, r.fact)
		if r.left--; r.left > 0 {
			kept = append(kept, r)
		}
	}
	c.updates = kept
	return facts
}

// domainWorkers is what is known of the own domain's workers, by ID.
func (c *Core) domainWorkers() (facts []Fact) {
	for _, w := range c.workers {
		if w.fact.Domain == c.self.Domain {
			facts = append(facts, w.fact)
		}
	}
	slices.SortFunc(facts, byID)
	return facts
}

// compareWorkers asks a member for all it knows of the domain's workers, when
// the two have differed for longer than news takes to arrive.
func (c *Core) compareWorkers(m *member, hash uint64) {
	switch {
	case hash == c.hashWorkers():
		m.differs = time.Time{}
	case m.differs.IsZero():
		m.differs = c.now
	case c.now.Sub(m.differs) >= mismatchLimit && c.now.Sub(c.lastWantAt) >= mismatchLimit:
		c.lastWantAt = c.now
		c.send(m.fact.ID, Want{})
	}
}

// hashWorkers stands for the workers of the own domain that are not gone. The
// others are left out, since each node forgets them at a time of its own.
func (c *Core) hashWorkers() uint64 {
	if !c.hashStale {
		return c.workersHash
	}
	c.hashStale = false
	hash := xxhash.New()
	for _, f := range c.domainWorkers() {
		if f.State == Gone {
			continue
		}
		hashText(hash, f.ID)
		hashNumber(hash, f.Incarnation)
		hashNumber(hash, uint64(f.State))
	}
	c.workersHash = hash.Sum64()
	return c.workersHash
}

func hashText(hash *xxhash.Digest, text string) {
	hashNumber(hash, uint64(len(text)))
	_, _ = hash.WriteString(text) // never fails
}

func hashNumber(hash *xxhash.Digest, number uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	_, _ = hash.Write(bytes[:]) // never fails
}
