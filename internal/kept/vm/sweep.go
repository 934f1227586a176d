package vm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Final states are removed when nobody asks for them any more. The holder of the site's
// first shard does it for all: it notes when it first sees a state, and removes it when
// it has seen it for long enough. Times of day play no part, and a new holder begins
// anew, so a state may stay longer but never shorter.
const (
	finalStateRetention = 150 * time.Second // callers ask for 120 s after the end
	sweepInterval       = 30 * time.Second
	sweepTimeout        = 5 * time.Second
)

func (v *VM) sweepFinals(ctx context.Context) {
	seen := make(map[string]time.Duration)
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		if !v.sweepsFinals.Load() {
			clear(seen)
			continue
		}
		items, _, err := v.readAll(ctx, submission.FinalPrefix, true)
		if err != nil {
			klog.V(1).InfoS("kept: final states could not be read", "why", err)
			continue
		}
		v.removeFinals(ctx, expiredKeys(v.now(), seen, items))
	}
}

// overdue notes what is seen for the first time, and returns the keys seen for long.
func expiredKeys(now time.Duration, seen map[string]time.Duration, items []store.Item) []string {
	present := make(map[string]bool, len(items))
	var old []string
	for _, it := range items {
		present[it.Key] = true
		first, known := seen[it.Key]
		switch {
		case !known:
			seen[it.Key] = now
		case now-first > finalStateRetention:
			old = append(old, it.Key)
		}
	}
	for key := range seen {
		if !present[key] {
			delete(seen, key)
		}
	}
	return old
}

func (v *VM) removeFinals(ctx context.Context, keys []string) {
	removed := 0
	for len(keys) > 0 {
		n := min(len(keys), store.MaxEntries)
		commitCtx, cancel := context.WithTimeout(ctx, sweepTimeout)
		_, err := v.store.Commit(commitCtx, store.Txn{Delete: keys[:n]})
		cancel()
		if err != nil {
			klog.InfoS("kept: final states could not be removed", "left", len(keys), "why", err)
			return // the next sweep finds them again
		}
		removed += n
		keys = keys[n:]
	}
	if removed > 0 {
		klog.InfoS("kept: final states removed", "states", removed)
	}
}
