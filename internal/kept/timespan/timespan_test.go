package timespan

import (
	"math"
	"testing"
	"time"
)

// Guards against durations that turn negative, or differ between processors, as the numbers behind them are too large.
func TestResultsAreLimited(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want time.Duration
	}{
		{"positive infinity", OfNanos(math.Inf(1)), Max},
		{"negative infinity", OfNanos(math.Inf(-1)), -Max},
		{"no number", OfNanos(math.NaN()), 0},
		{"too many nanoseconds", OfNanos(1e30), Max},
		{"one second", OfNanos(1e9), time.Second},
		{"too many milliseconds", OfMillis(math.MaxInt64), Max / time.Millisecond * time.Millisecond},
		{"too few milliseconds", OfMillis(math.MinInt64), -Max / time.Millisecond * time.Millisecond},
		{"two milliseconds", OfMillis(2), 2 * time.Millisecond},
		{"a product", Times(time.Hour, 1e12), Max},
		{"a sum", Add(Max, Max), Max},
		{"a difference", Add(-Max, -Max), -Max},
		{"a small sum", Add(time.Second, time.Minute), 61 * time.Second},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}
