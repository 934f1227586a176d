package fleet

import (
	"fmt"
	"testing"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// The design size.
const (
	domains = 19
	workers = 2900
	entries = 60
)

// list is a platform's list of the design size, with strings of its own, as
// each decoded answer has.
func list(version uint64) *pb.ListVMsResponse {
	m := &pb.ListVMsResponse{Version: version}
	add := func(role pb.VMRole, id string, i int) {
		m.Vms = append(m.Vms, &pb.VM{
			Id: id, Role: role, Incarnation: 1, SinceVersion: 1,
			Domain: fmt.Sprintf("domain-%02d", i%domains), Region: fmt.Sprintf("region-%d", i%domains%5),
			Rack: fmt.Sprintf("rack-%03d", i/8), Address: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250),
		})
	}
	for i := range workers {
		add(pb.VMRole_VM_ROLE_WORKER, fmt.Sprintf("worker-%04d", i), i)
	}
	for i := range entries {
		add(pb.VMRole_VM_ROLE_ENTRY, fmt.Sprintf("vm-%03d", i), i)
	}
	return m
}

// BenchmarkMemory is what a Fleet holds for each VM of the list, after one
// version and after as many as it remembers.
func BenchmarkMemory(b *testing.B) {
	for _, versions := range []int{1, keptSnapshots} {
		b.Run(fmt.Sprint("versions=", versions), func(b *testing.B) {
			heap.Report(b, workers+entries, "VM", func() any {
				f := New()
				for v := range versions {
					f.Update(list(uint64(v) + 1))
				}
				return f
			})
		})
	}
}

// BenchmarkUpdate is the processor time of one new version of the list.
func BenchmarkUpdate(b *testing.B) {
	m := list(1)
	f := New()
	b.ReportAllocs()
	for b.Loop() {
		m.Version++
		f.Update(m)
	}
}

// BenchmarkChoose is the processor time of the candidates of one ticket.
func BenchmarkChoose(b *testing.B) {
	f := New()
	f.Update(list(1))
	s := f.Latest()
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		s.Choose(ticket.ID{Incarnation: 1, Counter: i}, "domain-03")
	}
}
