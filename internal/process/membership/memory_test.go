package membership

import (
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory is what one Core holds for each VM of the fleet, its own share
// of the stand-in network included.
func BenchmarkMemory(b *testing.B) {
	vms := design.nodes + design.workers
	heap.Report(b, vms*design.nodes, "VM", func() any {
		f := newFleet(1, design.nodes, design.domains, design.workers)
		f.net.Run(settleTime)
		f.list = nil
		return f
	})
}
