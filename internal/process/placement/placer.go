package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Assignment gives one worker a number of tasks of the request.
type Assignment struct {
	Worker string
	Count  int
}

// Request asks for places for tasks of one job.
type Request struct {
	Count   int        // tasks
	Each    Resources  // need of one task; a need of 0 slots is taken as 1
	Allowed AllowedSet // nil: every worker
}

// Placer keeps the accounts of the workers held here and chooses among them.
type Placer struct {
	settings  Settings
	rng       *rand.Rand
	workers   []*worker
	byID      map[string]*worker
	racks     map[string]*rack
	index     index
	free      uint64 // slots that Place can fill now
	byTier    [tiers + 1]int
	largest   Resources
	measured  bool   // largest is up to date
	members   uint64 // grows when a worker joins or goes
	calls     uint64 // of Place
	shortages shortages
	resolves  uint64 // of allowed sets

	// Scratch space of one call.
	aside []*worker
	ranks []uint16
}

// New returns an empty Placer. The settings must be valid.
func New(settings Settings) *Placer {
	if err := settings.Validate(); err != nil {
		panic(err)
	}
	p := &Placer{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, 0)),
		byID:     make(map[string]*worker),
		racks:    make(map[string]*rack),
	}
	p.index.init()
	return p
}

// SetWorker adds a worker, or changes the capacity, rack and tier of one that
// is known. What runs on a known worker stays accounted for.
func (p *Placer) SetWorker(spec Worker) {
	w := p.byID[spec.ID]
	if w == nil {
		w = p.join(spec.ID)
	}
	p.change(w, func() {
		p.leaveRack(w)
		w.Worker = spec
		p.enterRack(w)
	})
	p.measured = false
}

// RemoveWorker forgets a worker and what runs on it.
func (p *Placer) RemoveWorker(id string) {
	w := p.byID[id]
	if w == nil {
		return
	}
	p.detach(w)
	p.shortages.forgetAll()
	p.leaveRack(w)
	delete(p.byID, id)
	last := len(p.workers) - 1
	p.workers[w.position] = p.workers[last]
	p.workers[w.position].position = w.position
	p.workers[last] = nil
	p.workers = p.workers[:last]
	p.members++
	p.measured = false
}

// SetTier changes how far a worker is trusted. Unknown workers are ignored.
func (p *Placer) SetTier(id string, tier Tier) {
	w := p.byID[id]
	if w == nil || w.Tier == tier {
		return
	}
	p.change(w, func() { w.Tier = tier })
}

// SetMilliwatts changes what the tasks of a worker may draw together, with its
// part of the power cap. Unknown workers are ignored.
func (p *Placer) SetMilliwatts(id string, milliwatts uint32) {
	w := p.byID[id]
	if w == nil || w.Capacity.Milliwatts == milliwatts {
		return
	}
	p.change(w, func() { w.Capacity.Milliwatts = milliwatts })
	p.measured = false
}

// Free gives back count tasks of size each. It must be called only when the
// worker reported that they ended. It reports false when they were not
// accounted for here; what was accounted for is freed all the same.
func (p *Placer) Free(id string, each Resources, count int) bool {
	w := p.byID[id]
	if w == nil || count <= 0 {
		return false
	}
	each.Slots = max(each.Slots, 1)
	n := uint32(count)
	exact := w.Running >= n
	p.detach(w)
	exact = w.Used.sub(&each, n) && exact
	w.Running = saturatingSub(w.Running, 1, n)
	if !exact {
		w.Misfreed += n
	}
	p.attach(w)
	p.shortages.gain(w)
	return exact
}

// Occupy accounts for count tasks of size each that an earlier holder of the
// lease started and that still run. It reports false for an unknown worker.
func (p *Placer) Occupy(id string, each Resources, count int) bool {
	w := p.byID[id]
	if w == nil || count <= 0 {
		return false
	}
	each.Slots = max(each.Slots, 1)
	p.detach(w)
	w.Used.add(&each, uint32(count))
	w.Running += uint32(count)
	p.attach(w)
	return true
}

// Largest returns the largest capacity of any worker, resource by resource,
// ejected workers included: they may return. Its milliwatts are of the present
// allotments, which move; a task that exceeds them may fit later.
func (p *Placer) Largest() Resources {
	if p.measured {
		return p.largest
	}
	p.largest = Resources{}
	for _, w := range p.workers {
		p.largest = p.largest.max(w.Capacity)
	}
	p.measured = true
	return p.largest
}

// FreeSlots returns how many slots Place can fill now.
func (p *Placer) FreeSlots() int {
	return int(p.free)
}

// Status returns every worker's accounts, ordered by ID.
func (p *Placer) Status() []WorkerStatus {
	all := make([]WorkerStatus, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, w.WorkerStatus)
	}
	slices.SortFunc(all, func(a, b WorkerStatus) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (p *Placer) join(id string) *worker {
	w := &worker{position: len(p.workers), rank: unplaceable}
	p.byTier[w.Tier]++
	p.workers = append(p.workers, w)
	p.byID[id] = w
	p.members++
	return w
}

func (p *Placer) enterRack(w *worker) {
	r := p.racks[w.Rack]
	if r == nil {
		r = &rack{name: w.Rack}
		p.racks[w.Rack] = r
	}
	r.members++
	w.rack = r
}

func (p *Placer) leaveRack(w *worker) {
	if w.rack == nil {
		return
	}
	w.rack.members--
	if w.rack.members == 0 {
		delete(p.racks, w.rack.name)
	}
	w.rack = nil
}

// change applies a change to w and puts it where it now belongs.
func (p *Placer) change(w *worker, apply func()) {
	p.detach(w)
	apply()
	p.attach(w)
	p.shortages.gain(w)
}

// detach takes w out of the index and the total before it changes.
func (p *Placer) detach(w *worker) {
	p.byTier[w.Tier]--
	p.free -= uint64(w.offered())
	p.index.remove(w)
}

// attach puts w back after it changed.
func (p *Placer) attach(w *worker) {
	w.refresh()
	p.byTier[w.Tier]++
	p.free += uint64(w.offered())
	p.index.insert(w)
}
