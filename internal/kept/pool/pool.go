package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Time-outs of demands and reservations.
const (
	// reservationTimeout is how long room stays reserved for a grant without a reply. Replies take some
	// milliseconds; a home VM that does not answer for longer is busy, frozen or cut off.
	reservationTimeout = 100 * time.Millisecond
	// demandTimeout is how long a demand counts that its home VM does not repeat.
	demandTimeout = 3 * time.Second
	// orderInterval is how long the order of the demands is used until bands that depend on the time are
	// computed again.
	orderInterval = 5 * time.Millisecond
	// declineBackoff is how long a submission gets no further grants at a shard after its home VM has taken less
	// than was granted there. The home may have to hear of earlier tasks at that shard first.
	declineBackoff = 10 * time.Millisecond
)

// Settings are the settings of a pool.
type Settings struct {
	Policy policy.Settings
	// Number returns the number of a new grant. It is higher than all before.
	Number func() uint64
	// Shares measures what groups are served, where the policy has floors for them. Who starts tasks adds them.
	Shares *policy.Shares
}

// Pool decides about the free capacity of the shards of one failure domain that one entry VM holds. Times
// are durations since boot and never go backwards. It is not safe for concurrent use.
type Pool struct {
	settings Settings

	demands      map[demandKey]*entry
	order        []*entry // by urgency at orderedAt
	orderedAt    time.Duration
	orderChanged bool // demands were added or have changed
	changed      bool // a demand or the room has changed since the last decision

	shards       map[string]*shardRoom
	sorted       []*shardRoom // by name
	slots        []*slot      // of all shards, by shard and worker
	slotsChanged bool

	reservations map[uint64]*reservation          // by number of the grant
	replyTime    time.Duration                    // moving average of the time from a grant to its reply; 0: not known
	replyTimes   map[string]time.Duration         // the same by home VM
	standings    map[policy.Group]policy.Standing // of the groups with demands, at orderedAt
	silent       map[string]bool                  // home VMs that have let a reservation lapse, and sent nothing since

	heldBack  bool          // the last decision holds workers back for tasks of demands
	nextDueAt time.Duration // no reservation and no demand runs out before
}

type demandKey struct {
	home string
	id   submission.ID
}

// entry is the newest demand for a submission.
type entry struct {
	Demand
	receivedAt time.Duration
	granted    int           // tasks with reservations
	assigned   int           // by replies that came after the demand
	unfitSince time.Duration // since when there was no room for one of its tasks; 0: there was
	urgency    policy.Urgency
	// declined is until when no shard is granted again at which the home VM has taken less than it was granted.
	declined map[string]time.Duration
	removed  bool   // it is to be left out of the order
	boundTo  string // the shard to which its tasks are bound; "": none, it is a demand
}

// left returns the number of tasks that may be granted.
func (e *entry) left() int { return e.Tasks - e.granted - e.assigned }

// decline keeps grants at a shard from the demand for some time.
func (e *entry) decline(shard string, until time.Duration) {
	if e.declined == nil {
		e.declined = make(map[string]time.Duration)
	}
	e.declined[shard] = until
}

// accepts reports whether a grant at a shard may be used.
func (e *entry) accepts(now time.Duration, shard string) bool {
	return e.declined == nil || now >= e.declined[shard]
}

// shardRoom is the room of a shard.
type shardRoom struct {
	Room
	name     string
	slots    []*slot          // of the workers that may be used, by ID
	byWorker map[string]*slot // these, and those of others with reservations
	bound    []*entry
	ahead    int // tasks with reservations that were granted ahead
}

// New returns a pool without demands and shards.
func New(s Settings) *Pool {
	return &Pool{
		settings:     s,
		demands:      make(map[demandKey]*entry),
		shards:       make(map[string]*shardRoom),
		reservations: make(map[uint64]*reservation),
		silent:       make(map[string]bool),
		replyTimes:   make(map[string]time.Duration),
	}
}

// SetDemand takes in a demand, unless a newer one of the same home VM is known for its submission.
func (p *Pool) SetDemand(now time.Duration, d Demand) {
	delete(p.silent, d.Home)
	key := demandKey{d.Home, d.Work.ID}
	e := p.demands[key]
	if e != nil && d.Number <= e.Number {
		return
	}
	p.changed, p.orderChanged = true, true
	if d.Tasks <= 0 {
		p.removeDemands(func(other demandKey, _ *entry) bool { return other == key })
		return
	}
	if e == nil {
		e = &entry{granted: p.grantedTasks(key)}
		p.demands[key] = e
		p.order = append(p.order, e)
	}
	e.Demand, e.receivedAt, e.assigned = d, now, 0
	p.nextDueAt = min(p.nextDueAt, now+demandTimeout)
}

// removeDemands removes the demands that match.
func (p *Pool) removeDemands(match func(demandKey, *entry) bool) {
	maps.DeleteFunc(p.demands, func(k demandKey, e *entry) bool {
		e.removed = e.removed || match(k, e)
		return e.removed
	})
	p.changed, p.orderChanged = true, true
}

// HomeLost drops the demands of a home VM that cannot be reached, and what is reserved for them.
func (p *Pool) HomeLost(home string) {
	p.removeDemands(func(k demandKey, _ *entry) bool { return k.home == home })
	for _, r := range p.reservations {
		if r.grant.Home == home {
			p.release(r)
		}
	}
	delete(p.silent, home)
	delete(p.replyTimes, home)
	p.changed = true
}

