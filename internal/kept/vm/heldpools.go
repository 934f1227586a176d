package vm

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// heldPool is the pool of the shards of a failure domain that this VM holds.
type heldPool struct {
	core       *pool.Pool // decides who gets its room, without I/O
	shards     []string   // that this VM holds in the domain, sorted
	heldBack   bool       // shards may have workers that are held back
	sentAt     time.Duration
	sentFarAt  time.Duration // when it was last reported to VMs of other domains
	sentReport knownPool
}

// joinPool adds a shard that this VM now holds to the pool of its failure domain. Its room is known once its
// records and workers are.
func (e *engine) joinPool(name string) {
	domain := site.DomainOf(name)
	p := e.heldPools[domain]
	if p == nil {
		if !e.hasPools() {
			return
		}
		p = &heldPool{core: pool.New(pool.Settings{Policy: e.vm.config.Policy, Number: e.nextGrant, Shares: e.sharesOf(domain)})}
		e.heldPools[domain] = p
	}
	p.shards = e.shardsOf(domain)
}

// nextGrant returns the number of a grant, which grows over all pools.
func (e *engine) nextGrant() uint64 {
	e.lastGrant++
	return e.lastGrant
}

// leavePool removes a shard that this VM does not hold any more from its pool. With the last shard the pool ends:
// homes tell their demands to the next holders.
func (e *engine) leavePool(name string) {
	domain := site.DomainOf(name)
	p := e.heldPools[domain]
	if p == nil {
		return
	}
	p.core.RemoveShard(name)
	p.shards = e.shardsOf(domain)
	if len(p.shards) == 0 {
		delete(e.heldPools, domain)
		delete(e.pools, poolKey{e.vm.config.Name, domain})
	}
}

