package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// Limits that keep a large task from starving beside small ones.
const (
	// holdBackAfter is how long a task waits for a worker with enough room until one is held back for it.
	holdBackAfter = 30 * time.Millisecond
	// workersPerHeld is the number of workers of which one may be held back.
	workersPerHeld = 8
)

// Decision is a grant with what it was based on.
type Decision struct {
	Grant
	Priority  int
	Standing  policy.Standing // of its group
	Waited    time.Duration   // since the home VM received the submission
	DemandAge time.Duration
	RoomAge   time.Duration
	Ahead     int // of its tasks: granted in expectation of ends of runs
}

// Decide grants the free room to the most urgent demands, and reserves it. pace returns how many times its
// estimate a run of a queue usually takes. Without a change since the last call it does nothing.
//
// A demand whose tasks do not fit does not keep less urgent ones with smaller tasks from the room. Of such
// demands the most urgent get a worker each to themselves, after holdBackAfter: it gets no less urgent tasks
// until enough of it is free. At most one in workersPerHeld workers is held back, so that the rest of the
// room is never idle while a task waits that fits into it.
func (p *Pool) Decide(now time.Duration, pace func(queue string) float64) []Decision {
	if !p.changed {
		return nil
	}
	p.changed = false
	p.collectSlots()
	if len(p.demands) == 0 || len(p.shards) == 0 {
		return nil
	}
	p.orderDemands(now, pace)
	d := &decision{pool: p, now: now, pace: pace, unfit: make(map[Size]bool), open: make(map[openKey]*reservation), heldLeft: max(len(p.slots)/workersPerHeld, 1)}
	for _, took := range p.replyTimes {
		d.longestReply = max(d.longestReply, took)
	}
	d.ahead = d.shardsAhead()
	for _, l := range p.slots {
		d.mostFree = max(d.mostFree, l.free().CPUMilli)
	}
	for _, e := range p.order {
		switch {
		case e.boundTo != "":
			d.holdBack(e)
		case e.left() > 0 && !p.silent[e.Home]:
			d.serve(e)
		}
	}
	return d.decisions()
}

// collectSlots lists the slots of all shards, none of them held back.
func (p *Pool) collectSlots() {
	if p.slotsChanged {
		p.slotsChanged = false
		p.slots, p.sorted = p.slots[:0], p.sorted[:0]
		for _, name := range slices.Sorted(maps.Keys(p.shards)) {
			p.sorted = append(p.sorted, p.shards[name])
			p.slots = append(p.slots, p.shards[name].slots...)
		}
	}
	for _, l := range p.slots {
		l.held, l.kept = false, false
	}
	p.heldBack = false
}

// orderDemands sorts the demands and the tasks that wait at the shards, the most urgent first.
func (p *Pool) orderDemands(now time.Duration, pace func(string) float64) {
	if !p.orderChanged && now-p.orderedAt < orderInterval {
		return
	}
	p.orderChanged = false
	p.order = slices.DeleteFunc(p.order, func(e *entry) bool { return e.removed }) // the others stay nearly sorted
	p.orderedAt = now
	endRate := 0.0
	for _, s := range p.shards {
		endRate += s.EndRate
	}
	p.setStandings(now, pace)
	for _, e := range p.order {
		w := pacedWork(&e.Work, pace(e.Queue))
		e.urgency = p.settings.Policy.Urgency(now+p.startTime(e, endRate), &w)
	}
	slices.SortFunc(p.order, func(a, b *entry) int {
		return cmp.Or(a.urgency.Compare(b.urgency), cmp.Compare(a.Home, b.Home), cmp.Compare(a.boundTo, b.boundTo))
	})
}

// startTime estimates how long it takes until the last task of a demand starts that is served first. Without it
// work would be done for submissions that are late by these few milliseconds.
func (p *Pool) startTime(e *entry, endRate float64) time.Duration {
	if endRate <= 0 || e.boundTo != "" {
		return p.replyTime
	}
	gather := timespan.Times(time.Second, float64(e.left())/endRate)
	return p.replyTime + min(gather, e.Work.RunTime)
}

// pacedWork returns the work with the run time that its queue's runs usually take. The time that it may wait
// stays the same.
func pacedWork(w *policy.Work, factor float64) policy.Work {
	paced := *w
	paced.RunTime = timespan.Times(w.RunTime, factor)
	paced.Objective += paced.RunTime - w.RunTime
	return paced
}

// decision is the state of one decision.
type decision struct {
	pool     *Pool
	now      time.Duration
	pace     func(string) float64
	unfit    map[Size]bool // sizes for which there is no room
	mostFree int64         // CPU in thousandths of a core, at least that of the worker with the most
	heldLeft int           // workers that may still be held back
	ahead    []*shardRoom  // at which tasks may be granted ahead to some home
	// longestReply is the longest of the home VMs' times to replies.
	longestReply time.Duration
	open         map[openKey]*reservation
	made         []*reservation
	waits        []*entry // of the reservations made
}

type openKey struct {
	entry *entry
	shard string
}

// serve grants a demand what fits, and then what is expected to fit soon.
func (d *decision) serve(e *entry) {
	// Under overload most demands fit nowhere. The first comparison spares them the look at each worker.
	for e.left() > 0 && e.Size.CPUMilli <= d.mostFree && !d.unfit[e.Size] {
		l := d.chooseSlot(e)
		if l == nil {
			d.unfit[e.Size] = e.declined == nil // it may fit for others where this one was declined
			break
		}
		r := d.reservation(e, l.shard)
		r.places = append(r.places, l)
		l.reserved = l.reserved.Plus(r.size)
		l.tasks++
	}
	if e.left() == 0 {
		e.unfitSince = 0
		return
	}
	d.serveAhead(e)
	d.holdBack(e)
}

