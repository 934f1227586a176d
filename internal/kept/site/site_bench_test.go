package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// siteOf returns the view that one VM has of a site with so many entry VMs in six failure domains. There are
// ten workers per VM and eleven per shard; holder returns the holder of a shard.
func siteOf(tb testing.TB, vms int, holder func(domain, shard int) string) *Site {
	tb.Helper()
	const domains = 6
	names := make([]string, domains)
	for i := range names {
		names[i] = fmt.Sprintf("d%d", i)
	}
	s := New(DefaultSettings(), Member{Name: "vm-0", Domain: names[0], Incarnation: 1, Cores: 0.19}, names, time.Hour)
	put := func(key string, value any) {
		if err := s.Apply(time.Hour, store.Event{Item: store.Item{Key: key, Value: Encode(value), Revision: 5}}); err != nil {
			tb.Fatal(err)
		}
	}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		put(MemberKey(name), Member{Name: name, Domain: names[i%domains], Incarnation: 1, Cores: 0.192})
	}
	perDomain := (vms*10/domains + 10) / 11
	for d, domain := range names {
		put(DomainKey(domain), ShardLayout{Shards: perDomain})
		for i := range perDomain {
			if h := holder(d, i); h != "" {
				put(ShardKey(ShardName(domain, i)), Holding{Holder: h, Incarnation: 1, Token: 3})
			}
		}
	}
	return s
}

// nobody leaves all shards without holders, as after a restart of all VMs.
func nobody(int, int) string { return "" }

// inTurn assigns the shards of a domain to its VMs in turn.
func inTurn(vms int) func(domain, shard int) string {
	return func(domain, shard int) string { return fmt.Sprintf("vm-%d", (domain+6*shard)%vms) }
}

var siteSizes = []int{30, 236, 472, 1000}

// BenchmarkDecide measures Decide where all shards have holders, and where none has.
func BenchmarkDecide(b *testing.B) {
	for _, vms := range siteSizes {
		for name, holder := range map[string]func(int, int) string{"held": inTurn(vms), "vacant": nobody} {
			b.Run(fmt.Sprintf("%s/vms=%d", name, vms), func(b *testing.B) {
				s := siteOf(b, vms, holder)
				now := 2 * time.Hour
				for b.Loop() {
					s.changed = true
					if len(s.Decide(now)) > 0 {
						b.Fatal("it is not this VM's turn")
					}
				}
			})
		}
	}
}

// BenchmarkPeers measures which links a VM finds that it needs.
func BenchmarkPeers(b *testing.B) {
	for _, vms := range siteSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			s := siteOf(b, vms, inTurn(vms))
			for b.Loop() {
				s.Peers(time.Hour)
			}
		})
	}
}
