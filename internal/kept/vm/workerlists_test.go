package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

func newWorkers(n int) []worker.Info {
	var out []worker.Info
	for i := range n {
		id := fmt.Sprintf("w%d", i)
		out = append(out, worker.Info{ID: id, Service: "desk", Address: "10.1.0.1:" + id, Domain: "a", CPUMilli: 16000, MemMB: 4096, Revision: uint64(i + 1)})
	}
	return out
}

// Guards against a worker that is put into a wrong shard because the shard of an address is computed only once and
// remembered.
func TestWorkersAreInTheShardOfTheirAddress(t *testing.T) {
	l := &workerList{}
	d := site.ShardLayout{Domain: "a", Shards: 7}
	check := func(infos []worker.Info) {
		t.Helper()
		l.infos, l.byShard = infos, nil
		n := 0
		for name, of := range l.workersByShard(d) {
			for _, info := range of {
				if want := d.ShardOf(info.Address); name != want {
					t.Errorf("worker %s is in shard %s, want %s", info.ID, name, want)
				}
				n++
			}
		}
		if n != len(infos) || len(l.shardByAddress) != len(infos) {
			t.Errorf("%d of %d workers are in shards, %d addresses are remembered", n, len(infos), len(l.shardByAddress))
		}
	}
	check(newWorkers(40))
	check(newWorkers(60)[10:])
	d.Shards = 9
	check(newWorkers(60)[10:])
}

// Guards against a change of one worker that costs each holder of the domain time proportional to the number of
// workers times the number of shards of the domain.
func TestListUpdateCostPerWorkerIsConstant(t *testing.T) {
	perWorker := func(workers int) float64 {
		l := &workerList{infos: newWorkers(workers)}
		d := site.ShardLayout{Domain: "a", Shards: workers / 11}
		l.workersByShard(d)
		allocs := testing.AllocsPerRun(5, func() {
			l.byShard = nil
			l.workersByShard(d)
		})
		return allocs / float64(workers)
	}
	if small, large := perWorker(110), perWorker(880); large > 1.1*small {
		t.Errorf("%.2f allocations per worker in a domain of 880 workers, %.2f in one of 110", large, small)
	}
}

// BenchmarkListChange measures the work of a holder of a fifth of a domain's shards when one worker of the domain
// has changed.
func BenchmarkListChange(b *testing.B) {
	for _, workers := range []int{100, 418, 836, 1670} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := site.ShardLayout{Domain: "a", Shards: workers / 11}
			infos := newWorkers(workers)
			l := &workerList{infos: infos}
			l.workersByShard(d)
			for b.Loop() {
				l.byShard = nil
				for i := range d.Shards / 5 {
					if len(l.workersByShard(d)[site.ShardName("a", i)]) == 0 {
						b.Fatal("a shard without workers")
					}
				}
			}
			began := time.Now()
			for i := range d.Shards / 5 {
				for _, info := range infos {
					if d.ShardOf(info.Address) == site.ShardName("a", i) {
						continue
					}
				}
			}
			b.ReportMetric(float64(time.Since(began))*float64(b.N)/float64(b.Elapsed()), "hashed-each-time/divided-once")
		})
	}
}
