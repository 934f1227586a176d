package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// MaxFullMeshPeers is the number of other VMs up to which all keep links to all, and changes are followed
// and told at once. Links of all to all grow with the square of the VMs: at 147 VMs their heartbeats alone
// took all the processor that most of the VMs have (0.19 core).
const MaxFullMeshPeers = 12

// minOtherDomainLinks is to how many holders of other failure domains a VM keeps links, however
// little processor it has: they take its submissions while its own domain has no holder, and
// carry its calls of the store.
const minOtherDomainLinks = 2

// linkCostCores is the processor of a link in both directions, in cores: the slope of idle sites of
// 8 to 34 VMs (BenchmarkSite, vms=8 and vms=34 without load).
const linkCostCores = 0.0013

// optionalLinkShare is the part of its processor that a VM may spend on links that it could do without.
const optionalLinkShare = 0.03

// Peer is an entry VM to keep a link to.
type Peer struct {
	Member
	// Near says that the loss of the VM is to be noticed soon: it, or this VM, would take
	// the other's shards over.
	FastDetection bool
}

// Peers returns the entry VMs that this VM needs links to. On a large site those are
//
//   - the holders of its own failure domain, where its submissions go;
//   - for a holder: all VMs of its domain, so that each shard has successors that watch its holder;
//   - as many holders of other domains as its processor bears, for what its own cannot take.
//
// Whoever is on the other end keeps a link back for as long as it is told that it is needed.
func (s *Site) Peers(now time.Duration) []Peer {
	members := s.MembersAndLapsed(now)
	holders := s.shardCounts()
	holds := holders[s.self.Name] > 0
	small := len(members) <= MaxFullMeshPeers
	var out []Peer
	var foreign []Member
	for _, m := range members {
		own, holder := m.Domain == s.self.Domain, holders[m.Name] > 0
		switch {
		case small:
			out = append(out, Peer{Member: m, FastDetection: true})
		case own && (holds || holder):
			out = append(out, Peer{Member: m, FastDetection: holds && holder})
		case holder && !own:
			foreign = append(foreign, m)
		}
	}
	return append(out, s.pickPeers(foreign, s.maxLinks()-len(out))...)
}

// affordable is how many links this VM's processor bears. Without a word of its processor it
// bears them all.
func (s *Site) maxLinks() int {
	if s.self.Cores <= 0 {
		return len(s.members)
	}
	return int(optionalLinkShare * s.self.Cores / linkCostCores)
}

// pickPeers returns the first of some VMs by rendezvous hashing, so that the VMs of a site choose
// evenly and each goes on with most of its choice as others come and go.
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

// Member returns an entry VM whose key is there, or has lapsed lately.
func (s *Site) Member(name string) (Member, bool) {
	if m, there := s.members[name]; there {
		return m, true
	}
	l, lapsed := s.lapsedMembers[name]
	return l.member, lapsed
}

// Least returns the least processor of the entry VMs of a failure domain that are there, in cores;
// 0: it is not known.
func (s *Site) MinCores(domain string) float64 {
	least := 0.0
	for _, m := range s.members {
		if m.Domain == domain && m.Cores > 0 && (least == 0 || m.Cores < least) {
			least = m.Cores
		}
	}
	return least
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
