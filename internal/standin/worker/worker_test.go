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

// newLeasedWorker returns a worker that is leased to the entry VM vm1.
func newLeasedWorker(t *testing.T) (*Worker, *stream) {
	t.Helper()
	w := New(Config{ID: "w1", Incarnation: 7, Capacity: &pb.Resources{Slots: 4}})
	s, m := w.acquire(now, &pb.Acquire{EntryVm: "vm1", Incarnation: 1, TtlMillis: 1000})
	if m.GetGranted() == nil {
		t.Fatalf("no lease: %v", m)
	}
	return w, s
}

// startOfTask0 returns a start of task 0 for an incarnation of the worker.
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

// Guards against a task running on two workers. An entry VM recovers a submission
// and seals it on this worker; the worker restarts; the home, which was only cut off,
// sends a start. The new incarnation has lost the seal and has to refuse the start
// by its incarnation.
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

// Guards against "not run" being reported for a task that ran. A start is accepted,
// and a copy of it arrives under an earlier lease epoch. If the copy were refused as
// stale, the home would conclude that the task did not start here.
func TestDuplicateIsReportedBeforeStaleEpoch(t *testing.T) {
	w, s := newLeasedWorker(t)
	w.start(now, s.epoch, startOfTask0(7), 0)
	if r := w.start(now, s.epoch-1, startOfTask0(7), 0); r.Reason != string(reason.DuplicateTask) {
		t.Fatalf("a copy of an accepted start gave %v", r)
	}
}

// Guards against a caller waiting until its deadline although the worker that ran
// its task restarted long before. A home follows a running task, the worker restarts
// at the same address, and the home follows again: a task without a record must not
// look like a running one. Follow must not create a record either: with its short
// expiry, the record of a later start could be dropped too early.
func TestFollowOfAnUnknownTaskFails(t *testing.T) {
	w, _ := newLeasedWorker(t)
	req := connect.NewRequest(&pb.FollowRequest{Submission: &pb.SubmissionID{Incarnation: 1, Counter: 1}, Index: []uint32{0}})
	if _, err := w.Follow(context.Background(), req); connect.CodeOf(err) != connect.CodeNotFound {
		t.Fatalf("error %v, want not found", err)
	}
	if len(w.submissions) != 0 {
		t.Fatal("Follow of an unknown task created a record")
	}
}

// Guards against a task being started by a holder whose lease has expired. The holder
// is paused past the end of its lease, another entry VM may have acquired it, and then
// the holder sends the same start twice and a heartbeat. The worker must judge the
// lease by its own clock and must not renew an expired one.
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
			t.Error("an expired lease was renewed")
		}
		if _, starts, _ := w.Starts(); starts != 0 {
			t.Errorf("%d starts under an expired lease (acquired by another VM: %v)", starts, taken)
		}
	}
}
