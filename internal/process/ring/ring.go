// Package ring joins the goroutines of a process: each duty drains one bounded
// ring that the others push into.
//
// A reader takes everything that is waiting in one call, so bursts turn into
// batches by themselves and cost one wake-up. A full ring refuses; it never
// grows, because an unbounded queue between two duties hides overload until
// the process runs out of memory.
package ring

import "sync"

// Ring is a bounded first-in-first-out queue for many writers and one reader.
type Ring[T any] struct {
	mu       sync.Mutex
	items    []T
	spare    []T
	capacity int
	closed   bool
	ready    chan struct{}
	space    *sync.Cond
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{capacity: capacity, ready: make(chan struct{}, 1)}
	r.space = sync.NewCond(&r.mu)
	return r
}

// TryPush adds items and reports whether all of them fitted. It adds all or
// none, and never blocks.
func (r *Ring[T]) TryPush(items ...T) bool {
	r.mu.Lock()
	if r.closed || len(r.items)+len(items) > r.capacity {
		r.mu.Unlock()
		return false
	}
	r.items = append(r.items, items...)
	r.mu.Unlock()
	r.signal()
	return true
}

// Push adds one item, waiting for space. It reports false when the ring is
// closed. The reader of a ring must never Push into its own ring: a full ring
// would then wait for itself.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	for !r.closed && len(r.items) >= r.capacity {
		r.space.Wait()
	}
	if r.closed {
		r.mu.Unlock()
		return false
	}
	r.items = append(r.items, item)
	r.mu.Unlock()
	r.signal()
	return true
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Ready is readable when items may be waiting or the ring was closed.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Drain returns all waiting items, oldest first. The slice is valid until the
// next call. Ready is not readable for items that it has returned.
func (r *Ring[T]) Drain() []T {
	r.mu.Lock()
	if !r.closed {
		select {
		case <-r.ready:
		default:
		}
	}
	full := len(r.items) >= r.capacity
	out := r.items
	clear(r.spare)
	r.items = r.spare[:0]
	r.spare = out
	r.mu.Unlock()
	if full {
		r.space.Broadcast()
	}
	return out
}

// Len is the number of waiting items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.items)
}

// Close refuses further items and wakes the reader and all waiting writers.
// Items already in the ring can still be drained.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.space.Broadcast()
	r.signal()
}

// Closed reports whether Close was called.
func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
