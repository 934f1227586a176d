package placement

// randomTries is how many workers the random policy draws for one task before
// it looks at all of them.
const randomTries = 8

// anywhere places task by task on random workers that fit.
func (pl *placing) anywhere(set AllowedSet) {
	pool := pl.workers
	if set != nil {
		if set.members != pl.members {
			pl.resolve(set)
		}
		pool = set.workers
	}
	for pl.left > 0 && pl.draw(pool) {
	}
}

// draw places one task and reports whether any worker had room.
func (pl *placing) draw(pool []*worker) bool {
	if len(pool) == 0 {
		return false
	}
	for range randomTries {
		if pl.try(pool[pl.rng.IntN(len(pool))], 1) {
			return true
		}
	}
	start := pl.rng.IntN(len(pool))
	for i := range pool {
		if pl.try(pool[(start+i)%len(pool)], 1) {
			return true
		}
	}
	return false
}
