package policy

import "time"

// Reason is why a submission is refused; "": it is not.
type Reason string

// The reasons. A refused submission has not run, and will not.
const (
	NoShard   Reason = "no_shard_reachable"
	NoWorker  Reason = "no_worker_of_the_service"
	Evacuated Reason = "domains_evacuated" // all that can be reached and have workers of the service
	Forecast  Reason = "forecast_too_late"
	Hopeless  Reason = "too_late_by_now"
	OutOfTime Reason = "waited_its_share"
)

// Refused reports whether there is a reason.
func (r Reason) Refused() bool { return r != "" }

// Admit decides, when a submission comes, whether one of the shards that can be reached
// would do it while its caller has a use for the answer.
func Admit(now time.Duration, w *Work, shards []Candidate) Reason {
	if len(shards) == 0 {
		return NoShard
	}
	if w.Band(now+LeastWait(shards)) == TooLate {
		return Forecast
	}
	return ""
}

// LeastWait is the time until a task would start at the shard where it would start first.
// There is one shard at least. One without room, as it has lost its workers, has nothing to
// wait for either: it counts only if no other is there.
func LeastWait(shards []Candidate) time.Duration {
	least, found := time.Duration(0), false
	for _, c := range shards {
		if c.Room > 0 && (!found || c.Wait < least) {
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
		return Hopeless
	case s.WaitShare > 0 && w.Patience > 0 && now-w.Came > time.Duration(s.WaitShare*float64(w.Patience)):
		return OutOfTime
	default:
		return ""
	}
}
