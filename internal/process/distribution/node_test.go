package distribution

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	inForceWithin = 4 * time.Second
	small         = 1000 // bytes of a revision
)

// settled returns a fleet of the design size in which every node has applied the
// first revision.
func settled(t *testing.T, seed uint64, build makeNode) *fleet {
	t.Helper()
	f := newFleet(seed, 60, 19, build)
	f.publish(small)
	f.net.Run(10 * time.Second)
	if !f.everywhere(anyPeer) || len(f.ready) != len(f.peers) {
		t.Fatalf("%d of %d nodes are ready after 10 s", len(f.ready), len(f.peers))
	}
	return f
}

func mustSpread(t *testing.T, f *fleet, filter func(Peer) bool) {
	t.Helper()
	took := f.spread(spreadLimit, filter)
	t.Logf("in force after %v", took)
	if took > inForceWithin || !f.everywhere(filter) {
		t.Errorf("in force after %v, want %v at most", took, inForceWithin)
	}
}

// Guards against a failure domain that misses a change: its watcher dies, and with it
// the domain's only watch, before a change is published. Without repair from other
// domains, only the takeover by the next node helps.
func TestWatcherDies(t *testing.T) {
	for _, build := range []makeNode{chosen, ordinary(Options{NoRepair: true})} {
		f := settled(t, 1, build)
		f.dead["vm-000"] = true
		f.publish(small)
		mustSpread(t, f, anyPeer)
	}
}

// Guards against a change that no node applies although the store holds it: all open
// watches stop responding while new calls work. A watch without a timeout would wait
// forever.
func TestAllWatchesGoSilent(t *testing.T) {
	f := settled(t, 2, chosen)
	f.silent = func(Peer) bool { return true }
	f.publish(small)
	f.silent = func(Peer) bool { return false }
	mustSpread(t, f, anyPeer)
}

// Guards against a replaced VM that cannot serve, or serves an old configuration,
// during a store outage, because its start needs the store although peers have the
// configuration.
func TestVMIsReplacedDuringAnOutage(t *testing.T) {
	f := settled(t, 3, chosen)
	f.publish(small)
	mustSpread(t, f, anyPeer)
	f.storeDown = func(Peer) bool { return true }
	f.net.Run(time.Minute)
	delete(f.ready, "vm-007")
	f.start(f.peers[7], 999, chosen)
	began := f.net.Now
	f.net.Run(inForceWithin)
	readyAt, ready := f.ready["vm-007"]
	if !ready || f.nodes["vm-007"].Held().Revision != f.value.Revision {
		t.Fatalf("ready %v with revision %d, want %d", ready, f.nodes["vm-007"].Held().Revision, f.value.Revision)
	}
	t.Logf("ready %v after its start", readyAt.Sub(began))
	f.storeDown = func(Peer) bool { return false }
	f.net.Run(2 * retryLimit)
	f.publish(small)
	mustSpread(t, f, anyPeer)
}

// Guards against an accepted change that is reverted: the first read of a replaced VM
// reaches an outdated replica of the store, whose answer must not be taken as the
// newest.
func TestStaleReadNeverReverts(t *testing.T) {
	f := settled(t, 4, chosen)
	f.publish(small)
	mustSpread(t, f, anyPeer)
	f.stale = true
	f.net.Delay = 50 * time.Millisecond // so that the store answers first
	f.start(f.peers[7], 999, chosen)
	f.net.RunUntil(f.net.Now.Add(inForceWithin), func() bool { return f.nodes["vm-007"].(*Node).Ready() })
	if got := f.nodes["vm-007"].Held().Revision; got != f.value.Revision {
		t.Errorf("ready with revision %d, want %d", got, f.value.Revision)
	}
	f.net.Run(time.Minute)
	if len(f.reverted) > 0 || !f.everywhere(anyPeer) {
		t.Errorf("reverted on %v", f.reverted)
	}
}

// Guards against a failure domain that misses a change because it cannot reach the
// store, although it can reach its peers.
func TestDomainWithoutTheStore(t *testing.T) {
	f := settled(t, 5, chosen)
	f.storeDown = func(p Peer) bool { return p.Domain == "d03" }
	f.publish(small)
	mustSpread(t, f, anyPeer)
}

// Guards against a domain that serves an old configuration long after a partition from
// peers and store has healed, during which a change was published. The other domains
// must not wait for it.
func TestDomainCutOffAndHealed(t *testing.T) {
	f := settled(t, 6, chosen)
	f.cutOff("d03")
	f.publish(small)
	mustSpread(t, f, func(p Peer) bool { return p.Domain != "d03" })
	f.net.Run(time.Minute)
	f.heal()
	mustSpread(t, f, anyPeer)
}

// Checks under random message loss, node failures and publications that no node goes
// back to an older revision and that all nodes finally apply the newest one.
func TestRevisionsOnlyGrow(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("grow and arrive", prop.ForAll(func(seed uint64, loss float64, deaths []int) bool {
		f := newFleet(seed, 12, 3, chosen)
		f.publish(small)
		f.net.Loss = loss
		for _, victim := range deaths {
			f.stale = victim%2 == 0
			f.publish(small)
			f.net.Run(time.Duration(victim) * 100 * time.Millisecond)
			f.start(f.peers[victim%len(f.peers)], seed+uint64(victim), chosen)
		}
		f.stale = false
		f.net.Run(20 * time.Second)
		return len(f.reverted) == 0 && f.everywhere(anyPeer)
	}, gen.UInt64Range(1, 1<<20), gen.Float64Range(0, 0.4), gen.SliceOfN(6, gen.IntRange(0, 50))))
	properties.TestingRun(t)
}
