package wire

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

const (
	payload        = 64 // bytes of an input and of an output
	heldCandidates = 4  // of a job's 24, by one owner of three in the home's failure domain
)

var (
	submission = &pb.SubmissionID{Incarnation: 7533985180550891862, Counter: 123_456}
	generation = &pb.Generation{Author: 7533985180550891862}
	each       = &pb.Resources{Slots: 1, Millicpu: 1000, MemoryMib: 256, Milliwatts: 20_000}
)

func inputs(n int) (index []uint32, input [][]byte, results []*pb.TaskResult) {
	for i := range n {
		index = append(index, uint32(i))
		input = append(input, make([]byte, payload))
		results = append(results, &pb.TaskResult{
			Index: uint32(i), State: pb.TaskState_TASK_STATE_DONE, Output: make([]byte, payload),
			RunMicros: 83_000, Milliwatts: 18_000,
		})
	}
	return index, input, results
}

// BenchmarkStartBytes is the length of the messages for one task, payloads of 64
// bytes included: home to owner and back, owner to worker and back, in batches
// of n tasks of one job, of whose candidates the owner holds a few.
func BenchmarkStartBytes(b *testing.B) {
	for _, n := range []int{1, 8, 256} {
		b.Run(fmt.Sprint("batch=", n), func(b *testing.B) {
			index, input, results := inputs(n)
			run := &pb.RunRequest{Groups: []*pb.RunGroup{{
				Submission: submission, Generation: generation, ExpiryUnixMillis: 1_800_000_000_000,
				Account: "site-managers", Template: "availability-check", Each: each,
				ExpectedMicros: 83_000, JobRemaining: uint32(n), DeadlineMillis: 5000, Index: index, Input: input,
			}}}
			for i := range heldCandidates {
				run.Groups[0].Workers = append(run.Groups[0].Workers, fmt.Sprintf("worker-%04d", i))
				run.Groups[0].WorkerIncarnation = append(run.Groups[0].WorkerIncarnation, submission.Incarnation)
			}
			start := &pb.HoldRequest{Epoch: 1, Starts: []*pb.StartGroup{{
				Submission: submission, Generation: generation, ExpiryUnixMillis: 1_800_000_000_000,
				Template: "availability-check", Each: each, Index: index, Input: input, WorkerIncarnation: submission.Incarnation,
			}}}
			ended := &pb.HoldResponse{Results: []*pb.ResultGroup{{Submission: submission, Results: results}}}
			answered := &pb.RunResponse{Results: []*pb.RunResult{{Submission: submission, Generation: generation, Results: results}}}
			for b.Loop() {
				if _, err := proto.Marshal(run); err != nil {
					b.Fatal(err)
				}
			}
			for unit, m := range map[string]proto.Message{"run": run, "start": start, "ended": ended, "answered": answered} {
				b.ReportMetric(float64(proto.Size(m))/float64(n), unit+"-B/task")
			}
		})
	}
}
