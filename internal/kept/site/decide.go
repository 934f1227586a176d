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

// rankEvery is how often a holder looks whether another VM should have its shard. The look
// ranks all members, and shards go back after seconds: made at each round of a VM it was
// half of the processor of the engine on a site of 34 VMs (BenchmarkSite).
const rankEvery = 250 * time.Millisecond

// decideEvery is how often it is looked for claims that are due, unless something was learnt. Turns
// are 150 ms apart. Made at each round of a VM the look was a quarter of the engine's processor on a
// site of 34 VMs under load (BenchmarkSite).
const decideEvery = 20 * time.Millisecond

// Decide returns the claims that are due.
func (s *Site) Decide(now time.Duration) []Claim {
	if s.leaving || !s.learnt && now-s.decidedAt < decideEvery {
		return nil
	}
	s.learnt = false
	s.decidedAt = now
	var out []Claim
	taken := false
	rank := now-s.rankedAt >= rankEvery
	if rank {
		s.rankedAt = now
	}
	l := s.newLook()
	for _, v := range s.ordered {
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
func (s *Site) takeOver(now time.Duration, v *shardView, l *look) (Claim, bool) {
	why, vacant := s.vacant(now, v.holding)
	if !vacant {
		v.vacantSince = 0
		return Claim{}, false
	}
	if v.vacantSince == 0 {
		v.vacantSince = now
	}
	if v.claimedAt > 0 && now-v.claimedAt < s.settings.Cooldown {
		return Claim{}, false
	}
	wait := time.Duration(0)
	if domain := DomainOf(v.holding.Shard); s.self.Domain != domain {
		wait = s.settings.Foreign
		// The VMs of its domain come first: without them the wait is at least so long. To rank all VMs
		// for each shard of the site at each look took a small VM all its processor while a site of
		// 147 VMs started, so that links failed and sound holders passed for dead.
		least := wait + time.Duration(l.ableIn()[domain])*s.settings.RankStep
		if now-s.startedAt < s.settings.Settle || now-v.vacantSince < least {
			return Claim{}, false
		}
	}
	rank, able := l.rank(v.holding.Shard, v.holding.Holder)
	wait += time.Duration(rank) * s.settings.RankStep
	if !able || now-v.vacantSince < wait {
		return Claim{}, false
	}
	return s.claim(v.holding, s.self, why), true
}

func (s *Site) vacant(now time.Duration, h Holding) (why string, vacant bool) {
	if h.Holder == "" {
		return "nobody holds it", true
	}
	m, there := s.members[h.Holder]
	switch {
	case s.HolderRestarted(h):
		return "its holder has started again", true
	case !there && (s.linked[h.Holder] || s.inGrace(now, h)):
		return "", false
	case now-s.steady < s.settings.Steady:
		// This VM was cut off itself: its links are not back yet, whoever lives.
		return "", false
	case !there:
		return "its holder's key has lapsed", true
	case s.suspected[m.Name]:
		return "the link to its holder is lost", true
	default:
		return "", false
	}
}

func (s *Site) inGrace(now time.Duration, h Holding) bool {
	l, known := s.lapsed[h.Holder]
	return known && l.member.Incarnation == h.Incarnation && !s.suspected[h.Holder] && now-l.at < s.settings.Grace
}

// giveBack hands a shard of another domain to a VM of that domain, and one of several
// shards to a VM with fewer, once such a VM has been there for a while.
//
// What is given away in the same look counts as held by its successor. Otherwise a VM with two shards gives
// both to one with none, which gives both back some seconds later, and so on: with 18 VMs of three
// shards a domain, a shard changed hands 333 times in a minute of restarts, and each time all
// submissions there were handed over again.
func (s *Site) giveBack(now time.Duration, v *shardView, held map[string]int) (Claim, bool) {
	successor, found := s.successor(v.holding.Shard, held)
	why, better := "", false
	if found {
		why, better = s.betterAt(successor, v.holding.Shard, held)
	}
	if !better {
		v.betterSince = 0
		return Claim{}, false
	}
	if v.betterSince == 0 {
		v.betterSince = now
	}
	if now-v.betterSince < s.settings.ReturnWait || now-v.claimedAt < s.settings.Cooldown {
		return Claim{}, false
	}
	held[successor.Name]++
	held[s.self.Name]--
	return s.claim(v.holding, successor, why), true
}

func (s *Site) betterAt(successor Member, shard string, held map[string]int) (why string, better bool) {
	domain := DomainOf(shard)
	switch {
	case successor.Domain == domain && s.self.Domain != domain:
		return "a VM of its own domain is there", true
	case successor.Domain != domain:
		return "", false
	case burden(successor, held[successor.Name]+1) < burden(s.self, held[s.self.Name]):
		return "another VM of its domain holds less", true
	default:
		return "", false
	}
}

// held counts the shards of each entry VM.
func (s *Site) held() map[string]int {
	out := make(map[string]int)
	for _, v := range s.shards {
		out[v.holding.Holder]++
	}
	return out
}

// burden is how much a VM has to do with so many shards.
func burden(m Member, shards int) float64 {
	if m.Cores <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.Cores
}

// successor is who should hold a shard if this VM does not, as the VMs hold so many shards.
func (s *Site) successor(shard string, held map[string]int) (Member, bool) {
	able := s.able(shard, s.self.Name)
	if len(able) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(able, func(a, b Member) int { return compare(shard, held, a, b) }), true
}

// HandOver returns the claims that give all shards of this VM to others.
func (s *Site) HandOver() []Claim {
	var out []Claim
	held := s.held()
	for _, h := range s.Holdings() {
		if !s.HeldBySelf(h) {
			continue
		}
		if successor, found := s.successor(h.Shard, held); found {
			held[successor.Name]++
			out = append(out, s.claim(h, successor, "its holder stops"))
		}
	}
	return out
}

func (s *Site) claim(from Holding, to Member, why string) Claim {
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
type look struct {
	site   *Site
	held   func() map[string]int // shards by entry VM
	ableIn func() map[string]int // entry VMs that are not suspected, by failure domain
	own    func() []ranked       // entry VMs of this VM's domain that are not suspected
	all    func() []ranked       // the same of all domains
}

// ranked is an entry VM as it may take a shard.
type ranked struct {
	Member
	burden float64 // with one more shard
}

func (s *Site) newLook() *look {
	l := &look{site: s, held: sync.OnceValue(s.held), ableIn: sync.OnceValue(s.countAble)}
	l.own = sync.OnceValue(func() []ranked { return l.candidates(s.self.Domain) })
	l.all = sync.OnceValue(func() []ranked { return l.candidates("") })
	return l
}

// candidates returns the entry VMs of a failure domain, or of all, that are not suspected.
func (l *look) candidates(domain string) []ranked {
	held := l.held()
	var out []ranked
	for _, m := range l.site.members {
		if (domain == "" || m.Domain == domain) && !l.site.suspected[m.Name] {
			out = append(out, ranked{Member: m, burden: burden(m, held[m.Name]+1)})
		}
	}
	return out
}

// rank is how many entry VMs may take a shard before this one: those of its own failure domain come first,
// then those that have least to do, then rendezvous hashing decides. The one excepted takes no part.
func (l *look) rank(shard, except string) (rank int, able bool) {
	s := l.site
	candidates := l.own
	if DomainOf(shard) != s.self.Domain {
		candidates = l.all
	}
	self := burden(s.self, l.held()[s.self.Name]+1)
	able = s.mayTake(shard, except)
	for _, c := range candidates() {
		own := c.Domain == DomainOf(shard)
		switch {
		case c.Name == except:
		case c.Name == s.self.Name:
			able = true
		case own && s.self.Domain != c.Domain:
			rank++
		case !own && s.self.Domain == DomainOf(shard):
		case c.burden > self:
		case c.burden < self || before(shard, c.Member, s.self):
			rank++
		}
	}
	return rank, able
}

// mayTake reports whether this VM may take a shard that its own earlier process held.
func (s *Site) mayTake(shard, except string) bool {
	h := s.Holding(shard)
	return except == s.self.Name && !s.HeldBySelf(h) && h.Holder == s.self.Name
}

// countAble counts the entry VMs that are not suspected, by failure domain.
func (s *Site) countAble() map[string]int {
	out := make(map[string]int)
	for _, m := range s.members {
		if !s.suspected[m.Name] {
			out[m.Domain]++
		}
	}
	return out
}

// able returns the entry VMs that may hold a shard. A VM that is suspected, or the one
// excepted, is left out.
func (s *Site) able(shard, except string) []Member {
	var out []Member
	for _, m := range s.members {
		if m.Name != except && !s.suspected[m.Name] {
			out = append(out, m)
		}
	}
	if s.mayTake(shard, except) {
		out = append(out, s.self) // it is the holder's earlier process that is gone
	}
	return out
}

func compare(shard string, held map[string]int, a, b Member) int {
	domain := DomainOf(shard)
	if own := a.Domain == domain; own != (b.Domain == domain) {
		if own {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(burden(a, held[a.Name]+1), burden(b, held[b.Name]+1)); c != 0 {
		return c
	}
	if before(shard, a, b) {
		return -1
	}
	return 1
}

// before reports whether one of two entry VMs that are equally suited comes first for a shard.
func before(shard string, a, b Member) bool {
	return cmp.Or(cmp.Compare(score(shard, b.Name), score(shard, a.Name)), strings.Compare(a.Name, b.Name)) < 0
}

// score is the rendezvous hash of a name for a key.
func score(key, name string) uint64 {
	buffer := make([]byte, 0, scoreBytes)
	buffer = append(buffer, key...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	return xxhash.Sum64(buffer)
}

// scoreBytes holds the names of most shards and VMs without an allocation.
const scoreBytes = 128
