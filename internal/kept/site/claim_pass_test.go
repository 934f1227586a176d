package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// rankOneByOne is a reference for claimPass.rank: it compares this VM with each other VM that may take the shard.
func rankOneByOne(s *Site, shard, except string) (rank int, eligible bool) {
	shardCounts := s.shardCounts()
	for _, m := range s.eligible(shard, except) {
		switch {
		case m.Name == s.self.Name:
			eligible = true
		case compareCandidates(shard, shardCounts, m, s.self) < 0:
			rank++
		}
	}
	return rank, eligible
}

// Guards against two VMs, or none, that take a shard because they rank themselves in different ways.
func TestRankMatchesPairwiseComparison(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range 200 {
		s := siteOf(t, 8+rng.IntN(20), func(int, int) string {
			if rng.IntN(3) == 0 {
				return ""
			}
			return fmt.Sprintf("vm-%d", rng.IntN(30))
		})
		for name, m := range s.members {
			m.Cores = []float64{0, 0.192, 1.6}[rng.IntN(3)]
			s.members[name] = m
			if rng.IntN(5) == 0 {
				s.linkLost[name] = true
			}
		}
		s.self.Cores = s.members[s.self.Name].Cores
		s.self.Incarnation += uint64(rng.IntN(2))
		pass := s.newClaimPass()
		for _, v := range s.sortedShards {
			rank, eligible := pass.rank(v.holding.Shard, v.holding.Holder)
			wantRank, wantAble := rankOneByOne(s, v.holding.Shard, v.holding.Holder)
			if rank != wantRank || eligible != wantAble {
				t.Fatalf("%s: rank %d, able %v, want %d, %v", v.holding.Shard, rank, eligible, wantRank, wantAble)
			}
		}
	}
}

// Guards against a Decide that takes all the CPU of a small VM on a large site: its allocations for a
// shard without a holder must not grow with the number of VMs.
func TestDecideAllocationsDoNotGrowWithTheSite(t *testing.T) {
	perShard := func(vms int) float64 {
		s := siteOf(t, vms, nobody)
		allocs := testing.AllocsPerRun(5, func() {
			s.changed = true
			s.Decide(2 * time.Hour)
		})
		return allocs / float64(len(s.sortedShards))
	}
	small, large := perShard(60), perShard(480)
	if large > small {
		t.Errorf("%.2f allocations a shard on a site of 480 VMs, %.2f on one of 60", large, small)
	}
}

// Guards against ranks that are computed from the members of an earlier pass.
func TestClaimPassSeesNewMembers(t *testing.T) {
	s := siteOf(t, 12, nobody)
	before, _ := s.newClaimPass().rank("d0/0", "")
	strong := Member{Name: "vm-strong", Domain: "d0", Incarnation: 1, Cores: 8}
	if err := s.Apply(time.Hour, store.Event{Item: store.Item{Key: MemberKey(strong.Name), Value: Encode(strong), Revision: 9}}); err != nil {
		t.Fatal(err)
	}
	if after, _ := s.newClaimPass().rank("d0/0", ""); after != before+1 {
		t.Errorf("rank %d with a stronger VM, %d without", after, before)
	}
}
