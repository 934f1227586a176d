package site

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// newBenchSite returns a client of a new site whose tasks end at once, so that only the
// request path is measured.
func newBenchSite(b *testing.B) *client.Client {
	b.Helper()
	opt := Defaults([]string{"d1"})
	opt.EntryVMs = 2
	opt.Workers = 16
	opt.Capacity = &pb.Resources{Slots: 64, Millicpu: 640_000, MemoryMib: 64 << 10, Milliwatts: 1_000_000}
	opt.Behaviour = func(_ string, input []byte) worker.Outcome { return worker.Outcome{Output: input} }
	s, err := Start(opt)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := s.Publish(ctx, benchDocument(), "bench", "bench-1"); err != nil {
		b.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	c, err := client.New(client.Options{Endpoints: s.Endpoints(), Key: "bench-key-for-tests"})
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// benchDocument returns a configuration with one template and one client account.
func benchDocument() *document.Document {
	return &document.Document{
		Templates: []document.Template{{
			Name: "bench", Class: document.Normal, Idempotent: true,
			Declared:       document.Declared{Slots: 1, MilliCPU: 100, MemoryMiB: 16, Milliwatts: 1000, RunMillis: 1},
			DeadlineMillis: 60_000, MaxTasks: 920,
		}},
		Accounts: []document.Account{{Name: "bench", Weight: 1, KeyHashes: []string{document.KeyHash("bench-key-for-tests")}}},
		Site:     document.Site{PowerCapMilliwatts: 100_000_000, Domains: map[string]uint64{"d1": 100_000_000}},
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStart measures the cost per task start of the whole path: caller, entry
// VMs and worker stand-ins, all in this process over loopback. GOMAXPROCS callers
// submit jobs concurrently.
func BenchmarkStart(b *testing.B) {
	for _, tasks := range []int{1, 30, 920} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := newBenchSite(b)
			j := client.Job{Template: "bench"}
			for range tasks {
				j.Tasks = append(j.Tasks, json.RawMessage(`{"part":"G1/4-24V","coil":2}`))
			}
			submit := func() {
				a, err := c.Submit(context.Background(), j)
				if err != nil || a.Outcome != client.Complete {
					b.Errorf("answer %+v, error %v, want a complete answer", a, err)
				}
			}
			for range 64 {
				submit()
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu := cpuTime()
			b.SetParallelism(1)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					submit()
				}
			})
			b.StopTimer()
			starts := float64(b.N * tasks)
			cpu = cpuTime() - cpu
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(cpu.Nanoseconds())/1000/starts, "cpu-us/start")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/starts, "allocs/start")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/starts, "B/start")
		})
	}
}
