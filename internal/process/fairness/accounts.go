package fairness

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// defaultWeight is the weight of an account without configuration.
const defaultWeight = 1

// SetAccounts replaces the sharing parameters. Accounts that are not listed are
// top-level accounts with weight 1. The service that accounts have received, relative
// to their due, is preserved.
func (q *Queue[K]) SetAccounts(now time.Time, accounts []Account) {
	q.advance(now)
	q.accounts = slices.Clone(accounts)
	q.rebuild()
}

// SetRemoteUsage replaces the usage of accounts at the other entry VMs. The previous
// usage is charged for the time since it was reported.
func (q *Queue[K]) SetRemoteUsage(now time.Time, usage []Usage) {
	q.advance(now)
	q.chargeRemote()
	for _, n := range q.nodes {
		n.remoteSlots, n.remoteMilli = 0, 0
	}
	for _, u := range usage {
		for n := q.leafOf(u.Account); n.parent != nil; n = n.parent {
			n.remoteSlots += u.Slots
			n.remoteMilli += u.Milliwatts
		}
	}
	q.rekey()
}

// chargeRemote charges the remote usage since the last report.
func (q *Queue[K]) chargeRemote() {
	elapsed := q.now - q.remoteAt
	q.remoteAt = q.now
	for _, name := range q.names() {
		n := q.nodes[name]
		if n.inner {
			continue
		}
		use := n.remoteSlots / q.capacity.Slots
		if q.scarce == Watts {
			use = n.remoteMilli / q.capacity.Milliwatts
		}
		if use > 0 {
			n.charge(use*elapsed, q.settings.Memory.Seconds())
		}
	}
}

// names returns the names of all nodes in a fixed order: floating-point sums
// depend on the order, and the same calls must give the same picks.
func (q *Queue[K]) names() []string {
	names := make([]string, 0, len(q.nodes))
	for name := range q.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rekey recomputes all keys and heaps after a change that moves many of them.
func (q *Queue[K]) rekey() {
	for _, name := range q.names() {
		n := q.nodes[name]
		q.setKey(n)
		if n.index != noIndex {
			n.parent.heap.fix(n)
		}
		if !n.inner {
			q.unblock(n)
		}
	}
}

// laneOf returns the lane of an account, creating it if needed.
func (q *Queue[K]) laneOf(account string) *lane[K] {
	if l := q.lanes[account]; l != nil {
		return l
	}
	l := &lane[K]{account: account, leaf: q.leafOf(account)}
	l.leaf.lane = l
	q.addPass(l)
	q.lanes[account] = l
	return l
}

// ownName returns the name of the leaf for the own work of an account that has child
// accounts. A NUL byte distinguishes it from all configured names.
func ownName(account string) string { return account + "\x00own" }

// leafOf returns the leaf for an account's own work, creating it if needed.
func (q *Queue[K]) leafOf(account string) *node[K] {
	n := q.nodes[account]
	if n == nil {
		n = q.addNode(account, Account{Weight: defaultWeight}, q.root)
	}
	if n.inner {
		own := q.nodes[ownName(account)]
		if own == nil {
			own = q.addNode(ownName(account), Account{Weight: defaultWeight}, n)
		}
		return own
	}
	return n
}

// addNode adds a new node below a parent, with the parent's clock as virtual time.
func (q *Queue[K]) addNode(name string, a Account, parent *node[K]) *node[K] {
	n := &node[K]{
		name:   name,
		parent: parent,
		weight: int64(max(a.Weight, defaultWeight)),
		quota:  int64(a.QuotaSlots),
		vt:     parent.clock,
		index:  noIndex,
		order:  len(q.nodes),
	}
	parent.inner = true
	q.nodes[name] = n
	return n
}

// rebuild builds a new tree from the accounts and attaches the lanes to it. Changes
// are rare, and an update in place would need separate code for each way of moving
// work, occupancy and virtual time between nodes.
func (q *Queue[K]) rebuild() {
	former := q.nodes
	q.root = &node[K]{index: noIndex}
	q.nodes = make(map[string]*node[K], len(q.accounts))
	configured := make(map[string]Account, len(q.accounts))
	for _, a := range q.accounts {
		configured[a.Name] = a
	}
	for _, a := range q.accounts {
		q.addConfigured(a.Name, configured)
	}
	q.pruneLanes()
	for _, l := range q.lanesInOrder() {
		l.leaf = q.leafOf(l.account)
		l.leaf.lane = l
	}
	q.restore(former)
	for _, l := range q.lanesInOrder() {
		q.hang(l)
	}
}

// addConfigured adds an account below its parent. The depth is bounded by the
// number of accounts, which a cycle would exceed.
func (q *Queue[K]) addConfigured(name string, configured map[string]Account) *node[K] {
	if n := q.nodes[name]; n != nil {
		return n
	}
	parent := q.root
	a := configured[name]
	if _, found := configured[a.Parent]; found && a.Parent != "" && !cyclic(name, configured) {
		parent = q.addConfigured(a.Parent, configured)
	}
	return q.addNode(name, a, parent)
}

// cyclic reports whether an account is among its own ancestors.
func cyclic(name string, configured map[string]Account) bool {
	at := configured[name].Parent
	for range configured {
		if at == name {
			return true
		}
		at = configured[at].Parent
	}
	return false
}

// pruneLanes removes the lanes of accounts without work.
func (q *Queue[K]) pruneLanes() {
	for name, l := range q.lanes {
		if !l.active() {
			delete(q.lanes, name)
		}
	}
}

// lanesInOrder returns the lanes by name.
func (q *Queue[K]) lanesInOrder() []*lane[K] {
	lanes := make([]*lane[K], 0, len(q.lanes))
	for _, l := range q.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane[K]) int {
		if a.account < b.account {
			return -1
		}
		return 1
	})
	return lanes
}

