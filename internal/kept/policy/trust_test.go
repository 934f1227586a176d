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
	if settings.Admits(now+time.Second, &r, 0) {
		t.Error("it gets a task at once")
	}
	now += ejectFirst
	if !settings.Admits(now, &r, 0) || settings.Admits(now, &r, 1) {
		t.Error("it is not tried with just one task")
	}
	r.Hung(now)
	if settings.Admits(now+ejectFirst, &r, 0) {
		t.Error("it is not left alone for longer the second time")
	}
	r.Completed(1)
	if !settings.Admits(now+2*ejectFirst, &r, 2) {
		t.Error("it is doubted after a run that completed")
	}
}
