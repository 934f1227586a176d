// Package heap measures how much heap memory a data structure holds, for the
// benchmarks whose figures docs/CAPACITY.md uses.
package heap

import (
	"runtime"
	"testing"
)

// Report calls build once per iteration and reports the live heap that the result
// holds, divided by items, in bytes per unit. The unit names one item, such as
// "worker".
//
// Run it with -benchtime 1x: the result hardly depends on the number of iterations
// and not at all on the load of the machine.
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
	b.ReportMetric(0, "ns/op") // omits the time, which is mostly garbage collection
}

// live returns the bytes of live heap. It collects twice, because objects that
// finalizers and sync.Pool release in the first collection are freed only in the
// second.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
