package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// admission decides on arrival whether to refuse a submission that shards can take. Stored submissions wait as
// long as it takes unless the queued work alone makes them too late.
func (e *engine) admission(r *submission.Record, receivedAt time.Duration, shards []policy.Candidate) policy.Reason {
	if reason := e.endsTooLate(r); reason.Refused() {
		return reason
	}
	work := e.policyWork(r, receivedAt)
	p := &e.vm.config.Policy
	if !p.ForecastRates || !r.Transient || len(shards) == 0 {
		return policy.Admit(e.now, work, shards)
	}
	b := e.backlog(r, shards)
	f := p.Forecast(e.now, work, b)
	reason := p.AdmitForecast(work, f)
	if f.Start > e.now || reason.Refused() {
		e.vm.metrics.queue(r.Queue).countForecast(forecastName(f, reason))
		klog.InfoS("kept: forecast", "id", r.ID, "queue", r.Queue, "tasks", r.TaskCount(), "objective", work.Objective, "ends_after", f.End-receivedAt,
			"ahead", b.Ahead, "in_time", b.InTime, "late", b.Late, "overtaking", b.Overtaking, "arriving", b.Arriving, "refused", string(reason))
	}
	return reason
}

// logReceived logs what a submission asks for, for tools that judge decisions afterwards.
func (e *engine) logReceived(ev *submitEvent) {
	v := klog.V(1)
	if !v.Enabled() {
		return
	}
	r, work := ev.record, e.policyWork(ev.record, ev.receivedAt)
	v.InfoS("kept: received", "id", r.ID, "queue", r.Queue, "priority", work.Priority, "steps", len(r.Steps), "tasks", r.TaskCount(),
		"cpu_milli", largestTaskMilli(r), "memory_mb", largestTaskMB(r), "estimate", work.RunTime, "objective", work.Objective,
		"timeout", work.CallerTimeout, "ago", e.now-ev.receivedAt)
}

// forecastName names a forecast in metrics.
func forecastName(f policy.Forecast, reason policy.Reason) string {
	switch {
	case reason.Refused():
		return "refused"
	case f.Band == policy.InTime:
		return "in_time"
	default:
		return "late"
	}
}

// backlog sums the loads of the shards that can take a submission, and what waits for grants of pools.
func (e *engine) backlog(r *submission.Record, shards []policy.Candidate) policy.Backlog {
	loads := make([]*shard.Load, 0, len(shards))
	free := 0
	for _, c := range shards {
		loads = append(loads, e.loadFor(r, e.loads[c.Shard]))
		free += c.Free
	}
	var waiting []shard.WaitingWork
	for _, p := range e.pools {
		if e.isFresh(p) && len(p.queued) > 0 {
			waiting = append(waiting, shard.WaitingWork{Queued: shard.SeenBy(e.groupOf(r), p.queued, p.standings), CapacityMilli: p.capacityMilli})
		}
	}
	b := shard.Backlog(loads, waiting, r.Terms.Priority, largestTaskMilli(r))
	b.Own = shard.OwnWork(loads, r.TaskCount(), largestTaskMilli(r), r.CriticalPath())
	b.FreeSlots = free // less what this VM has sent since
	return b
}
