// Package site decides which entry VM holds which shard.
//
// # Contract
//
// A Site is a deterministic core: no I/O, no clock, no goroutine. What the store
// and the links between entry VMs say goes in, claims come out. Whoever carries a
// claim out writes the shard's key under the condition that it has not changed,
// so of several claimants one wins. The token in it grows by one with each
// change of the holder; workers refuse a lower one.
//
// Taking a shard over is therefore safe at any time, and a wrong suspicion costs
// a few milliseconds of new starts: the runs go on under the new token.
package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Keys of the site in the store.
const (
	Prefix       = "pumiceyard/site/"
	memberPrefix = Prefix + "vm/"
	shardPrefix  = Prefix + "shard/"
	domainPrefix = Prefix + "domain/"
)

// DomainKey is the key that says into how many shards a failure domain is divided.
func DomainKey(domain string) string { return domainPrefix + domain }

// Division says into how many shards the workers of a failure domain are divided. It is
// written once, as workers would have to change hands with it.
type Division struct {
	Domain string `json:"-"`
	Shards int    `json:"n"`
}

// workersPerShard is how many workers a holder is given. 24 workers of two to three
// tasks each make some 300 starts a second of short tasks, which take a quarter of a
// core; a single holder of 88 workers took 0.43.
const workersPerShard = 24

// Divide returns the division of a domain with so many workers.
func Divide(domain string, workers int) Division {
	return Division{Domain: domain, Shards: max((workers+workersPerShard-1)/workersPerShard, 1)}
}

// ShardName names a shard of a failure domain.
func ShardName(domain string, number int) string { return domain + "/" + strconv.Itoa(number) }

// DomainOf is the failure domain of a shard.
func DomainOf(shard string) string {
	if i := strings.LastIndexByte(shard, '/'); i >= 0 {
		return shard[:i]
	}
	return shard
}

// ShardOf is the shard that the worker at an address belongs to. It stays the same when
// the worker starts again.
func (d Division) ShardOf(address string) string {
	best, most := 0, uint64(0)
	for i := range d.Shards {
		if s := score(ShardName(d.Domain, i), address); s >= most {
			best, most = i, s
		}
	}
	return ShardName(d.Domain, best)
}

// MemberKey is the leased key of an entry VM.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey is the key that names a shard's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// Member is an entry VM that is there.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"i"` // of its process
	Domain      string `json:"d"`
	Address     string `json:"a"` // for links of other entry VMs
	// Weight is the processor of the VM, in cores. Larger VMs hold more shards.
	Weight float64 `json:"w,omitempty"`
}

// Holding says who holds a shard.
type Holding struct {
	Shard       string `json:"-"`
	Revision    uint64 `json:"-"` // of the key; 0: nobody ever held it
	Holder      string `json:"h"`
	Incarnation uint64 `json:"i"`
	Token       uint64 `json:"t"`
	// Clean says that the holder before this one starts and holds nothing any more:
	// its process had ended, or it gave the shard away itself.
	Clean bool `json:"c,omitempty"`
}

// Encode returns the value of a key in the store.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("site: a value has no JSON form: " + err.Error())
	}
	return b
}

// Claim is a change of a shard's holder. It holds if the shard's key is still at
// the revision.
type Claim struct {
	From Holding
	To   Holding // without a revision
	Why  string
}

// Settings are the times of a Site.
type Settings struct {
	RankStep   time.Duration // between entry VMs that may take the same shard
	Foreign    time.Duration // additional wait of those in other failure domains
	Divide     time.Duration // after the start, for the workers of a new site to be listed
	Settle     time.Duration // after the start, before shards of other domains are taken
	ReturnWait time.Duration // before a shard is given back to its own domain
	Cooldown   time.Duration // between claims of the same shard by this VM
	Grace      time.Duration // for a key that lapsed, before its VM counts as gone
	Gap        time.Duration // between answers of the store, above which it was out of reach
	Steady     time.Duration // of answers, before this VM acts on links that it has lost
}

