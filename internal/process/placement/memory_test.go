package placement

import (
	"fmt"
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory is what a Placer holds for each worker.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap.Report(b, n, "worker", func() any { return fleet(n, standard) })
		})
	}
}

// BenchmarkMemoryAllowed is what the allowed set of one waiting batch holds.
func BenchmarkMemoryAllowed(b *testing.B) {
	const sets = 1000
	p := fleet(153, standard)
	for _, n := range []int{24, 96} {
		names := ids(p, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap.Report(b, sets, "set", func() any {
				var all []AllowedSet
				for range sets {
					all = append(all, p.Allow(names))
				}
				return all
			})
		})
	}
}
