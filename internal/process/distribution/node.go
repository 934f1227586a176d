// Package distribution applies each published configuration revision on every
// entry VM within seconds, with few calls to the store.
//
// In each failure domain one node watches the store and pushes new revisions to
// the other nodes of its domain; if it stops responding, the next node in the
// order of IDs takes over. Each node also compares its revision with a random
// node of another domain every second. This repairs lost pushes and reaches
// domains that cannot contact the store. A node applies only revisions higher
// than its own, so that neither a stale read nor an outdated peer can revert one.
//
// Node is a deterministic core: it takes events and the time, and returns
// actions. It has no goroutine, clock or connection.
package distribution

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Timing of the protocol. With these values, distribution takes less than four
// seconds under the worst single fault: a watcher that dies, or a watch that
// stops responding, just before a change.
const (
	// TickInterval is the interval between Tick events.
	TickInterval = 100 * time.Millisecond
	// watchWait is the long-poll time of a watch. It bounds how long a dead watch
	// goes unnoticed.
	watchWait = 2 * time.Second
	// watchGrace is the time after watchWait at which a watch counts as failed.
	watchGrace = time.Second
	// callInterval is the minimum time between the starts of two store calls.
	// Without it, a store that returns at once would be called in a tight loop.
	callInterval = TickInterval
	// summaryInterval is how often a watcher sends its revision to its domain.
	summaryInterval = time.Second
	// resendInterval is how often a revision is offered to a peer of the domain
	// that has not confirmed it.
	resendInterval = 300 * time.Millisecond
	// repairInterval is how often a node compares itself with another domain.
	repairInterval = time.Second
	// takeoverAfter is how long the watcher may be silent before another node
	// starts to watch; each further node in the order waits takeoverStep longer.
	takeoverAfter = 2 * time.Second
	takeoverStep  = 250 * time.Millisecond
	// retryFirst and retryLimit are the first and the maximum backoff after failed
	// store calls.
	retryFirst = 250 * time.Millisecond
	retryLimit = 2 * time.Second
	// startLimit is how long a new node waits for the slower of its two sources,
	// the store and its peers.
	startLimit = 3 * time.Second
	// startFailures is the number of failed store calls in a row after which a new
	// node starts without the store.
	startFailures = 2
	// startPeers is how many peers a new node asks for their revision.
	startPeers = 3
)

// Watchers selects which nodes watch the store.
type Watchers int

// One watcher in each failure domain, or every node a watcher.
const (
	WatcherPerDomain Watchers = iota
	WatcherPerNode
)

// Options configure a node. Production uses the zero values of Watchers, NoPush
// and NoRepair; the other values exist for comparison.
type Options struct {
	Self     Peer
	Seed     uint64
	Watchers Watchers
	NoPush   bool // non-watchers wait for a summary or a repair
	NoRepair bool // nodes of different domains never compare revisions
}

// Node is the distribution core of one entry VM.
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

// remote is what a node knows about a peer.
type remote struct {
	revision  uint64    // the highest it is known to have
	answered  bool      // it has sent its revision
	watchedAt time.Time // when it last reported a working watch
	pushed    uint64    // revision last pushed to it
	pushedAt  time.Time
}

// storeCall is the state of the node's calls to the store, at most one of which
// is in flight.
type storeCall struct {
	number   uint64
	waiting  bool
	deadline time.Time
	failures int // in a row
	notYet   time.Time
	answered bool // at least once since the start
}

// New returns a node without a revision.
func New(options Options, now time.Time) *Node {
	return &Node{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		now:     now,
		started: now,
		remotes: make(map[string]remote),
	}
}

// Held returns the revision that this node has applied.
func (n *Node) Held() Snapshot { return n.held }

// Ready reports whether the node may serve.
func (n *Node) Ready() bool { return n.ready }

// Confirmed returns the highest revision that a peer is known to have. A
// publication that waits for its distribution reports it.
func (n *Node) Confirmed(id string) uint64 { return n.remotes[id].revision }

// Step processes one event and returns the actions to execute. The slice is
// valid until the next call.
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
			r.watchedAt = n.now // gives it time to report its watch
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

// remember stores the state of a peer that the membership view contains. Unknown
// peers get replies but are not stored, so the table is bounded by the fleet size.
func (n *Node) remember(p Peer, r remote, known bool) {
	if known {
		n.remotes[p.ID] = r
	}
}

// compare replies to a peer's summary.
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

// push sends the revision to a peer unless it was pushed within resendInterval,
// since that push may still be in flight.
func (n *Node) push(to Peer) {
	r, known := n.remotes[to.ID]
	if r.pushed == n.held.Revision && n.now.Sub(r.pushedAt) < resendInterval {
		return
	}
	r.pushed, r.pushedAt = n.held.Revision, n.now
	n.remember(to, r, known)
	n.send(to, Push{Snapshot: n.held})
}

// apply applies a revision if it is higher than the current one. Otherwise a
// stale store replica, or a peer that was partitioned, could supply an outdated
// revision and revert an accepted change.
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

// resend sends a summary to the peers of the domain that have not confirmed the
// revision. A summary is small; a peer that lacks the revision replies and gets
// it pushed.
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

// tellDomain sends the watcher's periodic summary to the nodes of its domain.
func (n *Node) tellDomain() {
	if !n.watches() || n.options.Watchers == WatcherPerNode || n.now.Before(n.nextSummary) {
		return
	}
	n.nextSummary = n.now.Add(summaryInterval)
	for _, p := range n.domain {
		n.send(p, n.summary(false))
	}
}

// repair compares revisions with a random node of another domain, or of its own
// domain if there is no other.
func (n *Node) repair() {
	among := n.outside
	if len(among) == 0 {
		among = n.domain
	}
	if n.options.NoRepair || len(among) == 0 || n.now.Before(n.nextRepair) {
		return
	}
	if n.nextRepair.IsZero() {
		// Jitter spreads the comparisons of nodes that start at the same time.
		n.nextRepair = n.now.Add(n.jitter(repairInterval))
		return
	}
	n.nextRepair = n.now.Add(repairInterval)
	n.send(among[n.random.IntN(len(among))], n.summary(true))
}

func (n *Node) jitter(longest time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(longest)) + 1)
}
