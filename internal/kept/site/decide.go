package site

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is a change of a shard's holder. It takes effect if the shard's key is still at the
// revision of From.
type Claim struct {
	From Holding
	To   Holding // its Revision is not set
	Why  string  // for the log
}

// handbackInterval is how often a holder checks whether another VM should hold its shards. The check
// ranks all members, and handing a shard back takes seconds anyway. In each round of the engine
// it took half of the engine's CPU time on a site of 34 VMs (BenchmarkSite).
const handbackInterval = 250 * time.Millisecond

// decideInterval is how often Decide looks for due claims if nothing has changed; claims of different
// VMs are 150 ms apart (Settings.ClaimStagger). In each round of the engine this took a quarter of the
// engine's CPU time on a site of 34 VMs under load (BenchmarkSite).
const decideInterval = 20 * time.Millisecond

// Decide returns the claims that are due. The caller carries them out.
func (s *Site) Decide(now time.Duration) []Claim {
	if s.stopping || !s.changed && now-s.decidedAt < decideInterval {
		return nil
	}
	s.changed = false
	s.decidedAt = now
	var out []Claim
	taken := false
	checkHandback := now-s.handbackCheckedAt >= handbackInterval
	if checkHandback {
		s.handbackCheckedAt = now
	}
	pass := s.newClaimPass()
	for _, v := range s.sortedShards {
		h := v.holding
		if taken && !s.HeldBySelf(h) {
			continue // one takeover per pass: the next ranks must count this shard
		}
		var c Claim
		var due bool
		switch {
		case !s.HeldBySelf(h):
			c, due = s.takeOver(now, v, pass)
		case checkHandback:
			c, due = s.giveBack(now, v, pass.shardCounts())
		}
		if due {
			v.claimedAt = now
			taken = taken || c.To.Holder == s.self.Name
			out = append(out, c)
		}
	}
	return out
}

// takeOver claims a shard without a live holder once this VM's delay has passed: the higher its
// rank among the candidates, the later it claims.
func (s *Site) takeOver(now time.Duration, v *shardState, pass *claimPass) (Claim, bool) {
	why, vacant := s.vacant(now, v.holding)
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
		// The VMs of the shard's own domain rank first, so the wait has a lower bound that needs no
		// ranking. Ranking all VMs for each shard in each pass took all the CPU of a small VM while a
		// site of 147 VMs started; its links failed, and live holders were taken for dead.
		minWait := wait + time.Duration(pass.candidateCounts()[domain])*s.settings.ClaimStagger
		if now-s.startedAt < s.settings.StartupDelay || now-v.vacantSince < minWait {
			return Claim{}, false
		}
	}
	rank, eligible := pass.rank(v.holding.Shard, v.holding.Holder)
	wait += time.Duration(rank) * s.settings.ClaimStagger
	if !eligible || now-v.vacantSince < wait {
		return Claim{}, false
	}
	return s.newClaim(v.holding, s.self, why), true
}

// vacant reports whether a shard has no live holder, and why.
func (s *Site) vacant(now time.Duration, h Holding) (why string, vacant bool) {
	if h.Holder == "" {
		return "it has no holder", true
	}
	m, isMember := s.members[h.Holder]
	switch {
	case s.HolderRestarted(h):
		return "its holder has restarted", true
	case !isMember && (s.linkUp[h.Holder] || s.inGrace(now, h)):
		return "", false
	case now-s.contactSince < s.settings.MinStoreUptime:
		// This VM was cut off itself: its links may still be down although the peers are alive.
		return "", false
	case !isMember:
		return "its holder's key has lapsed", true
	case s.linkLost[m.Name]:
		return "the link to its holder is lost", true
	default:
		return "", false
	}
}

// inGrace reports whether a holder's key has lapsed so recently that it may write it again.
func (s *Site) inGrace(now time.Duration, h Holding) bool {
	l, known := s.lapsed[h.Holder]
	return known && l.member.Incarnation == h.Incarnation && !s.linkLost[h.Holder] && now-l.at < s.settings.LapsedKeyGrace
}

