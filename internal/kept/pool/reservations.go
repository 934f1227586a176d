package pool

import (
	"maps"
	"math"
	"slices"
	"time"
)

// reservation is room for the tasks of a grant, until the reply.
type reservation struct {
	grant    Grant
	size     Resources
	at       time.Duration
	places   []*slot // one of each task that starts at once
	ahead    int     // tasks that wait for the end of a run
	answered bool    // what is left of it belongs to tasks that the room of the shard does not count yet
}

// grantedTasks counts the tasks of a submission with reservations.
func (p *Pool) grantedTasks(key demandKey) (n int) {
	for _, r := range p.reservations {
		if !r.answered && (demandKey{r.grant.Home, r.grant.ID}) == key {
			n += r.grant.Tasks
		}
	}
	return n
}

// Reply takes in the reply of a home VM to a grant, and returns the grant if it is known and has not lapsed. The
// place of an assigned task stays taken until SetRoom.
func (p *Pool) Reply(now time.Duration, reply Reply) (g Grant, known bool) {
	p.changed = p.changed || p.silent[reply.Home]
	delete(p.silent, reply.Home)
	r := p.reservations[reply.Number]
	if r == nil || r.answered || r.grant.Home != reply.Home || r.grant.ID != reply.ID {
		return Grant{}, false
	}
	p.changed = true
	granted := r.grant.Tasks
	p.replyTime = average(p.replyTime, now-r.at)
	p.replyTimes[reply.Home] = average(p.replyTimes[reply.Home], now-r.at)
	assigned := min(max(reply.Tasks, 0), granted)
	if e := p.demands[demandKey{reply.Home, reply.ID}]; e != nil {
		e.granted -= granted
		e.assigned += assigned
		if assigned < granted {
			e.decline(r.grant.Shard, now+declineBackoff)
		}
	}
	r.answered = true
	for len(r.places)+r.ahead > assigned {
		if r.ahead > 0 {
			r.ahead--
			p.shards[r.grant.Shard].ahead--
			continue
		}
		r.releasePlace()
	}
	if assigned == 0 {
		delete(p.reservations, reply.Number)
	}
	return r.grant, true
}

// replyTimeWeight is the weight of a new reply in the moving average.
const replyTimeWeight = 0.1

// average returns the moving average of the times to replies with one more; 0: there was none.
func average(mean, took time.Duration) time.Duration {
	if mean == 0 {
		return took
	}
	return mean + time.Duration(replyTimeWeight*float64(took-mean))
}

// releasePlace releases the place of one task.
func (r *reservation) releasePlace() {
	l := r.places[len(r.places)-1]
	r.places = r.places[:len(r.places)-1]
	l.reserved = l.reserved.Minus(r.size)
	l.tasks--
}

// release ends a reservation.
func (p *Pool) release(r *reservation) {
	for len(r.places) > 0 {
		r.releasePlace()
	}
	if s := p.shards[r.grant.Shard]; s != nil {
		s.ahead -= r.ahead
	}
	if e := p.demands[demandKey{r.grant.Home, r.grant.ID}]; e != nil && !r.answered {
		e.granted -= r.grant.Tasks
	}
	delete(p.reservations, r.grant.Number)
	p.changed = true
}

// Expire drops demands that were not repeated, and returns the grants whose reservations have lapsed. Their
// homes get no further grants until they send something.
func (p *Pool) Expire(now time.Duration) (lapsed []Grant) {
	if now < p.nextDueAt {
		return nil
	}
	for _, number := range slices.Sorted(maps.Keys(p.reservations)) {
		r := p.reservations[number]
		if now-r.at < reservationTimeout {
			continue
		}
		if !r.answered {
			lapsed = append(lapsed, r.grant)
			p.silent[r.grant.Home] = true
		}
		p.release(r)
	}
	isOld := func(_ demandKey, e *entry) bool { return now-e.receivedAt >= demandTimeout }
	for k, e := range p.demands {
		if isOld(k, e) {
			p.removeDemands(isOld)
			break
		}
	}
	p.nextDueAt = p.nextDue()
	return lapsed
}

// nextDue returns when the first reservation or demand runs out.
func (p *Pool) nextDue() time.Duration {
	due := time.Duration(math.MaxInt64)
	for _, r := range p.reservations {
		due = min(due, r.at+reservationTimeout)
	}
	for _, e := range p.demands {
		due = min(due, e.receivedAt+demandTimeout)
	}
	return due
}
