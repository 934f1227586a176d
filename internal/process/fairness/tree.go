package fairness

// noIndex marks a node that is not in its parent's heap.
const noIndex = -1

// node is one account in the tree, or the root. The heap of a node holds the
// children that have work to start, least served first.
//
// Each node keeps a virtual time, vt: its service divided by its weight. Its
// parent's clock is the virtual time of a child served exactly its due. Children
// behind the clock go first.
type node[K comparable] struct {
	name   string
	parent *node[K]
	passes []*lane[K] // excluded while the node is blocked
	inner  bool       // has child nodes
	lane   *lane[K]   // work of a leaf; nil before it has any
	weight int64
	quota  int64 // slots; 0 is none

	vt    float64 // share-seconds per unit of weight, in the parent's frame
	key   float64 // order in the parent's heap: vt and occupancy
	index int     // position in the parent's heap, or noIndex
	order int     // breaks ties in the parent's heap

	clock      float64 // virtual time of the children
	heap       accountHeap[K]
	busyWeight int64 // weights of the children that queue or run work

	slots        int64 // in use here
	milliwatts   int64
	remoteSlots  float64 // in use elsewhere
	remoteMilli  float64
	busy         bool
	blockedNeed  int64   // slots that must be free under the quota; 0 is not blocked
	busySince    float64 // parent's clock when the node became busy
	dueBefore    float64 // due of earlier busy periods, in share-seconds
	serviceGiven float64 // share-seconds
}

// room returns how many more slots the quota allows.
func (n *node[K]) room() int64 {
	if n.quota == 0 {
		return maxRoom
	}
	return n.quota - n.slots - int64(n.remoteSlots+0.5)
}

const maxRoom = int64(1) << 40

// hasWork reports whether the node can offer a task.
func (n *node[K]) hasWork() bool {
	if n.blockedNeed > 0 {
		return false
	}
	if n.lane != nil && n.lane.ready > 0 {
		return true
	}
	return len(n.heap) > 0
}

// refresh adds the node and its ancestors to their heaps or removes them.
func (n *node[K]) refresh() {
	for ; n.parent != nil; n = n.parent {
		in := n.index != noIndex
		work := n.hasWork()
		if in == work {
			return
		}
		if work {
			n.parent.heap.insert(n)
		} else {
			n.parent.heap.remove(n)
		}
	}
}

// refreshBusy recomputes whether the node and its ancestors are active.
func (n *node[K]) refreshBusy() {
	for ; n.parent != nil; n = n.parent {
		busy := n.busyWeight > 0 || n.lane != nil && n.lane.active()
		if busy == n.busy {
			return
		}
		n.busy = busy
		if busy {
			n.busySince = n.parent.clock
			n.parent.busyWeight += n.weight
		} else {
			n.dueBefore = n.due()
			n.parent.busyWeight -= n.weight
		}
	}
}

// due returns the node's entitled part, in share-seconds, of the service that its
// parent received while the node was active.
func (n *node[K]) due() float64 {
	if !n.busy {
		return n.dueBefore
	}
	return n.dueBefore + (n.parent.clock-n.busySince)*float64(n.weight)
}

// fraction returns the share of the whole capacity that is the node's due among
// the accounts active now.
func (n *node[K]) fraction() float64 {
	f := 1.0
	for ; n.parent != nil; n = n.parent {
		f *= float64(n.weight) / float64(n.activeWeight())
	}
	return f
}

// activeWeight sums the weights of the node and of its active siblings.
func (n *node[K]) activeWeight() int64 {
	if n.busy {
		return n.parent.busyWeight
	}
	return n.parent.busyWeight + n.weight
}

// charge adds service, in share-seconds, to the node and its ancestors. memory
// is in seconds.
//
// The parent's clock advances with the service given, so that light accounts
// stay behind it and go first. memory bounds the distance of a child from the clock,
// so that neither a long idle time nor a long over-use is compensated forever.
func (n *node[K]) charge(cost, memory float64) {
	fraction := n.fraction()
	for ; n.parent != nil; n = n.parent {
		p := n.parent
		total := n.activeWeight()
		p.clock += cost / float64(total)
		lag := memory * fraction / float64(n.weight)
		vt := max(n.vt, p.clock-lag) + cost/float64(n.weight)
		n.vt = min(vt, p.clock+lag)
		n.serviceGiven += cost
		fraction *= float64(total) / float64(n.weight)
	}
}

// catchUp moves the clock to the least served waiting child. Without it, the
// clock would fall behind when light accounts leave their share unused: heavy
// accounts would all reach the bound on their lead, and their order among
// themselves would be lost.
func (n *node[K]) catchUp() {
	if len(n.heap) > 0 {
		n.clock = max(n.clock, n.heap[0].node.vt)
	}
}
