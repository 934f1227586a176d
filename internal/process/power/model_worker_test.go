package power

import (
	"sort"
	"time"
)

// stepWorker lets a worker handle its next message.
func (m *model) stepWorker(w *modelWorker) {
	if w.holder == nil || len(w.toWorker) == 0 {
		return
	}
	message := w.toWorker[0]
	w.toWorker = w.toWorker[1:]
	epoch := w.epoch
	switch a := message.(type) {
	case Allot:
		if w.record.Known && a.Record.Revision < w.record.Revision {
			return
		}
		w.record = a.Record
		w.answer(func(l *Ledger) []Action { return l.Allotted(m.now, w.name, epoch, a.Sequence) })
	case Throttle:
		w.permille = a.Permille
		w.answer(func(l *Ledger) []Action { return l.Throttled(m.now, w.name, epoch, a.Permille) })
	case Running:
		w.running[a.Key] = a.Load.Milliwatts
	case Checkpoint:
		w.end(a.Task)
	case Stop:
		w.end(a.Task)
	}
}

func (w *modelWorker) answer(event func(*Ledger) []Action) {
	w.toHolder = append(w.toHolder, event)
}

// endFirst finishes the task with the lowest key, if one runs.
func (w *modelWorker) endFirst() {
	if len(w.running) > 0 {
		w.end(w.keys()[0])
	}
}

// keys lists the running tasks in a fixed order, so that a seed gives one run.
func (w *modelWorker) keys() []TaskKey {
	keys := make([]TaskKey, 0, len(w.running))
	for key := range w.running {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
	return keys
}

// end finishes a task and tells the holder.
func (w *modelWorker) end(key TaskKey) {
	if _, runs := w.running[key]; !runs {
		return
	}
	delete(w.running, key)
	w.answer(func(l *Ledger) []Action {
		l.Release(w.name, key)
		return nil
	})
}

// stepHolder lets a holder handle a worker's next answer.
func (m *model) stepHolder(w *modelWorker) {
	if w.holder == nil || w.holder.paused || len(w.toHolder) == 0 {
		return
	}
	event := w.toHolder[0]
	w.toHolder = w.toHolder[1:]
	m.do(w.holder, event(w.holder.ledger))
}

// lapse ends a lease at the worker. The holder hears of it if told.
func (m *model) lapse(w *modelWorker, told bool) {
	holder := w.holder
	w.holder, w.toWorker, w.toHolder = nil, nil, nil
	if holder == nil || !told || holder.paused {
		return
	}
	a := holder.ledger.accounts[w.name]
	if a == nil {
		return
	}
	if m.fault == lapsedWattsReused {
		holder.ledger.pool += a.record.Allotted
	}
	holder.ledger.LeaseLost(m.now, w.name)
}

// acquire grants a lapsed lease.
func (m *model) acquire(w *modelWorker, vm *modelVM) {
	if w.holder != nil || vm.paused {
		return
	}
	w.epoch++
	w.holder = vm
	grant := Grant{
		Epoch: w.epoch, Incarnation: w.incarnation, Idle: modelIdle,
		Record: w.record, Permille: w.permille,
	}
	for _, key := range w.keys() {
		grant.Running = append(grant.Running, Running{key, Load{Milliwatts: w.running[key]}})
	}
	m.do(vm, vm.ledger.LeaseAcquired(m.now, w.name, grant))
}

// restartWorker ends the worker's tasks and loses its record.
func (m *model) restartWorker(w *modelWorker) {
	m.lapse(w, true)
	w.incarnation++
	w.record = Record{}
	w.running = map[TaskKey]Milliwatts{}
	w.permille = permilleFull
}

// replaceVM kills an entry VM; its leases lapse and a new run takes its name.
func (m *model) replaceVM(i int) {
	for _, w := range m.workers {
		if w.holder == m.vms[i] {
			m.lapse(w, false)
		}
	}
	m.vms[i] = m.newVM(i)
}

// charge tries to start a task wherever its VM believes it holds the lease.
func (m *model) charge(vm *modelVM, w *modelWorker, load Milliwatts) bool {
	m.next++
	key := TaskKey{SubmissionIncarnation: vm.id.Incarnation, SubmissionCounter: m.next}
	task := Load{Milliwatts: load, Ends: m.now.Add(time.Second)}
	a := vm.ledger.accounts[w.name]
	if _, ok := vm.ledger.Charge(w.name, key, task); !ok {
		return false
	}
	m.toWorker(vm, w.name, a.epoch, Running{key, task})
	return true
}

// tick lets time pass at every VM that runs.
func (m *model) tick(step time.Duration) {
	m.now = m.now.Add(step)
	for _, vm := range m.vms {
		if vm.paused {
			continue
		}
		if m.fault == restoreBeforeComplete && vm.heard > 0 {
			vm.ledger.complete = true
		}
		m.do(vm, vm.ledger.Tick(m.now))
	}
}

// gossip sends every VM's summary to every other.
func (m *model) gossip() {
	for _, from := range m.vms {
		for _, to := range m.vms {
			if from != to && !from.paused {
				m.send(to.id, from.ledger.Summary())
			}
		}
	}
}

// drain delivers everything once, in order.
func (m *model) drain() {
	for _, w := range m.workers {
		for len(w.toWorker) > 0 {
			m.stepWorker(w)
		}
		for len(w.toHolder) > 0 && w.holder != nil && !w.holder.paused {
			m.stepHolder(w)
		}
	}
	for n := len(m.net); n > 0; n-- {
		if m.vms[m.net[0].to].paused {
			m.net = append(m.net[1:], m.net[0])
			continue
		}
		m.deliver(0, false)
	}
}

// quiet runs the domain without faults for a while.
func (m *model) quiet(rounds int) {
	for range rounds {
		for _, vm := range m.vms {
			m.hear(vm)
		}
		m.gossip()
		m.drain()
		m.tick(20 * time.Millisecond)
		m.drain()
		m.confirm()
	}
}