// DefaultSettings suit links whose silence is noticed after half a second.
func DefaultSettings() Settings {
	return Settings{
		RankStep:   150 * time.Millisecond,
		Foreign:    250 * time.Millisecond,
		Divide:     1500 * time.Millisecond,
		Settle:     1200 * time.Millisecond,
		ReturnWait: 1500 * time.Millisecond,
		Cooldown:   time.Second,
		Grace:      2 * time.Second,
		Gap:        2500 * time.Millisecond,
		Steady:     900 * time.Millisecond,
	}
}

type shardView struct {
	holding     Holding
	vacantSince time.Duration // 0: it has a holder that is there
	claimedAt   time.Duration // by this VM; 0: never
	betterSince time.Duration // since when another VM should have it
}

type lapsedMember struct {
	member Member
	at     time.Duration
}

// Site is what one entry VM knows of the site.
type Site struct {
	settings  Settings
	self      Member
	startedAt time.Duration
	members   map[string]Member
	lapsed    map[string]lapsedMember // whose key is gone and whose VM may still be there
	suspected map[string]bool
	linked    map[string]bool // the link to it stands
	contact   time.Duration   // when the store was asked last that answered
	steady    time.Duration   // since when it has answered without a gap
	domains   []string
	divisions map[string]Division
	shards    map[string]*shardView
	leaving   bool
}

// New returns the site of some failure domains as seen by self.
func New(s Settings, self Member, domains []string, now time.Duration) *Site {
	site := &Site{
		settings:  s,
		self:      self,
		startedAt: now,
		members:   map[string]Member{},
		lapsed:    map[string]lapsedMember{},
		suspected: map[string]bool{},
		linked:    map[string]bool{},
		shards:    map[string]*shardView{},
		domains:   domains,
		divisions: map[string]Division{},
	}
	return site
}

// DecodeError says that a key of the site cannot be read.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("key %s: %v", e.Key, e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// Apply takes a key of the site as it stands in the store.
func (s *Site) Apply(now time.Duration, e store.Event) error {
	if name, is := strings.CutPrefix(e.Key, memberPrefix); is {
		return s.applyMember(now, name, e)
	}
	if shard, is := strings.CutPrefix(e.Key, shardPrefix); is {
		return s.applyShard(shard, e)
	}
	if domain, is := strings.CutPrefix(e.Key, domainPrefix); is {
		return s.applyDomain(domain, e)
	}
	return nil
}

func (s *Site) applyDomain(domain string, e store.Event) error {
	if e.Deleted {
		return nil
	}
	d := Division{Domain: domain}
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return &DecodeError{Key: e.Key, Err: err}
	}
	s.divisions[domain] = d
	for i := range d.Shards {
		name := ShardName(domain, i)
		if s.shards[name] == nil {
			s.shards[name] = &shardView{holding: Holding{Shard: name}}
		}
	}
	return nil
}

// Division returns how a failure domain is divided; ok is false if nobody has said so
// yet.
func (s *Site) Division(domain string) (d Division, ok bool) {
	d, ok = s.divisions[domain]
	return d, ok
}

// Undivided returns the failure domains whose division this VM should write: its own,
// and after a while those of others.
func (s *Site) Undivided(now time.Duration) []string {
	var out []string
	for _, domain := range s.domains {
		if _, known := s.divisions[domain]; known || s.leaving {
			continue
		}
		wait := s.settings.Divide
		if domain != s.self.Domain {
			wait *= 2
		}
		if now-s.startedAt >= wait {
			out = append(out, domain)
		}
	}
	return out
}

func (s *Site) applyMember(now time.Duration, name string, e store.Event) error {
	if e.Deleted {
		s.lapse(now, name)
		return nil
	}
	m := Member{Name: name}
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return &DecodeError{Key: e.Key, Err: err}
	}
	if old, known := s.members[name]; known && old.Incarnation != m.Incarnation {
		delete(s.suspected, name)
		delete(s.linked, name)
	}
	s.members[name] = m
	delete(s.lapsed, name)
	return nil
}

