package policy

import (
	"testing"
	"time"
)

// Symptom: submissions are taken that cannot be done in time. Sequence: one shard has lost
// all its workers, the others have seconds of work waiting. Cause: where there is no room
// nothing waits, and the forecast took that for the shortest queue.
func TestAShardWithoutRoomIsNoShortQueue(t *testing.T) {
	w := &Work{ReceivedAt: time.Hour, Objective: 380 * ms, RunTime: 200 * ms}
	full := Candidate{Shard: "full", Capacity: 28, Wait: 3 * time.Second}
	if r := Admit(time.Hour, w, []Candidate{{Shard: "empty"}, full}); r != ForecastTooLate {
		t.Errorf("%q, want a refusal", r)
	}
	if r := Admit(time.Hour, w, []Candidate{{Shard: "empty"}}); r.Refused() {
		t.Errorf("%q, though workers may come back at once", r)
	}
	if r := Admit(time.Hour, w, nil); r != NoShardReachable {
		t.Errorf("%q with no shard", r)
	}
}

// A submission waits while it is of use, and for its share of its caller's time.
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
