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
	// submissions wait that come in soon after: their callers may have left, too.
	standstillSettleTime = 50 * time.Millisecond
	// standstillBacklogTime is how long after a standstill requests may still be read that had come before.
	standstillBacklogTime = 500 * time.Millisecond
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
	e.backlogUntil = e.vm.now() + standstillBacklogTime
}

// mayBeBacklog reports whether a submission came in so soon after a standstill that it may have waited in its socket, and
// not long enough ago to know that its caller is still there.
func (e *engine) mayBeBacklog(ev submitEvent) bool {
	return ev.receivedAt < e.backlogUntil && e.now-ev.receivedAt < standstillSettleTime
}
