package home

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

const (
	inputBytes  = 64
	outputBytes = 64
)

// jobsOf returns how many jobs of that many tasks are measured: fewer than
// admission lets in.
func jobsOf(tasks int) int { return min(4000, 20_000/tasks) }

// crowded returns a home with a number of open jobs, all handed out to an owner
// that has room for them. The messages are kept in the fixture.
func crowded(b *testing.B, jobs, tasks int) *fixture {
	f := newFixture(b)
	roomy := &pb.Advert{Domain: "brno", Slots: 1 << 20, FreeSlots: 1 << 20, WorkersVersion: 2, Workers: []*pb.HeldWorker{{Id: "w1"}}}
	for c := range jobs {
		s := f.submission(uint64(c), tasks)
		s.Expected = time.Microsecond
		s.First = true // a repeat would be charged to the retry budget
		s.Candidates = []ownership.WorkerRef{{ID: "w1", Incarnation: 1}}
		for i := range 23 {
			s.Candidates = append(s.Candidates, ownership.WorkerRef{ID: fmt.Sprint("w", c, "-", i), Incarnation: 2})
		}
		for i := range s.Inputs {
			s.Inputs[i] = make([]byte, inputBytes)
		}
		roomy.TakenTasks = f.h.owners.get("a").sent
		f.h.Advert("a", roomy)
		f.ask(s)
	}
	if f.h.open != jobs {
		b.Fatalf("%d jobs are open: %v", f.h.open, f.answers)
	}
	return f
}

// BenchmarkMemoryOpen is what a home holds for each open job of 24 candidates
// of its own and inputs of 64 bytes, all handed out.
func BenchmarkMemoryOpen(b *testing.B) {
	for _, tasks := range []int{1, 30, 920} {
		jobs := jobsOf(tasks)
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			heap.Report(b, jobs, "job", func() any {
				f := crowded(b, jobs, tasks)
				f.batches = nil
				return f
			})
		})
	}
}

// BenchmarkMemoryAnswer is what a home holds for each answered job with outputs
// of 64 bytes, until it drops the answer; and for each answered job that it
// only remembers, until its ticket expires.
func BenchmarkMemoryAnswer(b *testing.B) {
	for _, limit := range []int{64 << 20, 0} {
		for _, tasks := range []int{1, 30, 920} {
			jobs := jobsOf(tasks)
			b.Run(fmt.Sprintf("retain=%d/tasks=%d", limit, tasks), func(b *testing.B) {
				heap.Report(b, jobs, "job", func() any { return answered(b, limit, jobs, tasks) })
			})
		}
	}
}

func answered(b *testing.B, limit, jobs, tasks int) *Home {
	f := crowded(b, jobs, tasks)
	f.h.kept.limit = limit
	for _, batch := range f.batches {
		var results []*pb.TaskResult
		for _, i := range batch.Index {
			results = append(results, &pb.TaskResult{Index: i, State: pb.TaskState_TASK_STATE_DONE, Output: make([]byte, outputBytes)})
		}
		f.reports(batch, results...)
	}
	if f.h.open != 0 {
		b.Fatalf("%d jobs are open, %d batches", f.h.open, len(f.batches))
	}
	f.batches, f.answers = nil, nil // the home holds the fixture
	return f.h
}
