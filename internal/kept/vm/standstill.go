package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// A VM that stood still does not know which of its callers have left meanwhile and have sent their submissions to other
// VMs. Their connections tell it within some milliseconds. Until then it would go on with work that runs elsewhere.

const (
	// maxStandstill is how long a VM may stand still and go on at once. Callers submit again 1.3 s after their connection
	// has broken.
	maxStandstill = time.Second
	// standstillSettleTime is how long a VM that stood still for longer waits for news of its callers, and how long
	// submissions wait that come in then: their callers may have left, too.
	standstillSettleTime = 50 * time.Millisecond
)

// settleAfterStandstill lets some time pass if this VM stood still since the previous round. It is called before the events
// are taken, so that callers' departures are among them.
func (e *engine) settleAfterStandstill() {
	stoodStill := e.vm.now() - e.now
	if e.now == 0 || stoodStill <= maxStandstill {
		return
	}
	klog.InfoS("kept: this VM stood still", "for", stoodStill, "transients", len(e.open), "deferred", len(e.deferred))
	pause.For(e.ctx, standstillSettleTime)
	e.settledAt = e.vm.now() + standstillSettleTime
}

// isSettling reports whether this VM stood still just before.
func (e *engine) isSettling() bool { return e.now < e.settledAt }
