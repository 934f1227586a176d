package vm

import (
	"time"

	"k8s.io/klog/v2"
)

// Limits of offloading waiting tasks to other shards.
const (
	offloadInterval = 10 * time.Millisecond // between two checks of a shard
	// maxOffloadWithoutWorkers is how many tasks a shard without workers may return at once: any other shard
	// serves them better.
	maxOffloadWithoutWorkers = 64
)

// offload makes a shard return tasks that have waited too long if other shards have free capacity, by their
// last load reports. The shards with waiting tasks share that capacity.
func (e *engine) offload(name string, h *heldShard) {
	waited := time.Duration(e.vm.config.Policy.OffloadMillis) * time.Millisecond
	if waited == 0 || e.now-h.offloadAt < offloadInterval {
		return
	}
	h.offloadAt = e.now
	n := h.core.Offload(e.now, waited, func(milli int64) int { return e.freeSlotsElsewhere(name, milli) })
	if n > 0 {
		klog.InfoS("kept: tasks returned, other shards have free capacity", "shard", name, "token", h.holding.Token, "tasks", n)
	}
}

// freeSlotsElsewhere returns how many tasks of a size, in thousandths of a core, a shard may return: its share
// of the free slots of the other shards.
func (e *engine) freeSlotsElsewhere(name string, sizeMilli int64) int {
	free, full, capacity := 0, 1, int64(0)
	for other, l := range e.loads {
		if other == name || !e.reachable(other) {
			continue
		}
		capacity += l.CapacityMilli
		if len(l.Queued) > 0 {
			full++
			continue
		}
		free += max(l.FreeSlots(sizeMilli, 0)-int(l.sentMilli/sizeMilli), 0)
	}
	if own := e.loads[name]; own != nil && own.CapacityMilli == 0 && capacity > 0 {
		return maxOffloadWithoutWorkers
	}
	return free / full
}
