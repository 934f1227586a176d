package policy

import (
	"testing"
	"time"
)

// closedLoop plays an entry VM that serves one caller each 100 ms, with room for three to
// wait. For ten seconds callers come 1.4 times as fast, then half as fast. Refused callers
// come back after the whole seconds they were told. It returns the share of the returns that
// were served, and how many different times callers were told.
func closedLoop(t *testing.T, comeBack func(turns *RetrySchedule, now, wait time.Duration) time.Duration) (served float64, different int) {
	t.Helper()
	const (
		step    = 10 * time.Millisecond
		each    = 100 * time.Millisecond
		waiting = 3
	)
	var turns RetrySchedule
	var freeAt time.Duration
	returns := make(map[time.Duration]int)
	told := make(map[time.Duration]bool)
	came, took := 0, 0
	try := func(now time.Duration) bool {
		wait := max(freeAt-now, 0)
		if wait > waiting*each {
			after := comeBack(&turns, now, wait)
			after = (after + time.Second - 1).Truncate(time.Second)
			told[after] = true
			returns[now+after]++
			return false
		}
		freeAt = max(freeAt, now) + each
		return true
	}
	due := time.Duration(0)
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for range returns[now] {
			came++
			if try(now) {
				took++
			}
		}
		for ; due <= now; due += nextIn(now) {
			try(now)
		}
	}
	if came < 20 {
		t.Fatalf("%d callers came back", came)
	}
	return float64(took) / float64(came), len(told)
}

func nextIn(now time.Duration) time.Duration {
	if now < 10*time.Second {
		return 70 * time.Millisecond
	}
	return 200 * time.Millisecond
}

// Symptom: callers that come back when they were told to are refused again and again.
// Sequence: an overload of ten seconds; all that are refused are told the same time. Cause:
// they come back together, on top of those that come anew.
func TestCallersThatComeBackAreServed(t *testing.T) {
	served, different := closedLoop(t, func(turns *RetrySchedule, now, wait time.Duration) time.Duration {
		return turns.RetryAfter(now, wait, 100*time.Millisecond)
	})
	constant, _ := closedLoop(t, func(*RetrySchedule, time.Duration, time.Duration) time.Duration { return time.Second })
	t.Logf("served at their return: %.2f with turns, %.2f with a constant", served, constant)
	if served < 0.75 {
		t.Errorf("%.2f of those that come back are served, want 0.75", served)
	}
	if different < 3 {
		t.Errorf("callers are told %d different times", different)
	}
	if served < constant {
		t.Errorf("a constant serves %.2f, turns %.2f", constant, served)
	}
}

func TestTurnsKeepTheirOrderAndTheirBound(t *testing.T) {
	var turns RetrySchedule
	last := time.Duration(0)
	for range 1000 {
		d := turns.RetryAfter(time.Hour, 0, 100*time.Millisecond)
		if d < last || d > maxRetryAfter || d < minRetryAfter {
			t.Fatalf("%v after %v", d, last)
		}
		last = d
	}
}
