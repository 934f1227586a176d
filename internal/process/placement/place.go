package placement

import "math"

// Place reserves places for up to req.Count tasks and appends one assignment
// for each worker to buf[:0]. The assignments are valid until buf is reused.
// When tasks are left over, the refusal says why; what was placed stands.
func (p *Placer) Place(req Request, buf []Assignment) ([]Assignment, Refusal) {
	p.calls++
	req.Each.Slots = max(req.Each.Slots, 1)
	pl := placing{Placer: p, each: req.Each, left: uint32(max(req.Count, 0)), out: buf[:0]}
	pl.batch = pl.settings.BatchSize
	switch {
	case p.settings.Policy == Random:
		pl.anywhere(req.Allowed)
	case req.Allowed != nil:
		pl.among(req.Allowed)
	default:
		pl.byIndex()
	}
	return pl.out, pl.refusal(req.Allowed)
}

// placing is the state of one call of Place.
type placing struct {
	*Placer
	each  Resources
	left  uint32 // tasks not placed yet
	batch uint32 // most tasks of one pick
	out   []Assignment
	tally tally
}

// byIndex places on any worker, best first.
func (pl *placing) byIndex() {
	if short := pl.shortages.find(&pl.each); short != nil {
		pl.fromGained(short)
		return
	}
	pl.scan()
	if pl.left > 0 {
		pl.shortages.add(&pl.each, &pl.tally)
	}
}

// scan places on the workers of the index until none fits.
func (pl *placing) scan() {
	start := 0
	if pl.each.Accelerators > 0 {
		start = 1
	}
	if pl.trialDue() {
		pl.trial(start)
	}
	for tier := range tiers {
		for c := tier*kinds + start; c < (tier+1)*kinds; c++ {
			pl.class(c)
		}
	}
	pl.restore()
}

// trialDue reports whether this call begins with a worker on probation.
func (pl *placing) trialDue() bool {
	return pl.calls%uint64(pl.settings.TrialEvery) == 0
}

// trial gives one task to a worker on probation.
func (pl *placing) trial(start int) {
	for c := int(Probation)*kinds + start; c < (int(Probation)+1)*kinds; c++ {
		w := pl.index.best(c)
		if w == nil || pl.left == 0 {
			continue
		}
		if pl.try(w, 1) {
			return
		}
	}
}

// class places on the workers of one class until none fits.
func (pl *placing) class(c int) {
	for pl.left > 0 {
		w := pl.index.best(c)
		if w == nil {
			return
		}
		if !pl.try(w, pl.batch) {
			// A worker that does not fit would be offered again and again.
			// It leaves the index until the end of the call.
			pl.index.remove(w)
			pl.aside = append(pl.aside, w)
		}
	}
}

// restore puts the workers that did not fit back, behind their equals.
func (pl *placing) restore() {
	for i, w := range pl.aside {
		pl.index.insert(w)
		pl.aside[i] = nil
	}
	pl.aside = pl.aside[:0]
}

// try places up to limit tasks on w and reports whether any fits.
func (pl *placing) try(w *worker, limit uint32) bool {
	verdict := w.verdict(&pl.each)
	if verdict != noMisfit {
		pl.tally[verdict]++
		return false
	}
	count := w.room(&pl.each, min(limit, pl.left))
	pl.detach(w)
	w.Used.add(&pl.each, count)
	w.Running += count
	pl.attach(w)
	pl.left -= count
	pl.assign(w, count)
	return true
}

// assign records the tasks, in the same assignment when w has one already.
func (pl *placing) assign(w *worker, count uint32) {
	if w.call == pl.calls {
		pl.out[w.assignment].Count += int(count)
		return
	}
	w.call = pl.calls
	w.assignment = len(pl.out)
	pl.out = append(pl.out, Assignment{Worker: w.ID, Count: int(count)})
}

// refusal explains the tasks that are left over.
func (pl *placing) refusal(allowed AllowedSet) Refusal {
	if pl.left == 0 {
		return Refusal{}
	}
	if len(pl.workers) == 0 {
		return refusalNoWorkers
	}
	if allowed != nil && len(allowed.workers) == 0 {
		return refusalNotAllowed
	}
	largest := pl.Largest()
	largest.Milliwatts = math.MaxUint32 // allotments move, so watts are never short for good
	if !largest.fits(&pl.each, 1) {
		return refusalNeverFits
	}
	if pl.tally == (tally{}) {
		return pl.noneOffered()
	}
	return pl.tally.refusal()
}

// noneOffered explains a call that found no worker in the index.
func (pl *placing) noneOffered() Refusal {
	switch {
	case pl.byTier[Ejected] == len(pl.workers):
		return refusals[ejected]
	case pl.byTier[Healthy]+pl.byTier[Slow] == 0:
		return refusals[busyOnTrial]
	}
	return refusals[shortOfSlots]
}
