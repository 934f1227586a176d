package policy

import (
	"testing"
	"time"
)

// Guards against a hung worker that delays three tasks each time it is tried again. It is ejected when
// its tasks stall, and still hangs afterwards. It must get one task at a time, not as many as fit.
func TestHungWorkerIsTriedWithOneTask(t *testing.T) {
	var r WorkerHealth
	now := time.Hour
	r.RecordHang(now)
	if r.CanAccept(now+time.Second, 0) {
		t.Error("the worker gets a task right after the hang")
	}
	now += baseEjectionTime
	if !r.CanAccept(now, 0) || r.CanAccept(now, 1) {
		t.Error("the worker is not tried with exactly one task")
	}
	r.RecordHang(now)
	if r.CanAccept(now+baseEjectionTime, 0) {
		t.Error("the second ejection is no longer than the first")
	}
	r.RecordCompletion(1)
	if !r.CanAccept(now+2*baseEjectionTime, 2) {
		t.Error("the worker is still limited after a completed run")
	}
}

// Guards against a setting eject=false without effect. The switch must work for a worker that fails two
// submissions in a row, whatever the setting for hung workers is.
func TestEjectIsSwitchedOffIndependently(t *testing.T) {
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
