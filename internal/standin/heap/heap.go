// Package heap measures how much memory a state holds, for the benchmarks that
// docs/CAPACITY.md is worked out from.
package heap

import (
	"runtime"
	"testing"
)

// Report builds the state of a number of items once per iteration and reports
// the bytes of live heap that it holds for each item. The unit names the item,
// such as "worker".
//
// Run it with -benchtime 1x: the figure hardly depends on the number of
// iterations, and not at all on the load of the machine.
func Report(b *testing.B, items int, unit string, build func() any) {
	b.Helper()
	var held float64
	for range b.N {
		before := live()
		state := build()
		held = float64(live()) - float64(before)
		runtime.KeepAlive(state)
	}
	b.ReportMetric(held/float64(items), "B/"+unit)
	b.ReportMetric(0, "ns/op") // leaves the time out: it is that of the collector
}

// live returns the bytes of the heap that are still in use. The second
// collection frees what finalizers and pools of the first let go.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
