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

// settled is a fleet of the design size in which the first revision is in force
// everywhere.
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

// Symptom: a change is in force in all failure domains but one. Sequence: the
// node that watches for the domain dies; a change is published. Cause: the only
// watch of the domain died with it. Without repair from other domains only the
// take-over is left to help.
func TestWatcherDies(t *testing.T) {
	for _, build := range []makeNode{chosen, ordinary(Options{NoRepair: true})} {
		f := settled(t, 1, build)
		f.dead["vm-000"] = true
		f.publish(small)
		mustSpread(t, f, anyPeer)
	}
}

// Symptom: a change is in force nowhere, though the store holds it. Sequence:
// all open watches go silent, new calls work; a change is published. Cause: a
// watch without a bound of its own waits for ever.
func TestAllWatchesGoSilent(t *testing.T) {
	f := settled(t, 2, chosen)
	f.silent = func(Peer) bool { return true }
	f.publish(small)
	f.silent = func(Peer) bool { return false }
	mustSpread(t, f, anyPeer)
}

// Symptom: a replaced VM cannot serve, or serves under an old configuration.
// Sequence: the store goes out; a VM is replaced. Cause: a start that needs the
// store, though peers hold the configuration.
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

// Symptom: an accepted change reverts. Sequence: a VM is replaced; its first
// read comes to an old replica of the store. Cause: the store's answer taken as
// the newest.
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

// Symptom: a failure domain that cannot reach the store stays behind. Sequence:
// the domain loses the store but not its peers; a change is published. Cause:
// the store as the only source.
func TestDomainWithoutTheStore(t *testing.T) {
	f := settled(t, 5, chosen)
	f.storeDown = func(p Peer) bool { return p.Domain == "d03" }
	f.publish(small)
	mustSpread(t, f, anyPeer)
}

// Symptom: a domain that was cut off serves under the old configuration for
// long after. Sequence: the domain is cut off from peers and store; a change is
// published; the cut heals. The others must not wait for it.
func TestDomainCutOffAndHealed(t *testing.T) {
	f := settled(t, 6, chosen)
	f.cutOff("d03")
	f.publish(small)
	mustSpread(t, f, func(p Peer) bool { return p.Domain != "d03" })
	f.net.Run(time.Minute)
	f.heal()
	mustSpread(t, f, anyPeer)
}

// Whatever is lost, whoever dies and however often is published, no node goes
// back, and the newest revision is in force everywhere in the end.
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
