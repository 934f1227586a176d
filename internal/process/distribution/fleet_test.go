package distribution

import (
	"fmt"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/network"
)

const (
	oneWay    = 500 * time.Microsecond
	storeTime = 2 * time.Millisecond
)

// stepper is a node of one of the compared distribution methods.
type stepper interface {
	Step(now time.Time, event Event) []Action
	Held() Snapshot
}

// fleet simulates nodes with their network and store.
type fleet struct {
	net     *network.Network
	nodes   map[string]stepper
	peers   []Peer
	dead    map[string]bool
	value   Snapshot
	replica Snapshot // what a stale read sees
	waiting []func()

	calls     int
	storeDown func(Peer) bool
	silent    func(Peer) bool
	stale     bool
	reverted  []string
	ready     map[string]time.Time
}

type makeNode func(self Peer, seed uint64, now time.Time) stepper

func newFleet(seed uint64, nodes, domains int, build makeNode) *fleet {
	f := &fleet{
		net:       network.New(seed, oneWay),
		nodes:     make(map[string]stepper),
		dead:      make(map[string]bool),
		ready:     make(map[string]time.Time),
		storeDown: func(Peer) bool { return false },
		silent:    func(Peer) bool { return false },
	}
	for i := range nodes {
		f.peers = append(f.peers, Peer{ID: fmt.Sprintf("vm-%03d", i), Domain: fmt.Sprintf("d%02d", i%domains)})
	}
	for i, p := range f.peers {
		f.start(p, seed*1000+uint64(i), build)
	}
	return f
}

// start adds or replaces a node.
func (f *fleet) start(p Peer, seed uint64, build makeNode) {
	node := build(p, seed, f.net.Now)
	f.nodes[p.ID] = node
	var others []Peer
	for _, other := range f.peers {
		if other != p {
			others = append(others, other)
		}
	}
	f.step(p, node, PeersChanged{Peers: others})
	phase := time.Duration(seed%100) * time.Millisecond
	f.net.After(phase, func() {
		f.net.Every(TickInterval, func() { f.step(p, node, Tick{}) })
	})
}

func (f *fleet) step(p Peer, node stepper, event Event) {
	if f.dead[p.ID] || f.nodes[p.ID] != node {
		return
	}
	before := node.Held().Revision
	for _, action := range append([]Action(nil), node.Step(f.net.Now, event)...) {
		switch action := action.(type) {
		case Send:
			received := Received{From: p, Message: action.Message}
			f.net.Send(p.ID, action.To.ID, action.Message.Size(), func() {
				f.step(action.To, f.nodes[action.To.ID], received)
			})
		case CallStore:
			f.call(p, node, action)
		case Ready:
			f.ready[p.ID] = f.net.Now
		}
	}
	if node.Held().Revision < before {
		f.reverted = append(f.reverted, p.ID)
	}
}

func (f *fleet) call(p Peer, node stepper, c CallStore) {
	f.calls++
	if f.silent(p) {
		return
	}
	answer := func(a StoreAnswered) {
		a.Call = c.Call
		f.net.Traffic(p.ID).Received += framingBytes + len(a.Snapshot.Encoded)
		f.net.After(storeTime, func() { f.step(p, node, a) })
	}
	done := false
	check := func(last bool) {
		value := f.value
		if f.stale {
			value = f.replica
		}
		switch {
		case done:
		case f.storeDown(p):
			done = true
			answer(StoreAnswered{Failed: true})
		case f.silent(p):
			done = true
		case value.Version > c.After:
			done = true
			answer(StoreAnswered{Snapshot: value})
		case last:
			done = true
			answer(StoreAnswered{})
		}
	}
	if check(c.Wait == 0); !done {
		f.waiting = append(f.waiting, func() { check(false) })
		f.net.After(c.Wait, func() { check(true) })
	}
}

// publish puts the next revision in the store.
func (f *fleet) publish(size int) {
	f.replica = f.value
	next := f.value.Revision + 1
	f.value = Snapshot{Revision: next, Version: next, Encoded: make([]byte, size)}
	f.wakeWatches()
}

func (f *fleet) wakeWatches() {
	waiting := f.waiting
	f.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// cutOff cuts a domain off from the others and from the store.
func (f *fleet) cutOff(domain string) {
	inside := make(map[string]bool)
	for _, p := range f.peers {
		inside[p.ID] = p.Domain == domain
	}
	f.storeDown = func(p Peer) bool { return inside[p.ID] }
	f.net.Cut = func(from, to string) bool { return inside[from] != inside[to] }
}

func (f *fleet) heal() {
	f.storeDown = func(Peer) bool { return false }
	f.net.Cut = nil
}

// reset sets the counts to zero.
func (f *fleet) reset() {
	f.net.ResetTraffic()
	f.calls = 0
}

// everywhere reports whether each live node that passes the filter has the newest
// revision.
func (f *fleet) everywhere(filter func(Peer) bool) bool {
	for _, p := range f.peers {
		if filter(p) && !f.dead[p.ID] && f.nodes[p.ID].Held().Revision != f.value.Revision {
			return false
		}
	}
	return true
}

func anyPeer(Peer) bool { return true }

// spread runs until the newest revision is everywhere and returns how long that
// took, or the limit.
func (f *fleet) spread(limit time.Duration, filter func(Peer) bool) time.Duration {
	start := f.net.Now
	f.net.RunUntil(start.Add(limit), func() bool { return f.everywhere(filter) })
	return f.net.Now.Sub(start)
}

// bytes is what the nodes sent and received since the last reset.
func (f *fleet) bytes() (total, most int) {
	for _, p := range f.peers {
		traffic := f.net.Traffic(p.ID)
		sum := traffic.Sent + traffic.Received
		total += sum
		most = max(most, sum)
	}
	return total, most
}
