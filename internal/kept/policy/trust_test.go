package policy

import (
	"testing"
	"time"
)

// Symptom: a worker that hangs holds up three tasks each time that it is tried again.
// Sequence: its tasks stand still, it is left alone for a while, and still hangs. Cause: it
// was given all that it has room for at once.
func TestAWorkerThatHungIsTriedWithOneTask(t *testing.T) {
	var r Trust
	now := time.Hour
	r.Hung(now)
	if r.Admits(now+time.Second, 0) {
		t.Error("it gets a task at once")
	}
	now += ejectFirst
	if !r.Admits(now, 0) || r.Admits(now, 1) {
		t.Error("it is not tried with just one task")
	}
	r.Hung(now)
	if r.Admits(now+ejectFirst, 0) {
		t.Error("it is not left alone for longer the second time")
	}
	r.Completed(1)
	if !r.Admits(now+2*ejectFirst, 2) {
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
		var r Trust
		c.s.Failed(time.Hour, &r, "a")
		c.s.Failed(time.Hour, &r, "b")
		if r.Admits(time.Hour, 2) != c.admits {
			t.Errorf("eject %s: admits %v, want %v", name, !c.admits, c.admits)
		}
	}
}
