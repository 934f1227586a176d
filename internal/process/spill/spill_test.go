package spill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func peer(name, domain string, free, queued int) Peer {
	return Peer{Name: name, Domain: domain, FreeSlots: free, Queued: queued, Workers: 4}
}

func TestPlan(t *testing.T) {
	busy := Load{Name: "self", Domain: "a", Queued: 20, Workers: 4}
	idle := Load{Name: "self", Domain: "a", FreeSlots: 10, Workers: 4}
	away := busy
	away.Away = true
	leaving := idle
	leaving.Draining = true
	stale := peer("p1", "a", 50, 0)
	stale.Age = defaultMaxAge + time.Nanosecond
	draining := peer("p1", "a", 50, 0)
	draining.Draining = true
	sent := peer("p1", "a", 20, 0)
	sent.Sent = 20
	cases := []struct {
		name  string
		own   Load
		peers []Peer
		want  int
		moves []Move
	}{
		{"own slots first", idle, []Peer{peer("p1", "a", 50, 0)}, 8, []Move{{Here, 8, FreeHere}}},
		{"a share of a near peer, then of a far one", idle,
			[]Peer{peer("far", "b", 80, 0), peer("near", "a", 20, 0)}, 40,
			[]Move{{Here, 10, FreeHere}, {"near", 10, FreeNear}, {"far", 20, FreeAway}}},
		{"a far peer needs more than a little", busy, []Peer{peer("far", "b", 15, 0)}, 5, []Move{{Here, 5, NoRoom}}},
		{"less once tasks go there", away, []Peer{peer("far", "b", 15, 0)}, 5, []Move{{"far", 5, FreeAway}}},
		{"queues of the own domain only", busy,
			[]Peer{peer("far", "b", 0, 0), peer("near", "a", 0, 2)}, 9,
			[]Move{{"near", 7, QueueNear}, {Here, 2, NoRoom}}},
		{"stale advert", busy, []Peer{stale}, 5, []Move{{Here, 5, NoRoom}}},
		{"draining peer", busy, []Peer{draining}, 5, []Move{{Here, 5, NoRoom}}},
		{"slots already used up by what was sent", busy, []Peer{sent}, 20, []Move{{"p1", 8, QueueNear}, {Here, 12, NoRoom}}},
		{"a batch is bounded", busy, []Peer{peer("p1", "a", 500, 0)}, 100, []Move{{"p1", 64, FreeNear}, {Here, 36, BatchLimit}}},
		{"draining VM hands over what a peer can take", leaving, []Peer{peer("p1", "a", 4, 0)}, 6,
			[]Move{{"p1", 6, FreeNear}}},
		{"nothing wanted", idle, nil, 0, nil},
	}
	// The cases are worked out for these settings.
	settings := Defaults()
	settings.Share = 0.5
	settings.StartAway, settings.StopAway = 16, 4
	for _, c := range cases {
		if got := Plan(settings, c.own, c.peers, c.want, nil); !slices.Equal(got, c.moves) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.moves)
		}
	}
	refuse := func(string) bool { return false }
	if got := Judge(Defaults(), busy, peer("p1", "a", 9, 0), refuse); got != PeerNotAllowed {
		t.Errorf("judged %q", got)
	}
}

func TestHomesDoNotAllChooseTheSamePeer(t *testing.T) {
	// Symptom: one entry VM's queue fills while its neighbours idle.
	// Sequence: a burst reaches many homes, which read the same adverts.
	// Cause: all of them sort the peers in the same order.
	var peers []Peer
	for i := range 8 {
		peers = append(peers, peer(fmt.Sprint("p", i), "a", 32+i, 0))
	}
	first := map[string]int{}
	for i := range 64 {
		own := Load{Name: fmt.Sprint("home", i), Domain: "a"}
		first[Plan(Defaults(), own, peers, 4, nil)[0].Peer]++
	}
	for name, homes := range first {
		if homes > 20 {
			t.Errorf("%d of 64 homes chose %s, even share 8", homes, name)
		}
	}
	if len(first) < 6 {
		t.Errorf("only %d of 8 peers were chosen", len(first))
	}
}

func TestProperties(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("moves add up, keep the bounds and ignore the order of peers", prop.ForAll(func(seed uint64) (bool, error) {
		rng := rand.New(rand.NewPCG(seed, 1))
		own := Load{"self", "a", rng.IntN(20), rng.IntN(20), rng.IntN(8), rng.IntN(4) == 0, rng.IntN(2) == 0}
		peers := map[string]Peer{}
		var list []Peer
		for i := range rng.IntN(30) {
			p := Peer{fmt.Sprint("p", i), string(rune('a' + rng.IntN(3))), rng.IntN(90), rng.IntN(60), rng.IntN(9),
				rng.IntN(5) == 0, time.Duration(rng.IntN(3000)) * time.Millisecond, rng.IntN(9)}
			peers[p.Name] = p
			list = append(list, p)
		}
		want := rng.IntN(920)
		moves := Plan(Defaults(), own, list, want, nil)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if !slices.Equal(moves, Plan(Defaults(), own, list, want, nil)) {
			return false, fmt.Errorf("the order of peers matters")
		}
		return true, check(moves, own, peers, want)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func check(moves []Move, own Load, peers map[string]Peer, want int) error {
	sum := 0
	seen := map[string]bool{}
	for _, m := range moves {
		sum += m.Count
		if m.Count <= 0 {
			return fmt.Errorf("empty move %+v", m)
		}
		if m.Peer == Here {
			continue
		}
		p := peers[m.Peer]
		offer := p.FreeSlots - p.Queued - p.Sent
		if p.Domain == own.Domain {
			offer += defaultQueuePerWorker * p.Workers
		}
		if seen[m.Peer] || m.Count > defaultBatch || m.Count > offer || p.Draining || p.Age > defaultMaxAge {
			return fmt.Errorf("%+v breaks a bound of %+v", m, p)
		}
		seen[m.Peer] = true
	}
	if sum != want || len(seen) > defaultPeers {
		return fmt.Errorf("%d tasks to %d peers, want %d", sum, len(seen), want)
	}
	return nil
}

func TestSettingsValidate(t *testing.T) {
	if err := Defaults().Validate(); err != nil {
		t.Fatal(err)
	}
	s := Defaults()
	s.StartAway = s.StopAway - 1
	if s.Validate() == nil || (Settings{}).Validate() == nil {
		t.Fatal("bad settings passed")
	}
}

func BenchmarkPlan(b *testing.B) {
	own := Load{Name: "self", Domain: "d3", Queued: 50, Workers: 20}
	var peers []Peer
	for i := range 152 {
		peers = append(peers, peer(fmt.Sprint("p", i), fmt.Sprint("d", i%19), i%40, i%7))
	}
	b.ReportAllocs()
	for b.Loop() {
		Plan(Defaults(), own, peers, 64, nil)
	}
}
