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
	set := &allowedSet{ids: slices.Clone(ids), workers: make([]*worker, 0, len(ids))}
	p.resolve(set)
	return set
}

func (p *Placer) resolve(set *allowedSet) {
	p.resolves++
	set.members = p.members
	set.workers = set.workers[:0]
	set.turn = 0 // the set may have become smaller
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
	// A job that is wider than one batch for each worker needs several anyway,
	// and taking them at once saves picks.
	pl.batch = max(pl.batch, pl.left/uint32(len(set.workers)))
	pl.gather(set)
	for pl.left > 0 {
		at := pl.bestRank(set.turn)
		if at < 0 {
			return
		}
		w := set.workers[at]
		pl.ranks[at] = unplaceable
		if pl.try(w, pl.batch) {
			pl.ranks[at] = w.rank
			set.turn = (at + 1) % len(set.workers)
		}
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

// gather copies the ranks of the set's workers next to each other.
func (pl *placing) gather(set *allowedSet) {
	pl.ranks = pl.ranks[:0]
	for _, w := range set.workers {
		if w.rank == unplaceable {
			pl.tally[w.verdict(&pl.each)]++
		}
		pl.ranks = append(pl.ranks, w.rank)
	}
}

// bestRank returns the position of the best rank, or -1. Among equals the
// first from turn on is chosen, which goes round robin over racks.
func (pl *placing) bestRank(turn int) int {
	best, at := unplaceable, -1
	for i, r := range pl.ranks[turn:] {
		if r < best {
			best, at = r, turn+i
		}
	}
	for i, r := range pl.ranks[:turn] {
		if r < best {
			best, at = r, i
		}
	}
	return at
}
