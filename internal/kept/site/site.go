// Package site decides which entry VM holds which shard.
//
// A shard is a part of the workers of one failure domain. Its holder is the entry VM
// that assigns tasks to these workers. All entry VMs run the same rules on what they
// read from the store, and each claims the shards that it should hold.
//
// # Contract
//
// A Site is a deterministic core: no I/O, no clock, no goroutine. Changes in the store
// and the state of the links between entry VMs go in, claims come out. The caller
// carries a claim out by writing the shard's key on condition that it has not changed,
// so only one of several claimants wins. The key holds a fencing token, which grows by
// one with each change of the holder; workers refuse lower tokens.
//
// Taking a shard over is therefore safe at any time. If the holder was alive after all,
// starts pause for a few milliseconds; runs continue under the new token.
package site

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Settings are the delays and limits of a Site.
type Settings struct {
	// ClaimStagger is the delay per rank between entry VMs that may claim the same shard.
	ClaimStagger time.Duration
	// OtherDomainDelay is added for entry VMs outside the shard's failure domain.
	OtherDomainDelay time.Duration
	// LayoutDelay is the wait after the start before this VM writes a shard layout, so that it
	// knows the other VMs.
	LayoutDelay time.Duration
	// LayoutStagger is the delay per rank between VMs that may write the layout of the same domain.
	// Each of them reads the whole list of workers several times: 147 VMs that read 1,100 entries at
	// once keep the store from serving any other call for seconds.
	LayoutStagger time.Duration
	// OtherDomainLayoutDelay is added for VMs outside the domain whose layout is missing.
	OtherDomainLayoutDelay time.Duration
	// StartupDelay is the wait after the start before this VM claims shards of other domains.
	StartupDelay time.Duration
	// HandbackDelay is how long a better holder must have been present before it gets a shard.
	HandbackDelay time.Duration
	// ClaimCooldown is the minimum time between two claims of the same shard by this VM.
	ClaimCooldown time.Duration
	// LapsedKeyGrace is how long a holder keeps its shards after its key has lapsed, unless its
	// link is lost. While its link is up it keeps them beyond that.
	LapsedKeyGrace time.Duration
	// MaxStoreGap is the longest time between answered calls of the store. After a longer
	// one this VM counts as having been cut off from the store.
	MaxStoreGap time.Duration
	// MinStoreUptime is how long the store must have answered without such a gap before this VM
	// treats lapsed keys and lost links as the loss of a holder.
	MinStoreUptime time.Duration
}

// DefaultSettings returns settings for links that detect a silent peer after half a second.
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

// shardState is what this VM knows of a shard.
type shardState struct {
	holding     Holding
	vacantSince time.Duration // 0: it has a live holder
	claimedAt   time.Duration // last claim by this VM; 0: never
	betterSince time.Duration // since when another VM is the better holder; 0: none is
}

// lapsedMember is a member whose key has lapsed at a time.
type lapsedMember struct {
	member Member
	at     time.Duration
}

// Site is one entry VM's view of the site: its members, the shards and their holders.
type Site struct {
	settings          Settings
	self              Member
	startedAt         time.Duration
	members           map[string]Member
	lapsed            map[string]lapsedMember // their keys have lapsed, but the VMs may still run
	linkLost          map[string]bool
	linkUp            map[string]bool
	lastContact       time.Duration // when the last answered call of the store was sent
	contactSince      time.Duration // since when the store has answered without a gap
	domains           []string
	layouts           map[string]ShardLayout
	shards            map[string]*shardState
	sortedShards      []*shardState // by the shard's name
	stopping          bool
	changed           bool // since the last Decide
	decidedAt         time.Duration
	handbackCheckedAt time.Duration // last check whether other VMs should hold shards of this VM
}

// New returns the view that self has of a site with the given failure domains.
func New(s Settings, self Member, domains []string, now time.Duration) *Site {
	site := &Site{
		settings:  s,
		self:      self,
		startedAt: now,
		members:   map[string]Member{},
		lapsed:    map[string]lapsedMember{},
		linkLost:  map[string]bool{},
		linkUp:    map[string]bool{},
		shards:    map[string]*shardState{},
		domains:   domains,
		layouts:   map[string]ShardLayout{},
	}
	return site
}

// Apply takes in a change of one of the site's keys in the store.
func (s *Site) Apply(now time.Duration, e store.Event) error {
	s.changed = true
	if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
		return s.applyMember(now, name, e)
	}
	if shard, ok := strings.CutPrefix(e.Key, shardPrefix); ok {
		return s.applyShard(shard, e)
	}
	if domain, ok := strings.CutPrefix(e.Key, domainPrefix); ok {
		return s.applyShardLayout(domain, e)
	}
	return nil
}

func (s *Site) applyShardLayout(domain string, e store.Event) error {
	if e.Deleted {
		return nil
	}
	layout := ShardLayout{Domain: domain}
	if err := json.Unmarshal(e.Value, &layout); err != nil {
		return &DecodeError{Key: e.Key, Err: err}
	}
	if layout.Shards < 1 || layout.Shards > maxShardsPerDomain {
		return &DecodeError{Key: e.Key, Err: errShardCount}
	}
	s.layouts[domain] = layout
	for i := range layout.Shards {
		name := ShardName(domain, i)
		s.stateOf(name)
	}
	return nil
}

