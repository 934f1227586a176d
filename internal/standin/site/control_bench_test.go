package site

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// trafficCount counts the traffic in both directions at the listeners of each role.
type trafficCount struct {
	bytes     map[string]*atomic.Uint64
	readCalls map[string]*atomic.Uint64 // calls of Read, about one per message
}

func newTrafficCount() *trafficCount {
	c := &trafficCount{make(map[string]*atomic.Uint64), make(map[string]*atomic.Uint64)}
	for _, role := range []string{"caller", "operator", "peer", "platform", "worker"} {
		c.bytes[role], c.readCalls[role] = new(atomic.Uint64), new(atomic.Uint64)
	}
	return c
}

// WrapListener implements entry.ListenerWrapper.
func (c *trafficCount) WrapListener(role string, l net.Listener) net.Listener {
	return countedListener{l, c.bytes[role], c.readCalls[role]}
}

type countedListener struct {
	net.Listener
	bytes, reads *atomic.Uint64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes, l.reads}, nil
}

type countedConn struct {
	net.Conn
	bytes, reads *atomic.Uint64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	c.reads.Add(1)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

const (
	controlDuration   = 10 * time.Second
	controlSettleTime = 3 * time.Second
)

// BenchmarkControl measures the cost of one entry VM of a site of 8 without jobs,
// both idle and with a configuration published every second. Bytes between entry VMs
// count at the sender and at the receiver. CPU time and memory are those of the
// process, worker stand-ins included, divided by the number of entry VMs; memory is
// the increase over the same site without entry VMs.
//
//	go test -run '^$' -bench Control -benchtime 1x ./internal/standin/site
func BenchmarkControl(b *testing.B) {
	for _, publishing := range []bool{false, true} {
		b.Run(fmt.Sprintf("publishing=%v", publishing), func(b *testing.B) {
			for range b.N {
				measureControl(b, publishing)
			}
		})
	}
}

func measureControl(b *testing.B, publishing bool) {
	text, err := deploy.Files.ReadFile("tsagaan-shavar/document.json")
	if err != nil {
		b.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	count := newTrafficCount()
	opt := Defaults([]string{"ub-bayangol", "ub-bayanzurkh", "ub-khan-uul", "ub-sukhbaatar"})
	opt.Wrapper = count
	opt.AdjustSettings = func(s *entry.Settings) { s.ListPollMillis = 0 }
	nodes := opt.EntryVMs
	opt.EntryVMs = 0
	s, err := Start(opt)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	before := heapAndStacks()
	for i := range nodes {
		if _, err := s.AddEntry(opt.Domains[i%len(opt.Domains)]); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	if _, err := s.Publish(ctx, doc, "bench", "first"); err != nil {
		b.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(controlSettleTime)
	perNode := func(n uint64) float64 { return float64(n) / controlDuration.Seconds() / float64(nodes) }
	start := snapshot(count)
	cpu := processorTime(b)
	began := time.Now()
	for i := range int(controlDuration / time.Second) {
		if publishing {
			doc.Revision = uint64(i) + 1
			if _, err := s.PublishOnly(ctx, doc, "bench", fmt.Sprint("change-", i)); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second)))
	}
	used := processorTime(b) - cpu
	end := snapshot(count)
	b.ReportMetric(2*perNode(end.bytes["peer"]-start.bytes["peer"]), "peer-bytes/s")
	b.ReportMetric(2*perNode(end.reads["peer"]-start.reads["peer"]), "peer-reads/s")
	b.ReportMetric(perNode(end.bytes["platform"]-start.bytes["platform"]), "platform-bytes/s")
	b.ReportMetric(perNode(end.bytes["worker"]-start.bytes["worker"]), "lease-bytes/s")
	b.ReportMetric(100*used.Seconds()/controlDuration.Seconds()/float64(nodes), "%core")
	b.ReportMetric(float64(heapAndStacks()-before)/float64(nodes)/(1<<20), "heap-MB")
	b.ReportMetric(0, "ns/op")
}

type trafficSnapshot struct{ bytes, reads map[string]uint64 }

func snapshot(c *trafficCount) trafficSnapshot {
	s := trafficSnapshot{make(map[string]uint64), make(map[string]uint64)}
	for role := range c.bytes {
		s.bytes[role], s.reads[role] = c.bytes[role].Load(), c.readCalls[role].Load()
	}
	return s
}

// heapAndStacks returns the bytes of heap and stacks in use after a collection.
func heapAndStacks() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(os.NewSyscallError("getrusage", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
