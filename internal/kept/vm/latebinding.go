package vm

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// With late binding, the tasks of a divisible transient submission that cannot start at once wait at its home VM, also
// those that a shard has returned or rejected. The home VM tells some pools how many there are (a demand). A grant of
// one of them assigns tasks to a shard that can start them now, and the demand at the other pools shrinks.
//
// As no shard has the waiting tasks, the home VM alone decides how long they wait.

// Limits of demands.
const (
	// firstDemandPools have the demand of a submission at first. With more, several grant room to the same tasks, and
	// what they reserve is idle until their reply.
	firstDemandPools   = 2
	maxDemandPools     = 3 // that have the demand after widenDemandAfter without a grant
	widenDemandAfter   = 20 * time.Millisecond
	demandInterval     = 300 * time.Millisecond // between repetitions of a demand, as messages may be lost
	minDemandInterval  = 20 * time.Millisecond  // between repetitions after holders have changed
	ownDomainAdvantage = 20 * time.Millisecond  // by which a pool of another domain must be sooner to be preferred
	joinResendInterval = 50 * time.Millisecond  // between two messages with the same tasks for a part
)

// demand is what the pools were told about the waiting tasks of a submission.
type demand struct {
	pools    []poolKey
	tasks    int
	chosenAt time.Duration // when the pools were chosen; 0: not yet, or they have to be told again
	since    time.Duration // of the last grant that was used, or when the first pools were told; 0: they were not
	wide     bool          // up to maxDemandPools have it
	checkAt  time.Duration // when it is looked at next, unless the number of tasks changes before
}

// needsDemandCheck reports whether the demand of a submission may have to be told again.
func (t *transientSubmission) needsDemandCheck(now time.Duration) bool {
	return now >= t.demand.checkAt || t.demand.chosenAt == 0 || t.demand.tasks != t.unassignedCount()
}

// bindsLate reports whether a submission's tasks wait at this VM for grants.
func (e *engine) bindsLate(r *submission.Record) bool {
	return e.hasPools() && e.vm.config.Policy.Spread && r.Transient && isDivisible(r)
}

// hasPools reports whether the shards of each failure domain form pools.
func (e *engine) hasPools() bool {
	s := &e.vm.config.Policy
	return s.LateBinding && e.site.FewestShards() >= s.LateBindingShards
}

// awaitGrants makes the unassigned tasks of a submission wait for grants.
func (e *engine) awaitGrants(t *transientSubmission) { e.unbound[t.record.ID] = t }

// driveUnbound ends submissions that need not wait any longer, and tells the pools the demands that have changed or are
// to be repeated. checkAll: holders or links have changed.
func (e *engine) driveUnbound(checkAll bool) {
	for _, t := range e.dueDemands(checkAll || e.holdersMoved) {
		e.tellDemandIfDue(t)
	}
	waiting := 0
	for id, t := range e.unbound {
		if !e.waitsForGrants(t) {
			e.withdraw(t, t.demand.pools)
			t.demand = demand{}
			delete(e.unbound, id)
		}
		waiting += t.unassignedCount()
	}
	e.holdersMoved = false
	e.vm.metrics.waitingTasks.Update(float64(waiting))
}

// dueDemands returns the submissions whose demands may have to be told again, in the order in which they get room where
// no pool decides.
func (e *engine) dueDemands(all bool) []*transientSubmission {
	var due []*transientSubmission
	for _, t := range e.unbound {
		if e.waitsForGrants(t) && (all || t.needsDemandCheck(e.now)) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *transientSubmission) int {
		return cmp.Or(cmp.Compare(a.record.Terms.Priority, b.record.Terms.Priority), cmp.Compare(a.receivedAt, b.receivedAt),
			cmp.Compare(a.record.ID, b.record.ID))
	})
	return due
}

// waitsForGrants reports whether a submission has not ended and has unassigned tasks.
func (e *engine) waitsForGrants(t *transientSubmission) bool {
	return e.transients[t.record.ID] == t && !t.state.Final() && len(t.unassigned) > 0
}

func (t *transientSubmission) unassignedCount() int {
	n := 0
	for _, group := range t.unassigned {
		n += len(group.tasks)
	}
	return n
}

// tellDemandIfDue tells the pools about a submission's waiting tasks: when their number has changed, when a pool has
// lost its holder, and at intervals.
func (e *engine) tellDemandIfDue(t *transientSubmission) {
	since := e.now - t.demand.chosenAt
	holderLost := slices.ContainsFunc(t.demand.pools, func(k poolKey) bool { return k.holder != e.vm.config.Name && !e.linkUp[k.holder] })
	moved := e.holdersMoved && since >= minDemandInterval
	widen := !t.demand.wide && e.now-t.demand.since >= widenDemandAfter
	switch {
	case t.demand.chosenAt == 0 || holderLost || moved || widen || since >= demandInterval:
		e.choosePools(t)
	case t.demand.tasks != t.unassignedCount():
		e.tellDemand(t)
	}
	t.demand.checkAt = e.now + checkInterval
	if !t.demand.wide {
		t.demand.checkAt = min(t.demand.checkAt, t.demand.since+widenDemandAfter)
	}
}

