package holder

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

const (
	idle    = 100_000 // milliwatts
	ceiling = 260_000
	taskMW  = 20_000
	step    = 10 * time.Millisecond
)

// machine is a worker that keeps the contract of internal/process/power.
type machine struct {
	id          string
	epoch       uint64
	incarnation uint64
	record      *pb.AllotmentRecord
	tasks       map[taskKey]uint32 // charged milliwatts
	permille    uint64             // speed, 0: never throttled
}

func (m *machine) allotted() uint64 { return max(idle, m.record.GetAllottedMilliwatts()) }

func (m *machine) charged() (sum uint64) {
	for _, mw := range m.tasks {
		sum += uint64(mw)
	}
	return sum
}

// draw is proportional to speed, above idle.
func (m *machine) draw() uint64 {
	if m.permille == 0 {
		return idle + m.charged()
	}
	return idle + m.charged()*m.permille/1000
}

// entryVM is a holder with its connections. A paused one takes part in nothing.
type entryVM struct {
	*workers
	rig    *rig
	h      *Holder
	home   *home
	paused bool
	drop   func(m *pb.Power) bool
	tasks  uint32
	leases map[string]*pb.Granted // the last one of each worker
}

// lose takes the last lease of a worker from the VM.
func (vm *entryVM) lose(worker, reason string) { vm.h.Lost(worker, vm.leases[worker], reason) }

func (vm *entryVM) Send(worker string, m *pb.HoldRequest) bool {
	vm.rig.deliver(vm, vm.rig.machines[worker], m)
	return vm.workers.Send(worker, m)
}

func (vm *entryVM) Broadcast(m *pb.Power) {
	for _, other := range vm.rig.vms {
		if other != vm {
			vm.SendTo(other.h.cfg.Name, m)
		}
	}
}

func (vm *entryVM) SendTo(name string, m *pb.Power) {
	for _, other := range vm.rig.vms {
		if other.h.cfg.Name == name && (vm.drop == nil || !vm.drop(m)) {
			other.h.Power(m)
		}
	}
}

// rig is a failure domain on a virtual clock, driven by direct rounds.
type rig struct {
	t        *testing.T
	now      time.Time
	part     uint64
	vms      []*entryVM
	machines map[string]*machine
}

func newRig(t *testing.T, vms int, part uint64, leases map[string]int) *rig {
	r := &rig{t: t, now: now, part: part, machines: make(map[string]*machine)}
	for i := range vms {
		vm := &entryVM{workers: &workers{}, rig: r, home: &home{}, leases: make(map[string]*pb.Granted)}
		settings := Defaults()
		settings.Estimate.MarginPermille = 0
		vm.h = New(Config{
			Settings: settings, Name: fmt.Sprint("e", i+1), Domain: "brno", Incarnation: uint64(i + 1),
			Workers: vm, Peers: vm, Observer: vm, Timelines: timeline.NewStore(10),
			PlanWanted: func(power.PlanWanted) {},
			Rack:       func(string) string { return "r1" },
			Class:      func(string) fairness.Class { return 0 },
		})
		r.vms = append(r.vms, vm)
	}
	for id, vm := range leases {
		r.machines[id] = &machine{id: id, incarnation: 1, tasks: make(map[taskKey]uint32)}
		r.grant(r.vms[vm], id)
	}
	r.setPlan(1, part)
	r.run(300 * time.Millisecond)
	return r
}

// grant gives a machine's lease to an entry VM.
func (r *rig) grant(vm *entryVM, id string) {
	m := r.machines[id]
	m.epoch++
	granted := &pb.Granted{
		Epoch: m.epoch, Incarnation: m.incarnation, IdleMilliwatts: idle, Record: m.record,
		Capacity: &pb.Resources{Slots: 8, Milliwatts: ceiling - idle},
	}
	for t, mw := range m.tasks {
		ref := &pb.TaskRef{Submission: wire.IDMessage(t.id), Index: t.index}
		granted.Running = append(granted.Running, &pb.TaskLoad{Task: ref, Each: &pb.Resources{Slots: 1}, ChargedMilliwatts: mw})
	}
	vm.leases[id] = granted
	vm.h.Granted(id, granted)
	r.round(vm)
	vm.h.placer.SetTier(id, placement.Healthy)
}

