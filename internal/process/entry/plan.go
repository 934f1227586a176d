package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
)

const (
	planLook    = 100 * time.Millisecond // interval of checks whether a plan is due
	planEvery   = time.Second            // minimum time between plans, unless the domain's part changed
	planSettle  = 500 * time.Millisecond // how long a change of the workers must last to need a plan
	unheldGrace = 3 * time.Second        // time allowed for a worker to get a new holder
	coldStart   = 2 * time.Second        // how long the first plan waits for workers
	planTimeout = 2 * time.Second        // timeout of the store calls for one plan
)

// planner makes and applies the power plans of this VM's failure domain.
//
// A worker that no plan covers may use no more power than when idle, so no task
// that needs power starts before the first plan. The entry VM with the lowest name
// makes that plan once the configuration is known and every listed worker of the
// domain is leased, or after coldStart with power reserved for the others. A new
// plan follows when the domain's part in the configuration or the set of workers
// changes, or when a plan would recover unused power. If two VMs make a plan at
// once, the version of its key lets only one be stored. While the store is
// unavailable, the current plan remains in effect.
type planner struct {
	vm *VM

	mu           sync.Mutex
	facts        map[string]workerFacts // by worker
	holds        map[string]heldWorkers // by peer
	plan         power.Plan
	recoverAfter uint64 // revision after which the ledger requested a plan

	// Used only by the goroutine of run.
	began     time.Time // when this VM became the maker of the plans
	changed   time.Time // when the workers began to differ from the plan
	lastTry   time.Time
	failed    bool   // the last attempt to make a plan failed
	confirmed uint64 // revision that is confirmed in the store
}

// workerFacts is what is known about a worker that was leased in this domain.
type workerFacts struct {
	incarnation   uint64
	idle, ceiling power.Milliwatts
	held          time.Time // last seen leased
}

// heldWorkers is one version of the list of workers that a peer holds.
type heldWorkers struct {
	version uint64
	workers []*pb.HeldWorker
}

func newPlanner(vm *VM) *planner {
	return &planner{
		vm:    vm,
		facts: make(map[string]workerFacts),
		holds: make(map[string]heldWorkers),
	}
}

// wanted records the ledger's request for a plan.
func (p *planner) wanted(w power.PlanWanted) {
	p.mu.Lock()
	p.recoverAfter = w.After
	p.mu.Unlock()
}

// heard processes a peer's list of held workers. Adverts omit an unchanged list.
func (p *planner) heard(owner string, m *pb.Advert) {
	if m.Domain != p.vm.settings.Domain {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.WorkersVersion != p.holds[owner].version {
		p.holds[owner] = heldWorkers{m.WorkersVersion, m.Workers}
	}
}

const (
	watchWait  = 20 * time.Second
	watchRetry = 300 * time.Millisecond
)

// follow applies each newer plan of the domain.
func (p *planner) follow(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		m, err := p.vm.store.Watch(ctx, storeclient.ForPower, planKeyPrefix+p.vm.settings.Domain, version, watchWait)
		if err != nil {
			p.askPeers(ctx)
			pause.For(ctx, watchRetry)
			continue
		}
		if m.Changed {
			version = max(version, m.Version)
			p.applyText(m.Value)
		}
	}
}

// askPeers gets the plan from another entry VM of the domain when this one has no
// plan and the store is unavailable. Otherwise a VM that starts during an outage
// would hold leases of workers on which it may start nothing until the outage ends.
func (p *planner) askPeers(ctx context.Context) {
	if p.revision() > 0 {
		return
	}
	for _, address := range p.vm.peers.Addresses() {
		m, err := p.vm.peers.calls.LastPlan(ctx, address)
		if err == nil && m.Domain == p.vm.settings.Domain && len(m.Plan) > 0 {
			p.applyText(m.Plan)
			return
		}
	}
}

// last returns the current plan in its stored form.
func (p *planner) last() *pb.LastPlanResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &pb.LastPlanResponse{Domain: p.vm.settings.Domain}
	if p.plan.Revision > 0 {
		m.Plan, _ = json.Marshal(p.plan) // plain numbers and names
	}
	return m
}

func (p *planner) applyText(text []byte) {
	plan, err := decodePlan(text)
	if err != nil {
		klog.ErrorS(err, logPrefix+"plan refused")
		return
	}
	p.apply(plan)
}

