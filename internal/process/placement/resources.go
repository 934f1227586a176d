package placement

// Resources is what one task needs, or what one worker can give.
type Resources struct {
	Slots        uint32 // concurrent tasks
	MilliCPU     uint32 // thousandths of a processor
	MemoryMiB    uint32 // mebibytes
	Accelerators uint32 // whole devices
	Milliwatts   uint32 // draw above idle
}

// fits reports whether count tasks of size each fit into r.
func (r *Resources) fits(each *Resources, count uint32) bool {
	return r.misfit(each, count) == noMisfit
}

// misfit returns the first resource of which r has too little for count tasks
// of size each.
func (r *Resources) misfit(each *Resources, count uint32) misfit {
	n := uint64(count)
	switch {
	case uint64(each.Slots)*n > uint64(r.Slots):
		return shortOfSlots
	case uint64(each.Milliwatts)*n > uint64(r.Milliwatts):
		return shortOfWatts
	case uint64(each.MemoryMiB)*n > uint64(r.MemoryMiB):
		return shortOfMemory
	case uint64(each.MilliCPU)*n > uint64(r.MilliCPU):
		return shortOfCPU
	case uint64(each.Accelerators)*n > uint64(r.Accelerators):
		return shortOfAccelerators
	}
	return noMisfit
}

// add grows r by count tasks of size each, up to the largest value.
func (r *Resources) add(each *Resources, count uint32) {
	r.Slots = saturatingAdd(r.Slots, each.Slots, count)
	r.MilliCPU = saturatingAdd(r.MilliCPU, each.MilliCPU, count)
	r.MemoryMiB = saturatingAdd(r.MemoryMiB, each.MemoryMiB, count)
	r.Accelerators = saturatingAdd(r.Accelerators, each.Accelerators, count)
	r.Milliwatts = saturatingAdd(r.Milliwatts, each.Milliwatts, count)
}

// sub shrinks r by count tasks of size each, down to zero. It reports false
// when r held less than that.
func (r *Resources) sub(each *Resources, count uint32) bool {
	exact := r.fits(each, count)
	r.Slots = saturatingSub(r.Slots, each.Slots, count)
	r.MilliCPU = saturatingSub(r.MilliCPU, each.MilliCPU, count)
	r.MemoryMiB = saturatingSub(r.MemoryMiB, each.MemoryMiB, count)
	r.Accelerators = saturatingSub(r.Accelerators, each.Accelerators, count)
	r.Milliwatts = saturatingSub(r.Milliwatts, each.Milliwatts, count)
	return exact
}

// minus returns what is left of r when used is taken away. A worker whose
// allotment of watts was cut below its use has nothing left.
func (r Resources) minus(used *Resources) Resources {
	r.sub(used, 1)
	return r
}

// max returns the larger of r and other, resource by resource.
func (r Resources) max(other Resources) Resources {
	return Resources{
		Slots:        max(r.Slots, other.Slots),
		MilliCPU:     max(r.MilliCPU, other.MilliCPU),
		MemoryMiB:    max(r.MemoryMiB, other.MemoryMiB),
		Accelerators: max(r.Accelerators, other.Accelerators),
		Milliwatts:   max(r.Milliwatts, other.Milliwatts),
	}
}

// share returns the free share of the scarcest resource of a worker with the
// given capacity, in whole steps from 0 to steps. Resources that the worker
// does not have at all are left out.
func (r *Resources) share(capacity *Resources, steps uint32) uint32 {
	least := steps
	least = min(least, shareOf(r.Slots, capacity.Slots, steps))
	least = min(least, shareOf(r.MilliCPU, capacity.MilliCPU, steps))
	least = min(least, shareOf(r.MemoryMiB, capacity.MemoryMiB, steps))
	least = min(least, shareOf(r.Accelerators, capacity.Accelerators, steps))
	least = min(least, shareOf(r.Milliwatts, capacity.Milliwatts, steps))
	return least
}

func shareOf(free, capacity, steps uint32) uint32 {
	if capacity == 0 {
		return steps
	}
	return uint32(uint64(free) * uint64(steps) / uint64(capacity))
}

func saturatingAdd(a, each, count uint32) uint32 {
	sum := uint64(a) + uint64(each)*uint64(count)
	return uint32(min(sum, uint64(^uint32(0))))
}

func saturatingSub(a, each, count uint32) uint32 {
	drop := uint64(each) * uint64(count)
	if drop >= uint64(a) {
		return 0
	}
	return a - uint32(drop)
}
