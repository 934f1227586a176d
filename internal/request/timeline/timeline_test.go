package timeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory reports the memory that a Store holds for each submission, with
// three steps, as for a job without failures, and with the maximum number of steps.
func BenchmarkMemory(b *testing.B) {
	const submissions = 2000
	for _, steps := range []int{3, MaxSteps} {
		b.Run(fmt.Sprint("steps=", steps), func(b *testing.B) {
			heap.Report(b, submissions, "submission", func() any {
				s := NewStore(submissions)
				for i := range submissions * steps {
					s.Add(ticket.ID{Counter: uint64(i / steps)}, Step{
						At: time.Unix(0, 0), Event: "placed", Reason: "share_due",
						Detail: fmt.Sprintf("%d tasks on worker-%04d and 0 others after 1ms", i, i),
					})
				}
				return s
			})
		})
	}
}