// lapse notes that a member's key is gone. Keys lapse while the store is out or
// turns their VMs away; a VM whose link stands is given time to write it again.
func (s *Site) lapse(now time.Duration, name string) {
	m, there := s.members[name]
	if !there {
		return
	}
	delete(s.members, name)
	s.lapsed[name] = lapsedMember{member: m, at: now}
}

func (s *Site) applyShard(shard string, e store.Event) error {
	v := s.shards[shard]
	if v == nil {
		v = &shardView{holding: Holding{Shard: shard}}
		s.shards[shard] = v
	}
	if e.Deleted || e.Revision <= v.holding.Revision {
		return nil
	}
	h := Holding{Shard: shard, Revision: e.Revision}
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return &DecodeError{Key: e.Key, Err: err}
	}
	v.holding = h
	v.vacantSince = 0
	return nil
}

// Reset takes the whole of the site's keys in place of all that was known.
func (s *Site) Reset(now time.Duration, items []store.Item) error {
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
	}
	for _, m := range s.Members() {
		if !present[MemberKey(m.Name)] {
			s.lapse(now, m.Name)
		}
	}
	for _, it := range items {
		if err := s.Apply(now, store.Event{Item: it}); err != nil {
			return err
		}
	}
	return nil
}

// Suspect says whether the link to an entry VM is lost.
func (s *Site) Suspect(name string, lost bool) {
	if lost {
		s.suspected[name] = true
		delete(s.linked, name)
		return
	}
	delete(s.suspected, name)
	s.linked[name] = true
}

// Contact says that the store has answered a call that left at a time.
func (s *Site) Contact(sent, now time.Duration) {
	if sent-s.contact > s.settings.Gap {
		s.steady = now
	}
	s.contact = max(s.contact, sent)
}

// Leave says that this VM is about to stop: it claims nothing more.
func (s *Site) Leave() { s.leaving = true }

// Members returns the entry VMs whose keys are there, by name.
func (s *Site) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Links returns the entry VMs to keep links to: the members, and those whose key
// has lapsed lately.
func (s *Site) Links(now time.Duration) []Member {
	out := s.Members()
	for name, l := range s.lapsed {
		if now-l.at < 2*s.settings.Grace || s.linked[name] {
			out = append(out, l.member)
		} else {
			delete(s.lapsed, name)
			delete(s.suspected, name)
			delete(s.linked, name)
		}
	}
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == s.self.Name })
}

// Holding returns who holds a shard.
func (s *Site) Holding(shard string) Holding {
	if v, known := s.shards[shard]; known {
		return v.holding
	}
	return Holding{Shard: shard}
}

// Holdings returns the holder of each shard, by the shard's name.
func (s *Site) Holdings() []Holding {
	out := make([]Holding, 0, len(s.shards))
	for _, v := range s.shards {
		out = append(out, v.holding)
	}
	slices.SortFunc(out, func(a, b Holding) int { return strings.Compare(a.Shard, b.Shard) })
	return out
}

// Mine reports whether a holding is this process's.
func (s *Site) Mine(h Holding) bool {
	return h.Holder == s.self.Name && h.Incarnation == s.self.Incarnation
}

// Gone reports whether the process that holds a shard has certainly ended: its VM
// has started another one.
func (s *Site) Gone(h Holding) bool {
	if h.Holder == s.self.Name {
		return h.Incarnation != s.self.Incarnation
	}
	m, there := s.members[h.Holder]
	return there && m.Incarnation != h.Incarnation
}

