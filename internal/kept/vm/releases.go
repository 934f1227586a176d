package vm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
)

// Lines of one kind that are written in a second.
const (
	maxReleaseLines    = 200
	maxUnexpectedLines = 100
)

// logReleases logs and counts the tasks of which a start was ordered and that were released.
func (e *engine) logReleases(name string, token uint64, releases []shard.ReleaseAction) {
	for _, r := range releases {
		e.vm.metrics.countRelease(r.Reason.String())
		omitted, allowed := e.releaseLines.allow(e.now, maxReleaseLines)
		if !allowed {
			continue
		}
		klog.InfoS("kept: task released", "id", r.Task.ID, "step", r.Task.Step, "index", r.Task.Index, "run", r.Run,
			"worker", r.Worker, "shard", name, "token", token, "why", r.Reason.String(), "starts_again", r.StartsAgain,
			"since_start", ageString(r.SinceStart), "since_listing", ageString(r.SinceListing), "omitted", omitted)
	}
}

// logUnexpected logs and counts the runs that workers list though their tasks were released or have other runs.
func (e *engine) logUnexpected(name string, token uint64, runs []shard.UnexpectedRunAction) {
	for _, r := range runs {
		e.vm.metrics.unexpectedRuns.Inc(1)
		omitted, allowed := e.unexpectedLines.allow(e.now, maxUnexpectedLines)
		if !allowed {
			continue
		}
		klog.InfoS("kept: run listed that should not be", "id", r.Task.ID, "step", r.Task.Step, "index", r.Task.Index, "run", r.Run,
			"worker", r.Worker, "shard", name, "token", token, "started_here", r.StartedHere, "stop_sent", r.StopSent,
			"task_state", r.State, "newest_run", r.NewestRun, "newest_at", r.NewestAt,
			"released", r.Released.String(), "released_run", r.ReleasedRun, "released_ago", ageString(r.ReleasedAgo), "omitted", omitted)
	}
}

// ageString returns an age for a log line; a negative one is not known.
func ageString(age time.Duration) string {
	if age < 0 {
		return "unknown"
	}
	return age.String()
}
