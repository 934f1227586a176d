package holder

import (
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

const (
	powerTick    = 20 * time.Millisecond  // between ticks of the ledger
	powerStatus  = 100 * time.Millisecond // between statuses for operators
	powerSummary = 500 * time.Millisecond // between summaries that say nothing new
)

// watts is the loop's state of the power cap. The ledger decides; placement is
// told what may be charged at each worker, so that it proposes no start that
// the ledger would refuse.
type watts struct {
	ledger  *power.Ledger
	changed bool // placement has to be told
	due     bool // the ledger's tick is due at the end of this round
	ticked  time.Time
	shown   time.Time
	told    time.Time
	summary power.Summary // that peers were told last
	status  atomic.Pointer[power.Status]
}

// PowerStatus is the ledger's state, up to 0.1 s old. It is safe for concurrent
// use; the caller does not change it.
func (h *Holder) PowerStatus() *power.Status { return h.watts.status.Load() }

// held describes the worker to homes, and to the maker of the domain's plan.
func (w *worker) held() *pb.HeldWorker {
	return &pb.HeldWorker{
		Id:                w.id,
		Incarnation:       w.incarnation,
		IdleMilliwatts:    w.idle,
		CeilingMilliwatts: w.idle + w.capacity.Milliwatts,
	}
}

// largestDraw is the most that one task can draw at a held worker, in
// milliwatts, whatever is allotted now: allotments move.
func (h *Holder) largestDraw() uint32 {
	var most uint32
	for _, w := range h.workers {
		most = max(most, w.capacity.Milliwatts)
	}
	return most
}

// charged is what a running task counts under the cap, in milliwatts.
func charged(m *pb.TaskLoad) uint32 {
	if m.ChargedMilliwatts != 0 {
		return m.ChargedMilliwatts
	}
	return m.Each.GetMilliwatts()
}

func powerKey(t taskKey) power.TaskKey {
	return power.TaskKey{
		SubmissionIncarnation: t.id.Incarnation,
		SubmissionCounter:     t.id.Counter,
		Index:                 t.index,
	}
}

// acquired hands a granted lease to the ledger, with the worker's record and
// what still runs there.
func (h *Holder) acquired(w *worker, m *pb.Granted) {
	grant := power.Grant{
		Epoch:       m.Epoch,
		Incarnation: m.Incarnation,
		Idle:        power.Milliwatts(m.IdleMilliwatts),
		Permille:    int64(m.ThrottlePermille),
	}
	if r := m.Record; r != nil {
		grant.Record = power.Record{
			Known:    true,
			Revision: r.Revision,
			Granted:  power.Milliwatts(r.GrantedMilliwatts),
			Allotted: power.Milliwatts(r.AllottedMilliwatts),
		}
	}
	for t, f := range w.flights {
		load := power.Load{Milliwatts: power.Milliwatts(f.each.Milliwatts), Ends: h.now}
		grant.Running = append(grant.Running, power.Running{Key: powerKey(t), Load: load})
	}
	h.carryOut(h.watts.ledger.LeaseAcquired(h.now, w.id, grant))
}

// leaseGone tells the ledger that a lease was given back, or lost. Either way
// the watts stay with the worker.
func (h *Holder) leaseGone(w *worker) {
	if w.retired != nil {
		h.watts.ledger.LeaseHandedOver(h.now, w.id)
		return
	}
	h.watts.ledger.LeaseLost(h.now, w.id)
}

// chargeable are tasks that are about to start.
type chargeable struct {
	index []uint32
	input [][]byte
}

// charge reserves the draw of tasks before they start, and adds those that the
// ledger refuses to the ones that are held back. Placement knows the headroom,
// so that a refusal is rare: a worker that has to shed is one.
func (h *Holder) charge(key workKey, w *worker, g *waitingGroup, tasks chargeable, held []heldBack) ([]uint32, [][]byte, []heldBack) {
	load := power.Load{
		Milliwatts: power.Milliwatts(g.each.Milliwatts),
		Urgent:     h.cfg.Class(g.m.Template) == fairness.Urgent,
		Ends:       h.now.Add(g.expected),
	}
	refused := len(held)
	for _, i := range tasks.index {
		if _, ok := h.watts.ledger.Charge(w.id, powerKey(taskKey{key.id, i}), load); !ok {
			held = append(held, heldBack{w, i, reason.PowerRefused})
		}
	}
	if refused == len(held) {
		return tasks.index, tasks.input, held
	}
	h.watts.changed = true
	index, input := without(held[refused:], tasks.index, tasks.input)
	return index, input, held
}

// release ends the charge of a task. Placement believes that its watts are free;
// at a worker that draws more than it should they are not.
func (h *Holder) release(w *worker, t taskKey) {
	h.watts.ledger.Release(w.id, powerKey(t))
	h.watts.changed = h.watts.changed || w.capped
}

// noteDemand tells the ledger, once for each of its ticks, where tasks would
// start if there were watts: at the worker that lacks least. The ledger takes
// nothing from workers with unmet demand, so demand at all of them would leave
// each with a rest too small for a task.
func (h *Holder) noteDemand(g *waitingGroup, tasks int, why reason.Code) {
	if !h.watts.due || why != placement.ShortOfMilliwatts {
		return
	}
	var best *worker
	var most power.Milliwatts
	for _, id := range g.m.Workers {
		w := h.workers[id]
		if w == nil || w.retired != nil || w.freeSlots() <= 0 || h.health.Tier(id) >= placement.Suspect {
			continue
		}
		if room := h.watts.ledger.Headroom(id); best == nil || room > most {
			best, most = w, room
		}
	}
	if best != nil {
		n := power.Milliwatts(min(tasks, best.freeSlots()))
		h.watts.ledger.Want(best.id, max(0, n*power.Milliwatts(g.each.Milliwatts)-most))
	}
}

func (w *worker) freeSlots() int { return int(w.capacity.Slots) - len(w.flights) }

// tellPlacement brings placement's view of watts in step with the ledger.
func (h *Holder) tellPlacement() {
	if !h.watts.changed {
		return
	}
	h.watts.changed = false
	for id, w := range h.workers {
		w.capped = h.watts.ledger.Headroom(id) == 0
		h.placer.SetMilliwatts(id, uint32(h.watts.ledger.Chargeable(id)))
	}
}

// tickPower lets the ledger see time pass, at the end of a round.
func (h *Holder) tickPower() {
	if !h.watts.due {
		return
	}
	h.watts.ticked = h.now
	h.carryOut(h.watts.ledger.Tick(h.now))
	h.tellPlacement()
	h.tellPeers()
	if h.now.Sub(h.watts.shown) >= powerStatus {
		h.watts.shown = h.now
		status := h.watts.ledger.Status(h.now)
		h.watts.status.Store(&status)
	}
}

// tellPeers sends a summary to the entry VMs of the domain, at once when it says
// something new about the plan.
func (h *Holder) tellPeers() {
	s := h.watts.ledger.Summary()
	last := &h.watts.summary
	news := s.Revision != last.Revision || !slices.Equal(s.Confirmed, last.Confirmed) || !slices.Equal(s.Leased, last.Leased)
	if !news && h.now.Sub(h.watts.told) < powerSummary {
		return
	}
	h.watts.told, h.watts.summary = h.now, s
	h.cfg.Peers.Broadcast(&pb.Power{Summary: summaryMessage(s)})
}

// execute does what the ledger wants done.
func (h *Holder) carryOut(actions []power.Action) {
	h.watts.changed = true
	for _, action := range actions {
		switch a := action.(type) {
		case power.Allot:
			h.message(h.workers[a.Worker]).Allotment = allotmentMessage(a)
		case power.StopStarts:
			klog.InfoS(logPrefix+"no starts until the draw fits", "worker", a.Worker, "reason", a.Reason)
		case power.Throttle:
			h.message(h.workers[a.Worker]).Throttle = &pb.Throttle{Permille: uint32(a.Permille)}
			klog.InfoS(logPrefix+"throttled", "worker", a.Worker, "permille", a.Permille, "reason", a.Reason)
		case power.Checkpoint:
			m := h.message(h.workers[a.Worker])
			m.Checkpoints = append(m.Checkpoints, taskRef(a.Task))
			klog.InfoS(logPrefix+"task saved and ended", "worker", a.Worker, "task", a.Task, "reason", a.Reason)
		case power.Stop:
			m := h.message(h.workers[a.Worker])
			m.Stops = append(m.Stops, taskRef(a.Task))
			klog.InfoS(logPrefix+"task stopped", "worker", a.Worker, "task", a.Task, "reason", a.Reason)
		case power.Request:
			h.cfg.Peers.SendTo(a.To.Name, &pb.Power{Requests: []*pb.PowerRequest{requestMessage(a)}})
		case power.Send:
			h.cfg.Peers.SendTo(a.Transfer.To.Name, &pb.Power{Transfers: []*pb.PowerTransfer{transferMessage(a.Transfer)}})
		case power.EstimateLow:
			h.raiseEstimates(a)
		case power.PlanWanted:
			h.cfg.PlanWanted(a)
		}
	}
}

// raiseEstimates corrects what is known of the tasks that run on a worker which
// drew more than they were charged.
func (h *Holder) raiseEstimates(a power.EstimateLow) {
	w := h.workers[a.Worker]
	idle := power.Milliwatts(w.idle)
	if a.Charged <= idle {
		return
	}
	permille := uint32((a.Reported - idle) * 1000 / (a.Charged - idle))
	for _, f := range w.flights {
		if f.group != nil {
			h.learned.Underestimated(f.group.Template, f.group.Account, permille)
		}
	}
}

// usageEvent is a measurement of a worker's draw.
type usageEvent struct {
	worker string
	m      *pb.Usage
}

// Usage takes a measurement.
func (h *Holder) Usage(id string, m *pb.Usage) { h.events.Push(usageEvent{id, m}) }

func (ev usageEvent) apply(h *Holder) {
	age := time.Duration(ev.m.AgeMillis) * time.Millisecond
	h.carryOut(h.watts.ledger.Report(h.now, ev.worker, power.Milliwatts(ev.m.Milliwatts), age))
}

// confirmedEvent is a worker's answer to an allotment, a throttle or both.
type confirmedEvent struct {
	worker    string
	epoch     uint64
	allotment *pb.AllotmentAnswer
	throttled *pb.Throttle
}

// Confirmed takes a worker's answer about its part of the cap.
func (h *Holder) Confirmed(id string, epoch uint64, allotment *pb.AllotmentAnswer, throttled *pb.Throttle) {
	h.events.Push(confirmedEvent{id, epoch, allotment, throttled})
}

func (ev confirmedEvent) apply(h *Holder) {
	if t := ev.throttled; t != nil {
		h.carryOut(h.watts.ledger.Throttled(h.now, ev.worker, ev.epoch, int64(t.Permille)))
	}
	switch a := ev.allotment; {
	case a == nil:
	case a.Stored:
		h.carryOut(h.watts.ledger.Allotted(h.now, ev.worker, ev.epoch, a.Sequence))
	default:
		// The ledger sends nothing under a lower revision than the worker's, so
		// this is a fault of either. The worker keeps what it has.
		klog.ErrorS(nil, logPrefix+"allotment refused", "worker", ev.worker, "sequence", a.Sequence)
	}
}

// planEvent brings a plan.
type planEvent struct{ plan power.Plan }

// SetPlan brings a plan of the failure domain into force, unless a later one is.
func (h *Holder) SetPlan(p power.Plan) { h.events.Push(planEvent{p}) }

func (ev planEvent) apply(h *Holder) {
	actions, err := h.watts.ledger.SetPlan(h.now, ev.plan)
	if err != nil {
		klog.ErrorS(err, logPrefix+"plan refused", "revision", ev.plan.Revision)
		return
	}
	h.carryOut(actions)
}

// powerEvent is a peer's message about watts.
type powerEvent struct{ m *pb.Power }

// Power takes a message of an entry VM of the same failure domain.
func (h *Holder) Power(m *pb.Power) { h.events.Push(powerEvent{m}) }

func (ev powerEvent) apply(h *Holder) {
	if s := ev.m.Summary; s != nil {
		h.watts.ledger.Observe(h.now, summary(s))
	}
	for _, r := range ev.m.Requests {
		h.carryOut(h.watts.ledger.Requested(h.now, request(r)))
	}
	for _, m := range ev.m.Transfers {
		t := transfer(m)
		if ack, ok := h.watts.ledger.Receive(h.now, t); ok {
			h.cfg.Peers.SendTo(t.From.Name, &pb.Power{Acks: []*pb.PowerAck{ackMessage(ack)}})
		}
	}
	for _, m := range ev.m.Acks {
		h.watts.ledger.Acked(ack(m))
	}
}

func taskRef(t power.TaskKey) *pb.TaskRef {
	id := &pb.SubmissionID{Incarnation: t.SubmissionIncarnation, Counter: t.SubmissionCounter}
	return &pb.TaskRef{Submission: id, Index: t.Index}
}
