// Package distribution brings each published revision in force on every entry
// VM within seconds, with few calls to the store.
//
// In each failure domain one node watches the store and pushes a new revision to
// the others of its domain; when it falls silent, the next takes over. Each node
// also compares its revision number with a random node of another domain every
// second, which repairs whatever was lost, and brings in a domain that cannot
// reach the store. Only growing revisions are applied, so that no stale read and
// no old peer can revert one.
//
// Node is a deterministic core: events and the time go in, actions come out. It
// has no goroutine, clock or connection.
package distribution

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Times of the protocol. Together they keep the worst single fault, a watcher
// that dies or a watch that goes silent just before a change, under four seconds.
const (
	// TickInterval is how often a Tick is due.
	TickInterval = 100 * time.Millisecond
	// watchWait is how long a watch waits. It bounds the time for which a watch
	// can be silent without being noticed.
	watchWait = 2 * time.Second
	// watchGrace is how much later a watch counts as silent.
	watchGrace = time.Second
	// callInterval is the least time from one call of the store to the next.
	// Without it a store that does not wait would be called in a tight loop.
	callInterval = TickInterval
	// summaryInterval is how often a watcher tells its domain its revision.
	summaryInterval = time.Second
	// resendInterval is how often a revision is offered to a peer of the domain
	// that has not confirmed it.
	resendInterval = 300 * time.Millisecond
	// repairInterval is how often a node compares itself with another domain.
	repairInterval = time.Second
	// takeoverAfter is the silence after which the next node starts to watch;
	// each further node waits takeoverStep longer.
	takeoverAfter = 2 * time.Second
	takeoverStep  = 250 * time.Millisecond
	// retryFirst and retryLimit bound the wait after a call that failed.
	retryFirst = 250 * time.Millisecond
	retryLimit = 2 * time.Second
	// startLimit is how long a new node waits for the slower of its sources.
	startLimit = 3 * time.Second
	// startFailures in a row let a new node start without the store.
	startFailures = 2
	// startPeers is how many peers a new node asks.
	startPeers = 3
)

// Watchers says which nodes watch the store.
type Watchers int

// The choices.
const (
	WatcherPerDomain Watchers = iota
	WatcherPerNode
)

// Options set up a node. The zero values of the last three are what a
// measurement picked; the others are kept to measure against.
type Options struct {
	Self     Peer
	Seed     uint64
	Watchers Watchers
	NoPush   bool // followers wait for a summary or a repair
	NoRepair bool // nodes of different domains never compare
}

// Node is one entry VM's part in the distribution.
type Node struct {
	options Options
	random  *rand.Rand
	now     time.Time
	started time.Time
	actions []Action

	held      Snapshot
	ready     bool
	spreading bool // this node brought the revision into its domain

	domain  []Peer // of the node's own domain, by ID
	outside []Peer // of other domains
	remotes map[string]remote

	store       storeCall
	nextSummary time.Time
	nextResend  time.Time
	nextRepair  time.Time
	nextAsk     time.Time
}

// remote is what a node knows of a peer.
type remote struct {
	revision  uint64    // the highest it is known to hold
	answered  bool      // it has told its revision
	watchedAt time.Time // when it last said that its watch is answered
	pushed    uint64    // revision last pushed to it
	pushedAt  time.Time
}

// storeCall is the node's one call to the store.
type storeCall struct {
	number   uint64
	waiting  bool
	deadline time.Time
	failures int // in a row
	notYet   time.Time
	answered bool // at least once since the start
}

// New returns a node that holds nothing yet.
func New(options Options, now time.Time) *Node {
	return &Node{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		now:     now,
		started: now,
		remotes: make(map[string]remote),
	}
}

// Held is the revision in force on this node.
func (n *Node) Held() Snapshot { return n.held }

// Ready reports whether the node may serve.
func (n *Node) Ready() bool { return n.ready }

// Confirmed is the highest revision that a peer is known to hold, for the
// report of a publication that waits.
func (n *Node) Confirmed(id string) uint64 { return n.remotes[id].revision }

// Step takes one event in and returns what to do. The slice is valid until the
// next step.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = n.actions[:0]
	switch event := event.(type) {
	case PeersChanged:
		n.setPeers(event.Peers)
	case Received:
		n.receive(event.From, event.Message)
	case StoreAnswered:
		n.storeAnswered(event)
	}
	n.askStore()
	n.askPeersAtStart()
	n.tellDomain()
	n.resend()
	n.repair()
	n.becomeReady()
	return n.actions
}

