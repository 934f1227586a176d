package vm

import (
	"time"

	"k8s.io/klog/v2"
)

// Offloading of a shard's waiting tasks.
const (
	offloadInterval = 10 * time.Millisecond // between two looks
	// maxOffloadWithoutWorkers is what a shard without workers may give away at once: any other serves it better.
	maxOffloadWithoutWorkers = 64
)

// offload has a shard with waiting tasks give some of them to others that have free room, as far as
// is known here. All shards that have something waiting share that room.
func (e *engine) offload(name string, h *heldShard) {
	waited := time.Duration(e.vm.config.Policy.OffloadMillis) * time.Millisecond
	if waited == 0 || e.now-h.offloadAt < offloadInterval {
		return
	}
	h.offloadAt = e.now
	n := h.core.Offload(e.now, waited, func(milli int64) int { return e.freeSlotsElsewhere(name, milli) })
	if n > 0 {
		klog.InfoS("kept: tasks given back, others have room", "shard", name, "token", h.holding.Token, "tasks", n)
	}
}

// fitsElsewhere is how many tasks of a size a shard may give away.
func (e *engine) freeSlotsElsewhere(name string, size int64) int {
	free, full, room := 0, 1, int64(0)
	for other, l := range e.loads {
		if other == name || !e.reachable(other) {
			continue
		}
		room += l.CapacityMilli
		if len(l.Queued) > 0 {
			full++
			continue
		}
		free += max(l.FreeSlots(size, 0)-int(l.sentMilli/size), 0)
	}
	if own := e.loads[name]; own != nil && own.CapacityMilli == 0 && room > 0 {
		return maxOffloadWithoutWorkers
	}
	return free / full
}
