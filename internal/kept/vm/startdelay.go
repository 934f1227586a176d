package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

const (
	lateStart         = 100 * time.Millisecond // from the decision of a start to its sending: then a line tells of it
	maxLateStartLines = 50                     // a second
)

// recordStartDelay records how long after its decision a start is sent.
func (ws *workerSession) recordStartDelay(s worker.Start, delay time.Duration) {
	ws.vm.metrics.startDelay.RecordDuration(delay)
	if delay < lateStart {
		return
	}
	if omitted, allowed := ws.vm.startLines.allow(ws.vm.now(), maxLateStartLines); allowed {
		klog.InfoS("kept: start sent late", "id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run,
			"worker", ws.info.Load().ID, "shard", ws.shard, "token", ws.token, "deadline", s.Deadline, "delay", delay, "omitted", omitted)
	}
}
