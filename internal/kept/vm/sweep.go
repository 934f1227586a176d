package vm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Final states are removed from the store when no caller asks for them any more. The holder of the site's first
// shard does this for the whole site: it remembers when it first saw a final state, and removes the state
// finalStateRetention later. Wall-clock time is not used, and a new holder starts from zero, so a state may be
// kept longer but never shorter.
const (
	finalStateRetention = 150 * time.Second // callers ask for 120 s after the end
	sweepInterval       = 30 * time.Second
	sweepTimeout        = 5 * time.Second // for one write that removes states
)

// sweepFinals removes expired final states at intervals while this VM is the one to do it.
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
			klog.V(1).InfoS("kept: could not read final states from the store", "why", err)
			continue
		}
		v.removeFinals(ctx, expiredKeys(v.now(), seen, items))
	}
}

// expiredKeys records in seen when each key was first seen, forgets keys that are gone, and returns the keys
// that were first seen more than finalStateRetention ago.
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
			klog.InfoS("kept: could not remove final states", "left", len(keys), "why", err)
			return // the next sweep finds them again
		}
		removed += n
		keys = keys[n:]
	}
	if removed > 0 {
		klog.InfoS("kept: final states removed", "states", removed)
	}
}
