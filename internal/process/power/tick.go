package power

import "time"

// Summary is what an entry VM tells the peers of its failure domain, with each
// heartbeat. A stale or lost summary costs time, never watts.
type Summary struct {
	From      VM
	Revision  uint64
	Held      Milliwatts // allotted and in the pool
	Spare     Milliwatts // could be given away
	Confirmed []uint64   // a bit for each worker of the plan that is under it
	Leased    []uint64   // a bit for each worker of the plan leased here
}

// peer is the last summary of a peer.
type peer struct {
	summary Summary
	heard   time.Time
}

// Summary tells the peers about this VM.
func (l *Ledger) Summary() Summary {
	s := Summary{
		From:      l.self,
		Revision:  l.plan.Revision,
		Held:      l.held(),
		Spare:     l.spare(),
		Confirmed: append(bitset(nil), l.confirmed...),
	}
	leased := newBitset(len(l.plan.Workers))
	l.markLeased(leased)
	s.Leased = leased
	return s
}

// held is what is allotted here and in the pool. Watts in a transfer are left
// out: those of a transfer that is never taken are stranded.
func (l *Ledger) held() Milliwatts {
	sum := l.pool
	for _, a := range l.order {
		sum += a.record.Allotted
	}
	return sum
}

// markLeased sets the bits of the workers leased here.
func (l *Ledger) markLeased(b bitset) {
	for _, a := range l.order {
		if a.index >= 0 {
			b.set(a.index)
		}
	}
}

// Observe takes in a peer's summary.
func (l *Ledger) Observe(now time.Time, s Summary) {
	l.peers[s.From.Name] = peer{summary: s, heard: now}
	if s.Revision == l.plan.Revision {
		l.confirmed.merge(s.Confirmed)
		l.checkComplete()
	}
}

// fresh reports whether a peer's summary still counts.
func (l *Ledger) fresh(now time.Time, p peer) bool {
	inTime := now.Sub(p.heard) <= l.settings.SummaryTTL
	return inTime && p.summary.Revision == l.plan.Revision
}

// Tick lets time pass. Call it every 10 to 50 ms.
func (l *Ledger) Tick(now time.Time) []Action {
	var actions []Action
	l.dropSilent(now)
	for _, a := range l.order {
		a.high.turn(now, l.settings.ReportLag, a.committed)
		actions = l.shedStep(now, a, actions)
		actions = l.settle(now, a, actions)
	}
	actions = l.serve(now, actions)
	actions = l.meetDemand(now, actions)
	actions = l.settlePool(now, actions)
	actions = l.retry(now, actions)
	return l.checkRecoverable(now, actions)
}

// dropSilent forgets peers that were not heard of in time, so that replaced
// VMs do not add up.
func (l *Ledger) dropSilent(now time.Time) {
	for name, p := range l.peers {
		if now.Sub(p.heard) > l.settings.SummaryTTL {
			delete(l.peers, name)
		}
	}
}

// meetDemand moves watts to workers that refused charges since the last tick:
// from the pool, then from unused allotments here, then from peers.
func (l *Ledger) meetDemand(now time.Time, actions []Action) []Action {
	var missing Milliwatts
	for _, a := range l.order {
		need := min(a.wanted, a.ceiling-a.record.Allotted)
		if need <= 0 || a.pending || a.shed.active || !l.converted(a) {
			continue
		}
		given := min(need, l.pool)
		missing += need - given
		actions = l.raise(now, a, given, DemandHere, actions)
	}
	if missing > 0 {
		missing -= min(missing, l.spare())
		actions = l.collect(now, l.shortage(), DemandElsewhere, actions)
	}
	for _, a := range l.order {
		a.wanted = 0
	}
	return l.ask(now, missing, actions)
}

// shortage is the demand that allotments can still be raised for.
func (l *Ledger) shortage() Milliwatts {
	var sum Milliwatts
	for _, a := range l.order {
		if l.converted(a) && !a.pending {
			sum += max(0, min(a.wanted, a.ceiling-a.record.Allotted))
		}
	}
	return sum
}

