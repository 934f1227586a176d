package power

import (
	"fmt"
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory is what a Ledger holds for each worker, with the test's model
// of the worker itself.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap.Report(b, n, "worker", func() any {
				l, _ := benchmarkLedger(n)
				return l
			})
		})
	}
}
