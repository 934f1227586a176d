package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// rankOneByOne ranks this VM for a shard by comparing it with each other VM that may take it.
func rankOneByOne(s *Site, shard, except string) (rank int, able bool) {
	held := s.shardCounts()
	for _, m := range s.eligible(shard, except) {
		switch {
		case m.Name == s.self.Name:
			able = true
		case compareCandidates(shard, held, m, s.self) < 0:
			rank++
		}
	}
	return rank, able
}

// Guards against two VMs that take a shard at once, or none, as they rank themselves in different ways.
func TestRankOfALookIsThatOfEachVM(t *testing.T) {
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
		l := s.newClaimPass()
		for _, v := range s.sortedShards {
			rank, able := l.rank(v.holding.Shard, v.holding.Holder)
			wantRank, wantAble := rankOneByOne(s, v.holding.Shard, v.holding.Holder)
			if rank != wantRank || able != wantAble {
				t.Fatalf("%s: rank %d, able %v, want %d, %v", v.holding.Shard, rank, able, wantRank, wantAble)
			}
		}
	}
}

// Guards against a look for claims that takes a small VM all its processor on a large site: what it allocates
// for a shard without a holder must not grow with the VMs of the site.
func TestLookForClaimsDoesNotGrowWithTheSite(t *testing.T) {
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

// Guards against a VM that goes by members of an earlier look.
func TestLookSeesNewMembers(t *testing.T) {
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