// restore copies from the old tree how far each account was from its due.
func (q *Queue[K]) restore(former map[string]*node[K]) {
	for name, n := range q.nodes {
		old := former[name]
		if old == nil {
			continue
		}
		lead := (old.vt - old.parent.clock) * float64(old.weight)
		n.vt = n.parent.clock + lead/float64(n.weight)
		n.dueBefore, n.serviceGiven = old.due(), old.serviceGiven
		n.remoteSlots, n.remoteMilli = old.remoteSlots, old.remoteMilli
	}
}

// hang adds a lane's occupancy and work to the tree.
func (q *Queue[K]) hang(l *lane[K]) {
	for n := l.leaf; n.parent != nil; n = n.parent {
		n.slots += l.slots
		n.milliwatts += l.milliwatts
	}
	l.leaf.refreshBusy()
	q.reorder(l.leaf)
	l.leaf.refresh()
	l.passBlocked = false
	q.refreshPass(l)
}

// Snapshot returns the status of all accounts, sorted by name.
func (q *Queue[K]) Snapshot(now time.Time) []AccountStatus {
	q.advance(now)
	lanes := q.lanesInOrder()
	out := make([]AccountStatus, 0, len(lanes))
	for _, l := range lanes {
		out = append(out, q.status(l))
	}
	return out
}

// status returns the status of one account.
func (q *Queue[K]) status(l *lane[K]) AccountStatus {
	n := l.leaf
	return AccountStatus{
		Name:        l.account,
		Weight:      uint32(n.weight),
		SlotsInUse:  int(l.slots),
		RemoteSlots: n.remoteSlots,
		QueuedTasks: l.queuedTasks,
		QueuedJobs:  l.queuedJobs,
		ParkedJobs:  l.parked,
		Service:     n.serviceGiven,
		Due:         n.due(),
		Why:         q.waitReason(l),
	}
}

// WaitReason returns the reason for which an account's work is not starting, Idle if
// it has no queued work.
func (q *Queue[K]) WaitReason(account string) reason.Code {
	if l := q.lanes[account]; l != nil {
		return q.waitReason(l)
	}
	return Idle
}

// waitReason says why an account's work is not starting.
func (q *Queue[K]) waitReason(l *lane[K]) reason.Code {
	if l.queuedTasks == 0 {
		return Idle
	}
	for n := l.leaf; n.parent != nil; n = n.parent {
		if n.blockedNeed > 0 {
			return reason.QuotaExceeded
		}
	}
	switch {
	case l.ready == 0 && l.parked > 0:
		return l.parkedWhy
	case q.starved != nil:
		return HeldBack
	}
	return Waiting
}