// SetRoom replaces what is known of a shard's room. A new token ends the reservations under the old one. The
// tasks of earlier replies must be part of the room.
func (p *Pool) SetRoom(shard string, r Room) {
	s := p.shards[shard]
	if s != nil && s.Token != r.Token {
		p.RemoveShard(shard)
		s = nil
	}
	if s == nil {
		s = &shardRoom{name: shard, byWorker: make(map[string]*slot)}
		p.shards[shard] = s
	}
	s.Room = r
	p.changed, p.slotsChanged = true, true
	for _, number := range slices.Sorted(maps.Keys(p.reservations)) {
		if r := p.reservations[number]; r.answered && r.grant.Shard == shard {
			p.release(r)
		}
	}
	s.rebuildSlots()
	p.orderChanged = p.orderChanged || len(s.bound)+len(r.Bound) > 0
	s.removeBound()
	for _, b := range r.Bound {
		e := &entry{Demand: Demand{Queue: b.Queue, Work: b.Work, Size: b.Size}, unfitSince: b.Since, boundTo: shard}
		s.bound = append(s.bound, e)
		p.order = append(p.order, e)
	}
}

// rebuildSlots makes the slots of a shard's workers, with what was reserved on them.
func (s *shardRoom) rebuildSlots() {
	s.slots = make([]*slot, 0, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		l := s.byWorker[w.Info.ID]
		if l == nil {
			l = &slot{shard: s.name}
			s.byWorker[w.Info.ID] = l
		}
		l.worker = w
		s.slots = append(s.slots, l)
	}
	slices.SortFunc(s.slots, func(a, b *slot) int { return cmp.Compare(a.worker.Info.ID, b.worker.Info.ID) })
	maps.DeleteFunc(s.byWorker, func(_ string, l *slot) bool { return l.tasks == 0 && !slices.Contains(s.slots, l) })
}

// removeBound removes the entries of the submissions that wait at the shard.
func (s *shardRoom) removeBound() {
	for _, e := range s.bound {
		e.removed = true
	}
	s.bound = nil
}

// RemoveShard forgets a shard that has left the pool, and its reservations.
func (p *Pool) RemoveShard(shard string) {
	for _, r := range p.reservations {
		if r.grant.Shard == shard {
			p.release(r)
		}
	}
	if s := p.shards[shard]; s != nil {
		s.removeBound()
	}
	delete(p.shards, shard)
	p.changed, p.slotsChanged, p.orderChanged = true, true, true
}

// Changed reports whether a demand or the room has changed since the last decision.
func (p *Pool) Changed() bool { return p.changed }

// HoldsBack reports whether workers are held back for tasks of demands. Decide may end that.
func (p *Pool) HoldsBack() bool { return p.heldBack }

// Demands returns the number of demands.
func (p *Pool) Demands() int { return len(p.demands) }

// Reserved returns what is reserved on the workers of a shard, by worker ID, for tasks that are not assigned
// yet: the room of grants, and all that is free on workers that are held back. It may change with each call of
// another method.
func (p *Pool) Reserved(shard string) map[string]Resources {
	var out map[string]Resources
	for _, r := range p.reservations {
		if r.answered || r.grant.Shard != shard {
			continue
		}
		for _, l := range r.places {
			if out == nil {
				out = make(map[string]Resources)
			}
			out[l.worker.Info.ID] = out[l.worker.Info.ID].Plus(r.size)
		}
	}
	if s := p.shards[shard]; s != nil {
		for _, l := range s.slots {
			if l.kept {
				if out == nil {
					out = make(map[string]Resources)
				}
				out[l.worker.Info.ID] = l.worker.Free.Minus(p.assignedOn(l))
			}
		}
	}
	return out
}

// assignedOn returns what is taken on a worker by assigned tasks that its room does not count yet.
func (p *Pool) assignedOn(l *slot) (sum Resources) {
	for _, r := range p.reservations {
		for _, place := range r.places {
			if r.answered && place == l {
				sum = sum.Plus(r.size)
			}
		}
	}
	return sum
}

// Queued is the sum of the demands of one band, priority and standing, each with its share.
type Queued struct {
	policy.QueueKey
	CPUMilli int64   // in thousandths of a core
	Work     float64 // in thousandths of a core times nanoseconds
}

// Queued returns the demands that wait, the first to be served first.
func (p *Pool) Queued(now time.Duration, pace func(queue string) float64) []Queued {
	sums := make(map[policy.QueueKey]*Queued)
	for _, e := range p.demands {
		w := pacedWork(&e.Work, pace(e.Queue))
		k := policy.QueueKey{Band: w.Band(now), Priority: w.Priority, Standing: w.Standing}
		q := sums[k]
		if q == nil {
			q = &Queued{QueueKey: k}
			sums[k] = q
		}
		milli := e.Share * float64(max(e.left(), 0)) * float64(e.Size.CPUMilli)
		q.CPUMilli += int64(milli)
		q.Work += milli * float64(w.RunTime)
	}
	out := make([]Queued, 0, len(sums))
	for _, k := range slices.SortedFunc(maps.Keys(sums), policy.QueueKey.Compare) {
		out = append(out, *sums[k])
	}
	return out
}