func (n *Node) setPeers(peers []Peer) {
	n.domain, n.outside = nil, nil
	known := make(map[string]remote, len(peers))
	for _, p := range peers {
		if p.Domain == n.options.Self.Domain {
			n.domain = append(n.domain, p)
		} else {
			n.outside = append(n.outside, p)
		}
		r, seen := n.remotes[p.ID]
		if !seen {
			r.watchedAt = n.now // the time to say that it watches
		}
		known[p.ID] = r
	}
	n.remotes = known
	byID := func(a, b Peer) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(n.domain, byID)
	slices.SortFunc(n.outside, byID)
}

func (n *Node) receive(from Peer, message Message) {
	r, known := n.remotes[from.ID]
	switch message := message.(type) {
	case Summary:
		r.answered = true
		r.revision = max(r.revision, message.Revision)
		if message.Watching {
			r.watchedAt = n.now
		}
		n.remember(from, r, known)
		n.compare(from, message)
	case Push:
		r.answered = true
		r.revision = max(r.revision, message.Snapshot.Revision)
		n.remember(from, r, known)
		n.apply(message.Snapshot, from.Domain)
		n.send(from, n.summary(false))
	}
}

// remember keeps what was learnt of a peer that the view knows. Others are
// answered and forgotten, so that the table stays as large as the fleet.
func (n *Node) remember(p Peer, r remote, known bool) {
	if known {
		n.remotes[p.ID] = r
	}
}

// compare answers a peer's summary.
func (n *Node) compare(from Peer, theirs Summary) {
	switch {
	case theirs.Revision < n.held.Revision:
		n.push(from)
	case theirs.Revision > n.held.Revision, theirs.Ask:
		n.send(from, n.summary(false))
	}
}

func (n *Node) summary(ask bool) Summary {
	watching := n.watches() && n.store.answered && n.store.failures == 0
	return Summary{Revision: n.held.Revision, Watching: watching, Ask: ask}
}

func (n *Node) send(to Peer, message Message) {
	n.actions = append(n.actions, Send{To: to, Message: message})
}

// push hands the revision to a peer, but not twice while the first may still be
// on its way.
func (n *Node) push(to Peer) {
	r, known := n.remotes[to.ID]
	if r.pushed == n.held.Revision && n.now.Sub(r.pushedAt) < resendInterval {
		return
	}
	r.pushed, r.pushedAt = n.held.Revision, n.now
	n.remember(to, r, known)
	n.send(to, Push{Snapshot: n.held})
}

// apply puts a revision in force if it is higher. What goes wrong otherwise: an
// old replica of the store, or a peer that was cut off, hands over a revision
// that was replaced, and an accepted change reverts.
func (n *Node) apply(s Snapshot, fromDomain string) {
	if s.Revision <= n.held.Revision {
		return
	}
	n.held = s
	n.actions = append(n.actions, Apply{Snapshot: s})
	n.spreading = fromDomain != n.options.Self.Domain
	if n.spreading && !n.options.NoPush {
		n.pushToDomain()
		n.nextResend = n.now.Add(resendInterval)
	}
}

func (n *Node) pushToDomain() {
	for _, p := range n.domain {
		if n.remotes[p.ID].revision < n.held.Revision {
			n.push(p)
		}
	}
}

// resend offers the revision to peers of the domain that have not confirmed
// it. An offer is small; the peer asks for the revision if it still lacks it.
func (n *Node) resend() {
	if n.options.NoPush || !n.spreading || n.now.Before(n.nextResend) {
		return
	}
	n.nextResend = n.now.Add(resendInterval)
	for _, p := range n.domain {
		if n.remotes[p.ID].revision < n.held.Revision {
			n.send(p, n.summary(false))
		}
	}
}

// tellDomain lets the others know that this node watches, and its revision.
func (n *Node) tellDomain() {
	if !n.watches() || n.options.Watchers == WatcherPerNode || n.now.Before(n.nextSummary) {
		return
	}
	n.nextSummary = n.now.Add(summaryInterval)
	for _, p := range n.domain {
		n.send(p, n.summary(false))
	}
}

// repair compares revisions with a random node of another domain, or of the own
// one where there is no other.
func (n *Node) repair() {
	among := n.outside
	if len(among) == 0 {
		among = n.domain
	}
	if n.options.NoRepair || len(among) == 0 || n.now.Before(n.nextRepair) {
		return
	}
	if n.nextRepair.IsZero() {
		// Nodes that start together spread over the interval.
		n.nextRepair = n.now.Add(n.jitter(repairInterval))
		return
	}
	n.nextRepair = n.now.Add(repairInterval)
	n.send(among[n.random.IntN(len(among))], n.summary(true))
}

func (n *Node) jitter(longest time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(longest)) + 1)
}
