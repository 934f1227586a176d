package fairness

// heapWidth is the number of children of a heap entry. With four, 44
// accounts make three levels, and siblings share one or two cache lines.
const heapWidth = 4

// heapEntry keeps the key beside the node, so that comparing does not follow the
// pointer.
type heapEntry[K comparable] struct {
	key   float64
	order int // of the node's creation
	node  *node[K]
}

// less orders by key, and by creation when keys are equal, so that the same
// calls give the same picks.
func (e heapEntry[K]) less(f heapEntry[K]) bool {
	if e.key != f.key {
		return e.key < f.key
	}
	return e.order < f.order
}

// accountHeap holds the nodes below one parent that have work to offer, the one
// to serve next first. Each node knows its index, so that it can be moved and
// removed. It is written out because container/heap makes an interface call for
// each comparison, and every start and finish of a task moves a node.
type accountHeap[K comparable] []heapEntry[K]

// insert adds a node by its key.
func (h *accountHeap[K]) insert(n *node[K]) {
	*h = append(*h, heapEntry[K]{})
	h.up(len(*h)-1, heapEntry[K]{n.key, n.order, n})
}

// remove takes a node out.
func (h *accountHeap[K]) remove(n *node[K]) {
	i, last := n.index, len(*h)-1
	moved := (*h)[last]
	(*h)[last] = heapEntry[K]{}
	*h = (*h)[:last]
	n.index = noIndex
	if i < last {
		h.place(i, moved)
	}
}

// fix restores the order after a node's key changed.
func (h *accountHeap[K]) fix(n *node[K]) {
	h.place(n.index, heapEntry[K]{n.key, n.order, n})
}

// place puts an entry at or around index i.
func (h *accountHeap[K]) place(i int, e heapEntry[K]) {
	if i > 0 && e.less((*h)[(i-1)/heapWidth]) {
		h.up(i, e)
		return
	}
	h.down(i, e)
}

// set stores an entry.
func (h accountHeap[K]) set(i int, e heapEntry[K]) {
	h[i] = e
	e.node.index = i
}

// up moves an entry from index i towards the front.
func (h accountHeap[K]) up(i int, e heapEntry[K]) {
	for i > 0 {
		parent := (i - 1) / heapWidth
		if !e.less(h[parent]) {
			break
		}
		h.set(i, h[parent])
		i = parent
	}
	h.set(i, e)
}

// down moves an entry from index i towards the back.
func (h accountHeap[K]) down(i int, e heapEntry[K]) {
	for {
		least := h.leastChild(i)
		if least < 0 || !h[least].less(e) {
			break
		}
		h.set(i, h[least])
		i = least
	}
	h.set(i, e)
}

// leastChild returns the index of the least child of entry i, or -1.
func (h accountHeap[K]) leastChild(i int) int {
	first := heapWidth*i + 1
	if first >= len(h) {
		return -1
	}
	least := first
	for c := first + 1; c < min(first+heapWidth, len(h)); c++ {
		if h[c].less(h[least]) {
			least = c
		}
	}
	return least
}

// runnerUp returns the key that goes after the first, if there is one.
func (h accountHeap[K]) runnerUp() (float64, bool) {
	second := h.leastChild(0)
	if second < 0 {
		return 0, false
	}
	return h[second].key, true
}
