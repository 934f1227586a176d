package ring

import (
	"context"
	"time"
)

// Loop is the goroutine of a duty that owns the state behind a ring: it calls
// round whenever events may be waiting, and at the latest when pace, asked after
// each round, has passed. It closes the ring and returns when ctx ends.
func Loop[T any](ctx context.Context, r *Ring[T], pace func() time.Duration, round func(now time.Time)) {
	defer r.Close()
	tick := time.NewTimer(pace())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Ready():
		case <-tick.C:
		}
		round(time.Now())
		tick.Reset(pace())
	}
}
