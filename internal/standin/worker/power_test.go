package worker

import (
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

func allotment(sequence, revision, milliwatts uint64) *pb.HoldRequest {
	record := &pb.AllotmentRecord{Revision: revision, GrantedMilliwatts: milliwatts, AllottedMilliwatts: milliwatts}
	return &pb.HoldRequest{Epoch: 1, Allotment: &pb.Allotment{Sequence: sequence, Record: record}}
}

// Guards against the same watts being allotted twice after a new plan or a
// handover: an allotment of an earlier plan or holder arrives late, and the worker
// is then leased again or restarts. The allotment record must not go back to an
// older revision, must be passed to the next holder, and must not survive a
// restart, which ends the tasks that it was for.
func TestAllotmentRecord(t *testing.T) {
	w, s := newLeasedWorker(t)
	w.handleRequest(now, s, allotment(1, 2, 5000))
	w.handleRequest(now, s, allotment(2, 1, 9000))
	stale := allotment(3, 3, 9000)
	stale.Epoch = 0
	w.handleRequest(now, s, stale)
	var stored []bool
	for _, e := range s.events.Drain() {
		stored = append(stored, e.allotment.Stored)
	}
	if len(stored) != 2 || !stored[0] || stored[1] || w.Allotted() != 5000 {
		t.Fatalf("allotments stored: %v, want [true false]; %d mW allotted, want 5000", stored, w.Allotted())
	}
	_, m := w.acquire(now.Add(2*time.Second), &pb.Acquire{EntryVm: "vm2", Incarnation: 2, TtlMillis: 1000})
	if r := m.Granted.Record; r.GetRevision() != 2 || r.GetAllottedMilliwatts() != 5000 || m.Granted.Incarnation != 7 {
		t.Fatalf("the next holder was granted %v, want the record of revision 2 with 5000 mW from incarnation 7", m.Granted)
	}
	again, _ := newLeasedWorker(t)
	if _, m = again.acquire(now, &pb.Acquire{EntryVm: "vm1", Incarnation: 1, TtlMillis: 1000}); m.Granted.Record != nil {
		t.Fatalf("a restarted worker still has the allotment record %v", m.Granted.Record)
	}
}

// Guards against a draw above the power cap. A holder starts more than the
// allotment permits, or tasks draw more than they were charged. The worker must
// rely neither on the holder's accounting nor on the declared draw.
func TestDrawStaysWithinAllotment(t *testing.T) {
	w, s := newLeasedWorker(t)
	w.cfg.Behaviour = func(string, []byte) Outcome { return Outcome{Run: time.Hour, Milliwatts: 4000} }
	w.handleRequest(now, s, allotment(1, 1, 2000))
	g := startOfTask0(7)
	g.ChargedMilliwatts = 2000
	if r := w.start(now, s.epoch, g, 0); r != nil {
		t.Fatalf("a start within the allotment gave %v", r)
	}
	if draw, peakDraw := w.Draw(); draw != 2000 || peakDraw != 2000 {
		t.Fatalf("draw %d mW, peak %d mW, want 2000 mW, the allotment, for both", draw, peakDraw)
	}
	g.Index[0] = 1
	if r := w.start(now, s.epoch, g, 0); r.GetReason() != string(reason.WorkerBusy) {
		t.Fatalf("a start above the allotment gave %v", r)
	}
	w.handleRequest(now.Add(500*time.Millisecond), s, allotment(2, 1, 1000))
	if speed := w.power.speed; speed != 250 {
		t.Fatalf("speed %d thousandths, want 250: the allotment is a quarter of the draw", speed)
	}
	for _, task := range w.runningTasks {
		if want := time.Hour - 250*time.Millisecond; task.remaining != want {
			t.Errorf("%v remain after 500 ms at half speed, want %v", task.remaining, want)
		}
	}
}
