package policy

import "time"

// RetrySchedule spreads the retries of the callers that an entry VM has refused. The zero value is
// that of a VM that has refused nobody.
type RetrySchedule struct {
	nextTurn time.Duration // earliest retry of the next refused caller
	overload overload
}

// overload is the present overload of an entry VM, by its refusals.
type overload struct {
	start       time.Duration
	lastRefusal time.Duration
}

// refused records a refusal, and returns how long the overload has lasted.
func (o *overload) refused(now time.Duration) time.Duration {
	if o.lastRefusal == 0 || now-o.lastRefusal > overloadGap {
		o.start = now
	}
	o.lastRefusal = now
	return now - o.start
}

// Parameters of the retry times.
const (
	minRetryAfter = time.Second // the Retry-After header has whole seconds
	// maxRetryAfter is as long as an urgent caller can be expected to wait. Longer times would be
	// no better, as the load is a different one by then.
	maxRetryAfter = 30 * time.Second
	// overloadGap is the time without a refusal after which an overload has ended. Waves of demand
	// of a few seconds each thus count as one overload.
	overloadGap = 2 * time.Second
	// overloadDurationFactor is how many times its present duration an overload is assumed to
	// continue. With 1, half of the retries meet the same overload, with 3 a quarter; higher values
	// keep callers waiting for longer and gain little.
	overloadDurationFactor = 3
)

// RetryAfter returns after what time a refused caller should retry. wait is the present waiting
// time of the shortest queue, work the time that the caller's work takes on its share of the capacity.
//
// The retry is due when the queued work is done, but not before the overload is likely to be over,
// and after the retries of the callers refused before it. How long an overload will last is not
// known; it is assumed to continue for overloadDurationFactor times as long as it has lasted. Each
// retry gets a slot of twice the caller's work, as half of the capacity serves new callers.
//
// With the same time for all, the callers refused in one second would come back in the same second,
// into the same overload, and be refused again. In a closed loop with ten seconds of overload, this
// schedule serves more than three in four retries; a constant time of one second serves one in nine.
func (t *RetrySchedule) RetryAfter(now, wait, work time.Duration) time.Duration {
	at := max(t.nextTurn, now+max(wait, overloadDurationFactor*t.overload.refused(now), minRetryAfter))
	at = min(at, now+maxRetryAfter)
	t.nextTurn = at + 2*work
	return at - now
}
