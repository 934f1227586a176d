package wire

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

const (
	payloadBytes    = 64 // bytes of an input and of an output
	workersPerOwner = 4  // held by one of the three owners in the home's failure domain, of 24 that the job may run on
)

var (
	submission = &pb.SubmissionID{Incarnation: 7533985180550891862, Counter: 123_456}
	generation = &pb.Generation{Author: 7533985180550891862}
	perTask    = &pb.Resources{Slots: 1, Millicpu: 1000, MemoryMib: 256, Milliwatts: 20_000}
)

func makeTasks(n int) (index []uint32, input [][]byte, results []*pb.TaskResult) {
	for i := range n {
		index = append(index, uint32(i))
		input = append(input, make([]byte, payloadBytes))
		results = append(results, &pb.TaskResult{
			Index: uint32(i), State: pb.TaskState_TASK_STATE_DONE, Output: make([]byte, payloadBytes),
			RunMicros: 83_000, Milliwatts: 18_000,
		})
	}
	return index, input, results
}

// BenchmarkStartBytes reports the message bytes per task, including payloads of 64
// bytes each way: from home to owner (run) and back (answered), and from owner to
// worker (start) and back (ended). The batches have n tasks of one job, and the owner
// holds only some of the workers that the job may run on.
func BenchmarkStartBytes(b *testing.B) {
	for _, n := range []int{1, 8, 256} {
		b.Run(fmt.Sprint("batch=", n), func(b *testing.B) {
			index, input, results := makeTasks(n)
			run := &pb.RunRequest{Groups: []*pb.RunGroup{{
				Submission: submission, Generation: generation, ExpiryUnixMillis: 1_800_000_000_000,
				Account: "site-managers", Template: "availability-check", Each: perTask,
				ExpectedMicros: 83_000, JobRemaining: uint32(n), DeadlineMillis: 5000, Index: index, Input: input,
			}}}
			for i := range workersPerOwner {
				run.Groups[0].Workers = append(run.Groups[0].Workers, fmt.Sprintf("worker-%04d", i))
				run.Groups[0].WorkerIncarnation = append(run.Groups[0].WorkerIncarnation, submission.Incarnation)
			}
			start := &pb.HoldRequest{Epoch: 1, Starts: []*pb.StartGroup{{
				Submission: submission, Generation: generation, ExpiryUnixMillis: 1_800_000_000_000,
				Template: "availability-check", Each: perTask, Index: index, Input: input, WorkerIncarnation: submission.Incarnation,
			}}}
			workerResults := &pb.HoldResponse{Results: []*pb.ResultGroup{{Submission: submission, Results: results}}}
			ownerResults := &pb.RunResponse{Results: []*pb.RunResult{{Submission: submission, Generation: generation, Results: results}}}
			for b.Loop() {
				if _, err := proto.Marshal(run); err != nil {
					b.Fatal(err)
				}
			}
			for unit, m := range map[string]proto.Message{"run": run, "start": start, "ended": workerResults, "answered": ownerResults} {
				b.ReportMetric(float64(proto.Size(m))/float64(n), unit+"-B/task")
			}
		})
	}
}
