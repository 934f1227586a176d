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

// holders returns the VMs that the store names as holders of a shard.
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

// countWatches counts the watch calls that the given VMs make for the site's keys from now on.
func (w *world) countWatches(names []string) *atomic.Int64 {
	var n atomic.Int64
	for _, name := range names {
		w.storeTransports[name].SilenceCalls(func(c relay.Call) bool {
			if c.Target == "/store/watch" && bytes.Contains(c.Body, []byte(site.Prefix)) {
				n.Add(1)
			}
			return false
		})
	}
	return &n
}

// Guards against a rate of store calls that grows with the square of the number of VMs: each change of the site
// ends the pending watch call of each VM, which then makes another one.
func TestChangesOfALargeSiteCostABoundedRateOfCalls(t *testing.T) {
	t.Parallel()
	testLargeWorld(t, 40, 0.192, func(w *world) {
		const during = 5 * time.Second
		time.Sleep(2 * time.Second)
		holders := w.holders()
		var nonHolders []string
		for name := range w.vms {
			if !holders[name] {
				nonHolders = append(nonHolders, name)
			}
		}
		n := w.countWatches(nonHolders)
		for i := range int(during / (20 * ms)) {
			w.store.Put(site.MemberKey("x"), fmt.Appendf(nil, `{"i":%d,"d":"a","w":0.1}`, i+1))
			time.Sleep(20 * ms)
		}
		rate := float64(n.Load()) / during.Seconds()
		if atRest := float64(len(nonHolders)) / siteWatchWait.Seconds(); rate > siteReadShare*w.storeReadsPerSecond+atRest {
			t.Errorf("%.0f watch calls per second by %d VMs, want at most %.0f", rate, len(nonHolders), siteReadShare*w.storeReadsPerSecond+atRest)
		}
		w.store.Delete(site.MemberKey("x"))
		for name := range holders { // the loss of a holder must still be noticed in time
			w.kill(name)
			break
		}
		for i, at := range nonHolders[:8] {
			w.wantEnd(w.submit(at, submission.ID(fmt.Sprint("s", i)), 4, runhost.Work{Time: 60 * ms}, true), submission.Done)
		}
	})
}
