package power

import (
	"sort"
	"time"
)

// Ledger decides about the watts of one entry VM.
type Ledger struct {
	self     VM
	settings Settings
	plan     Plan
	complete bool // every present worker is under the plan
	// confirmed has a bit for each worker of the plan that is under it.
	confirmed bitset

	accounts map[string]*account
	order    []*account // by name, so that decisions do not depend on map order
	sequence uint64

	pool  Milliwatts // watts on no worker
	moves moves
	peers map[string]peer
	// recoverableSince is when a new plan began to look worth it.
	recoverableSince time.Time
	last             Decision
}

// New returns the ledger of an entry VM without workers or plan.
func New(self VM, settings Settings) *Ledger {
	return &Ledger{
		self:     self,
		settings: settings,
		accounts: map[string]*account{},
		peers:    map[string]peer{},
		moves:    newMoves(),
	}
}

// Charge reserves a task's draw above idle at a leased worker. The task may
// be started if and only if ok is true.
func (l *Ledger) Charge(worker string, key TaskKey, load Load) (refusal Refusal, ok bool) {
	a := l.accounts[worker]
	if a == nil {
		return NotLeased, false
	}
	if refusal := l.admit(a, key, load); refusal != Charged {
		return refusal, false
	}
	a.add(key, load)
	return Charged, true
}

// admit says why a charge cannot be made, and notes the unmet demand.
func (l *Ledger) admit(a *account, key TaskKey, load Load) Refusal {
	if load.Milliwatts < 0 || load.Milliwatts > a.ceiling-a.idle {
		return OverCeiling
	}
	if _, charged := a.tasks[key]; charged {
		return DuplicateCharge
	}
	if a.shed.active || a.permille < permilleFull {
		return Shedding
	}
	if load.Milliwatts > a.headroom() {
		a.wanted += load.Milliwatts
		return NoWatts
	}
	return Charged
}

// Release ends the charge of a task that the worker reports as ended. It
// reports whether the task was charged there.
func (l *Ledger) Release(worker string, key TaskKey) bool {
	a := l.accounts[worker]
	if a == nil {
		return false
	}
	load, charged := a.tasks[key]
	if !charged {
		return false
	}
	delete(a.tasks, key)
	delete(a.shed.asked, key)
	a.committed -= load.Milliwatts
	return true
}

// Headroom is what can be charged at a worker now, 0 while it sheds.
func (l *Ledger) Headroom(worker string) Milliwatts {
	a := l.accounts[worker]
	if a == nil || a.shed.active || a.permille < permilleFull {
		return 0
	}
	return max(0, a.headroom())
}

// Chargeable is what the tasks of a worker may be charged together: what they
// are charged now, and the headroom.
func (l *Ledger) Chargeable(worker string) Milliwatts {
	a := l.accounts[worker]
	if a == nil {
		return 0
	}
	return a.committed + l.Headroom(worker)
}

// Want notes demand at a worker that was not tried with a charge, because its
// headroom was known to be too small.
func (l *Ledger) Want(worker string, amount Milliwatts) {
	if a := l.accounts[worker]; a != nil && !a.shed.active {
		a.wanted += amount
	}
}

// LeaseAcquired takes over a worker with the record and the running tasks that
// it reports. The tasks that still run there are charged, so that the watts of
// the earlier holder are used only as far as the worker's own report proves
// them free. Starts that the earlier holder has under way are refused by the
// worker, since its epoch is over.
func (l *Ledger) LeaseAcquired(now time.Time, worker string, grant Grant) []Action {
	l.forget(worker)
	a := l.newAccount(worker, grant)
	a.high.turned = now
	for _, task := range grant.Running {
		a.add(task.Key, task.Load)
	}
	if !grant.Record.Known {
		// A restarted worker runs nothing. If it says otherwise, what runs
		// is the least that was allotted to it.
		a.record.Allotted = a.idle + a.committed
	}
	a.target = a.record.Allotted
	l.insert(a)
	l.place(a)
	l.checkComplete()
	l.note(now, LeaseTaken, worker, a.record.Allotted)
	return l.settle(now, a, nil)
}

