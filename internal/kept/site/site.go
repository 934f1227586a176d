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
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Settings are the times of a Site.
type Settings struct {
	ClaimStagger     time.Duration // between entry VMs that may take the same shard
	OtherDomainDelay time.Duration // additional wait of those in other failure domains
	LayoutDelay      time.Duration // after the start, for the other VMs to be known
	// LayoutStagger is between VMs that may divide the same domain. Each reads the whole list of workers
	// several times: 147 VMs that read 1,100 entries at once keep the store from all other calls for
	// seconds.
	LayoutStagger          time.Duration
	OtherDomainLayoutDelay time.Duration // additional wait of VMs in other failure domains
	StartupDelay           time.Duration // after the start, before shards of other domains are taken
	HandbackDelay          time.Duration // before a shard is given back to its own domain
	ClaimCooldown          time.Duration // between claims of the same shard by this VM
	LapsedKeyGrace         time.Duration // for a key that lapsed, before its VM counts as gone
	MaxStoreGap            time.Duration // between answers of the store, above which it was out of reach
	MinStoreUptime         time.Duration // of answers, before this VM acts on links that it has lost
}

// DefaultSettings suit links whose silence is noticed after half a second.
func DefaultSettings() Settings {
	return Settings{
		ClaimStagger:           150 * time.Millisecond,
		OtherDomainDelay:       250 * time.Millisecond,
		LayoutDelay:            400 * time.Millisecond,
		LayoutStagger:          2500 * time.Millisecond,
		OtherDomainLayoutDelay: 4 * time.Second,
		StartupDelay:           1200 * time.Millisecond,
		HandbackDelay:          1500 * time.Millisecond,
		ClaimCooldown:          time.Second,
		LapsedKeyGrace:         2 * time.Second,
		MaxStoreGap:            2500 * time.Millisecond,
		MinStoreUptime:         900 * time.Millisecond,
	}
}

type shardState struct {
	holding     Holding
	vacantSince time.Duration // 0: it has a holder that is there
	claimedAt   time.Duration // by this VM; 0: never
	betterSince time.Duration // since when another VM should have it
}

type lapsedEntry struct {
	member Member
	at     time.Duration
}

// Site is what one entry VM knows of the site.
type Site struct {
	settings          Settings
	self              Member
	startedAt         time.Duration
	members           map[string]Member
	lapsedMembers     map[string]lapsedEntry // whose key is gone and whose VM may still be there
	linkLost          map[string]bool
	linkUp            map[string]bool // the link to it stands
	lastContact       time.Duration   // when the store was asked last that answered
	contactSince      time.Duration   // since when it has answered without a gap
	domains           []string
	layouts           map[string]ShardLayout
	shards            map[string]*shardState
	sortedShards      []*shardState // by the shard's name
	stopping          bool
	changed           bool // something since it was last decided
	decidedAt         time.Duration
	handbackCheckedAt time.Duration // when it was last looked whether another VM should have a shard of this one
}

// New returns the site of some failure domains as seen by self.
func New(s Settings, self Member, domains []string, now time.Duration) *Site {
	site := &Site{
		settings:      s,
		self:          self,
		startedAt:     now,
		members:       map[string]Member{},
		lapsedMembers: map[string]lapsedEntry{},
		linkLost:      map[string]bool{},
		linkUp:        map[string]bool{},
		shards:        map[string]*shardState{},
		domains:       domains,
		layouts:       map[string]ShardLayout{},
	}
	return site
}

// Apply takes a key of the site as it stands in the store.
func (s *Site) Apply(now time.Duration, e store.Event) error {
	s.changed = true
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
	d := ShardLayout{Domain: domain}
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return &DecodeError{Key: e.Key, Err: err}
	}
	if d.Shards < 1 || d.Shards > maxShardsPerDomain {
		return &DecodeError{Key: e.Key, Err: errShardCount}
	}
	s.layouts[domain] = d
	for i := range d.Shards {
		name := ShardName(domain, i)
		s.shardState(name)
	}
	return nil
}

// Division returns how a failure domain is divided; ok is false if nobody has said so
// yet.
func (s *Site) Layout(domain string) (d ShardLayout, ok bool) {
	d, ok = s.layouts[domain]
	return d, ok
}

