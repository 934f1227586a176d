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

// Symptom: watts in force twice after a plan or a handover. Sequence: an allotment
// of an earlier plan or holder arrives late; the worker is then leased again, or
// restarts. Cause would be a record that goes back, is not handed over, or
// outlives the tasks that it was for.
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
		t.Fatalf("answers %v, %d mW allotted", stored, w.Allotted())
	}
	_, m := w.acquire(now.Add(2*time.Second), &pb.Acquire{EntryVm: "vm2", Incarnation: 2, TtlMillis: 1000})
	if r := m.Granted.Record; r.GetRevision() != 2 || r.GetAllottedMilliwatts() != 5000 || m.Granted.Incarnation != 7 {
		t.Fatalf("the next holder got %v", m.Granted)
	}
	again, _ := newLeasedWorker(t)
	if _, m = again.acquire(now, &pb.Acquire{EntryVm: "vm1", Incarnation: 1, TtlMillis: 1000}); m.Granted.Record != nil {
		t.Fatalf("a new run has the record %v", m.Granted.Record)
	}
}

// Symptom: draw above the cap. Sequence: a holder starts more than the allotment
// carries, or tasks draw more than they were charged. Cause would be a guard that
// trusts the holder, or the declarations.
func TestDrawStaysWithinAllotment(t *testing.T) {
	w, s := newLeasedWorker(t)
	w.cfg.Behaviour = func(string, []byte) Outcome { return Outcome{Run: time.Hour, Milliwatts: 4000} }
	w.handleRequest(now, s, allotment(1, 1, 2000))
	g := startOfTask0(7)
	g.ChargedMilliwatts = 2000
	if r := w.start(now, s.epoch, g, 0); r != nil {
		t.Fatalf("a start within the allotment gave %v", r)
	}
	if draw, peak := w.Draw(); draw != 2000 || peak != 2000 {
		t.Fatalf("draw %d, peak %d, allotted are 2000 mW", draw, peak)
	}
	g.Index[0] = 1
	if r := w.start(now, s.epoch, g, 0); r.GetReason() != string(reason.WorkerBusy) {
		t.Fatalf("a start above the allotment gave %v", r)
	}
	w.handleRequest(now.Add(500*time.Millisecond), s, allotment(2, 1, 1000))
	if speed := w.power.speed; speed != 250 {
		t.Fatalf("speed %d thousandths at a quarter of the draw", speed)
	}
	for _, task := range w.runningTasks {
		if want := time.Hour - 250*time.Millisecond; task.remaining != want {
			t.Errorf("%v are left after 500 ms at half speed, want %v", task.remaining, want)
		}
	}
}
