// Package timespan computes durations from numbers that callers and workers send. A conversion of a float that is out of range
// differs between processors, and sums beyond the range turn negative, so all results are limited.
package timespan

import (
	"math"
	"time"
)

// Max is the longest duration that is computed, 36 years. Several of them can be added.
const Max = time.Duration(1 << 60)

// OfNanos converts nanoseconds to a duration between -Max and Max. NaN is 0.
func OfNanos(ns float64) time.Duration {
	if math.IsNaN(ns) {
		return 0
	}
	return time.Duration(min(max(ns, -float64(Max)), float64(Max)))
}

// OfMillis converts milliseconds to a duration between -Max and Max.
func OfMillis(ms int64) time.Duration {
	limit := Max.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// Times returns a duration times a factor, between -Max and Max.
func Times(d time.Duration, factor float64) time.Duration { return OfNanos(float64(d) * factor) }

// Add returns the sum of two durations between -Max and Max, limited to the same range.
func Add(a, b time.Duration) time.Duration { return min(max(a+b, -Max), Max) }
