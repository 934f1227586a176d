package holder

import (
	"fmt"
	"testing"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// wide returns a batch of n tasks with inputs of 64 bytes for the given workers.
func wide(submission uint64, n int, workers []string) *pb.RunGroup {
	g := &pb.RunGroup{
		Submission: &pb.SubmissionID{Counter: submission}, Generation: &pb.Generation{Author: 1},
		Account: "desk", Template: "check", DeadlineMillis: 60_000, Workers: workers,
		Each: &pb.Resources{Slots: 1}, ExpectedMicros: 1000, JobRemaining: uint32(n),
	}
	for i := range n {
		g.Index = append(g.Index, uint32(i))
		g.Input = append(g.Input, make([]byte, 64))
	}
	return g
}

// held returns a Holder with a number of leases, and their workers' names.
func held(n int) (*Holder, []string) {
	h, _ := newHolder()
	var names []string
	for i := range n {
		name := fmt.Sprintf("worker-%04d", i)
		names = append(names, name)
		h.Granted(name, &pb.Granted{Epoch: 1, Capacity: &pb.Resources{Slots: 8}})
		h.round(now)
	}
	return h, names
}

// BenchmarkMemoryWorker is what a Holder holds for each lease, without its
// connection.
func BenchmarkMemoryWorker(b *testing.B) {
	const workers = 1000
	heap.Report(b, workers, "worker", func() any {
		h, _ := held(workers)
		return h
	})
}

// BenchmarkMemoryWaiting is what a Holder holds for each waiting task, with
// inputs of 64 bytes, in jobs of one task and in batches of 256.
func BenchmarkMemoryWaiting(b *testing.B) {
	const tasks = 10_240
	for _, batch := range []int{1, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			heap.Report(b, tasks, "task", func() any {
				h, names := held(24)
				s := &home{}
				for i := range tasks / batch {
					h.Offer(s, []*pb.RunGroup{wide(uint64(i), batch, names)})
				}
				h.round(now)
				if h.queued < tasks*9/10 {
					b.Fatalf("%d tasks wait", h.queued)
				}
				return h
			})
		})
	}
}
