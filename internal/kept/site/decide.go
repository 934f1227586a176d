package site

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is a change of a shard's holder. It holds if the shard's key is still at
// the revision.
type Claim struct {
	From Holding
	To   Holding // without a revision
	Why  string
}

// handbackInterval is how often a holder looks whether another VM should have its shard. The look
// ranks all members, and shards go back after seconds: made at each round of a VM it was
// half of the processor of the engine on a site of 34 VMs (BenchmarkSite).
const handbackInterval = 250 * time.Millisecond

// decideInterval is how often it is looked for claims that are due, unless something was learnt. Turns
// are 150 ms apart. Made at each round of a VM the look was a quarter of the engine's processor on a
// site of 34 VMs under load (BenchmarkSite).
const decideInterval = 20 * time.Millisecond

// Decide returns the claims that are due.
func (s *Site) Decide(now time.Duration) []Claim {
	if s.stopping || !s.changed && now-s.decidedAt < decideInterval {
		return nil
	}
	s.changed = false
	s.decidedAt = now
	var out []Claim
	taken := false
	rank := now-s.handbackCheckedAt >= handbackInterval
	if rank {
		s.handbackCheckedAt = now
	}
	l := s.newClaimPass()
	for _, v := range s.sortedShards {
		h := v.holding
		if taken && !s.HeldBySelf(h) {
			continue // first it is to be seen that this VM holds one more
		}
		var c Claim
		var due bool
		switch {
		case !s.HeldBySelf(h):
			c, due = s.takeOver(now, v, l)
		case rank:
			c, due = s.giveBack(now, v, l.held())
		}
		if due {
			v.claimedAt = now
			taken = taken || c.To.Holder == s.self.Name
			out = append(out, c)
		}
	}
	return out
}

// takeOver claims a shard whose holder is not there, when it is this VM's turn.
func (s *Site) takeOver(now time.Duration, v *shardState, l *claimPass) (Claim, bool) {
	why, vacant := s.vacancyReason(now, v.holding)
	if !vacant {
		v.vacantSince = 0
		return Claim{}, false
	}
	if v.vacantSince == 0 {
		v.vacantSince = now
	}
	if v.claimedAt > 0 && now-v.claimedAt < s.settings.ClaimCooldown {
		return Claim{}, false
	}
	wait := time.Duration(0)
	if domain := DomainOf(v.holding.Shard); s.self.Domain != domain {
		wait = s.settings.OtherDomainDelay
		// The VMs of its domain come first: without them the wait is at least so long. To rank all VMs
		// for each shard of the site at each look took a small VM all its processor while a site of
		// 147 VMs started, so that links failed and sound holders passed for dead.
		least := wait + time.Duration(l.candidateCounts()[domain])*s.settings.ClaimStagger
		if now-s.startedAt < s.settings.StartupDelay || now-v.vacantSince < least {
			return Claim{}, false
		}
	}
	rank, able := l.rank(v.holding.Shard, v.holding.Holder)
	wait += time.Duration(rank) * s.settings.ClaimStagger
	if !able || now-v.vacantSince < wait {
		return Claim{}, false
	}
	return s.newClaim(v.holding, s.self, why), true
}

func (s *Site) vacancyReason(now time.Duration, h Holding) (why string, vacancyReason bool) {
	if h.Holder == "" {
		return "nobody holds it", true
	}
	m, there := s.members[h.Holder]
	switch {
	case s.HolderRestarted(h):
		return "its holder has started again", true
	case !there && (s.linkUp[h.Holder] || s.inGrace(now, h)):
		return "", false
	case now-s.contactSince < s.settings.MinStoreUptime:
		// This VM was cut off itself: its links are not back yet, whoever lives.
		return "", false
	case !there:
		return "its holder's key has lapsed", true
	case s.linkLost[m.Name]:
		return "the link to its holder is lost", true
	default:
		return "", false
	}
}

