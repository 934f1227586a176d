package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// before reports whether one submission comes before another at a time.
func before(now time.Duration, a, b *Work) bool {
	return settings.Urgency(now, a).Compare(settings.Urgency(now, b)) < 0
}

func TestOrderOfASharedRoom(t *testing.T) {
	now := time.Hour
	fresh := &Work{ID: "fresh", ReceivedAt: now, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 4}
	for _, c := range []struct {
		why   string
		other Work
		first bool // the other comes first
	}{
		{"the higher priority", Work{ID: "x", Priority: -1, ReceivedAt: now, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 4}, true},
		{"what is late", Work{ID: "x", Priority: -1, ReceivedAt: now - 300*ms, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 4}, false},
		{"what is late and has begun", Work{ID: "x", ReceivedAt: now - 300*ms, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 4, Started: true}, true},
		{"what is too late and has begun", Work{ID: "x", ReceivedAt: now - 2*time.Second, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 1, Started: true}, true},
		{"what is too late", Work{ID: "x", Priority: -1, ReceivedAt: now - 2*time.Second, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 1}, false},
		{"what is four times as large", Work{ID: "x", ReceivedAt: now - 100*ms, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 16}, false},
		{"what is half as large and came later", Work{ID: "x", ReceivedAt: now + 10*ms, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 2}, true},
		{"what came earlier and is as large", Work{ID: "x", ReceivedAt: now - 50*ms, Objective: 380 * ms, RunTime: 200 * ms, RemainingWork: 4}, true},
	} {
		if got := before(now, &c.other, fresh); got != c.first {
			t.Errorf("%s: comes first %v, want %v", c.why, got, c.first)
		}
	}
}

func TestSettingsAreCheckedByName(t *testing.T) {
	s, err := Parse(map[string]string{"wait_share": "0.5", "bands": "false"})
	if err != nil || s.WaitShare != 0.5 || s.Bands || !s.Spread {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := Parse(map[string]string{"bands": `true} and more`}); err == nil {
		t.Error("what follows a value is taken for nothing")
	}
	for name, value := range map[string]string{"no_such": "1", "bands": "perhaps", "wait_share": "-1", "own_reserve": "2", "start_hold_millis": "1e9"} {
		if _, err := Parse(map[string]string{name: value}); err == nil {
			t.Errorf("%s=%s is taken", name, value)
		}
	}
}