// newAccount makes the account for a grant.
func (l *Ledger) newAccount(worker string, grant Grant) *account {
	return &account{
		name:        worker,
		epoch:       grant.Epoch,
		incarnation: grant.Incarnation,
		idle:        grant.Idle,
		record:      grant.Record,
		permille:    speedOf(grant),
		tasks:       make(map[TaskKey]Load, len(grant.Running)),
	}
}

// speedOf is the speed a worker runs at when its lease is granted.
func speedOf(grant Grant) int64 {
	if grant.Permille <= 0 || grant.Permille > permilleFull {
		return permilleFull
	}
	return grant.Permille
}

// LeaseLost drops a worker whose lease has lapsed or whose stream has ended.
//
// Its watts are not reusable here. What goes wrong otherwise: the worker's
// tasks run on after the lease, and the next holder takes the allotment over,
// so that watts used again here would be drawn twice; one would notice it as a
// draw above the cap shortly after a pause or a partition. The watts stay with
// the worker's record until a holder has the worker's own report.
func (l *Ledger) LeaseLost(now time.Time, worker string) {
	l.drop(now, worker, LeaseLapsed)
}

// LeaseHandedOver drops a worker whose lease was given back. Its watts go to
// the next holder with the worker's record, as in [Ledger.LeaseLost].
func (l *Ledger) LeaseHandedOver(now time.Time, worker string) {
	l.drop(now, worker, LeaseGiven)
}

// drop forgets a worker and notes why.
func (l *Ledger) drop(now time.Time, worker string, why Reason) {
	a := l.accounts[worker]
	if a == nil {
		return
	}
	l.forget(worker)
	l.note(now, why, worker, a.record.Allotted)
}

// insert adds an account in order of name.
func (l *Ledger) insert(a *account) {
	l.accounts[a.name] = a
	i := sort.Search(len(l.order), func(i int) bool { return l.order[i].name >= a.name })
	l.order = append(l.order, nil)
	copy(l.order[i+1:], l.order[i:])
	l.order[i] = a
}

// forget removes an account, if there is one.
func (l *Ledger) forget(worker string) {
	if l.accounts[worker] == nil {
		return
	}
	delete(l.accounts, worker)
	i := sort.Search(len(l.order), func(i int) bool { return l.order[i].name >= worker })
	l.order = append(l.order[:i], l.order[i+1:]...)
}

// SetPlan brings a new plan into force: a changed cap, a changed set of
// workers, or the recovery of stranded watts. A plan whose revision does not
// grow is ignored. All watts off workers are void. Workers above their new
// share take no new starts at once and are lowered as soon as their load fits,
// in the order stop starts, throttle, checkpoint, stop.
func (l *Ledger) SetPlan(now time.Time, plan Plan) ([]Action, error) {
	if plan.Revision <= l.plan.Revision {
		return nil, nil
	}
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	l.plan = plan
	l.pool = 0
	l.moves.reset()
	l.complete = false
	l.confirmed = newBitset(len(plan.Workers))
	l.recoverableSince = time.Time{}
	l.note(now, PlanApplied, "", plan.Part)
	var actions []Action
	for _, a := range l.order {
		l.place(a)
		actions = l.startShedding(now, a, PlanLowered, actions)
		actions = l.settle(now, a, actions)
	}
	return actions, nil
}

