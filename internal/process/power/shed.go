package power

import "time"

// shedState is how far a worker's load is being brought down.
type shedState struct {
	active   bool
	since    time.Time
	reason   Reason
	step     shedStep
	next     time.Time // of a repeated stop
	asked    map[TaskKey]shedStep
	fitSince time.Time // since when the load fits at full speed
}

// shedStep is a step in the order in which draw is brought down.
type shedStep int

const (
	stepStopStarts shedStep = iota
	stepThrottle
	stepCheckpoint
	stepStop
)

// startShedding begins when a worker's expected draw does not fit.
func (l *Ledger) startShedding(now time.Time, a *account, why Reason, actions []Action) []Action {
	if a.shed.active || a.fits() {
		return actions
	}
	a.shed = shedState{active: true, since: now, reason: why, asked: map[TaskKey]shedStep{}}
	l.note(now, why, a.name, -a.headroom())
	return append(actions, StopStarts{Worker: a.name, Reason: why})
}

// shedStep takes the next step of a worker that sheds, or lifts its throttle.
func (l *Ledger) shedStep(now time.Time, a *account, actions []Action) []Action {
	actions = l.startShedding(now, a, DrawAboveCharge, actions)
	if !a.shed.active {
		return l.unthrottle(now, a, actions)
	}
	if a.fits() {
		a.shed = shedState{}
		return actions
	}
	elapsed := now.Sub(a.shed.since)
	if a.shed.step < stepThrottle && elapsed >= l.settings.ThrottleAfter {
		return l.throttle(a, actions)
	}
	if a.shed.step < stepCheckpoint && elapsed >= l.settings.CheckpointAfter {
		return l.checkpoint(a, actions)
	}
	if elapsed >= l.settings.StopAfter && !now.Before(a.shed.next) {
		return l.stop(now, a, actions)
	}
	return actions
}

// throttle slows the worker to what fits.
func (l *Ledger) throttle(a *account, actions []Action) []Action {
	a.shed.step = stepThrottle
	if a.slowing != 0 {
		return actions
	}
	room := a.target - a.idle - a.overrun
	permille := int64(0)
	if a.committed > 0 {
		permille = int64(room * permilleFull / a.committed)
	}
	permille = min(max(permille, l.settings.MinPermille), permilleFull)
	a.slowing = permille
	return append(actions, Throttle{
		Worker:   a.name,
		Epoch:    a.epoch,
		Permille: permille,
		Within:   l.settings.CheckpointAfter - l.settings.ThrottleAfter,
		Reason:   a.shed.reason,
	})
}

// Throttled records the speed that a worker has confirmed.
func (l *Ledger) Throttled(now time.Time, worker string, epoch uint64, permille int64) []Action {
	a := l.accounts[worker]
	if a == nil || a.epoch != epoch || a.slowing == 0 || a.slowing != permille {
		return nil
	}
	a.slowing = 0
	a.permille = permille
	return l.settle(now, a, nil)
}

// checkpoint saves and ends tasks until the rest fits.
func (l *Ledger) checkpoint(a *account, actions []Action) []Action {
	a.shed.step = stepCheckpoint
	for _, key := range l.excess(a, stepCheckpoint) {
		actions = append(actions, Checkpoint{
			Worker: a.name,
			Epoch:  a.epoch,
			Task:   key,
			Within: l.settings.StopAfter - l.settings.CheckpointAfter,
			Reason: a.shed.reason,
		})
	}
	return actions
}

// stop ends tasks until the rest fits, and repeats while it does not.
func (l *Ledger) stop(now time.Time, a *account, actions []Action) []Action {
	a.shed.step = stepStop
	again := l.settings.StopAfter - l.settings.CheckpointAfter
	a.shed.next = now.Add(again)
	for _, key := range l.excess(a, stepStop) {
		actions = append(actions, Stop{
			Worker: a.name,
			Epoch:  a.epoch,
			Task:   key,
			Within: again,
			Reason: a.shed.reason,
		})
	}
	return actions
}

// excess picks the tasks to end, those of least loss first.
func (l *Ledger) excess(a *account, step shedStep) []TaskKey {
	over := -a.headroom()
	var picked []TaskKey
	for _, key := range a.leastLoss() {
		if over <= 0 {
			break
		}
		over -= a.tasks[key].Milliwatts * Milliwatts(a.permille) / permilleFull
		a.shed.asked[key] = step
		picked = append(picked, key)
	}
	return picked
}

// unthrottle lifts a throttle when the load has fitted at full speed for a
// while, so that a load at the edge does not switch it on and off.
func (l *Ledger) unthrottle(now time.Time, a *account, actions []Action) []Action {
	if a.permille >= permilleFull || a.slowing != 0 {
		return actions
	}
	if a.idle+a.committed+a.overrun > a.target {
		a.shed.fitSince = time.Time{}
		return actions
	}
	if a.shed.fitSince.IsZero() {
		a.shed.fitSince = now
	}
	if now.Sub(a.shed.fitSince) < l.settings.RestoreAfter {
		return actions
	}
	a.permille = permilleFull
	a.slowing = permilleFull
	a.shed = shedState{}
	return append(actions, Throttle{
		Worker:   a.name,
		Epoch:    a.epoch,
		Permille: permilleFull,
		Reason:   DrawBackUnder,
	})
}

// turn begins a new window when the last is over.
func (h *highWater) turn(now time.Time, length time.Duration, committed Milliwatts) {
	if now.Sub(h.turned) < length {
		return
	}
	h.turned = now
	h.last = h.current
	h.current = committed
}

// Report takes in a worker's usage: its whole draw, measured age ago. A draw
// above the greatest charge of the report's window is held as an overrun, and
// the worker sheds if that does not fit. A report never frees charged watts:
// what it shows is as old as several tasks are long. An overrun ends with a
// report that was measured a full lag after the overrun was last seen.
func (l *Ledger) Report(now time.Time, worker string, draw Milliwatts, age time.Duration) []Action {
	a := l.accounts[worker]
	if a == nil || age > l.settings.ReportLag {
		return nil
	}
	a.high.turn(now, l.settings.ReportLag, a.committed)
	charged := a.idle + max(a.high.current, a.high.last)
	if draw > charged {
		a.overrun = max(a.overrun, draw-charged)
		a.overrunAt = now
		actions := []Action{EstimateLow{Worker: worker, Reported: draw, Charged: charged}}
		return l.startShedding(now, a, DrawAboveCharge, actions)
	}
	if a.overrun > 0 && !now.Add(-age).Before(a.overrunAt.Add(l.settings.ReportLag)) {
		a.overrun = 0
	}
	return nil
}