// reservation returns the reservation for a demand at a shard, with one more task.
func (d *decision) reservation(e *entry, shard string) *reservation {
	key := openKey{e, shard}
	r := d.open[key]
	if r == nil {
		r = &reservation{
			grant: Grant{Home: e.Home, ID: e.Work.ID, Shard: shard, Token: d.pool.shards[shard].Token, Number: d.pool.settings.Number()},
			size:  e.Size.resources(),
			at:    d.now,
		}
		d.open[key] = r
		d.made = append(d.made, r)
		d.waits = append(d.waits, e)
		d.pool.reservations[r.grant.Number] = r
		d.pool.nextDueAt = min(d.pool.nextDueAt, d.now+reservationTimeout)
	}
	r.grant.Tasks++
	e.granted++
	return r
}

// chooseSlot returns the best worker for a task of a demand, or nil if it fits on none.
func (d *decision) chooseSlot(e *entry) *slot {
	var best *slot
	var bestRank policy.Rank
	settings := &d.pool.settings.Policy
	work := pacedWork(&e.Work, d.pace(e.Queue))
	for _, l := range d.pool.slots {
		if l.held || !l.fits(d.now, &e.Size) || !e.accepts(d.now, l.shard) {
			continue
		}
		rank := settings.Rank(policy.Placement{
			Health:        &l.worker.Health,
			DataElsewhere: e.Size.DataRack != "" && e.Size.DataRack != l.worker.Info.Rack,
			RunTime:       work.RunTime,
			Left:          work.ReceivedAt + work.Objective - d.now,
		})
		order := rank.Compare(bestRank)
		if best == nil || order < 0 || order == 0 && d.isBetter(e, l, best) {
			best, bestRank = l, rank
		}
	}
	return best
}

// isBetter decides between workers of the same rank. Tasks of one submission go to few shards, as each part of it
// costs messages; within a shard, the best fit decides.
func (d *decision) isBetter(e *entry, l, best *slot) bool {
	if l.shard != best.shard {
		joins, bestJoins := d.open[openKey{e, l.shard}] != nil, d.open[openKey{e, best.shard}] != nil
		if joins != bestJoins {
			return joins
		}
	}
	return d.pool.settings.Policy.HasBetterFit(l.free().CPUMilli, best.free().CPUMilli)
}

// shardsAhead returns the shards at which tasks may be granted ahead to some home VM.
func (d *decision) shardsAhead() []*shardRoom {
	var out []*shardRoom
	for _, s := range d.pool.sorted {
		if d.aheadLeft(s, d.longestReply) >= minAhead {
			out = append(out, s)
		}
	}
	return out
}

// serveAhead grants tasks that find room when a run ends. While the assignment is on its way the room would
// otherwise be idle. Each shard gets as many as runs are expected to end there within that time.
func (d *decision) serveAhead(e *entry) {
	replyTime := d.pool.replyTimes[e.Home]
	for e.left() > 0 && replyTime > 0 {
		var best *shardRoom
		bestLeft := minAhead
		for _, s := range d.ahead {
			if left := d.aheadLeft(s, replyTime); left >= bestLeft && s.fitsSoon(&e.Size) && e.accepts(d.now, s.name) && (best == nil || left > bestLeft) {
				best, bestLeft = s, left
			}
		}
		if best == nil {
			return
		}
		d.reservation(e, best.name).ahead++
		best.ahead++
		d.ahead = d.shardsAhead()
	}
}

// minAhead is the number of further ends of runs that has to be expected for a grant ahead.
const minAhead = 0.5

// aheadLeft returns how many more runs are expected to end at a shard within a time than tasks wait for them there.
func (d *decision) aheadLeft(s *shardRoom, within time.Duration) float64 {
	expected := min(s.EndRate*within.Seconds(), float64(d.pool.settings.Policy.GrantAhead))
	return expected - float64(s.Waiting+s.ahead)
}

// fitsSoon reports whether a task of a size fits on one of the shard's workers once a run of the usual size there
// has ended. A larger task would wait for long, bound to the shard. So would one at a shard that holds a worker
// back.
func (s *shardRoom) fitsSoon(z *Size) bool {
	return slices.ContainsFunc(s.slots, func(l *slot) bool { return l.fitsSoon(z) }) &&
		!slices.ContainsFunc(s.slots, func(l *slot) bool { return l.held })
}

// holdBack holds a worker back for a task that has waited for room for some time: the one with the most of it.
func (d *decision) holdBack(e *entry) {
	if e.unfitSince == 0 {
		e.unfitSince = d.now
	}
	if d.heldLeft == 0 || d.now-e.unfitSince < holdBackAfter {
		return
	}
	var best *slot
	for _, l := range d.pool.slots {
		if l.held || e.boundTo != "" && l.shard != e.boundTo || !l.suits(&e.Size) {
			continue
		}
		if best == nil || l.free().CPUMilli > best.free().CPUMilli {
			best = l
		}
	}
	if best != nil {
		best.held, best.kept = true, e.boundTo == ""
		d.pool.heldBack = d.pool.heldBack || best.kept
		d.heldLeft--
	}
}

// decisions returns the grants that were made, in the order of their numbers.
func (d *decision) decisions() []Decision {
	out := make([]Decision, len(d.made))
	for i, r := range d.made {
		e := d.waits[i]
		out[i] = Decision{
			Grant:     r.grant,
			Priority:  e.Work.Priority,
			Standing:  e.Work.Standing,
			Waited:    d.now - e.Work.ReceivedAt,
			DemandAge: d.now - e.receivedAt,
			RoomAge:   d.now - d.pool.shards[r.grant.Shard].At,
			Ahead:     r.ahead,
		}
	}
	return out
}