// ShardLayout returns the shard layout of a failure domain; ok is false if none has been written yet.
func (s *Site) ShardLayout(domain string) (d ShardLayout, ok bool) {
	d, ok = s.layouts[domain]
	return d, ok
}

// FewestShards returns the number of shards of the failure domain that has the fewest, of those whose layout is known; 0:
// none is.
func (s *Site) FewestShards() int {
	fewest := 0
	for _, layout := range s.layouts {
		if fewest == 0 || layout.Shards < fewest {
			fewest = layout.Shards
		}
	}
	return fewest
}

// DomainsWithoutLayout returns the failure domains whose missing layout this VM should write now: its
// own domain first, other domains after a further delay. The VMs wait in order of rank, as each
// reads the whole list of workers to write a layout.
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

// layoutRank returns how many VMs of this VM's domain come before it in writing a domain's layout.
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
	delete(s.lapsed, name)
	return nil
}

// lapse records that a member's key is gone. Keys also lapse while the store is down or
// refuses their VMs, so the member gets time to write its key again.
func (s *Site) lapse(now time.Duration, name string) {
	m, isMember := s.members[name]
	if !isMember {
		return
	}
	delete(s.members, name)
	s.lapsed[name] = lapsedMember{member: m, at: now}
}

func (s *Site) applyShard(shard string, e store.Event) error {
	v := s.stateOf(shard)
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

// Reset takes in a full listing of the site's keys; members that are not in it have lapsed.
// Keys that cannot be decoded are skipped and reported in the returned error.
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

// SetLinkLost records whether the link to an entry VM is lost or up.
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

// LinkClosed records that this VM has closed its link to an entry VM because it no longer needs one.
// The link's last state is dropped: a VM that was unreachable back then would otherwise count as
// dead when it becomes a holder later, and lose its shards before a new link is up.
func (s *Site) LinkClosed(name string) {
	delete(s.linkLost, name)
	delete(s.linkUp, name)
}

// StoreAnswered records that the store has answered a call that was sent at the given time.
func (s *Site) StoreAnswered(sent, now time.Duration) {
	if sent-s.lastContact > s.settings.MaxStoreGap {
		s.contactSince = now
	}
	s.lastContact = max(s.lastContact, sent)
}

// StopClaiming ends all claims by this VM, as it is about to stop.
func (s *Site) StopClaiming() { s.stopping = true }

// Members returns the entry VMs whose keys exist, sorted by name.
func (s *Site) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// MembersAndLapsed returns the other entry VMs that may be running: the members, and
// those whose key has lapsed recently or whose link is still up.
func (s *Site) MembersAndLapsed(now time.Duration) []Member {
	out := s.Members()
	for name, l := range s.lapsed {
		if now-l.at < 2*s.settings.LapsedKeyGrace || s.linkUp[name] {
			out = append(out, l.member)
		} else {
			delete(s.lapsed, name)
			delete(s.linkLost, name)
			delete(s.linkUp, name)
		}
	}
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == s.self.Name })
}

// MemberCount returns the number of entry VMs whose keys exist.
func (s *Site) MemberCount() int { return len(s.members) }

// AllShardsHeld reports whether each shard of a failure domain has a holder that is a member and whose
// link is not lost.
func (s *Site) AllShardsHeld(domain string) bool {
	d, known := s.layouts[domain]
	if !known {
		return false
	}
	for i := range d.Shards {
		holder := s.Holding(ShardName(domain, i)).Holder
		if _, isMember := s.members[holder]; !isMember || s.linkLost[holder] {
			return false
		}
	}
	return true
}

// Holding returns the last known holder of a shard.
func (s *Site) Holding(shard string) Holding {
	if v, known := s.shards[shard]; known {
		return v.holding
	}
	return Holding{Shard: shard}
}

// Holdings returns the last known holder of each shard, sorted by the shard's name.
func (s *Site) Holdings() []Holding {
	out := make([]Holding, 0, len(s.sortedShards))
	for _, v := range s.sortedShards {
		out = append(out, v.holding)
	}
	return out
}

// stateOf returns the state of a shard, creating it if it is new.
func (s *Site) stateOf(shard string) *shardState {
	v := s.shards[shard]
	if v == nil {
		v = &shardState{holding: Holding{Shard: shard}}
		s.shards[shard] = v
		s.sortedShards = append(s.sortedShards, v)
		slices.SortFunc(s.sortedShards, func(a, b *shardState) int { return strings.Compare(a.holding.Shard, b.holding.Shard) })
	}
	return v
}

// HeldBySelf reports whether this process is the holder; an earlier process of this VM is not.
func (s *Site) HeldBySelf(h Holding) bool {
	return h.Holder == s.self.Name && h.Incarnation == s.self.Incarnation
}

// HolderRestarted reports whether the process that holds a shard has certainly ended, because its VM
// has started another one.
func (s *Site) HolderRestarted(h Holding) bool {
	if h.Holder == s.self.Name {
		return h.Incarnation != s.self.Incarnation
	}
	m, isMember := s.members[h.Holder]
	return isMember && m.Incarnation != h.Incarnation
}