// Undivided returns the failure domains whose division this VM should write: its own,
// and after a while those of others. The VMs take turns, as each reads the whole list of
// workers for it.
func (s *Site) DomainsWithoutLayout(now time.Duration) []string {
	var out []string
	for _, domain := range s.domains {
		if _, known := s.layouts[domain]; known || s.stopping {
			continue
		}
		wait := s.settings.LayoutDelay + time.Duration(s.layoutRank(domain))*s.settings.LayoutStagger
		if domain != s.self.Domain {
			wait += s.settings.OtherDomainLayoutDelay
		}
		if now-s.startedAt >= wait {
			out = append(out, domain)
		}
	}
	return out
}

// turn is how many VMs are to do something for a failure domain before this one.
func (s *Site) layoutRank(domain string) int {
	before := 0
	for _, m := range s.members {
		if m.Domain == s.self.Domain && rendezvousHash(domain, m.Name) > rendezvousHash(domain, s.self.Name) {
			before++
		}
	}
	return before
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
		delete(s.linkLost, name)
		delete(s.linkUp, name)
	}
	s.members[name] = m
	delete(s.lapsedMembers, name)
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
	s.lapsedMembers[name] = lapsedEntry{member: m, at: now}
}

func (s *Site) applyShard(shard string, e store.Event) error {
	v := s.shardState(shard)
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

// Reset takes the whole of the site's keys in place of all that was known. A key that cannot
// be read does not keep the others from being taken.
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
	var failed error
	for _, it := range items {
		failed = errors.Join(failed, s.Apply(now, store.Event{Item: it}))
	}
	return failed
}

// Suspect says whether the link to an entry VM is lost.
func (s *Site) SetLinkLost(name string, lost bool) {
	s.changed = true
	if lost {
		s.linkLost[name] = true
		delete(s.linkUp, name)
		return
	}
	delete(s.linkLost, name)
	s.linkUp[name] = true
}

// Unlinked says that this VM has closed its link to an entry VM, as it needs none. What was known by
// the link holds no more: a VM that was out of reach once would pass for dead when it becomes a
// holder, until a new link stands, and lose its shards at once.
func (s *Site) LinkClosed(name string) {
	delete(s.linkLost, name)
	delete(s.linkUp, name)
}

// Contact says that the store has answered a call that left at a time.
func (s *Site) StoreAnswered(sent, now time.Duration) {
	if sent-s.lastContact > s.settings.MaxStoreGap {
		s.contactSince = now
	}
	s.lastContact = max(s.lastContact, sent)
}

// Leave says that this VM is about to stop: it claims nothing more.
func (s *Site) StopClaiming() { s.stopping = true }

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
func (s *Site) MembersAndLapsed(now time.Duration) []Member {
	out := s.Members()
	for name, l := range s.lapsedMembers {
		if now-l.at < 2*s.settings.LapsedKeyGrace || s.linkUp[name] {
			out = append(out, l.member)
		} else {
			delete(s.lapsedMembers, name)
			delete(s.linkLost, name)
			delete(s.linkUp, name)
		}
	}
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == s.self.Name })
}

// Size is the number of entry VMs whose keys are there.
func (s *Site) MemberCount() int { return len(s.members) }

// Covered reports whether each shard of a failure domain has a holder that is there and not suspected.
func (s *Site) AllShardsHeld(domain string) bool {
	d, known := s.layouts[domain]
	if !known {
		return false
	}
	for i := range d.Shards {
		holder := s.Holding(ShardName(domain, i)).Holder
		if _, there := s.members[holder]; !there || s.linkLost[holder] {
			return false
		}
	}
	return true
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
	out := make([]Holding, 0, len(s.sortedShards))
	for _, v := range s.sortedShards {
		out = append(out, v.holding)
	}
	return out
}

// view returns what is known of a shard.
func (s *Site) shardState(shard string) *shardState {
	v := s.shards[shard]
	if v == nil {
		v = &shardState{holding: Holding{Shard: shard}}
		s.shards[shard] = v
		s.sortedShards = append(s.sortedShards, v)
		slices.SortFunc(s.sortedShards, func(a, b *shardState) int { return strings.Compare(a.holding.Shard, b.holding.Shard) })
	}
	return v
}

// Mine reports whether a holding is this process's.
func (s *Site) HeldBySelf(h Holding) bool {
	return h.Holder == s.self.Name && h.Incarnation == s.self.Incarnation
}

// Gone reports whether the process that holds a shard has certainly ended: its VM
// has started another one.
func (s *Site) HolderRestarted(h Holding) bool {
	if h.Holder == s.self.Name {
		return h.Incarnation != s.self.Incarnation
	}
	m, there := s.members[h.Holder]
	return there && m.Incarnation != h.Incarnation
}