// apply applies a plan if it is newer, so that a stale read cannot restore an
// earlier one.
func (p *planner) apply(plan power.Plan) {
	p.mu.Lock()
	newer := plan.Revision > p.plan.Revision
	if newer {
		p.plan = plan
	}
	p.mu.Unlock()
	if newer {
		p.vm.holder.SetPlan(plan)
		klog.InfoS(logPrefix+"power plan in force", "name", p.vm.settings.Name, "domain", p.vm.settings.Domain,
			"revision", plan.Revision, "part", plan.Part, "workers", len(plan.Workers))
	}
}

// run periodically checks whether this VM has to make a plan.
func (p *planner) run(ctx context.Context) {
	ticks := time.NewTicker(planLook)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C:
			p.look(ctx, now)
		}
	}
}

// look makes a plan if one is due and this VM is the maker of the domain's plans.
func (p *planner) look(ctx context.Context, now time.Time) {
	snapshot := p.vm.fleet.Latest()
	p.refresh(now, snapshot)
	doc := p.vm.Document()
	if doc == nil || !p.maker() {
		p.began, p.changed = time.Time{}, time.Time{}
		return
	}
	if p.began.IsZero() {
		p.began = now
	}
	part := power.Milliwatts(doc.Site.Domains[p.vm.settings.Domain])
	candidates := p.candidates(now, snapshot)
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	wish := p.due(now, part, candidates)
	if wish == noPlan {
		p.confirm(ctx)
		return
	}
	p.lastTry = now
	err := p.make(ctx, wish, part, power.Milliwatts(doc.Site.PowerCapMilliwatts), candidates)
	p.failed = err != nil
	if err != nil {
		klog.ErrorS(err, logPrefix+"no new power plan", "domain", p.vm.settings.Domain)
	}
}

// maker reports whether this VM makes the domain's plans.
func (p *planner) maker() bool {
	live := p.vm.peers.liveInDomain(p.vm.control.View())
	return len(live) > 0 && slices.Min(live) == p.vm.settings.Name
}

// refresh updates what is known about the workers from their holders.
func (p *planner) refresh(now time.Time, s *fleet.Snapshot) {
	live := p.vm.peers.addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now, p.vm.holder.Advert().Workers)
	for owner, holds := range p.holds {
		if _, ok := live[owner]; !ok {
			delete(p.holds, owner)
			continue
		}
		p.note(now, holds.workers)
	}
	maps.DeleteFunc(p.facts, func(id string, f workerFacts) bool {
		_, listed := s.Workers[id]
		return !listed && now.Sub(f.held) > unheldGrace
	})
}

func (p *planner) note(now time.Time, workers []*pb.HeldWorker) {
	for _, w := range workers {
		if p.facts[w.Id].incarnation > w.Incarnation {
			continue
		}
		p.facts[w.Id] = workerFacts{
			incarnation: w.Incarnation,
			idle:        power.Milliwatts(w.IdleMilliwatts),
			ceiling:     power.Milliwatts(w.CeilingMilliwatts),
			held:        now,
		}
	}
}

// candidates returns the listed workers of the domain. A worker that has had no
// lease holder for unheldGrace counts as unreachable, and its power ceiling stays
// reserved. The ceiling of a worker that was never leased is unknown; the greatest
// ceiling of the others is assumed.
func (p *planner) candidates(now time.Time, s *fleet.Snapshot) []power.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]power.Milliwatts)
	var most power.Milliwatts
	for _, w := range p.plan.Workers {
		known[w.Name] = w.Ceiling
		most = max(most, w.Ceiling)
	}
	for id, f := range p.facts {
		known[id] = f.ceiling
		most = max(most, f.ceiling)
	}
	var out []power.Candidate
	for id, w := range s.Workers {
		if w.Domain != p.vm.settings.Domain {
			continue
		}
		c := power.Candidate{Name: id, Ceiling: known[id]}
		if c.Ceiling == 0 {
			c.Ceiling = most
		}
		if f, ok := p.facts[id]; ok && now.Sub(f.held) <= unheldGrace {
			c.Incarnation, c.Idle = f.incarnation, f.idle
		}
		out = append(out, c)
	}
	return out
}

// wish is the reason for which a plan is due.
type wish int