func (r *rig) setPlan(revision, part uint64) {
	r.part = max(r.part, part)
	var candidates []power.Candidate
	for id, m := range r.machines {
		candidates = append(candidates, power.Candidate{Name: id, Incarnation: m.incarnation, Idle: idle, Ceiling: ceiling})
	}
	plan, err := power.Build(revision, power.Milliwatts(part), candidates)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, vm := range r.vms {
		vm.h.SetPlan(plan)
	}
}

// deliver is a worker's handling of one message.
func (r *rig) deliver(vm *entryVM, m *machine, msg *pb.HoldRequest) {
	current := msg.Epoch == m.epoch
	if t := msg.Throttle; current && t != nil {
		m.permille = uint64(t.Permille)
		vm.h.Confirmed(m.id, msg.Epoch, nil, t)
	}
	if a := msg.Allotment; current && a != nil && a.Record.Revision >= m.record.GetRevision() {
		m.record = a.Record
		vm.h.Confirmed(m.id, msg.Epoch, &pb.AllotmentAnswer{Sequence: a.Sequence, Stored: true}, nil)
	}
	for _, g := range msg.Starts {
		for _, index := range g.Index {
			r.start(vm, m, current, g, index)
		}
	}
	for _, ref := range append(msg.Checkpoints, msg.Stops...) {
		r.end(vm, m, taskKey{wire.ID(ref.Submission), ref.Index}, pb.TaskState_TASK_STATE_STOPPED)
	}
}

func (r *rig) start(vm *entryVM, m *machine, current bool, g *pb.StartGroup, index uint32) {
	key := taskKey{wire.ID(g.Submission), index}
	if current && idle+m.charged()+uint64(g.ChargedMilliwatts) > m.allotted() {
		r.t.Errorf("%s: a start passes the allotment", m.id)
	}
	if !current {
		r.end(vm, m, key, pb.TaskState_TASK_STATE_NOT_RUN)
		return
	}
	m.tasks[key] = g.ChargedMilliwatts
}

func (r *rig) end(vm *entryVM, m *machine, key taskKey, state pb.TaskState) {
	if state != pb.TaskState_TASK_STATE_NOT_RUN {
		delete(m.tasks, key)
	}
	result := &pb.TaskResult{Index: key.index, State: state, Reason: string(reason.Stopped)}
	vm.h.Results(m.id, []*pb.ResultGroup{{Submission: wire.IDMessage(key.id), Results: []*pb.TaskResult{result}}})
}

// round is one of an entry VM's loop, and the check of the invariant.
func (r *rig) round(vm *entryVM) {
	if vm.paused {
		return
	}
	vm.h.round(r.now)
	for _, m := range r.machines {
		if m.draw() > m.allotted() {
			r.t.Fatalf("%s draws %d mW, allotted are %d", m.id, m.draw(), m.allotted())
		}
	}
	if sum := r.allotted(); sum > r.part {
		r.t.Fatalf("%d mW are allotted, the domain's part is %d", sum, r.part)
	}
}

func (r *rig) allotted() (sum uint64) {
	for _, m := range r.machines {
		sum += m.allotted()
	}
	return sum
}

func (r *rig) run(d time.Duration) {
	for range d / step {
		r.now = r.now.Add(step)
		for _, vm := range r.vms {
			r.round(vm)
		}
	}
}

// offer queues tasks that may run on the named workers and do not end.
func (r *rig) offer(vm *entryVM, tasks int, on ...string) {
	r.offerOf(vm, taskMW, tasks, on...)
}

