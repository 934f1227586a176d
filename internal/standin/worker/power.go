package worker

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// fullSpeed is full speed in thousandths.
const fullSpeed = 1000

// minSpeed keeps slowed tasks from standing still for ever.
const minSpeed = 1

// powerState is a worker's part of the cap. A restart loses it.
type powerState struct {
	// record is nil until a holder has put one in force; the worker may then
	// draw no more than when idle.
	record   *pb.AllotmentRecord
	allotted uint64 // in force, idle included, milliwatts
	charged  uint64 // to running tasks, milliwatts
	throttle uint32 // thousandths of full speed, as a holder asked for
	speed    uint32 // thousandths in force: throttle and guard together
}

func newPowerState(idle uint32) powerState {
	return powerState{allotted: uint64(idle), throttle: fullSpeed, speed: fullSpeed}
}

// charge is what one task of a group counts under the cap, in milliwatts.
func chargedMilliwatts(g *pb.StartGroup) uint32 {
	if g.ChargedMilliwatts != 0 {
		return g.ChargedMilliwatts
	}
	return g.Each.GetMilliwatts()
}

// affords is the guard's first duty: no start passes the allotment by what the
// holder says that tasks draw. A holder with a right ledger is never refused.
func (w *Worker) fitsAllotment(charged uint32) bool {
	return uint64(w.cfg.IdleMilliwatts)+w.power.charged+uint64(charged) <= w.power.allotted
}

// draw is the present draw in milliwatts, idle included.
func (w *Worker) draw() uint32 {
	return w.cfg.IdleMilliwatts + uint32(uint64(w.milliwatts)*uint64(w.power.speed)/fullSpeed)
}

// respeed is the guard's second duty: when tasks draw more than they were
// charged, all are slowed until the draw fits the allotment. The model is
// simple: draw above idle and speed are proportional, and the guard acts at
// once. The caller holds mu.
func (w *Worker) updateSpeed(now time.Time) {
	speed := w.power.throttle
	room := w.power.allotted - min(w.power.allotted, uint64(w.cfg.IdleMilliwatts))
	if uint64(w.milliwatts) > room {
		speed = min(speed, uint32(room*fullSpeed/uint64(w.milliwatts)))
	}
	speed = max(speed, minSpeed)
	if speed != w.power.speed {
		w.setSpeed(now, speed)
	}
	w.peakDraw = max(w.peakDraw, w.draw())
}

// setSpeed moves the ends of all running tasks.
func (w *Worker) setSpeed(now time.Time, speed uint32) {
	before := time.Duration(w.power.speed)
	w.power.speed = speed
	for _, t := range w.runningTasks {
		done := now.Sub(t.remainingAt) * before / fullSpeed
		t.remaining, t.remainingAt = max(0, t.remaining-done), now
		t.timer.Reset(w.durationAtSpeed(t.remaining))
		t.slowed = true
	}
}

// permille is the mean speed that an ended task ran at, 0 for full speed.
func (t *task) meanSpeed() uint32 {
	if !t.slowed || t.run <= 0 {
		return 0
	}
	return uint32(min(max(t.fullSpeedRunTime*fullSpeed/t.run, minSpeed), fullSpeed))
}

// meanDraw is the mean draw of an ended task.
func (t *task) meanDraw() uint32 {
	if speed := t.meanSpeed(); speed > 0 {
		return uint32(uint64(t.draw) * uint64(speed) / fullSpeed)
	}
	return t.draw
}

// durationAtSpeed is how long run time at full speed takes at the speed in force.
func (w *Worker) durationAtSpeed(run time.Duration) time.Duration {
	return run * fullSpeed / time.Duration(w.power.speed)
}

// allot puts an allotment in force, unless a later plan is. The caller has
// checked the epoch and holds mu.
func (w *Worker) applyAllotment(now time.Time, m *pb.Allotment) *pb.AllotmentAnswer {
	answer := &pb.AllotmentAnswer{Sequence: m.Sequence}
	if m.Record == nil || m.Record.Revision < w.power.record.GetRevision() {
		return answer
	}
	w.power.record = m.Record
	w.power.allotted = m.Record.AllottedMilliwatts
	answer.Stored = true
	w.updateSpeed(now)
	return answer
}

// applyThrottle puts a holder's speed in force. The caller holds mu.
func (w *Worker) applyThrottle(now time.Time, m *pb.Throttle) *pb.Throttle {
	w.power.throttle = min(max(m.Permille, minSpeed), fullSpeed)
	w.updateSpeed(now)
	return &pb.Throttle{Permille: m.Permille}
}

// Idle is the draw without any task, in milliwatts.
func (w *Worker) Idle() uint32 { return w.cfg.IdleMilliwatts }

// Allotted returns the allotment in force in milliwatts, idle included.
func (w *Worker) Allotted() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.power.allotted
}
