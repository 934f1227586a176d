package policy

import "time"

// Reason is why a submission is refused; "" means that it is not refused.
type Reason string

// The reasons. A refused submission has not run and will not run.
const (
	NoShardReachable    Reason = "no_shard_reachable"
	NoWorkerForService  Reason = "no_worker_of_the_service"
	AllDomainsEvacuated Reason = "domains_evacuated" // each reachable domain with workers of the service is evacuated
	ForecastTooLate     Reason = "forecast_too_late" // on arrival: it would end too late on every reachable shard
	// ForecastWaitsTooLong: on arrival, it would still wait when it has WaitShareUsedUp.
	ForecastWaitsTooLong Reason = "forecast_waits_too_long"
	TooLateByNow         Reason = "too_late_by_now"  // while it waited: it would end too late even if it started now
	VMStops              Reason = "vm_stops"         // the entry VM is stopped before the submission could be completed
	WaitShareUsedUp      Reason = "waited_its_share" // it has waited for Settings.WaitShare of its caller's timeout
)

// Refused reports whether there is a reason to refuse.
func (r Reason) Refused() bool { return r != "" }

// Admit decides, when a submission arrives, whether any reachable shard can finish it before it
// is TooLate.
func Admit(now time.Duration, w *Work, shards []Candidate) Reason {
	if len(shards) == 0 {
		return NoShardReachable
	}
	if w.Band(now+MinWait(shards)) == TooLate {
		return ForecastTooLate
	}
	return ""
}

// MinWait is the shortest time until one of the shards would start a task; there must be at
// least one shard.
//
// A shard that has lost its workers has no capacity and an empty queue, so its wait of 0 is not a
// forecast. It is ignored; if no shard has capacity, the result is 0.
func MinWait(shards []Candidate) time.Duration {
	shortest, found := time.Duration(0), false
	for _, c := range shards {
		if c.Capacity > 0 && (!found || c.Wait < shortest) {
			shortest, found = c.Wait, true
		}
	}
	return shortest
}

// KeepWaiting decides whether a submission of which no task has started may go on waiting for
// capacity at its shard. It returns the reason to refuse it, or "".
func (s *Settings) KeepWaiting(now time.Duration, w *Work) Reason {
	switch {
	case w.Band(now) == TooLate:
		return TooLateByNow
	case s.WaitShare > 0 && w.CallerTimeout > 0 && now-w.ReceivedAt > time.Duration(s.WaitShare*float64(w.CallerTimeout)):
		return WaitShareUsedUp
	default:
		return ""
	}
}