// shardsOf returns the names of the shards of a failure domain that this VM holds, sorted.
func (e *engine) shardsOf(domain string) []string {
	var out []string
	for name := range e.shards {
		if site.DomainOf(name) == domain {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// receiveDemand takes in the demand of a home VM, maybe this one, on the pool of a failure domain. If no shard of
// the domain is held here any more, the home learns it from the loads.
func (e *engine) receiveDemand(from, domain string, d pool.Demand) {
	d.Home, d.Caller = from, e.domainOf(from)
	if p := e.heldPools[domain]; p != nil {
		p.core.SetDemand(e.now, d)
	}
}

// receiveGrantReply takes in the reply of a home VM, maybe this one, to a grant of room in a shard. The tasks that it
// has assigned must be known to the shard by then.
func (e *engine) receiveGrantReply(from, shard string, r pool.Reply) {
	r.Home = from
	if p := e.heldPools[site.DomainOf(shard)]; p != nil {
		if g, known := p.core.Reply(e.now, r); known {
			if r.Tasks < g.Tasks {
				e.vm.metrics.shortReplies.Inc(1)
			}
			e.updateReserved(p, g.Shard)
			return
		}
	}
	klog.V(1).InfoS("kept: reply to a grant that has lapsed", "id", r.ID, "home", from, "number", r.Number, "tasks", r.Tasks)
}

// updateReserved tells a shard what is reserved on its workers.
func (e *engine) updateReserved(p *heldPool, name string) {
	if h := e.shards[name]; h != nil {
		h.core.SetReserved(p.core.Reserved(name))
	}
}

// dropDemandsOf drops the demands of a home VM that cannot be reached.
func (e *engine) dropDemandsOf(home string) {
	for _, p := range e.heldPools {
		p.core.HomeLost(home)
		for _, name := range p.shards {
			e.updateReserved(p, name)
		}
	}
}

// grantRounds is how often in a round the room of a pool is granted. Homes on this VM assign tasks at once, and
// may leave room to others.
const grantRounds = 2

// grantRoom grants the free room of all pools to demands.
func (e *engine) grantRoom() {
	demands := 0
	for _, domain := range slices.Sorted(maps.Keys(e.heldPools)) {
		p := e.heldPools[domain]
		e.expireReservations(p)
		n := p.core.Demands()
		demands += n
		if n == 0 && !p.core.HoldsBack() {
			continue
		}
		for range grantRounds {
			if !e.grantPool(p) {
				break
			}
		}
	}
	e.vm.metrics.poolDemands.Update(float64(demands))
}

// expireReservations ends the reservations of grants that had no reply.
func (e *engine) expireReservations(p *heldPool) {
	for _, g := range p.core.Expire(e.now) {
		e.vm.metrics.lapsedReservations.Inc(1)
		klog.InfoS("kept: reservation lapsed, the home did not reply", "id", g.ID, "home", g.Home, "shard", g.Shard, "token", g.Token,
			"number", g.Number, "tasks", g.Tasks)
		e.updateReserved(p, g.Shard)
	}
}

// grantPool grants the free room of a pool, and reports whether homes on this VM have got some of it.
func (e *engine) grantPool(p *heldPool) (toOwn bool) {
	for _, name := range p.shards {
		h := e.shards[name]
		if v := h.core.RoomVersion(); v != h.roomVersion {
			h.roomVersion = v
			p.core.SetRoom(name, h.core.Room(e.now))
		}
	}
	if !p.core.Changed() {
		return false
	}
	decisions := p.core.Decide(e.now, e.paceOf(p))
	for _, d := range decisions {
		e.vm.metrics.grants.Inc(1)
		e.vm.metrics.grantedTasks.Inc(int64(d.Tasks))
		if d.Standing == policy.AboveFloor {
			e.vm.metrics.grantedAbove.Inc(int64(d.Tasks))
		}
		klog.InfoS("kept: granted", "id", d.ID, "home", d.Home, "shard", d.Shard, "token", d.Token, "number", d.Number, "tasks", d.Tasks,
			"ahead", d.Ahead, "priority", d.Priority, "standing", d.Standing, "waited", d.Waited, "demand_age", d.DemandAge, "room_age", d.RoomAge)
		e.updateReserved(p, d.Shard)
	}
	if holds := p.core.HoldsBack(); holds || p.heldBack {
		p.heldBack = holds
		for _, name := range p.shards {
			e.updateReserved(p, name)
		}
	}
	started := make(map[string]bool)
	for _, d := range decisions {
		if d.Home == e.vm.config.Name {
			e.receiveGrant(d.Home, d.Grant)
			started[d.Shard] = true
			continue
		}
		f := e.frame(d.Home)
		f.Grants = append(f.Grants, &pb.KeptGrant{Id: string(d.ID), Shard: d.Shard, Token: d.Token, Number: d.Number, Tasks: uint32(d.Tasks)})
	}
	for _, name := range slices.Sorted(maps.Keys(started)) {
		if h := e.shards[name]; h != nil {
			h.core.Tick(e.now)
			e.execute(name, h, h.core.TakeActions())
		}
	}
	return len(started) > 0
}

// paceOf returns a function for the pace of queues: how many times its estimate a run takes, as the mean of the
// shards of a pool that have seen runs of the queue; 1 if none has.
func (e *engine) paceOf(p *heldPool) func(queue string) float64 {
	known := make(map[string]float64)
	return func(queue string) float64 {
		if f, ok := known[queue]; ok {
			return f
		}
		sum, n := 0.0, 0
		for _, name := range p.shards {
			if f, ok := e.shards[name].core.Pace(queue); ok {
				sum += f
				n++
			}
		}
		known[queue] = 1
		if n > 0 {
			known[queue] = sum / float64(n)
		}
		return known[queue]
	}
}

// broadcastPools reports the demands on this VM's pools to the peers, in the frames that carry a load of the pool's
// failure domain, and at least every loadInterval.
func (e *engine) broadcastPools() {
	for domain, p := range e.heldPools {
		since := e.now - p.sentAt
		if since < loadInterval && !e.sentLoadOf(p) {
			continue
		}
		report := e.poolReport(domain, p)
		if since < loadInterval && report.capacityMilli == p.sentReport.capacityMilli && slices.Equal(report.queued, p.sentReport.queued) &&
			maps.Equal(report.standings, p.sentReport.standings) {
			continue
		}
		p.sentAt, p.sentReport = e.now, report
		e.pools[poolKey{report.holder, domain}] = &report
		allDomains := e.now-p.sentFarAt >= farLoadInterval || len(e.links) <= site.MaxFullMeshPeers
		if allDomains {
			p.sentFarAt = e.now
		}
		out := &pb.KeptPool{Domain: domain, RoomMilli: report.capacityMilli, Queued: encodeQueued(report.queued), Standings: encodeStandings(report.standings)}
		for _, peer := range e.loadReaders(domain, allDomains) {
			f := e.frame(peer)
			f.Pools = append(f.Pools, out)
		}
	}
}

// sentLoadOf reports whether the load of a shard of a pool is sent in this round.
func (e *engine) sentLoadOf(p *heldPool) bool {
	return slices.ContainsFunc(p.shards, func(name string) bool { return e.shards[name].loadSentAt == e.now })
}

// poolReport returns the demands on a pool and its capacity, by the latest loads of its shards.
func (e *engine) poolReport(domain string, p *heldPool) knownPool {
	report := knownPool{holder: e.vm.config.Name, domain: domain, receivedAt: e.now, standings: p.core.Standings()}
	for _, name := range p.shards {
		report.capacityMilli += e.shards[name].sentLoad.CapacityMilli
	}
	for _, q := range p.core.Queued(e.now, e.paceOf(p)) {
		report.queued = append(report.queued, shard.QueuedWork{
			Band:      q.Band,
			Priority:  q.Priority,
			Standing:  q.Standing,
			CPUMilli:  q.CPUMilli,
			DrainTime: timespan.OfNanos(q.Work / float64(max(report.capacityMilli, 1))),
		})
	}
	return report
}
