package policy

import (
	"testing"
	"time"
)

// Symptom: a worker that hangs holds up three tasks each time that it is tried again.
// Sequence: its tasks stand still, it is left alone for a while, and still hangs. Cause: it
// was given all that it has room for at once.
func TestAWorkerThatHungIsTriedWithOneTask(t *testing.T) {
	var r WorkerHealth
	now := time.Hour
	r.RecordHang(now)
	if r.CanAccept(now+time.Second, 0) {
		t.Error("it gets a task at once")
	}
	now += baseEjectionTime
	if !r.CanAccept(now, 0) || r.CanAccept(now, 1) {
		t.Error("it is not tried with just one task")
	}
	r.RecordHang(now)
	if r.CanAccept(now+baseEjectionTime, 0) {
		t.Error("it is not left alone for longer the second time")
	}
	r.RecordCompletion(1)
	if !r.CanAccept(now+2*baseEjectionTime, 2) {
		t.Error("it is doubted after a run that completed")
	}
}

// Symptom: a trial with eject off shows no difference. Sequence: a worker fails two
// submissions in a row. Cause: the switch was asked where workers are admitted, together with
// that for hanging ones, and counted only if both were off.
func TestEjectIsSwitchedOffByItself(t *testing.T) {
	off := Defaults()
	off.Eject = false
	for name, c := range map[string]struct {
		s      Settings
		admits bool
	}{"on": {Defaults(), false}, "off": {off, true}} {
		var r WorkerHealth
		c.s.RecordFailure(time.Hour, &r, "a")
		c.s.RecordFailure(time.Hour, &r, "b")
		if r.CanAccept(time.Hour, 2) != c.admits {
			t.Errorf("eject %s: admits %v, want %v", name, !c.admits, c.admits)
		}
	}
}
