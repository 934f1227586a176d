package power

import (
	"fmt"
	"time"
)

// model is one failure domain: workers that arbitrate their leases, entry VMs
// with ledgers, and a network that loses, doubles and reorders what VMs send
// to each other. Streams between a VM and a worker keep their order and end
// with the lease.
type model struct {
	now       time.Time
	site      *Site
	domain    string
	workers   []*modelWorker
	vms       []*modelVM
	plans     []Plan
	net       []packet
	fault     fault
	next      uint64
	moved     Milliwatts // taken from transfers, to show that the runs move watts
	transfers int        // taken
	wanted    int        // plans asked for
	broken    string
}

// fault is a deliberate error of the model, to show that the checks see it.
type fault int

const (
	noFault fault = iota
	takeBeforeGive
	lapsedWattsReused
	transferTakenTwice
	restoreBeforeComplete
)

type modelWorker struct {
	name        string
	incarnation uint64
	epoch       uint64
	holder      *modelVM // nil: the lease has lapsed
	record      Record
	running     map[TaskKey]Milliwatts
	permille    int64
	toWorker    []any
	toHolder    []func(*Ledger) []Action
}

type modelVM struct {
	id     VM
	ledger *Ledger
	paused bool
	heard  int // plans applied
}

type packet struct {
	to   int
	body any
}

const (
	modelIdle    Milliwatts = 100_000
	modelCeiling Milliwatts = 400_000
)

func newModel(site *Site, domain string, vms, workers int, f fault) *model {
	m := &model{now: time.Unix(1, 0), site: site, domain: domain, fault: f}
	for i := range vms {
		m.vms = append(m.vms, m.newVM(i))
	}
	for i := range workers {
		w := &modelWorker{name: fmt.Sprintf("w%d", i), incarnation: 1, permille: permilleFull}
		w.running = map[TaskKey]Milliwatts{}
		m.workers = append(m.workers, w)
	}
	return m
}

// leaseAll spreads the workers over the VMs and brings a first plan into force.
func (m *model) leaseAll() {
	for i, w := range m.workers {
		m.acquire(w, m.vms[i%len(m.vms)])
	}
	m.publish(0)
	m.quiet(8)
}

func (m *model) newVM(i int) *modelVM {
	m.next++
	id := VM{fmt.Sprintf("vm%d", i), m.next}
	return &modelVM{id: id, ledger: New(id, DefaultSettings())}
}

// inForce is what the workers allow; without a record that is idle draw.
func (m *model) inForce() Milliwatts {
	var sum Milliwatts
	for _, w := range m.workers {
		sum += w.limit()
	}
	return sum
}

func (w *modelWorker) limit() Milliwatts {
	if !w.record.Known {
		return modelIdle
	}
	return w.record.Allotted
}

func (w *modelWorker) draw() Milliwatts {
	var sum Milliwatts
	for _, load := range w.running {
		sum += load
	}
	return modelIdle + (sum*Milliwatts(w.permille)+permilleFull-1)/permilleFull
}

// check is the property: the domain never holds more than its part of the
// site's cap, and no worker draws more than its allotment.
func (m *model) check() error {
	if m.broken != "" {
		return fmt.Errorf("%s", m.broken)
	}
	if err := m.site.Validate(); err != nil {
		return err
	}
	for _, d := range m.site.Domains {
		if d.Domain == m.domain && m.inForce() > d.Held {
			return fmt.Errorf("%s: %d mW in force, %d allowed", m.domain, m.inForce(), d.Held)
		}
	}
	for _, w := range m.workers {
		if w.draw() > w.limit() {
			return fmt.Errorf("%s draws %d of %d mW", w.name, w.draw(), w.limit())
		}
	}
	return nil
}

// publish makes the next plan. Bits of mask pick the workers that could not be
// asked.
func (m *model) publish(mask uint) {
	var known []Candidate
	for i, w := range m.workers {
		c := Candidate{Name: w.name, Incarnation: w.incarnation, Idle: modelIdle, Ceiling: modelCeiling}
		if mask>>i&1 == 1 {
			c.Incarnation = 0
		}
		known = append(known, c)
	}
	plan, err := Build(uint64(len(m.plans)+1), m.part(), known)
	if err == nil {
		m.plans = append(m.plans, plan)
	}
}

// hear applies the next plan, or the newest, at one VM.
func (m *model) hear(vm *modelVM) {
	if vm.paused || vm.heard == len(m.plans) {
		return
	}
	vm.heard = len(m.plans)
	actions, err := vm.ledger.SetPlan(m.now, m.plans[vm.heard-1])
	if err != nil {
		m.broken = err.Error()
	}
	m.do(vm, actions)
}

// confirm lets the configuration learn that the newest plan is complete.
func (m *model) confirm() {
	for _, vm := range m.vms {
		newest := uint64(len(m.plans))
		if newest > 0 && vm.ledger.Complete(newest) && m.plans[newest-1].Part == m.part() {
			*m.site, _ = m.site.Confirm(m.domain)
		}
	}
}

func (m *model) part() Milliwatts {
	for _, d := range m.site.Domains {
		if d.Domain == m.domain {
			return d.Part
		}
	}
	return 0
}

// do carries out a ledger's actions.
func (m *model) do(vm *modelVM, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Allot:
			m.toWorker(vm, a.Worker, a.Epoch, a)
		case Throttle:
			m.toWorker(vm, a.Worker, a.Epoch, a)
		case Checkpoint:
			m.toWorker(vm, a.Worker, a.Epoch, a)
		case Stop:
			m.toWorker(vm, a.Worker, a.Epoch, a)
		case PlanWanted:
			m.wanted++
		case Request:
			m.send(a.To, a)
		case Send:
			if m.fault != takeBeforeGive {
				m.send(a.Transfer.To, a.Transfer)
			}
		}
	}
}

func (m *model) send(to VM, body any) {
	for i, vm := range m.vms {
		if vm.id.Name == to.Name {
			m.net = append(m.net, packet{i, body})
		}
	}
}

func (m *model) toWorker(vm *modelVM, name string, epoch uint64, message any) {
	for _, w := range m.workers {
		if w.name == name && w.holder == vm && w.epoch == epoch {
			w.toWorker = append(w.toWorker, message)
		}
	}
}

// deliver hands packet i over, and keeps a copy for later if twice is set.
func (m *model) deliver(i int, twice bool) {
	p := m.net[i]
	vm := m.vms[p.to]
	if vm.paused {
		return
	}
	if !twice {
		m.net = append(m.net[:i], m.net[i+1:]...)
	}
	switch body := p.body.(type) {
	case Summary:
		vm.ledger.Observe(m.now, body)
	case Request:
		actions := vm.ledger.Requested(m.now, body)
		if m.fault == takeBeforeGive && len(actions) > 0 {
			m.next++
			m.send(body.From, Transfer{
				ID: TransferID{vm.id.Incarnation, m.next}, From: vm.id, To: body.From,
				Revision: vm.ledger.plan.Revision, Milliwatts: body.Milliwatts,
			})
		}
		m.do(vm, actions)
	case Transfer:
		if m.fault == transferTakenTwice {
			delete(vm.ledger.moves.taken, body.From)
		}
		before := vm.ledger.pool
		if ack, ok := vm.ledger.Receive(m.now, body); ok {
			m.send(body.From, ack)
		}
		if vm.ledger.pool > before {
			m.moved += vm.ledger.pool - before
			m.transfers++
		}
	case Ack:
		vm.ledger.Acked(body)
	}
}