func (r *rig) offerOf(vm *entryVM, milliwatts uint32, tasks int, on ...string) {
	g := group(vm.h.cfg.Incarnation)[0]
	g.Submission = &pb.SubmissionID{Incarnation: vm.h.cfg.Incarnation, Counter: uint64(vm.tasks) + 1}
	g.Index, g.Input = nil, make([][]byte, tasks)
	for i := range tasks {
		g.Index = append(g.Index, uint32(i))
	}
	vm.tasks++
	g.Workers, g.Each.Milliwatts, g.DeadlineMillis = on, milliwatts, 60_000
	vm.h.Offer(vm.home, []*pb.RunGroup{g})
}

// Symptom: a site above its cap for a few seconds whenever leases move. Sequence:
// a full worker's lease goes to another entry VM while its tasks run on. Cause
// would be a first holder that uses the worker's watts again elsewhere, or a
// second one that starts as if the worker were empty.
func TestLeaseHandedOverWhileTasksRun(t *testing.T) {
	r := newRig(t, 2, 540_000, map[string]int{"w1": 0, "w2": 0, "w3": 1})
	a, b := r.vms[0], r.vms[1]
	r.offer(a, 8, "w1")
	r.run(500 * time.Millisecond)
	full := len(r.machines["w1"].tasks)
	if full < 5 {
		t.Fatalf("%d tasks run on w1: watts of w2 did not move there", full)
	}
	a.h.Retire("w1", func() {})
	r.run(step)
	a.lose("w1", "released")
	r.grant(b, "w1")
	r.offer(a, 8, "w2")
	r.offer(b, 8, "w3")
	r.run(500 * time.Millisecond)
	if n := len(r.machines["w1"].tasks); n != full {
		t.Fatalf("%d tasks run on w1, %d before the handover", n, full)
	}
	for key := range r.machines["w1"].tasks {
		r.end(b, r.machines["w1"], key, pb.TaskState_TASK_STATE_DONE)
	}
	r.offer(b, full-1, "w1")
	r.run(100 * time.Millisecond)
	if n := len(r.machines["w1"].tasks); n != full-1 {
		t.Fatalf("%d tasks run on w1, which had watts for %d", n, full)
	}
}

// Symptom: the draw stays above a cap that was lowered. Sequence: all workers are
// full of long tasks, the cap falls by half. Cause would be starts that go on,
// or tasks that are not ended.
func TestCapLoweredWhileFull(t *testing.T) {
	const lowered = 280_000 // below what the lowest speed makes of the tasks
	r := newRig(t, 1, 520_000, map[string]int{"w1": 0, "w2": 0})
	r.offer(r.vms[0], 14, "w1", "w2")
	r.run(100 * time.Millisecond)
	if r.vms[0].starts() != 14 {
		t.Fatalf("%d tasks started under the full cap, want 14", r.vms[0].starts())
	}
	r.setPlan(2, lowered)
	r.offer(r.vms[0], 2, "w1", "w2")
	r.offerOf(r.vms[0], 0, 2, "w1", "w2")
	r.run(600 * time.Millisecond)
	if sum := r.allotted(); sum > lowered {
		t.Fatalf("%d mW are allotted 0.6 s after the cap fell to %d", sum, lowered)
	}
	for _, m := range r.machines {
		if m.permille == 0 || len(m.tasks) == 0 {
			t.Errorf("%s: %d tasks are left, at %d thousandths: they were ended and not slowed", m.id, len(m.tasks), m.permille)
		}
	}
	if n := r.vms[0].starts(); n != 14 {
		t.Errorf("%d tasks started in all, those above 14 while the draw was too high", n)
	}
	refused := slices.ContainsFunc(r.vms[0].home.results, func(r *pb.TaskResult) bool { return r.Reason == string(reason.PowerRefused) })
	if !refused {
		t.Errorf("the home got %v, want the tasks back that need no watts", r.vms[0].home.results)
	}
}