// choosePools tells the pools with the shortest forecasts the demand of a submission, and withdraws it from the others.
func (e *engine) choosePools(t *transientSubmission) {
	if t.demand.since == 0 {
		t.demand.since = e.now
	}
	limit := firstDemandPools
	if t.demand.wide = e.now-t.demand.since >= widenDemandAfter; t.demand.wide {
		limit = maxDemandPools
	}
	shards := slices.DeleteFunc(e.eligibleShards(t.record), func(c policy.Candidate) bool { return c.Capacity == 0 })
	pools := e.poolsFor(shards, limit)
	e.bindWithoutGrant(t, shards, len(pools) > 0)
	if len(pools) == 0 || len(t.unassigned) == 0 {
		if len(shards) == 0 && e.anyReachable() {
			e.endUnassigned(t)
		}
		return
	}
	e.withdraw(t, slices.DeleteFunc(t.demand.pools, func(k poolKey) bool { return slices.Contains(pools, k) }))
	t.demand.pools = pools
	t.demand.chosenAt = e.now
	e.tellDemand(t)
}

// tellDemand tells the chosen pools how many tasks of a submission wait.
func (e *engine) tellDemand(t *transientSubmission) {
	before, pools := t.demand.tasks, t.demand.pools
	t.demand.tasks = t.unassignedCount()
	d := e.newDemand(t)
	for _, k := range pools {
		e.sendDemand(k, d)
	}
	e.vm.metrics.demands.Inc(int64(len(pools)))
	if before != d.Tasks {
		klog.InfoS("kept: demand told", "id", t.record.ID, "number", d.Number, "tasks", d.Tasks, "pools", len(pools),
			"first", pools[0].holder, "domain", pools[0].domain, "begun", d.Work.Started, "after", e.now-t.receivedAt)
	}
}

// poolsFor returns the pools that some shards belong to, up to limit, the one that would start one more task first in
// front. One of this VM's failure domain comes before others that are little sooner.
func (e *engine) poolsFor(shards []policy.Candidate, limit int) []poolKey {
	waits := make(map[poolKey]time.Duration)
	for _, c := range shards {
		k := e.poolOf(c.Shard)
		if !e.grants(k) {
			continue
		}
		wait := c.Wait
		if c.Free > 0 {
			wait = 0
		}
		if !c.InOwnDomain {
			wait += ownDomainAdvantage
		}
		if known, found := waits[k]; !found || wait < known {
			waits[k] = wait
		}
	}
	keys := slices.SortedFunc(maps.Keys(waits), func(a, b poolKey) int {
		return cmp.Or(cmp.Compare(waits[a], waits[b]), cmp.Compare(a.domain, b.domain), cmp.Compare(a.holder, b.holder))
	})
	return keys[:min(len(keys), limit)]
}

// newDemand returns the demand of a submission, whose pools are set.
//
// A submission of which a task may have begun keeps its place before others, unless its answer would come too late to
// be of use even if all waiting tasks started now. It then takes what others leave.
func (e *engine) newDemand(t *transientSubmission) pool.Demand {
	e.lastDemand++
	step := &t.record.Steps[0]
	work := e.policyWork(t.record, t.receivedAt)
	work.Started = t.anyStarted() && work.Band(e.now) != policy.TooLate
	work.RemainingWork = float64(t.demand.tasks) * float64(step.CPUMilli) / submission.MilliPerCore * step.Estimate.Seconds()
	return pool.Demand{
		Home:   e.vm.config.Name,
		Number: e.lastDemand,
		Tasks:  t.demand.tasks,
		Queue:  t.record.Queue,
		Work:   *work,
		Size:   pool.SizeOf(t.record.Terms.Service, step),
		Share:  1 / float64(len(t.demand.pools)),
	}
}

// withdraw tells pools that no task of a submission waits for them any more.
func (e *engine) withdraw(t *transientSubmission, pools []poolKey) {
	for _, k := range pools {
		e.lastDemand++
		e.sendDemand(k, pool.Demand{Home: e.vm.config.Name, Number: e.lastDemand, Work: policy.Work{ID: t.record.ID}})
	}
}

// sendDemand tells a pool a demand.
func (e *engine) sendDemand(k poolKey, d pool.Demand) {
	if k.holder == e.vm.config.Name {
		e.receiveDemand(k.holder, k.domain, d)
		return
	}
	f := e.frame(k.holder)
	f.Demands = append(f.Demands, e.encodeDemand(k.domain, &d))
}