// raise puts watts of the pool on a worker.
func (l *Ledger) raise(now time.Time, a *account, amount Milliwatts, why Reason, actions []Action) []Action {
	if amount <= 0 {
		return actions
	}
	l.pool -= amount
	record := a.record
	record.Allotted += amount
	return l.allot(now, a, record, why, actions)
}

// ask requests watts of the peer with most to spare.
func (l *Ledger) ask(now time.Time, missing Milliwatts, actions []Action) []Action {
	if missing < l.settings.MinTransfer || now.Before(l.moves.nextRequest) {
		return actions
	}
	l.moves.holdUntil = now.Add(l.settings.HoldDown)
	best := l.richest(now)
	if best.Spare < l.settings.MinTransfer {
		return actions
	}
	l.moves.nextRequest = now.Add(l.settings.RequestEvery)
	l.note(now, DemandHere, best.From.Name, missing)
	return append(actions, Request{
		From:       l.self,
		To:         best.From,
		Milliwatts: min(missing, best.Spare),
		Reason:     DemandHere,
	})
}

// richest is the fresh peer with most to spare, the lowest name among equals.
func (l *Ledger) richest(now time.Time) Summary {
	var best Summary
	for _, p := range l.peers {
		s := p.summary
		if !l.fresh(now, p) || s.Spare < best.Spare {
			continue
		}
		if s.Spare > best.Spare || s.From.Name < best.From.Name {
			best = s
		}
	}
	return best
}

// settlePool puts watts without a use back on the worker with most room, since
// only there they outlive this entry VM.
func (l *Ledger) settlePool(now time.Time, actions []Action) []Action {
	if l.pool <= 0 || len(l.moves.promised) > 0 {
		return actions
	}
	var best *account
	for _, a := range l.order {
		if a.pending || a.frozen || !l.converted(a) {
			continue
		}
		if best == nil || a.room() > best.room() {
			best = a
		}
	}
	if best == nil {
		return actions
	}
	return l.raise(now, best, min(l.pool, best.room()), PoolSettled, actions)
}

// room is how far the allotment can be raised.
func (a *account) room() Milliwatts { return a.ceiling - a.record.Allotted }

// checkRecoverable asks for a plan when it would bring back enough stranded
// watts for long enough. One VM asks: the lowest name that is heard of.
func (l *Ledger) checkRecoverable(now time.Time, actions []Action) []Action {
	amount := l.recoverable(now)
	threshold := l.plan.Part * Milliwatts(l.settings.StrandedPermille) / permilleFull
	if amount <= threshold || !l.lowestName(now) {
		l.recoverableSince = time.Time{}
		return actions
	}
	if l.recoverableSince.IsZero() {
		l.recoverableSince = now
	}
	if now.Sub(l.recoverableSince) < l.settings.StrandedAfter {
		return actions
	}
	l.recoverableSince = now
	l.note(now, WattsRecoverable, "", amount)
	return append(actions, PlanWanted{After: l.plan.Revision, Milliwatts: amount, Reason: WattsRecoverable})
}

// recoverable is what a new plan made now would add: the part, less what it
// would set aside for workers that nobody leases, less what is held.
func (l *Ledger) recoverable(now time.Time) Milliwatts {
	leased := newBitset(len(l.plan.Workers))
	l.markLeased(leased)
	held := l.held()
	for _, p := range l.peers {
		if l.fresh(now, p) {
			leased.merge(p.summary.Leased)
			held += p.summary.Held
		}
	}
	usable := l.plan.Part
	var most Milliwatts
	for i, w := range l.plan.Workers {
		if leased.has(i) {
			most += w.Ceiling
		} else {
			usable -= w.Ceiling
		}
	}
	return max(0, min(usable, most)-held)
}

// lowestName reports whether no fresh peer has a lower name.
func (l *Ledger) lowestName(now time.Time) bool {
	for name, p := range l.peers {
		if name < l.self.Name && l.fresh(now, p) {
			return false
		}
	}
	return true
}
