package health

import (
	"fmt"
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory is what a Table holds for each worker.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap.Report(b, n, "worker", func() any { return newBench(n) })
		})
	}
}
