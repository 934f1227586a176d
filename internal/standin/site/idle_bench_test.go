package site

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// roleByteCounts counts the bytes in both directions at the listeners of each role.
type roleByteCounts struct{ byRole map[string]*atomic.Int64 }

func newRoleByteCounts() *roleByteCounts {
	m := &roleByteCounts{byRole: make(map[string]*atomic.Int64)}
	for _, role := range []string{"caller", "operator", "peer", "worker", "platform"} {
		m.byRole[role] = new(atomic.Int64)
	}
	return m
}

func (m *roleByteCounts) WrapListener(role string, l net.Listener) net.Listener {
	return meteredListener{l, m.byRole[role]}
}

type meteredListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return meteredConn{c, l.bytes}, err
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle measures the CPU time and traffic per second of a site without jobs
// and the memory that it holds, stand-ins included. The cost of one peer link and of
// one lease follows from the differences between sizes: see docs/CAPACITY.md.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ entryVMs, workers int }{{2, 0}, {8, 0}, {16, 0}, {2, 50}, {2, 150}} {
		b.Run(fmt.Sprintf("entry=%d/workers=%d", size.entryVMs, size.workers), func(b *testing.B) {
			measureIdle(b, size.entryVMs, size.workers)
		})
	}
}

// idleSettleTime is the wait before the measurement, in which start-up work ends.
const idleSettleTime = 2 * time.Second

func measureIdle(b *testing.B, entryVMs, workers int) {
	opt := Defaults([]string{"d1"})
	m := newRoleByteCounts()
	opt.EntryVMs, opt.Workers, opt.Wrapper = entryVMs, workers, m
	s, err := Start(opt)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := s.Publish(ctx, benchDocument(), "bench", "idle-1"); err != nil {
		b.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(idleSettleTime)
	before := make(map[string]int64)
	for role, n := range m.byRole {
		before[role] = n.Load()
	}
	cpu := cpuTime()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/seconds, "cpu-us/s")
	for _, role := range []string{"peer", "worker", "platform"} {
		b.ReportMetric(float64(m.byRole[role].Load()-before[role])/seconds, role+"-B/s")
	}
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapAlloc+stats.StackInuse), "B-held")
}
