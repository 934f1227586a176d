package placement

import (
	"cmp"
	"slices"
)

// AllowedSet is a set of workers that a job may run on, resolved once and used
// for each Place call of the job. It follows workers that join and go. It
// belongs to the Placer that made it.
type AllowedSet = *allowedSet

type allowedSet struct {
	ids     []string
	members uint64 // Placer.members when workers was resolved
	workers []*worker
	turn    int // where the next call starts among equals
}

// Allow resolves the workers named by ids. Names that are not held here are
// kept, and count once the worker joins.
func (p *Placer) Allow(ids []string) AllowedSet {
	set := &allowedSet{ids: slices.Clone(ids)}
	p.resolve(set)
	return set
}

func (p *Placer) resolve(set *allowedSet) {
	p.resolves++
	set.members = p.members
	set.workers = set.workers[:0]
	for _, id := range set.ids {
		w := p.byID[id]
		if w == nil || w.resolve == p.resolves {
			continue
		}
		w.resolve = p.resolves
		w.turn = w.rack.next(p.resolves)
		set.workers = append(set.workers, w)
	}
	interleave(set.workers)
}

// next counts the workers of the rack within one resolution.
func (r *rack) next(resolve uint64) int {
	if r.resolve != resolve {
		r.resolve, r.seen = resolve, 0
	}
	r.seen++
	return r.seen
}

// interleave orders workers so that neighbours are in different racks where
// possible: the first of each rack, then the second of each rack, and so on.
func interleave(workers []*worker) {
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.turn, b.turn) })
}

// among places on the workers of a set, best first.
func (pl *placing) among(set *allowedSet) {
	if set.members != pl.members {
		pl.resolve(set)
	}
	if len(set.workers) == 0 || pl.left == 0 {
		return
	}
	if pl.trialDue() {
		pl.trialAmong(set)
	}
	pl.rank(set)
	for progress := true; progress && pl.left > 0; {
		progress = pl.round()
	}
}

// trialAmong gives one task to a worker of the set that is on probation.
func (pl *placing) trialAmong(set *allowedSet) {
	for _, w := range set.workers {
		if w.Tier == Probation && w.offered() > 0 && pl.try(w, 1) {
			return
		}
	}
}

// round offers one batch to each worker in order and reports whether any was
// taken.
func (pl *placing) round() bool {
	before := pl.left
	for _, w := range pl.order {
		if pl.left == 0 {
			break
		}
		pl.try(w, pl.settings.BatchSize)
	}
	return pl.left < before
}

// rank fills pl.order with the workers of the set by class and level. Equals
// are ordered round robin, which spreads them over racks.
func (pl *placing) rank(set *allowedSet) {
	size := len(set.workers)
	pl.order = slices.Grow(pl.order[:0], size)[:size]
	pl.ranks = slices.Grow(pl.ranks[:0], size)[:size]
	var ends [ranks + 1]uint16 // ends[r+1] counts rank r, and then starts it
	for i, w := range set.workers {
		pl.ranks[i] = w.rank()
		ends[pl.ranks[i]+1]++
	}
	for r := range ranks {
		ends[r+1] += ends[r]
	}
	for i := range size {
		at := (set.turn + i) % size
		r := pl.ranks[at]
		pl.order[ends[r]] = set.workers[at]
		ends[r]++
	}
	set.turn = (set.turn + 1) % size
}

// ranks is the number of ranks; the last is for workers that get no task.
const ranks = int(classes*levels + 1)

// rank orders workers by class and then by level, the best first.
func (w *worker) rank() uint16 {
	if w.shelf == nil {
		return uint16(ranks - 1)
	}
	b := w.shelf.bucket
	return uint16(b.class*levels + steps - b.level)
}