// Decide returns the claims that are due.
func (s *Site) Decide(now time.Duration) []Claim {
	if s.leaving {
		return nil
	}
	var out []Claim
	taken := false
	for _, h := range s.Holdings() {
		v := s.shards[h.Shard]
		if taken && !s.Mine(h) {
			continue // first it is to be seen that this VM holds one more
		}
		var c Claim
		var due bool
		if s.Mine(h) {
			c, due = s.giveBack(now, v)
		} else {
			c, due = s.takeOver(now, v)
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
func (s *Site) takeOver(now time.Duration, v *shardView) (Claim, bool) {
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
	rank := slices.Index(s.ranking(v.holding.Shard, v.holding.Holder), s.self.Name)
	if rank < 0 {
		return Claim{}, false
	}
	wait := time.Duration(rank) * s.settings.RankStep
	if s.self.Domain != DomainOf(v.holding.Shard) {
		wait += s.settings.Foreign
		if now-s.startedAt < s.settings.Settle {
			return Claim{}, false
		}
	}
	if now-v.vacantSince < wait {
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
	case s.Gone(h):
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
func (s *Site) giveBack(now time.Duration, v *shardView) (Claim, bool) {
	heir, found := s.heir(v.holding.Shard)
	why, better := "", false
	if found {
		why, better = s.betterAt(heir, v.holding.Shard)
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
	return s.claim(v.holding, heir, why), true
}

func (s *Site) betterAt(heir Member, shard string) (why string, better bool) {
	domain := DomainOf(shard)
	held := s.held()
	switch {
	case heir.Domain == domain && s.self.Domain != domain:
		return "a VM of its own domain is there", true
	case heir.Domain != domain:
		return "", false
	case burden(heir, held[heir.Name]+1) < burden(s.self, held[s.self.Name]):
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
	if m.Weight <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.Weight
}

// heir is who should hold a shard if this VM does not.
func (s *Site) heir(shard string) (Member, bool) {
	order := s.ranking(shard, s.self.Name)
	if len(order) == 0 {
		return Member{}, false
	}
	return s.members[order[0]], true
}

// HandOver returns the claims that give all shards of this VM to others.
func (s *Site) HandOver() []Claim {
	var out []Claim
	for _, h := range s.Holdings() {
		if !s.Mine(h) {
			continue
		}
		if heir, found := s.heir(h.Shard); found {
			out = append(out, s.claim(h, heir, "its holder stops"))
		}
	}
	return out
}

func (s *Site) claim(from Holding, to Member, why string) Claim {
	return Claim{
		From: from,
		To: Holding{
			Shard:       from.Shard,
			Holder:      to.Name,
			Incarnation: to.Incarnation,
			Token:       from.Token + 1,
			Clean:       from.Holder == "" || s.Gone(from) || s.Mine(from),
		},
		Why: why,
	}
}

// ranking orders the entry VMs that may hold a shard: those of its own failure
// domain first, then those that have least to do, then by rendezvous hashing. A VM that is suspected, or the one
// excepted, is left out.
func (s *Site) ranking(shard, except string) []string {
	var out []Member
	for _, m := range s.members {
		if m.Name != except && !s.suspected[m.Name] {
			out = append(out, m)
		}
	}
	if except == s.self.Name {
		// This VM may have started again: then it is the holder that is gone.
		if h := s.Holding(shard); !s.Mine(h) && h.Holder == s.self.Name {
			out = append(out, s.self)
		}
	}
	held := s.held()
	slices.SortFunc(out, func(a, b Member) int { return compare(shard, held, a, b) })
	names := make([]string, len(out))
	for i := range out {
		names[i] = out[i].Name
	}
	return names
}

func compare(shard string, held map[string]int, a, b Member) int {
	domain := DomainOf(shard)
	if own := a.Domain == domain; own != (b.Domain == domain) {
		if own {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(burden(a, held[a.Name]+1), burden(b, held[b.Name]+1)),
		cmp.Compare(score(shard, b.Name), score(shard, a.Name)),
		strings.Compare(a.Name, b.Name),
	)
}

func score(shard, name string) uint64 { return xxhash.Sum64String(shard + "\x00" + name) }
