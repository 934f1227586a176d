package fairness

// This file implements the pass: short urgent work may overtake the fair order, for
// each account up to its share (its due).
//
// Without it, an account whose long builds used more than its share would have its
// own short checks wait for its turn, so that their response time would rise with
// its builds. The pass takes nothing from other accounts: the service is charged as
// usual, and an account with more short work than its share falls back to the fair
// order.
//
// The pass of a lane is a node below q.passes. Its virtual time is the lane's short
// urgent service in units of its due; the clock of q.passes is the service given to
// all accounts. A lane may pass while its virtual time is not ahead of the clock.

// addPass creates the pass node of a lane.
func (q *Queue[K]) addPass(l *lane[K]) {
	l.pass = &node[K]{name: l.account, parent: q.passes, weight: 1, index: noIndex, order: l.leaf.order}
	l.pass.vt = q.passes.clock
	l.pass.key = l.pass.vt
}

// refreshPass adds a lane's pass to the order if the lane has short urgent work and
// removes it otherwise.
func (q *Queue[K]) refreshPass(l *lane[K]) {
	work := l.levels[urgentLevel].head != nil && !l.passBlocked && q.withinDue(l)
	in := l.pass.index != noIndex
	switch {
	case work && !in:
		q.passes.heap.insert(l.pass)
	case !work && in:
		q.passes.heap.remove(l.pass)
	}
}

// withinDue reports whether a lane's running short urgent tasks leave a part of
// its due unused. The virtual time alone would let a burst take all slots at
// once and raise the response times of other accounts.
func (q *Queue[K]) withinDue(l *lane[K]) bool {
	use := q.share(l.pass.slots, l.pass.milliwatts)
	return l.pass.slots == 0 || use < l.leaf.fraction()
}

// occupyPass counts n tasks as running short urgent work, or as ended when n is
// negative.
func (q *Queue[K]) occupyPass(j *job[K], n int) {
	j.passed += n
	j.lane.pass.slots += int64(n) * int64(j.Slots)
	j.lane.pass.milliwatts += int64(n) * int64(j.Milliwatts)
	q.refreshPass(j.lane)
}

// chargePass counts service given to all accounts, and to a lane's short urgent
// work when urgent is true.
func (q *Queue[K]) chargePass(l *lane[K], cost float64, urgent bool) {
	q.passes.clock += cost
	if !urgent {
		return
	}
	p := l.pass
	p.vt = max(p.vt, q.passes.clock-q.settings.Memory.Seconds()) + cost/l.leaf.fraction()
	p.key = p.vt
	if p.index != noIndex {
		q.passes.heap.fix(p)
	}
}

// nextPass returns the first short urgent job of the lanes that may pass.
func (q *Queue[K]) nextPass() (Pick[K], bool) {
	for len(q.passes.heap) > 0 && q.passes.heap[0].key <= q.passes.clock {
		l := q.lanes[q.passes.heap[0].node.name]
		j := l.levels[urgentLevel].head
		if q.sink(j) {
			continue
		}
		room := q.pathRoom(j)
		if room < int64(j.Slots) {
			q.block(j)
			continue
		}
		most := min(j.queued, q.settings.MaxBatch, int(room/int64(j.Slots)))
		return Pick[K]{j.Key, min(most, j.quantumTasks(q.now, &q.settings)), Passed}, true
	}
	return Pick[K]{}, false
}

// blockPass removes a lane's pass from the order until its account is unblocked.
func (q *Queue[K]) blockPass(blocked *node[K], l *lane[K]) {
	if l.passBlocked {
		return
	}
	l.passBlocked = true
	q.refreshPass(l)
	blocked.passes = append(blocked.passes, l)
}

// unblockPasses restores the passes that an account's quota excluded.
func (q *Queue[K]) unblockPasses(n *node[K]) {
	for _, l := range n.passes {
		l.passBlocked = false
		q.refreshPass(l)
	}
	n.passes = nil
}
