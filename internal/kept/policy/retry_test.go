package policy

import (
	"testing"
	"time"
)

// closedLoop simulates an entry VM that serves one caller every 100 ms and lets three wait. For ten
// seconds callers arrive 1.4 times as fast, then half as fast. Refused callers retry after the whole
// number of seconds that they were told. It returns the share of retries that were served, and how
// many different times callers were told.
func closedLoop(t *testing.T, retryAfter func(schedule *RetrySchedule, now, wait time.Duration) time.Duration) (served float64, different int) {
	t.Helper()
	const (
		step       = 10 * time.Millisecond
		service    = 100 * time.Millisecond
		maxWaiting = 3
	)
	var schedule RetrySchedule
	var freeAt time.Duration
	retries := make(map[time.Duration]int)
	told := make(map[time.Duration]bool)
	retried, succeeded := 0, 0
	try := func(now time.Duration) bool {
		wait := max(freeAt-now, 0)
		if wait > maxWaiting*service {
			after := retryAfter(&schedule, now, wait)
			after = (after + time.Second - 1).Truncate(time.Second)
			told[after] = true
			retries[now+after]++
			return false
		}
		freeAt = max(freeAt, now) + service
		return true
	}
	due := time.Duration(0)
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for range retries[now] {
			retried++
			if try(now) {
				succeeded++
			}
		}
		for ; due <= now; due += nextIn(now) {
			try(now)
		}
	}
	if retried < 20 {
		t.Fatalf("only %d retries, want at least 20", retried)
	}
	return float64(succeeded) / float64(retried), len(told)
}

func nextIn(now time.Duration) time.Duration {
	if now < 10*time.Second {
		return 70 * time.Millisecond
	}
	return 200 * time.Millisecond
}

// Guards against callers that retry when they were told to and are refused again and again. If all
// callers refused in an overload are told the same time, they come back together, on top of the new
// callers.
func TestRetriesAreServed(t *testing.T) {
	served, different := closedLoop(t, func(schedule *RetrySchedule, now, wait time.Duration) time.Duration {
		return schedule.RetryAfter(now, wait, 100*time.Millisecond)
	})
	constant, _ := closedLoop(t, func(*RetrySchedule, time.Duration, time.Duration) time.Duration { return time.Second })
	t.Logf("share of retries served: %.2f with the schedule, %.2f with a constant time", served, constant)
	if served < 0.75 {
		t.Errorf("%.2f of the retries are served, want 0.75", served)
	}
	if different < 3 {
		t.Errorf("callers are told %d different times, want at least 3", different)
	}
	if served < constant {
		t.Errorf("a constant time serves %.2f of the retries, the schedule %.2f", constant, served)
	}
}

func TestRetryTimesAreOrderedAndBounded(t *testing.T) {
	var schedule RetrySchedule
	last := time.Duration(0)
	for range 1000 {
		d := schedule.RetryAfter(time.Hour, 0, 100*time.Millisecond)
		if d < last || d > maxRetryAfter || d < minRetryAfter {
			t.Fatalf("retry after %v follows one after %v", d, last)
		}
		last = d
	}
}
