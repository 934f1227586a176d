package distribution

import "time"

// The two sources of a revision: the store, and at the start also the peers.

// watches reports whether this node is to watch the store.
//
// What goes wrong: the watcher of a domain dies, or loses the store, and its
// domain hears of no change. The others notice that nobody before them in the
// order of IDs says that it watches, and the first of them takes over. Two
// watchers at once cost calls and do no harm.
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

// askStore keeps one call to the store waiting on a node that watches or that
// has not yet read the store since it started.
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

// dropSilentCall gives up on a watch that is past its wait. What goes wrong: a
// connection goes silent, its watch never answers, and the node would wait for
// ever. The next call goes out on a new connection.
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

// retryWait grows with the failures in a row and is drawn from its upper half,
// so that nodes which lost the store together do not come back together.
func (n *Node) retryWait() time.Duration {
	longest := retryFirst
	for range n.store.failures - 1 {
		longest = min(2*longest, retryLimit)
	}
	return longest/2 + n.jitter(longest/2)
}

// askPeersAtStart asks a few peers for their revision until the node is ready.
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

// becomeReady lets a new node serve once it holds the highest revision among
// its sources. It waits for both the store and some peers, since either alone
// may be behind. A store that failed startFailures times counts as out, and the
// peers are enough; after startLimit either source is.
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

// peersHeard is how many peers told their revision and hold none higher.
func (n *Node) peersHeard() int {
	heard := 0
	for _, r := range n.remotes {
		if r.answered && r.revision <= n.held.Revision {
			heard++
		}
	}
	return heard
}