// place finds a worker in the plan and sets what charges are made against.
func (l *Ledger) place(a *account) {
	a.index = l.plan.index(a.name)
	a.frozen = true
	a.ceiling = a.record.Allotted
	if !a.pending {
		a.target = a.record.Allotted
	}
	if a.index < 0 {
		return
	}
	part := l.plan.Workers[a.index]
	a.ceiling = part.Ceiling
	if part.present() && part.Incarnation < a.incarnation {
		// The worker restarted: nothing allotted to its earlier run is left.
		l.confirmed.set(a.index)
		return
	}
	if part.present() && part.Incarnation > a.incarnation {
		// This VM's lease is of an earlier run and over, which it was not
		// told yet. What goes wrong if that counts as confirmed: the run that
		// the plan names may still be under an earlier plan, shares are
		// restored too soon, and the domain holds more than its part.
		return
	}
	if !part.present() || a.record.Revision > l.plan.Revision {
		return
	}
	a.frozen = false
	if l.converted(a) {
		l.confirmed.set(a.index)
		return
	}
	a.target = min(a.target, part.Share)
}

// converted reports whether the worker is under the current plan.
func (l *Ledger) converted(a *account) bool {
	return a.record.Known && a.record.Revision == l.plan.Revision
}

// settle sends the allotment that brings a worker under the plan, once its
// load fits, or the one that restores its share, once that is safe.
func (l *Ledger) settle(now time.Time, a *account, actions []Action) []Action {
	if a.frozen || a.pending {
		return actions
	}
	if !l.converted(a) {
		if !a.fits() {
			return actions
		}
		record := Record{Known: true, Revision: l.plan.Revision, Granted: a.target, Allotted: a.target}
		return l.allot(now, a, record, PlanApplied, actions)
	}
	return l.restore(now, a, actions)
}

// restore raises a worker by what is missing of its share. That is safe only
// when no worker of the domain can still be under an earlier plan: before, the
// same watts may be in force at a worker that had received them.
func (l *Ledger) restore(now time.Time, a *account, actions []Action) []Action {
	if !l.complete {
		return actions
	}
	missing := l.plan.Workers[a.index].Share - a.record.Granted
	missing = min(missing, a.ceiling-a.record.Allotted)
	if missing <= 0 {
		return actions
	}
	record := a.record
	record.Granted += missing
	record.Allotted += missing
	return l.allot(now, a, record, ShareRestored, actions)
}

// allot sends a record to the worker. Raised watts are counted at once,
// lowered ones are free only when the worker has confirmed.
func (l *Ledger) allot(now time.Time, a *account, record Record, why Reason, actions []Action) []Action {
	l.sequence++
	a.pending = true
	a.sequence = l.sequence
	a.sending = record
	a.credit = l.converted(a)
	a.target = min(a.target, record.Allotted)
	a.record.Allotted = max(a.record.Allotted, record.Allotted)
	l.note(now, why, a.name, record.Allotted)
	return append(actions, Allot{
		Worker:   a.name,
		Epoch:    a.epoch,
		Sequence: a.sequence,
		Record:   record,
		Reason:   why,
	})
}

// Allotted records that a worker has confirmed an [Allot].
func (l *Ledger) Allotted(now time.Time, worker string, epoch, sequence uint64) []Action {
	a := l.accounts[worker]
	if a == nil || a.epoch != epoch || !a.pending || a.sequence != sequence {
		return nil
	}
	a.pending = false
	freed := a.record.Allotted - a.sending.Allotted
	a.record = a.sending
	a.target = a.record.Allotted
	if l.converted(a) && a.credit && freed > 0 {
		l.pool += freed
	}
	l.place(a)
	l.checkComplete()
	return l.settle(now, a, l.serve(now, nil))
}

// checkComplete notes when the last present worker is under the plan.
func (l *Ledger) checkComplete() {
	if l.complete || len(l.plan.Workers) == 0 {
		return
	}
	for i, w := range l.plan.Workers {
		if w.present() && !l.confirmed.has(i) {
			return
		}
	}
	l.complete = true
}

// Complete reports whether every present worker of the domain is known to be
// under the plan with the given revision. It is what [Site.Confirm] needs.
func (l *Ledger) Complete(revision uint64) bool {
	return l.complete && l.plan.Revision == revision
}

// note keeps the last decision for operators.
func (l *Ledger) note(now time.Time, why Reason, worker string, amount Milliwatts) {
	l.last = Decision{At: now, Reason: why, Worker: worker, Milliwatts: amount}
}
