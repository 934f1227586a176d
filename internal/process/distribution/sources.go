package distribution

import "time"

// This file reads revisions from their two sources: the store and, at startup,
// also the peers.

// watches reports whether this node should watch the store.
//
// The watcher of a domain may die or lose contact with the store, and its domain
// would then learn of no change. A node therefore takes over when no node before
// it in the order of IDs has recently reported a working watch. Two watchers at
// the same time cost extra calls but are harmless.
func (n *Node) watches() bool {
	if n.options.Watchers == WatcherPerNode {
		return true
	}
	rank := 0
	for _, p := range n.domain {
		if p.ID > n.options.Self.ID {
			break
		}
		rank++
	}
	patience := takeoverAfter + takeoverStep*time.Duration(rank)
	for _, p := range n.domain[:rank] {
		if n.now.Sub(n.remotes[p.ID].watchedAt) <= patience {
			return false
		}
	}
	return true
}

// askStore keeps one store call in flight while the node watches or is not ready
// yet.
func (n *Node) askStore() {
	n.dropSilentCall()
	wanted := n.watches() || !n.ready
	if !wanted || n.store.waiting || n.now.Before(n.store.notYet) {
		return
	}
	wait := watchWait
	if !n.store.answered {
		wait = 0
	}
	n.store.number++
	n.store.waiting = true
	n.store.notYet = n.now.Add(callInterval)
	n.store.deadline = n.now.Add(wait + watchGrace)
	call := CallStore{Call: n.store.number, After: n.held.Version, Wait: wait}
	n.actions = append(n.actions, call)
}

// dropSilentCall times out a store call that got no reply by its deadline.
// Otherwise a watch on a dead connection would block the node forever. The next
// call uses a new connection.
func (n *Node) dropSilentCall() {
	if n.store.waiting && !n.now.Before(n.store.deadline) {
		n.store.waiting = false
		n.store.failures++
	}
}

func (n *Node) storeAnswered(answer StoreAnswered) {
	if answer.Call != n.store.number || !n.store.waiting {
		return
	}
	n.store.waiting = false
	if answer.Failed {
		n.store.failures++
		n.store.notYet = n.now.Add(n.retryWait())
		return
	}
	n.store.failures = 0
	n.store.answered = true
	n.apply(answer.Snapshot, "")
}

// retryWait returns the exponential backoff after consecutive failures. The wait
// is drawn at random from the upper half of the range, so that nodes that lost
// the store at the same time do not retry at the same time.
func (n *Node) retryWait() time.Duration {
	longest := retryFirst
	for range n.store.failures - 1 {
		longest = min(2*longest, retryLimit)
	}
	return longest/2 + n.jitter(longest/2)
}

// askPeersAtStart asks startPeers random peers for their revision until the node
// is ready.
func (n *Node) askPeersAtStart() {
	if n.ready || n.now.Before(n.nextAsk) {
		return
	}
	peers := append(append([]Peer(nil), n.domain...), n.outside...)
	if len(peers) == 0 {
		return
	}
	n.nextAsk = n.now.Add(resendInterval)
	n.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(startPeers, len(peers))] {
		n.send(p, n.summary(true))
	}
}

// becomeReady makes a new node ready once it has the highest revision of its
// sources. It waits for both the store and some peers, since either alone may be
// outdated. After startFailures failed calls the store counts as unavailable and
// the peers suffice; after startLimit either source suffices.
func (n *Node) becomeReady() {
	if n.ready || n.held.Revision == 0 {
		return
	}
	heard := n.peersHeard()
	storeAsked := n.store.answered || n.store.failures >= startFailures
	enough := storeAsked && heard >= min(startPeers, len(n.remotes))
	waited := n.now.Sub(n.started) >= startLimit
	if enough || waited {
		n.ready = true
		n.actions = append(n.actions, Ready{})
	}
}

// peersHeard counts the peers that reported a revision not above this node's.
func (n *Node) peersHeard() int {
	heard := 0
	for _, r := range n.remotes {
		if r.answered && r.revision <= n.held.Revision {
			heard++
		}
	}
	return heard
}
