package worker

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// fullSpeed is the speed of an unthrottled worker, in thousandths.
const fullSpeed = 1000

// minSpeed, in thousandths, lets a throttled task still make progress and end.
const minSpeed = 1

// powerState is a worker's share of the site's power cap. It does not survive a
// restart.
type powerState struct {
	// record is nil until a lease holder has set an allotment; until then the
	// worker may draw no more than its idle power.
	record   *pb.AllotmentRecord
	allotted uint64 // milliwatts, idle draw included
	charged  uint64 // milliwatts charged to running tasks
	throttle uint32 // thousandths of full speed, as requested by a lease holder
	speed    uint32 // thousandths of full speed: the lower of throttle and what the allotment permits
}

func newPowerState(idle uint32) powerState {
	return powerState{allotted: uint64(idle), throttle: fullSpeed, speed: fullSpeed}
}

// chargedMilliwatts returns what one task of a group counts against the allotment.
func chargedMilliwatts(g *pb.StartGroup) uint32 {
	if g.ChargedMilliwatts != 0 {
		return g.ChargedMilliwatts
	}
	return g.Each.GetMilliwatts()
}

// fitsAllotment reports whether a task can start without the charges of all
// running tasks exceeding the allotment. A holder whose accounting is correct is
// never refused.
func (w *Worker) fitsAllotment(charged uint32) bool {
	return uint64(w.cfg.IdleMilliwatts)+w.power.charged+uint64(charged) <= w.power.allotted
}

// draw returns the current draw in milliwatts, idle draw included.
func (w *Worker) draw() uint32 {
	return w.cfg.IdleMilliwatts + uint32(uint64(w.milliwatts)*uint64(w.power.speed)/fullSpeed)
}

// updateSpeed slows all running tasks when their real draw exceeds the allotment,
// which happens when tasks draw more than they were charged. The model assumes
// that the draw above idle is proportional to the speed and that a change of
// speed takes effect at once. The caller holds mu.
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

// setSpeed changes the speed and reschedules the ends of all running tasks.
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

// meanSpeed returns the mean speed of an ended task in thousandths; 0 means full
// speed throughout.
func (t *task) meanSpeed() uint32 {
	if !t.slowed || t.run <= 0 {
		return 0
	}
	return uint32(min(max(t.fullSpeedRunTime*fullSpeed/t.run, minSpeed), fullSpeed))
}

// meanDraw returns the mean draw of an ended task in milliwatts.
func (t *task) meanDraw() uint32 {
	if speed := t.meanSpeed(); speed > 0 {
		return uint32(uint64(t.draw) * uint64(speed) / fullSpeed)
	}
	return t.draw
}

// durationAtSpeed converts a run time at full speed to the time that it takes at
// the current speed.
func (w *Worker) durationAtSpeed(run time.Duration) time.Duration {
	return run * fullSpeed / time.Duration(w.power.speed)
}

// applyAllotment sets the allotment unless the current one has a higher revision.
// The caller has checked the lease epoch and holds mu.
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

// applyThrottle sets the speed that a holder requests. The caller holds mu.
func (w *Worker) applyThrottle(now time.Time, m *pb.Throttle) *pb.Throttle {
	w.power.throttle = min(max(m.Permille, minSpeed), fullSpeed)
	w.updateSpeed(now)
	return &pb.Throttle{Permille: m.Permille}
}

// Idle returns the draw without any task, in milliwatts.
func (w *Worker) Idle() uint32 { return w.cfg.IdleMilliwatts }

// Allotted returns the current allotment in milliwatts, idle draw included.
func (w *Worker) Allotted() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.power.allotted
}
