package vm

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// holders returns the VMs that hold a shard by the store.
func (w *world) holders() map[string]bool {
	out := make(map[string]bool)
	for _, d := range w.domains {
		for i := range 4 {
			if it, err := w.store.Get(w.t.Context(), site.ShardKey(site.ShardName(d, i))); err == nil && it.Revision > 0 {
				out[w.holderOfShard(site.ShardName(d, i))] = true
			}
		}
	}
	return out
}

// countWatches counts the watches of the site by VMs.
func (w *world) countWatches(names []string) *atomic.Int64 {
	var n atomic.Int64
	for _, name := range names {
		w.storeDoors[name].Silence(func(c relay.Call) bool {
			if c.Target == "/store/watch" && bytes.Contains(c.Body, []byte(site.Prefix)) {
				n.Add(1)
			}
			return false
		})
	}
	return &n
}

// Guards against calls of the store that grow with the square of a site: each change wakes the watch of each VM.
func TestChangesOfALargeSiteCostABoundedRateOfCalls(t *testing.T) {
	t.Parallel()
	testLargeWorld(t, 40, 0.192, func(w *world) {
		const during = 5 * time.Second
		time.Sleep(2 * time.Second)
		holders := w.holders()
		var calm []string
		for name := range w.vms {
			if !holders[name] {
				calm = append(calm, name)
			}
		}
		n := w.countWatches(calm)
		for i := range int(during / (20 * ms)) {
			w.store.Put(site.MemberKey("x"), fmt.Appendf(nil, `{"i":%d,"d":"a","w":0.1}`, i+1))
			time.Sleep(20 * ms)
		}
		rate := float64(n.Load()) / during.Seconds()
		if atRest := float64(len(calm)) / siteWatchWait.Seconds(); rate > siteReadShare*w.storeReadsPerSecond+atRest {
			t.Errorf("%.0f watches a second by %d VMs, want %.0f at most", rate, len(calm), siteReadShare*w.storeReadsPerSecond+atRest)
		}
		w.store.Delete(site.MemberKey("x"))
		for name := range holders { // what matters to callers is heard all the same
			w.kill(name)
			break
		}
		for i, at := range calm[:8] {
			w.wantEnd(w.submit(at, submission.ID(fmt.Sprint("s", i)), 4, runhost.Work{Time: 60 * ms}, true), submission.Done)
		}
	})
}
