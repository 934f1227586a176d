package policy

import "time"

// Reason is why a submission is refused; "": it is not.
type Reason string

// The reasons. A refused submission has not run, and will not.
const (
	NoShardReachable    Reason = "no_shard_reachable"
	NoWorkerForService  Reason = "no_worker_of_the_service"
	AllDomainsEvacuated Reason = "domains_evacuated" // all that can be reached and have workers of the service
	ForecastTooLate     Reason = "forecast_too_late"
	TooLateByNow        Reason = "too_late_by_now"
	WaitShareUsedUp     Reason = "waited_its_share"
)

// Refused reports whether there is a reason.
func (r Reason) Refused() bool { return r != "" }

// Admit decides, when a submission comes, whether one of the shards that can be reached
// would do it while its caller has a use for the answer.
func Admit(now time.Duration, w *Work, shards []Candidate) Reason {
	if len(shards) == 0 {
		return NoShardReachable
	}
	if w.Band(now+MinWait(shards)) == TooLate {
		return ForecastTooLate
	}
	return ""
}

// MinWait is the time until a task would start at the shard where it would start first.
// There is one shard at least. One without room, as it has lost its workers, has nothing to
// wait for either: it counts only if no other is there.
func MinWait(shards []Candidate) time.Duration {
	least, found := time.Duration(0), false
	for _, c := range shards {
		if c.Capacity > 0 && (!found || c.Wait < least) {
			least, found = c.Wait, true
		}
	}
	return least
}

// KeepWaiting decides whether a submission of which nothing has begun goes on waiting for
// room at its shard.
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
