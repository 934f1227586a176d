package worker

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

var now = time.Now()

// held returns a worker whose lease an entry VM holds.
func newLeasedWorker(t *testing.T) (*Worker, *stream) {
	t.Helper()
	w := New(Config{ID: "w1", Incarnation: 7, Capacity: &pb.Resources{Slots: 4}})
	s, m := w.acquire(now, &pb.Acquire{EntryVm: "vm1", Incarnation: 1, TtlMillis: 1000})
	if m.GetGranted() == nil {
		t.Fatalf("no lease: %v", m)
	}
	return w, s
}

// startOfTask0 is a start of task 0.
func startOfTask0(incarnation uint64) *pb.StartGroup {
	return &pb.StartGroup{
		Submission:        &pb.SubmissionID{Incarnation: 1, Counter: 1},
		Generation:        &pb.Generation{Author: 1},
		ExpiryUnixMillis:  uint64(now.Add(time.Hour).UnixMilli()),
		Index:             []uint32{0},
		Input:             [][]byte{nil},
		WorkerIncarnation: incarnation,
	}
}

// Symptom: a task runs on two workers. Sequence: an entry VM recovers a
// submission and seals this worker; the worker is restarted; the home, which was
// only cut off, sends a start here. Cause: the new incarnation knew no seal.
func TestRestartedWorkerRefusesOlderStarts(t *testing.T) {
	w, s := newLeasedWorker(t)
	r := w.start(now, s.epoch, startOfTask0(6), 0)
	if r == nil || r.State != pb.TaskState_TASK_STATE_NOT_RUN || r.Reason != string(reason.WorkerRestarted) {
		t.Fatalf("a start for an earlier incarnation gave %v", r)
	}
	if r = w.start(now, s.epoch, startOfTask0(7), 0); r.State != pb.TaskState_TASK_STATE_DONE {
		t.Fatalf("a start for this incarnation gave %v", r)
	}
}

// Symptom: "not run" for a task that ran. Sequence: a start is accepted; a copy
// of it comes under an epoch that has ended. Cause: the copy was refused as
// stale, which tells the home that the task did not start here.
func TestDuplicateIsReportedBeforeStaleEpoch(t *testing.T) {
	w, s := newLeasedWorker(t)
	w.start(now, s.epoch, startOfTask0(7), 0)
	if r := w.start(now, s.epoch-1, startOfTask0(7), 0); r.Reason != string(reason.DuplicateTask) {
		t.Fatalf("a copy of an accepted start gave %v", r)
	}
}

// Symptom: a caller waits until its deadline although the worker that ran its
// task was restarted long before. Sequence: a home follows a running task, the
// worker restarts at the same address, the home asks again. Cause: a task without
// a record looked like one that runs. The record made for the question, with a
// short expiry, could also end that of a later start too early.
func TestFollowOfAnUnknownTaskFails(t *testing.T) {
	w, _ := newLeasedWorker(t)
	req := connect.NewRequest(&pb.FollowRequest{Submission: &pb.SubmissionID{Incarnation: 1, Counter: 1}, Index: []uint32{0}})
	if _, err := w.Follow(context.Background(), req); connect.CodeOf(err) != connect.CodeNotFound {
		t.Fatalf("error %v, want not found", err)
	}
	if len(w.submissions) != 0 {
		t.Fatal("the question left a record")
	}
}

// Symptom: a task runs under a holder that lost the worker. Sequence: a holder is
// paused past its lease, another one gets the lease, the first wakes and sends
// starts, doubled, and a heartbeat. Cause would be judging the lease on the
// holder's clock, or renewing a lapsed one.
func TestPausedHolderCannotStartOrRenew(t *testing.T) {
	for _, taken := range []bool{false, true} {
		w, old := newLeasedWorker(t)
		later := now.Add(2 * time.Second)
		if taken {
			w.acquire(later, &pb.Acquire{EntryVm: "vm2", Incarnation: 2, TtlMillis: 1000})
		}
		late := &pb.HoldRequest{Epoch: old.epoch, Starts: []*pb.StartGroup{startOfTask0(7)}}
		w.handleRequest(later, old, late)
		w.handleRequest(later, old, late)
		if w.handleRequest(later, old, &pb.HoldRequest{Epoch: old.epoch, Beat: 1}) {
			t.Error("a lapsed lease was renewed")
		}
		if _, starts, _ := w.Starts(); starts != 0 {
			t.Errorf("%d starts under a lapsed lease, taken by another: %v", starts, taken)
		}
	}
}
