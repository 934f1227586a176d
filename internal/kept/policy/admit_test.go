package policy

import (
	"testing"
	"time"
)

// Guards against admitting submissions that cannot be done in time. One shard has lost all its
// workers and the others have seconds of work queued. The empty queue of the shard without capacity
// must not count as the shortest one.
func TestShardWithoutCapacityIsNotTheShortestQueue(t *testing.T) {
	w := &Work{ReceivedAt: time.Hour, Objective: 380 * ms, RunTime: 200 * ms}
	full := Candidate{Shard: "full", Capacity: 28, Wait: 3 * time.Second}
	if r := Admit(time.Hour, w, []Candidate{{Shard: "empty"}, full}); r != ForecastTooLate {
		t.Errorf("reason %q, want ForecastTooLate", r)
	}
	if r := Admit(time.Hour, w, []Candidate{{Shard: "empty"}}); r.Refused() {
		t.Errorf("refused with %q, though workers may come back at any time", r)
	}
	if r := Admit(time.Hour, w, nil); r != NoShardReachable {
		t.Errorf("reason %q without a shard, want NoShardReachable", r)
	}
}

// A submission waits until it would end too late, and at most for its share of its caller's timeout.
func TestKeepWaiting(t *testing.T) {
	s := Defaults()
	w := &Work{ReceivedAt: time.Hour, Objective: 380 * ms, RunTime: 200 * ms, CallerTimeout: 2 * time.Second}
	for _, c := range []struct {
		after time.Duration
		want  Reason
	}{{500 * ms, ""}, {850 * ms, WaitShareUsedUp}, {950 * ms, TooLateByNow}} {
		if r := s.KeepWaiting(w.ReceivedAt+c.after, w); r != c.want {
			t.Errorf("after %v: %q, want %q", c.after, r, c.want)
		}
	}
}
