package placement

// At a site that runs at its power cap, workers ordinarily have free slots and
// too few watts. Each call would then pass over every worker before it refuses,
// and the cost of a call would grow with the fleet just when it is full. What
// one would notice is processor time that rises with the queue. A shortage
// remembers that a size of task fits no worker, and which workers have gained
// since, so that a call looks at these alone.

const (
	// maxShortages is how many sizes of task are remembered.
	maxShortages = 8
	// maxGained is how many workers that gained are remembered for each size.
	// When more gain, the next call looks at all workers again.
	maxGained = 64
)

// shortage says that tasks of size each fit no worker but those in gained.
type shortage struct {
	known  bool
	each   Resources
	tally  tally // verdicts of the call that found the shortage
	gained []*worker
}

// shortages remembers the sizes that were refused last.
type shortages struct {
	entries [maxShortages]shortage
	next    int // entry to replace
	known   int // entries in use
}

// find returns the shortage of a size, or nil.
func (s *shortages) find(each *Resources) *shortage {
	if s.known == 0 {
		return nil
	}
	for i := range s.entries {
		if e := &s.entries[i]; e.known && e.each == *each {
			return e
		}
	}
	return nil
}

// add remembers that a size fits no worker, and why.
func (s *shortages) add(each *Resources, verdicts *tally) {
	e := &s.entries[s.next]
	s.next = (s.next + 1) % maxShortages
	if !e.known {
		s.known++
	}
	e.known = true
	e.each = *each
	e.tally = *verdicts
	e.gained = e.gained[:0]
}

// forget drops one shortage: other workers may fit.
func (s *shortages) forget(e *shortage) {
	clear(e.gained)
	e.gained = e.gained[:0]
	e.known = false
	s.known--
}

// forgetAll drops every shortage, when a worker goes that they may refer to.
func (s *shortages) forgetAll() {
	for i := range s.entries {
		if s.entries[i].known {
			s.forget(&s.entries[i])
		}
	}
}

// gain notes that w may have more to give than before.
func (s *shortages) gain(w *worker) {
	if s.known == 0 {
		return
	}
	for i := range s.entries {
		e := &s.entries[i]
		if !e.known || w.verdict(&e.each) != noMisfit {
			continue
		}
		if len(e.gained) == maxGained {
			s.forget(e)
			continue
		}
		e.gained = append(e.gained, w)
	}
}

// fromGained places on the workers that gained since the size was refused. The
// verdicts of that time explain what is left over.
func (pl *placing) fromGained(e *shortage) {
	pl.tally = e.tally
	for pl.left > 0 && len(e.gained) > 0 {
		at := e.best()
		if pl.try(e.gained[at], pl.batch) {
			continue
		}
		last := len(e.gained) - 1
		e.gained[at] = e.gained[last]
		e.gained[last] = nil
		e.gained = e.gained[:last]
	}
}

// best returns the position of the worker of the best rank.
func (e *shortage) best() int {
	at := 0
	for i, w := range e.gained {
		if w.rank < e.gained[at].rank {
			at = i
		}
	}
	return at
}
