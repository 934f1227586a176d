// Package pause waits for a time or the end of a context, whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits and reports whether ctx still goes on.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
