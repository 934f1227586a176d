package placement

// Tier is how far a worker is trusted. Lower tiers are used first.
type Tier uint8

const (
	// Healthy workers take tasks up to their capacity.
	Healthy Tier = iota
	// Probation is for workers that have not proven themselves: one task at a time.
	Probation
	// Slow workers take tasks up to their capacity when no better one is free.
	Slow
	// Suspect workers failed lately: one task at a time, after all others.
	Suspect
	// Ejected workers get no task.
	Ejected

	tiers = int(Ejected) // tiers that can be placed on
)

// String returns the tier's name in lower case.
func (t Tier) String() string {
	switch t {
	case Healthy:
		return "healthy"
	case Probation:
		return "probation"
	case Slow:
		return "slow"
	case Suspect:
		return "suspect"
	case Ejected:
		return "ejected"
	}
	return "unknown"
}

// oneAtATime reports whether a worker of the tier runs one task at a time.
func (t Tier) oneAtATime() bool {
	return t == Probation || t == Suspect
}

// Worker describes a worker whose lease is held here.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	Tier     Tier
}

// WorkerStatus is one worker's accounts.
type WorkerStatus struct {
	Worker
	Used    Resources
	Running uint32 // tasks
	// Misfreed counts tasks that were reported as ended and were not accounted
	// for here. Anything but 0 is a fault of the caller.
	Misfreed uint32
}

// worker is the internal record of a Worker.
type worker struct {
	// rank orders workers by class and then by level, the best first.
	rank uint16
	WorkerStatus
	free     Resources
	rack     *rack
	position int // in Placer.workers

	// Place in the index.
	shelf      *shelf // nil: not indexed
	next, prev *worker

	// Assignment made in the current call.
	call       uint64
	assignment int

	// Place in the allowed set that was resolved last.
	resolve uint64
	turn    int
}

// refresh recomputes what is free after a change of capacity or use.
func (w *worker) refresh() {
	w.free = w.Capacity.minus(&w.Used)
}

// offered returns the slots that Place can fill now.
func (w *worker) offered() uint32 {
	if w.Tier >= Ejected {
		return 0
	}
	if !w.Tier.oneAtATime() {
		return w.free.Slots
	}
	if w.Running > 0 {
		return 0
	}
	return min(w.free.Slots, 1)
}

// verdict runs the filters for one task, in the order in which they are most
// likely to refuse.
func (w *worker) verdict(each *Resources) misfit {
	if w.Tier >= Ejected {
		return ejected
	}
	if w.Tier.oneAtATime() && w.Running > 0 {
		return busyOnTrial
	}
	return w.free.misfit(each, 1)
}

// room returns how many tasks of size each fit, up to limit. The worker has
// passed the filters for one.
func (w *worker) room(each *Resources, limit uint32) uint32 {
	if w.Tier.oneAtATime() {
		return 1
	}
	count := limit
	for count > 1 && !w.free.fits(each, count) {
		count--
	}
	return count
}