const (
	noPlan wish = iota
	// higherPart: make a plan only if other domains have given up power for it.
	higherPart
	newPlan
)

// due decides whether a plan has to be made now.
func (p *planner) due(now time.Time, part power.Milliwatts, candidates []power.Candidate) wish {
	p.mu.Lock()
	plan, recoverAfter := p.plan, p.recoverAfter
	p.mu.Unlock()
	since := now.Sub(p.lastTry)
	switch {
	case len(candidates) == 0 || part == 0:
		return noPlan
	case part < plan.Part && !p.failed:
		return newPlan // the site is above its cap until this is done
	case since < planEvery:
		return noPlan
	case plan.Revision == 0:
		if allLeased(candidates) || now.Sub(p.began) >= coldStart {
			return newPlan
		}
		return noPlan
	case part < plan.Part || recoverAfter == plan.Revision || p.settled(now, differs(plan, candidates)):
		return newPlan
	case part > plan.Part:
		return higherPart
	}
	return noPlan
}

// settled reports whether a difference has lasted for planSettle, so that workers
// that join one after another need only one plan.
func (p *planner) settled(now time.Time, differs bool) bool {
	if !differs {
		p.changed = time.Time{}
		return false
	}
	if p.changed.IsZero() {
		p.changed = now
	}
	return now.Sub(p.changed) >= planSettle
}

func allLeased(candidates []power.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c power.Candidate) bool { return c.Incarnation == 0 })
}

// differs reports whether workers joined, left, or are leased without being covered
// by the plan. A worker that is no longer leased is no reason for a plan: it would
// lose its share, and most such workers return.
func differs(plan power.Plan, candidates []power.Candidate) bool {
	planned := make(map[string]uint64, len(plan.Workers))
	for _, w := range plan.Workers {
		planned[w.Name] = w.Incarnation
	}
	for _, c := range candidates {
		incarnation, ok := planned[c.Name]
		if !ok || c.Incarnation > incarnation {
			return true
		}
	}
	return len(planned) != len(candidates)
}

// make publishes the next plan. The plan's key is read before the site's key: a plan
// that another VM publishes in between changes the version of the plan's key, so
// that this plan, made from an older division of the cap, is not stored.
func (p *planner) make(ctx context.Context, wish wish, wanted, siteCap power.Milliwatts, candidates []power.Candidate) error {
	domain := p.vm.settings.Domain
	stored, version, err := readPlan(ctx, p.vm.store, domain)
	if err != nil {
		return err
	}
	if stored.Revision > p.revision() {
		p.apply(stored)
		return nil
	}
	var revision uint64
	var part power.Milliwatts
	reserved, err := changeSite(ctx, p.vm.store, func(s *storedSite) bool {
		revision, part = 0, s.allowed(domain, wanted, siteCap)
		if wish == higherPart && part <= stored.Part {
			return false
		}
		revision = max(stored.Revision, s.Domains[domain].Revision) + 1
		s.reserve(domain, revision, part)
		return true
	})
	if err != nil || !reserved || revision == 0 {
		return err
	}
	plan, err := power.Build(revision, part, candidates)
	if err != nil {
		return err
	}
	swapped, err := swap(ctx, p.vm.store, planKeyPrefix+domain, plan, version)
	if swapped {
		p.apply(plan)
	}
	return err
}

func (p *planner) revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.Revision
}

// confirm records in the store, once, that the whole domain follows its plan, so
// that other domains may use the power that this one gave up.
func (p *planner) confirm(ctx context.Context) {
	status := p.vm.holder.PowerStatus()
	if !status.Complete || status.Revision == p.confirmed {
		return
	}
	done, err := changeSite(ctx, p.vm.store, func(s *storedSite) bool {
		return s.confirm(p.vm.settings.Domain, status.Revision)
	})
	if err == nil && done {
		p.confirmed = status.Revision
	}
}

// Broadcast implements holder.PowerPeers.
func (p *peerSet) Broadcast(m *pb.Power) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.up && l.vm.Domain == p.vm.settings.Domain {
			l.link.Send(&pb.RunRequest{Power: m})
		}
	}
}

// SendTo implements holder.PowerPeers.
func (p *peerSet) SendTo(name string, m *pb.Power) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[name]; l != nil && l.up {
		l.link.Send(&pb.RunRequest{Power: m})
	}
}