// giveBack hands a shard of another domain back to a VM of that domain, or rebalances a shard of the own
// domain to a VM with a lower load, once that VM has been the better holder for HandbackDelay.
//
// Shards given away in the same pass count as held by their successors already. Otherwise a VM with two
// shards gives both to a VM with none, which gives both back some seconds later, and so on: with 18
// VMs and three shards per domain, a shard changed hands 333 times in a minute of restarts, and each
// time all its submissions were handed over again.
func (s *Site) giveBack(now time.Duration, v *shardState, shardCounts map[string]int) (Claim, bool) {
	successor, found := s.successor(v.holding.Shard, shardCounts)
	why, better := "", false
	if found {
		why, better = s.handbackReason(successor, v.holding.Shard, shardCounts)
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
	shardCounts[successor.Name]++
	shardCounts[s.self.Name]--
	return s.newClaim(v.holding, successor, why), true
}

// handbackReason reports whether a successor is a better holder of a shard than this VM, and why.
func (s *Site) handbackReason(successor Member, shard string, shardCounts map[string]int) (why string, better bool) {
	domain := DomainOf(shard)
	switch {
	case successor.Domain == domain && s.self.Domain != domain:
		return "a VM of its own domain is available", true
	case successor.Domain != domain:
		return "", false
	case load(successor, shardCounts[successor.Name]+1) < load(s.self, shardCounts[s.self.Name]):
		return "another VM of its domain has a lower load", true
	default:
		return "", false
	}
}

// shardCounts returns the number of shards that each entry VM holds.
func (s *Site) shardCounts() map[string]int {
	out := make(map[string]int)
	for _, v := range s.shards {
		out[v.holding.Holder]++
	}
	return out
}

// load returns the load of a VM with so many shards: shards per core, or shards if its cores are
// not known.
func load(m Member, shards int) float64 {
	if m.Cores <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.Cores
}

// successor returns the entry VM, other than this one, that should hold a shard, given the shards held by each VM.
func (s *Site) successor(shard string, shardCounts map[string]int) (Member, bool) {
	eligible := s.eligible(shard, s.self.Name)
	if len(eligible) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(eligible, func(a, b Member) int { return compareCandidates(shard, shardCounts, a, b) }), true
}

// HandOver returns the claims that give all shards of this VM to other VMs, for a planned stop.
func (s *Site) HandOver() []Claim {
	var out []Claim
	shardCounts := s.shardCounts()
	for _, h := range s.Holdings() {
		if !s.HeldBySelf(h) {
			continue
		}
		if successor, found := s.successor(h.Shard, shardCounts); found {
			shardCounts[successor.Name]++
			out = append(out, s.newClaim(h, successor, "its holder is stopping"))
		}
	}
	return out
}

// newClaim returns the claim that makes to the next holder, under the next fencing token.
func (s *Site) newClaim(from Holding, to Member, why string) Claim {
	return Claim{
		From: from,
		To: Holding{
			Shard:              from.Shard,
			Holder:             to.Name,
			Incarnation:        to.Incarnation,
			Token:              from.Token + 1,
			PredecessorStopped: from.Holder == "" || s.HolderRestarted(from),
		},
		Why: why,
	}
}

// claimPass caches what one call of Decide needs to know of all VMs. Each value is computed at most once a
// pass, and only if a shard needs it: after a restart of all VMs no shard has a holder, and
// ranking all VMs anew for each shard takes all the CPU of a small VM.
type claimPass struct {
	site            *Site
	shardCounts     func() map[string]int // number of shards by entry VM
	candidateCounts func() map[string]int // number of entry VMs whose link is not lost, by failure domain
	sameDomain      func() []candidate    // entry VMs of this VM's domain whose link is not lost
	allDomains      func() []candidate    // the same for all domains
}

// candidate is an entry VM that may take a shard.
type candidate struct {
	Member
	load float64 // shards per core with one more shard
}

func (s *Site) newClaimPass() *claimPass {
	pass := &claimPass{site: s, shardCounts: sync.OnceValue(s.shardCounts), candidateCounts: sync.OnceValue(s.countCandidates)}
	pass.sameDomain = sync.OnceValue(func() []candidate { return pass.candidates(s.self.Domain) })
	pass.allDomains = sync.OnceValue(func() []candidate { return pass.candidates("") })
	return pass
}

// candidates returns the entry VMs of a failure domain, or of all if it is empty, whose link is not lost.
func (p *claimPass) candidates(domain string) []candidate {
	shardCounts := p.shardCounts()
	var out []candidate
	for _, m := range p.site.members {
		if (domain == "" || m.Domain == domain) && !p.site.linkLost[m.Name] {
			out = append(out, candidate{Member: m, load: load(m, shardCounts[m.Name]+1)})
		}
	}
	return out
}

// rank returns how many entry VMs may take a shard before this one, and whether this one may at all. VMs
// of the shard's failure domain come first, then those with the lowest load; rendezvous hashing breaks
// ties. The VM named except does not take part.
func (p *claimPass) rank(shard, except string) (rank int, eligible bool) {
	s := p.site
	candidates := p.sameDomain
	if DomainOf(shard) != s.self.Domain {
		candidates = p.allDomains
	}
	self := load(s.self, p.shardCounts()[s.self.Name]+1)
	eligible = s.heldByEarlierProcess(shard, except)
	for _, c := range candidates() {
		sameDomain := c.Domain == DomainOf(shard) // the candidate is in the shard's domain
		switch {
		case c.Name == except:
		case c.Name == s.self.Name:
			eligible = true
		case sameDomain && s.self.Domain != c.Domain:
			rank++
		case !sameDomain && s.self.Domain == DomainOf(shard):
		case c.load > self:
		case c.load < self || precedes(shard, c.Member, s.self):
			rank++
		}
	}
	return rank, eligible
}

// heldByEarlierProcess reports whether the excepted holder of a shard is an earlier process of this VM, so
// that this process may take the shard.
func (s *Site) heldByEarlierProcess(shard, except string) bool {
	h := s.Holding(shard)
	return except == s.self.Name && !s.HeldBySelf(h) && h.Holder == s.self.Name
}

// countCandidates returns the number of entry VMs whose link is not lost, by failure domain.
func (s *Site) countCandidates() map[string]int {
	out := make(map[string]int)
	for _, m := range s.members {
		if !s.linkLost[m.Name] {
			out[m.Domain]++
		}
	}
	return out
}

// eligible returns the entry VMs that may hold a shard: all members but those whose link is lost
// and the one named except.
func (s *Site) eligible(shard, except string) []Member {
	var out []Member
	for _, m := range s.members {
		if m.Name != except && !s.linkLost[m.Name] {
			out = append(out, m)
		}
	}
	if s.heldByEarlierProcess(shard, except) {
		out = append(out, s.self) // the holder that ended is this VM's earlier process
	}
	return out
}

// compareCandidates orders two entry VMs by how well they suit as holder of a shard, the better one first.
func compareCandidates(shard string, shardCounts map[string]int, a, b Member) int {
	domain := DomainOf(shard)
	if own := a.Domain == domain; own != (b.Domain == domain) {
		if own {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(load(a, shardCounts[a.Name]+1), load(b, shardCounts[b.Name]+1)); c != 0 {
		return c
	}
	if precedes(shard, a, b) {
		return -1
	}
	return 1
}

// precedes reports whether a comes before b as holder of a shard if both suit equally well.
func precedes(shard string, a, b Member) bool {
	return cmp.Or(cmp.Compare(rendezvousHash(shard, b.Name), rendezvousHash(shard, a.Name)), strings.Compare(a.Name, b.Name)) < 0
}

// rendezvousHash returns the weight of a name for a key; the name with the highest weight is chosen.
func rendezvousHash(key, name string) uint64 {
	buffer := make([]byte, 0, hashBufferBytes)
	buffer = append(buffer, key...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	return xxhash.Sum64(buffer)
}

// hashBufferBytes is enough for the names of most shards and VMs, so that hashing does not allocate.
const hashBufferBytes = 128