func (s *Site) inGrace(now time.Duration, h Holding) bool {
	l, known := s.lapsedMembers[h.Holder]
	return known && l.member.Incarnation == h.Incarnation && !s.linkLost[h.Holder] && now-l.at < s.settings.LapsedKeyGrace
}

// giveBack hands a shard of another domain to a VM of that domain, and one of several
// shards to a VM with fewer, once such a VM has been there for a while.
//
// What is given away in the same look counts as held by its successor. Otherwise a VM with two shards gives
// both to one with none, which gives both back some seconds later, and so on: with 18 VMs of three
// shards a domain, a shard changed hands 333 times in a minute of restarts, and each time all
// submissions there were handed over again.
func (s *Site) giveBack(now time.Duration, v *shardState, held map[string]int) (Claim, bool) {
	successor, found := s.successor(v.holding.Shard, held)
	why, better := "", false
	if found {
		why, better = s.handbackReason(successor, v.holding.Shard, held)
	}
	if !better {
		v.betterSince = 0
		return Claim{}, false
	}
	if v.betterSince == 0 {
		v.betterSince = now
	}
	if now-v.betterSince < s.settings.HandbackDelay || now-v.claimedAt < s.settings.ClaimCooldown {
		return Claim{}, false
	}
	held[successor.Name]++
	held[s.self.Name]--
	return s.newClaim(v.holding, successor, why), true
}

func (s *Site) handbackReason(successor Member, shard string, held map[string]int) (why string, better bool) {
	domain := DomainOf(shard)
	switch {
	case successor.Domain == domain && s.self.Domain != domain:
		return "a VM of its own domain is there", true
	case successor.Domain != domain:
		return "", false
	case shardsPerCore(successor, held[successor.Name]+1) < shardsPerCore(s.self, held[s.self.Name]):
		return "another VM of its domain holds less", true
	default:
		return "", false
	}
}

// held counts the shards of each entry VM.
func (s *Site) shardCounts() map[string]int {
	out := make(map[string]int)
	for _, v := range s.shards {
		out[v.holding.Holder]++
	}
	return out
}

// burden is how much a VM has to do with so many shards.
func shardsPerCore(m Member, shards int) float64 {
	if m.Cores <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.Cores
}

// successor is who should hold a shard if this VM does not, as the VMs hold so many shards.
func (s *Site) successor(shard string, held map[string]int) (Member, bool) {
	able := s.eligible(shard, s.self.Name)
	if len(able) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(able, func(a, b Member) int { return compareCandidates(shard, held, a, b) }), true
}

// HandOver returns the claims that give all shards of this VM to others.
func (s *Site) HandOver() []Claim {
	var out []Claim
	shardCounts := s.shardCounts()
	for _, h := range s.Holdings() {
		if !s.HeldBySelf(h) {
			continue
		}
		if successor, found := s.successor(h.Shard, shardCounts); found {
			shardCounts[successor.Name]++
			out = append(out, s.newClaim(h, successor, "its holder stops"))
		}
	}
	return out
}

func (s *Site) newClaim(from Holding, to Member, why string) Claim {
	return Claim{
		From: from,
		To: Holding{
			Shard:              from.Shard,
			Holder:             to.Name,
			Incarnation:        to.Incarnation,
			Token:              from.Token + 1,
			PredecessorStopped: from.Holder == "" || s.HolderRestarted(from) || s.HeldBySelf(from),
		},
		Why: why,
	}
}

// look is what a look for claims needs to know of all VMs. It is worked out once for all shards of the look,
// and only where a shard has no holder: after a restart of all VMs none has one, and to rank all VMs for
// each shard by itself takes a small VM all its processor.
type claimPass struct {
	site            *Site
	held            func() map[string]int // shards by entry VM
	candidateCounts func() map[string]int // entry VMs that are not suspected, by failure domain
	ownDomain       func() []candidate    // entry VMs of this VM's domain that are not suspected
	allDomains      func() []candidate    // the same of all domains
}

