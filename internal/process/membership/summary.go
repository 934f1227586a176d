package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summaries between failure domains.
//
// Each domain has one row, written by its first live member. Nodes compare
// digests of all rows and exchange only rows whose members differ, so that the
// bytes grow with the domains and not with the VMs.

// heldRow is the newest row of a domain.
type heldRow struct {
	Row
	adopted time.Time
}

// summarize writes the own domain's row, where that is this node's part, and
// compares with a random node of another domain. Suspects are drawn as well:
// otherwise two sides of a healed cut would never speak again.
func (c *Core) summarize() {
	if c.now.Before(c.nextSummary) {
		return
	}
	c.nextSummary = c.now.Add(summaryInterval)
	if c.writesRow() {
		c.writeRow()
	}
	if len(c.remote) == 0 {
		return
	}
	to := c.remote[c.random.IntN(len(c.remote))]
	c.send(to, Summary{Sender: c.self, Digests: c.digests()})
}

// writesRow reports whether this node is the first live one of its domain.
// Two writers at once, in a split domain, write in turn; suspicionDelay covers it.
func (c *Core) writesRow() bool {
	for _, id := range c.local {
		if id < c.self.ID && !c.members[id].excluded {
			return false
		}
	}
	return true
}

func (c *Core) writeRow() {
	members := []RowMember{c.rowMember(c.self, false)}
	for _, id := range c.local {
		m := c.members[id]
		if m.reason != NeverHeard {
			members = append(members, c.rowMember(m.fact, m.excluded))
		}
	}
	slices.SortFunc(members, func(a, b RowMember) int { return byID(Fact{ID: a.ID}, Fact{ID: b.ID}) })
	// The wall clock lets the beat of a new writer pass that of the last one.
	beat := uint64(c.now.UnixMilli())
	if last := c.rows[c.self.Domain]; last != nil {
		beat = max(beat, last.Beat+1)
	}
	digest := Digest{Domain: c.self.Domain, Beat: beat, Hash: hashMembers(members)}
	c.rows[c.self.Domain] = &heldRow{Row: Row{Digest: digest, Members: members}, adopted: c.now}
}

func (c *Core) rowMember(f Fact, suspect bool) RowMember {
	return RowMember{
		ID: f.ID, Incarnation: f.Incarnation, Address: f.Address,
		Leaving: f.State == Leaving, Suspect: suspect,
	}
}

func hashMembers(members []RowMember) uint64 {
	hash := xxhash.New()
	for _, m := range members {
		hashText(hash, m.ID)
		hashNumber(hash, m.Incarnation)
		hashText(hash, m.Address)
		hashNumber(hash, bit(m.Leaving)|bit(m.Suspect)<<1)
	}
	return hash.Sum64()
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func (c *Core) digests() (digests []Digest) {
	for _, domain := range slices.Sorted(maps.Keys(c.rows)) {
		digests = append(digests, c.rows[domain].Digest)
	}
	return digests
}

// compare takes in what another node knows and answers with what it lacks.
func (c *Core) compare(theirs Summary) {
	c.learn(theirs.Sender)
	for _, row := range theirs.Rows {
		c.adoptRow(row)
	}
	answer := Summary{Sender: c.self, Reply: true}
	told := make(map[string]bool)
	for _, d := range theirs.Digests {
		told[d.Domain] = true
		c.compareDigest(d, theirs.Reply, &answer)
	}
	if !theirs.Reply {
		c.addUntold(told, &answer)
	}
	for _, domain := range theirs.Need {
		if row := c.rows[domain]; row != nil {
			answer.Rows = append(answer.Rows, row.Row)
		}
	}
	if len(answer.Digests)+len(answer.Rows)+len(answer.Need) > 0 {
		c.send(theirs.Sender.ID, answer)
	}
}

// compareDigest takes a digest in, or adds to the answer what it calls for.
func (c *Core) compareDigest(theirs Digest, isReply bool, answer *Summary) {
	mine := c.rows[theirs.Domain]
	switch {
	case mine == nil || theirs.Beat > mine.Beat && theirs.Hash != mine.Hash:
		answer.Need = append(answer.Need, theirs.Domain)
	case theirs.Beat > mine.Beat:
		mine.Beat = theirs.Beat
		c.confirm(mine)
	case theirs.Beat == mine.Beat || isReply:
	case theirs.Hash == mine.Hash:
		answer.Digests = append(answer.Digests, mine.Digest)
	default:
		answer.Rows = append(answer.Rows, mine.Row)
	}
}

// addUntold adds the rows of the domains that the other does not know.
func (c *Core) addUntold(told map[string]bool, answer *Summary) {
	for _, domain := range slices.Sorted(maps.Keys(c.rows)) {
		if !told[domain] {
			answer.Rows = append(answer.Rows, c.rows[domain].Row)
		}
	}
}

func (c *Core) adoptRow(row Row) {
	mine := c.rows[row.Domain]
	if mine != nil && row.Beat <= mine.Beat {
		return
	}
	held := &heldRow{Row: row}
	c.rows[row.Domain] = held
	for _, m := range row.Members {
		c.learn(factOf(row.Domain, m))
	}
	c.confirm(held)
}

func factOf(domain string, m RowMember) Fact {
	fact := Fact{
		Role: Entry, ID: m.ID, Incarnation: m.Incarnation, Domain: domain,
		Address: m.Address, State: Present, Sign: SignPeer,
	}
	if m.Leaving {
		fact.State = Leaving
	}
	return fact
}

// confirm notes whom a row that has just proved fresh names as live.
func (c *Core) confirm(row *heldRow) {
	row.adopted = c.now
	if row.Domain == c.self.Domain {
		return // heartbeats say more
	}
	for _, named := range row.Members {
		m := c.members[named.ID]
		if m == nil || m.fact.Incarnation != named.Incarnation {
			continue
		}
		m.rowSuspects = named.Suspect
		if !named.Suspect {
			c.changed = c.changed || !m.seen()
			m.namedLiveAt = c.now
		}
	}
}

// evaluateRemote says why a member of another domain is in doubt, if it is, and
// whether it no longer counts as live.
func (c *Core) evaluateRemote(m *member) (reason Reason, excluded bool) {
	if m.namedLiveAt.IsZero() && !m.rowSuspects {
		return NeverHeard, true
	}
	quiet := c.now.Sub(m.namedLiveAt)
	row := c.rows[m.fact.Domain]
	switch {
	case m.rowSuspects && quiet > suspicionDelay:
		return SuspectedByItsDomain, true
	case quiet <= remoteAfter:
		return "", false
	case row == nil || c.now.Sub(row.adopted) > remoteAfter:
		return DomainUnreachable, true
	}
	return MissingFromItsDomain, true
}
