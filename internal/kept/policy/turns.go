package policy

import "time"

// Turns is the order in which the refused callers of an entry VM may come back. Its zero
// value is that of a VM that has refused nobody.
type RetrySchedule struct {
	nextTurn      time.Duration // when the next one's turn is
	overloadStart time.Duration // when the present overload began
	lastRefusal   time.Duration // when somebody was refused last
}

// Bounds of the time after which a refused caller comes back.
const (
	minRetryAfter = time.Second // callers are told whole seconds
	// maxRetryAfter is as long as an urgent caller can be expected to wait; beyond it a later
	// turn says nothing, as the load will be another.
	maxRetryAfter = 30 * time.Second
	// overloadGap is for how long nobody is refused at the end of an overload. Waves of demand
	// of some seconds count as one.
	overloadGap = 2 * time.Second
	// overloadDurationFactor is how many times its present length an overload is taken to last on. With
	// 1 half of those that come back meet the same overload, with 3 a quarter; more keeps
	// callers waiting for longer and gains little.
	overloadDurationFactor = 3
)

// RetryAfter says after what time a refused caller should come back: when what waits now is
// done, but not before the overload may be over, and after the turns of those that were
// refused before it. How long an overload lasts is not known: it is taken to last for
// overloadDurationFactor as long as it has lasted. Each turn takes the time of the caller's work on
// its share of the room, twice: half of the room serves those that come anew.
//
// With one time for all, the refused of a second come back in the same second, to the same
// overload, and are refused again. In a closed loop with ten seconds of overload the turns
// serve at their return more than three in four, a constant second one in nine.
func (t *RetrySchedule) RetryAfter(now, wait, work time.Duration) time.Duration {
	if t.lastRefusal == 0 || now-t.lastRefusal > overloadGap {
		t.overloadStart = now
	}
	t.lastRefusal = now
	at := max(t.nextTurn, now+max(wait, overloadDurationFactor*(now-t.overloadStart), minRetryAfter))
	at = min(at, now+maxRetryAfter)
	t.nextTurn = at + 2*work
	return at - now
}
