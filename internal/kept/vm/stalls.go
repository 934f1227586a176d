package vm

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Delays from which on a line tells of them.
const (
	lateRound = 200 * time.Millisecond // from when a round was due to its begin
	longRound = 200 * time.Millisecond
)

const maxLateRoundLines = 1 // a second

// waitingSince is when the oldest event came in that the engine has not taken yet. A VM's clock is read once a round for
// it, not for each event.
type waitingSince struct{ at atomic.Int64 }

// note is called before an event is queued.
func (w *waitingSince) note(now func() time.Duration) {
	if w.at.Load() == 0 {
		w.at.CompareAndSwap(0, int64(now()))
	}
}

// take returns the time, 0 if no event waits. It is called before the events are taken.
func (w *waitingSince) take() time.Duration { return time.Duration(w.at.Swap(0)) }

// roundTimes measures the engine's rounds. All times are the VM's, which never jumps.
type roundTimes struct {
	beganAt time.Duration
	endedAt time.Duration // of the previous round; 0: there was none
	dueAt   time.Duration // of the next round if no event comes in
	lines   lineLimit
}

// runTimedRound runs a round, and measures how much later than due it began and how long it took.
func (e *engine) runTimedRound(t time.Time) {
	e.beginRound(e.vm.now())
	e.runRound(t)
	e.endRound(e.vm.now())
}

// beginRound records the begin of a round. A round is due when its oldest event came in, but not before the previous
// one has ended: what an event waits for a long round counts as that round's duration only.
func (e *engine) beginRound(now time.Duration) {
	r := &e.rounds
	events := e.vm.events.Len()
	oldestAt := e.vm.oldestEvent.take()
	took := r.endedAt - r.beganAt
	r.beganAt = now
	if r.endedAt == 0 {
		return
	}
	dueAt := r.dueAt
	if oldestAt > 0 && events > 0 {
		dueAt = min(dueAt, max(oldestAt, r.endedAt))
	}
	late := max(now-dueAt, 0)
	e.vm.metrics.roundLateness.RecordDuration(late)
	if late >= lateRound {
		e.vm.metrics.roundsLate.Inc(1)
	}
	if late < lateRound && took < longRound {
		return
	}
	if omitted, allowed := r.lines.allow(now, maxLateRoundLines); allowed {
		klog.InfoS("kept: round late", "late", late, "previous_took", took, "events", events, "shards", len(e.shards), "omitted", omitted)
	}
}

// endRound records the end of a round.
func (e *engine) endRound(now time.Duration) {
	r := &e.rounds
	r.endedAt = now
	r.dueAt = now + e.roundInterval()
	took := now - r.beganAt
	e.vm.metrics.roundDuration.RecordDuration(took)
	if took >= longRound {
		e.vm.metrics.roundsLong.Inc(1)
	}
}