func (e *engine) encodeDemand(domain string, d *pool.Demand) *pb.KeptDemand {
	if d.Tasks == 0 {
		return &pb.KeptDemand{Id: string(d.Work.ID), Domain: domain, Number: d.Number}
	}
	return &pb.KeptDemand{
		Id:              string(d.Work.ID),
		Domain:          domain,
		Number:          d.Number,
		Tasks:           uint32(d.Tasks),
		Queue:           d.Queue,
		Service:         d.Size.Service,
		Priority:        int32(d.Work.Priority),
		AgeNs:           uint64(e.now - d.Work.ReceivedAt),
		ObjectiveNs:     uint64(d.Work.Objective),
		RunTimeNs:       uint64(d.Work.RunTime),
		CallerTimeoutNs: uint64(d.Work.CallerTimeout),
		Begun:           d.Work.Started,
		RemainingWork:   d.Work.RemainingWork,
		Milli:           d.Size.CPUMilli,
		MemMb:           d.Size.MemMB,
		Gpu:             d.Size.GPU,
		Label:           d.Size.RequiredLabel,
		DataRack:        d.Size.DataRack,
		Share:           d.Share,
	}
}

// repeatDemands has the demands at the pools of a holder told again: messages in flight on an earlier stream may be lost.
func (e *engine) repeatDemands(holder string) {
	for _, t := range e.unbound {
		if slices.ContainsFunc(t.demand.pools, func(k poolKey) bool { return k.holder == holder }) {
			t.demand.chosenAt = 0
		}
	}
}

// endHopeless ends a submission whose tasks wait for grants, or whose parts have not begun, when it need not wait any
// longer. One of which nothing has begun is refused, after its parts were recalled. One that has begun is given up if
// its answer would be of no use and nothing of it runs: a run is not broken off.
func (e *engine) endHopeless(t *transientSubmission) {
	if t.state.Final() || len(t.unassigned) == 0 && len(t.parts) == 1 && !t.parts[0].record.Partial {
		return // its holder alone refuses it
	}
	if t.anyStarted() {
		if len(t.unassigned) > 0 && e.policyWork(t.record, t.receivedAt).Band(e.now) == policy.TooLate && !t.hasOpenPart() {
			e.giveUp(t, "what is left of it cannot be done in time")
		}
		return
	}
	reason := e.keepWaiting(t)
	switch {
	case !reason.Refused():
	case len(t.parts) == 0:
		e.refuseTransient(t, reason)
	case e.vm.config.Policy.TakeBack && (t.recalledAt == 0 || e.now-t.recalledAt > recallTimeout):
		e.recall(t, reason)
	}
}

// hasOpenPart reports whether a shard has a part that has not ended.
func (t *transientSubmission) hasOpenPart() bool {
	return slices.ContainsFunc(t.parts, func(p *part) bool { return !p.state.Final() })
}

// addPoolQueue adds the demands on the pool of a shard to the queue of the shard. What waits there with the same or a
// higher priority must not be overtaken by a submission that arrives.
func (e *engine) addPoolQueue(c *policy.Candidate, r *submission.Record) {
	known := e.pools[e.poolOf(c.Shard)]
	if known != nil && e.isFresh(known) {
		load := shard.Load{Queued: shard.SeenBy(e.groupOf(r), known.queued, known.standings)}
		ahead, wait := load.QueuedAhead(r.Terms.Priority, !e.vm.config.Policy.ByPriority)
		_, queue := load.QueuedAhead(0, true)
		c.Wait += wait
		c.QueueTime += queue
		if ahead > 0 {
			c.Free = 0
		}
	}
}

// keepOrder takes the free capacity from the shards of pools where tasks of this VM with the same or a higher priority
// wait. Their holders' reports may not count these yet.
func (e *engine) keepOrder(shards []policy.Candidate, r *submission.Record) {
	waited := make(map[poolKey]bool)
	for _, t := range e.unbound {
		if t.record.ID != r.ID && t.record.Terms.Priority <= r.Terms.Priority {
			for _, k := range t.demand.pools {
				waited[k] = true
			}
		}
	}
	for i := range shards {
		c := &shards[i]
		if waited[e.poolOf(c.Shard)] {
			c.Free = 0
		}
	}
}

// unboundCounts counts, by queue, the submissions that no shard has and that have not started.
func (e *engine) unboundCounts(counts queueCounts) {
	for _, t := range e.unbound {
		if e.waitsForGrants(t) && len(t.parts) == 0 && !t.mayHaveRun {
			counts[t.record.Queue]++
		}
	}
}