// ranked is an entry VM as it may take a shard.
type candidate struct {
	Member
	load float64 // with one more shard
}

func (s *Site) newClaimPass() *claimPass {
	l := &claimPass{site: s, held: sync.OnceValue(s.shardCounts), candidateCounts: sync.OnceValue(s.candidateCounts)}
	l.ownDomain = sync.OnceValue(func() []candidate { return l.candidates(s.self.Domain) })
	l.allDomains = sync.OnceValue(func() []candidate { return l.candidates("") })
	return l
}

// candidates returns the entry VMs of a failure domain, or of all, that are not suspected.
func (l *claimPass) candidates(domain string) []candidate {
	held := l.held()
	var out []candidate
	for _, m := range l.site.members {
		if (domain == "" || m.Domain == domain) && !l.site.linkLost[m.Name] {
			out = append(out, candidate{Member: m, load: shardsPerCore(m, held[m.Name]+1)})
		}
	}
	return out
}

// rank is how many entry VMs may take a shard before this one: those of its own failure domain come first,
// then those that have least to do, then rendezvous hashing decides. The one excepted takes no part.
func (l *claimPass) rank(shard, except string) (rank int, able bool) {
	s := l.site
	candidates := l.ownDomain
	if DomainOf(shard) != s.self.Domain {
		candidates = l.allDomains
	}
	self := shardsPerCore(s.self, l.held()[s.self.Name]+1)
	able = s.heldByEarlierProcess(shard, except)
	for _, c := range candidates() {
		own := c.Domain == DomainOf(shard)
		switch {
		case c.Name == except:
		case c.Name == s.self.Name:
			able = true
		case own && s.self.Domain != c.Domain:
			rank++
		case !own && s.self.Domain == DomainOf(shard):
		case c.load > self:
		case c.load < self || precedes(shard, c.Member, s.self):
			rank++
		}
	}
	return rank, able
}

// heldByEarlierProcess reports whether this VM may take a shard that its own earlier process held.
func (s *Site) heldByEarlierProcess(shard, except string) bool {
	h := s.Holding(shard)
	return except == s.self.Name && !s.HeldBySelf(h) && h.Holder == s.self.Name
}

// candidateCounts counts the entry VMs that are not suspected, by failure domain.
func (s *Site) candidateCounts() map[string]int {
	out := make(map[string]int)
	for _, m := range s.members {
		if !s.linkLost[m.Name] {
			out[m.Domain]++
		}
	}
	return out
}

// able returns the entry VMs that may hold a shard. A VM that is suspected, or the one
// excepted, is left out.
func (s *Site) eligible(shard, except string) []Member {
	var out []Member
	for _, m := range s.members {
		if m.Name != except && !s.linkLost[m.Name] {
			out = append(out, m)
		}
	}
	if s.heldByEarlierProcess(shard, except) {
		out = append(out, s.self) // it is the holder's earlier process that is gone
	}
	return out
}

func compareCandidates(shard string, held map[string]int, a, b Member) int {
	domain := DomainOf(shard)
	if own := a.Domain == domain; own != (b.Domain == domain) {
		if own {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(shardsPerCore(a, held[a.Name]+1), shardsPerCore(b, held[b.Name]+1)); c != 0 {
		return c
	}
	if precedes(shard, a, b) {
		return -1
	}
	return 1
}

// before reports whether one of two entry VMs that are equally suited comes first for a shard.
func precedes(shard string, a, b Member) bool {
	return cmp.Or(cmp.Compare(rendezvousHash(shard, b.Name), rendezvousHash(shard, a.Name)), strings.Compare(a.Name, b.Name)) < 0
}

// score is the rendezvous hash of a name for a key.
func rendezvousHash(key, name string) uint64 {
	buffer := make([]byte, 0, scoreBufferBytes)
	buffer = append(buffer, key...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	return xxhash.Sum64(buffer)
}

// scoreBufferBytes holds the names of most shards and VMs without an allocation.
const scoreBufferBytes = 128
