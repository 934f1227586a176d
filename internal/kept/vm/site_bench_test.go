package vm

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/oplog"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// BenchmarkSite runs a site of four failure domains in this process for four seconds and reports
// the CPU time that it uses, in cores, at a given rate (per second) of submissions of four tasks of
// 100 ms. At rate 0 it shows the cost of links, worker sessions and load reports. The simulated store,
// workers and network use a third of the CPU time: compare sizes, or versions within one run, but do
// not take the figures for those of a real machine.
func BenchmarkSite(b *testing.B) {
	for _, size := range []struct{ vms, workers, rate int }{{8, 48, 0}, {8, 48, 140}, {34, 350, 0}, {34, 350, 800}, {100, 700, 0}, {100, 700, 800}} {
		b.Run(fmt.Sprintf("vms=%d/workers=%d/rate=%d", size.vms, size.workers, size.rate), func(b *testing.B) {
			for b.Loop() {
				w := newBenchWorld(b, size.vms, size.workers)
				cpu, began := processorTime(), time.Now()
				done := w.submitAtRate(size.rate, 4*time.Second)
				b.ReportMetric((processorTime()-cpu).Seconds()/time.Since(began).Seconds(), "cores")
				b.ReportMetric(done, "done")
				for name := range w.vms {
					w.kill(name)
				}
			}
		})
	}
}

// newBenchWorld returns a site that runs in real time, once its shards have holders.
func newBenchWorld(b *testing.B, vms, workers int) *world {
	w := newWorld(b, "a", "b", "c", "d")
	for i := range workers {
		w.addDeskWorker(fmt.Sprint(i), w.domains[i%len(w.domains)])
	}
	w.cores = make(map[string]float64)
	for i := range vms {
		name := fmt.Sprintf("%s%d", w.domains[i%len(w.domains)], i)
		w.cores[name] = 0.8
		if i >= 12 && vms >= 100 {
			w.cores[name] = 0.192
		}
		w.boot(fmt.Sprintf("%s%d", w.domains[i%len(w.domains)], i))
	}
	time.Sleep(5 * time.Second)
	return w
}

// submitAtRate sends submissions at a rate per second for some time, and returns the share that ended.
func (w *world) submitAtRate(rate int, span time.Duration) float64 {
	var vms []*VM
	for _, v := range w.vms {
		vms = append(vms, v)
	}
	began := time.Now()
	ended := make(chan Outcome, rate*int(span/time.Second)+rate)
	sent := 0
	for time.Since(began) < span {
		due := int(time.Since(began).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			work := runhost.Work{Time: 100 * ms, CPUMilli: 6800}
			rec, v := newOneStepRecord(submission.ID(fmt.Sprintf("s%d", sent)), 4, work), vms[sent%len(vms)]
			rec.Transient = true
			w.fleet.SetWork(rec.ID, work)
			go func() { ended <- v.Submit(context.Background(), rec) }()
		}
		time.Sleep(2 * ms)
	}
	done := 0
	for range sent {
		if o := <-ended; o.Kind == Ended {
			done++
		}
	}
	return float64(done) / float64(max(sent, 1))
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLogs reports the CPU time of a site under load with a log line for each decision, as the
// daemon writes them, divided by that without log lines. The two alternate because the machine may
// be busy with other work.
func BenchmarkLogs(b *testing.B) {
	for b.Loop() {
		var with, without time.Duration
		for range 3 {
			log := oplog.Start(io.Discard, 0)
			with += processorTimeUnderLoad(b)
			log.Stop()
			klog.SetLogger(klog.Logger{}) // writes nothing
			without += processorTimeUnderLoad(b)
			klog.ClearLogger()
		}
		b.ReportMetric(float64(with)/float64(without), "with/without")
	}
}

// processorTimeUnderLoad returns the CPU time that a site of eight VMs uses in four seconds of full load.
func processorTimeUnderLoad(b *testing.B) time.Duration {
	w := newBenchWorld(b, 8, 48)
	cpu := processorTime()
	w.submitAtRate(140, 4*time.Second)
	used := processorTime() - cpu
	for name := range w.vms {
		w.kill(name)
	}
	return used
}