// Symptom: watts vanish or double as they move between entry VMs. Sequence: the
// first sends of a transfer are lost, then its acknowledgements, so that it
// arrives again and again. Cause would be watts that are added more than once, or
// never sent again.
func TestTransferLostAndRepeated(t *testing.T) {
	r := newRig(t, 2, 360_000, map[string]int{"w1": 0, "w2": 1})
	lost, doubled := 0, 0
	r.vms[1].drop = func(m *pb.Power) bool {
		lost += len(m.Transfers)
		return len(m.Transfers) > 0 && lost <= 3
	}
	r.vms[0].drop = func(m *pb.Power) bool {
		doubled += len(m.Acks)
		return len(m.Acks) > 0 && doubled <= 3
	}
	before := r.machines["w1"].allotted()
	r.offer(r.vms[0], 8, "w1")
	r.run(2 * time.Second)
	if lost <= 3 || doubled <= 3 {
		t.Fatalf("%d transfers and %d acknowledgements were sent: the losses were not seen", lost, doubled)
	}
	if after := r.machines["w1"].allotted(); after <= before {
		t.Fatalf("w1 has %d mW as before: the watts did not arrive", after)
	}
}

// Symptom: a worker above its allotment after a pause. Sequence: a holder is
// paused past its lease, the next one starts tasks on the worker, the first wakes
// and sends starts and allotments that it had decided on. Cause would be watts
// that are an entry VM's and not the worker's.
func TestHolderPausedPastItsLease(t *testing.T) {
	r := newRig(t, 2, 360_000, map[string]int{"w1": 0, "w2": 1})
	a, b := r.vms[0], r.vms[1]
	r.offer(a, 2, "w1")
	r.run(100 * time.Millisecond)
	a.paused = true
	r.offer(a, 8, "w1")
	r.grant(b, "w1")
	r.offer(b, 8, "w1")
	r.run(300 * time.Millisecond)
	running := len(r.machines["w1"].tasks)
	a.paused = false
	r.run(300 * time.Millisecond)
	a.lose("w1", "silent")
	r.run(300 * time.Millisecond)
	if running < 3 || len(r.machines["w1"].tasks) < running {
		t.Fatalf("%d tasks ran under the second holder, %d after the first woke", running, len(r.machines["w1"].tasks))
	}
	if held := a.h.watts.ledger.Status(r.now).Held; held != 0 {
		t.Fatalf("the first holder still counts %d mW", held)
	}
}

// Symptom: a domain above its part after a worker was restarted. Sequence: a
// worker gives watts to another one, restarts and forgets. Cause would be a new
// run that gets the full share again under the same plan.
func TestWorkerRestarted(t *testing.T) {
	r := newRig(t, 1, 360_000, map[string]int{"w1": 0, "w2": 0})
	vm := r.vms[0]
	r.offer(vm, 8, "w2")
	r.run(500 * time.Millisecond)
	if gave := r.machines["w1"].allotted(); gave >= 180_000 {
		t.Fatalf("w1 has %d mW: it gave none away", gave)
	}
	*r.machines["w1"] = machine{id: "w1", epoch: r.machines["w1"].epoch, incarnation: 2, tasks: make(map[taskKey]uint32)}
	vm.lose("w1", "stream ended")
	r.grant(vm, "w1")
	started := vm.starts()
	r.offer(vm, 4, "w1")
	r.run(500 * time.Millisecond)
	if n := len(r.machines["w1"].tasks); n != 0 || vm.starts() != started {
		t.Fatalf("%d tasks run on the new run of w1 before a plan names it", n)
	}
	r.setPlan(2, 360_000)
	r.run(500 * time.Millisecond)
	if len(r.machines["w1"].tasks) == 0 {
		t.Fatal("the next plan did not bring the worker back")
	}
}
