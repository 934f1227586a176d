package placement

import "math/bits"

const (
	// steps is how finely the free share of a worker is indexed. More steps
	// balance load better and leave fewer equals to spread over racks.
	steps = 16
	// kinds: without and with accelerators. Tasks that need none use workers
	// without them first, and tasks that need some look at no others.
	kinds   = 2
	classes = tiers * kinds
	levels  = steps + 1

	// unplaceable is the rank of workers that get no task.
	unplaceable = uint16(classes * levels)
)

// class combines tier and kind. Lower classes are used first.
func class(tier Tier, accelerators uint32) int {
	c := int(tier) * kinds
	if accelerators > 0 {
		c++
	}
	return c
}

// rack holds the shelves of one rack, made when they are first needed.
type rack struct {
	name    string
	members int
	shelves [classes * levels]*shelf

	// Count of workers in the allowed set that was resolved last.
	resolve uint64
	seen    int
}

// shelf lists the workers of one rack that share class and level, the one
// that waited longest first.
type shelf struct {
	bucket     *bucket
	first      *worker // circular list; nil: empty
	next, prev *shelf  // in the bucket's circular list of racks
}

// bucket lists the shelves of one class and level, one for each rack.
type bucket struct {
	class, level int
	first        *shelf // the rack whose turn it is; nil: empty
}

// index finds the best worker in constant time.
type index struct {
	buckets  [classes][levels]bucket
	occupied [classes]uint32 // bit n: level n has a worker
}

func (x *index) init() {
	for c := range x.buckets {
		for l := range x.buckets[c] {
			x.buckets[c][l] = bucket{class: c, level: l}
		}
	}
}

// insert adds w behind the others of its shelf. A worker that can take no
// task stays out.
func (x *index) insert(w *worker) {
	if w.shelf != nil || w.offered() == 0 {
		return
	}
	c := class(w.Tier, w.Capacity.Accelerators)
	level := int(w.free.share(&w.Capacity, steps))
	w.rank = uint16(c*levels + steps - level)
	s := x.shelf(w.rack, c, level)
	if s.first == nil {
		x.link(s)
	}
	s.push(w)
}

// remove takes w out of the index.
func (x *index) remove(w *worker) {
	s := w.shelf
	if s == nil {
		return
	}
	w.rank = unplaceable
	s.drop(w)
	if s.first == nil {
		x.unlink(s)
	}
}

// best returns the next worker of class c, or nil, and passes the turn to the
// next rack.
func (x *index) best(c int) *worker {
	if x.occupied[c] == 0 {
		return nil
	}
	level := bits.Len32(x.occupied[c]) - 1
	b := &x.buckets[c][level]
	s := b.first
	b.first = s.next
	return s.first
}

func (x *index) shelf(r *rack, c, level int) *shelf {
	at := c*levels + level
	if r.shelves[at] == nil {
		r.shelves[at] = &shelf{bucket: &x.buckets[c][level]}
	}
	return r.shelves[at]
}

// link adds s to its bucket, where its turn comes last.
func (x *index) link(s *shelf) {
	b := s.bucket
	if b.first == nil {
		s.next, s.prev = s, s
		b.first = s
		x.occupied[b.class] |= 1 << b.level
		return
	}
	s.next, s.prev = b.first, b.first.prev
	s.prev.next, s.next.prev = s, s
}

func (x *index) unlink(s *shelf) {
	b := s.bucket
	if s.next == s {
		b.first = nil
		x.occupied[b.class] &^= 1 << b.level
	} else {
		s.prev.next, s.next.prev = s.next, s.prev
		if b.first == s {
			b.first = s.next
		}
	}
	s.next, s.prev = nil, nil
}

func (s *shelf) push(w *worker) {
	w.shelf = s
	if s.first == nil {
		w.next, w.prev = w, w
		s.first = w
		return
	}
	w.next, w.prev = s.first, s.first.prev
	w.prev.next, w.next.prev = w, w
}

func (s *shelf) drop(w *worker) {
	if w.next == w {
		s.first = nil
	} else {
		w.prev.next, w.next.prev = w.next, w.prev
		if s.first == w {
			s.first = w.next
		}
	}
	w.shelf, w.next, w.prev = nil, nil, nil
}
