package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// MaxFullMeshPeers is the number of other VMs up to which each VM keeps a link to each other one, and
// changes are watched and passed on without delay. The links of a full mesh grow with the square of
// the VMs: at 147 VMs their heartbeats alone took all the CPU that most of the VMs have (0.19 core).
const MaxFullMeshPeers = 12

// minOtherDomainLinks is the number of holders of other failure domains that a VM keeps links to, however
// little CPU it has: they take its submissions while its own domain has no holder, and relay its
// calls of the store.
const minOtherDomainLinks = 2

// linkCostCores is the CPU that a link takes in both directions, in cores: the slope between idle sites
// of 8 and 34 VMs (BenchmarkSite, vms=8 and vms=34 without load).
const linkCostCores = 0.0013

// optionalLinkShare is the share of a VM's CPU up to which it adds links that it could do without: those to
// more than minOtherDomainLinks holders of other failure domains.
const optionalLinkShare = 0.03

// Peer is an entry VM to keep a link to.
type Peer struct {
	Member
	// FastDetection says that the loss of the peer must be detected quickly, as one of the two
	// VMs would take over the other's shards.
	FastDetection bool
}

// Peers returns the entry VMs that this VM needs links to. On a small site these are all others. On a
// site with more than MaxFullMeshPeers others they are
//
//   - the holders of its own failure domain, which its submissions go to;
//   - for a holder: all VMs of its domain, so that each shard has successors that watch its holder;
//   - as many holders of other domains as its CPU allows, for submissions that the own domain cannot take.
//
// The peer keeps a link in the other direction for as long as this VM says that it needs the link.
func (s *Site) Peers(now time.Duration) []Peer {
	members := s.MembersAndLapsed(now)
	holders := s.shardCounts()
	holds := holders[s.self.Name] > 0
	small := len(members) <= MaxFullMeshPeers
	var out []Peer
	var otherDomain []Member
	for _, m := range members {
		own, holder := m.Domain == s.self.Domain, holders[m.Name] > 0
		switch {
		case small:
			out = append(out, Peer{Member: m, FastDetection: true})
		case own && (holds || holder):
			out = append(out, Peer{Member: m, FastDetection: holds && holder})
		case holder && !own:
			otherDomain = append(otherDomain, m)
		}
	}
	return append(out, s.pickPeers(otherDomain, s.maxLinks()-len(out))...)
}

// maxLinks returns how many links this VM's CPU allows. If its cores are not known, it is the number of members.
func (s *Site) maxLinks() int {
	if s.self.Cores <= 0 {
		return len(s.members)
	}
	return int(optionalLinkShare * s.self.Cores / linkCostCores)
}

// pickPeers chooses n of some VMs, but at least minOtherDomainLinks, by rendezvous hashing: the choices of
// all VMs are spread evenly, and each VM keeps most of its choice as others come and go.
func (s *Site) pickPeers(members []Member, n int) []Peer {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(s.self.Name, b.Name), rendezvousHash(s.self.Name, a.Name)), strings.Compare(a.Name, b.Name))
	})
	var out []Peer
	for _, m := range members[:min(max(n, minOtherDomainLinks), len(members))] {
		out = append(out, Peer{Member: m})
	}
	return out
}

// Member returns an entry VM whose key exists or has lapsed recently.
func (s *Site) Member(name string) (Member, bool) {
	if m, isMember := s.members[name]; isMember {
		return m, true
	}
	l, lapsed := s.lapsed[name]
	return l.member, lapsed
}

// MinCores returns the cores of the smallest entry VM of a failure domain; 0: not known.
func (s *Site) MinCores(domain string) float64 {
	minCores := 0.0
	for _, m := range s.members {
		if m.Domain == domain && m.Cores > 0 && (minCores == 0 || m.Cores < minCores) {
			minCores = m.Cores
		}
	}
	return minCores
}

// HoldersIn returns the entry VMs that hold shards of a failure domain.
func (s *Site) HoldersIn(domain string) []string {
	var out []string
	for shard, v := range s.shards {
		if h := v.holding.Holder; DomainOf(shard) == domain && h != "" && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}
