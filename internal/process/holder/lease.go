package holder

import (
	"cmp"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/estimate"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/health"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// grantedEvent is a lease that was won.
type grantedEvent struct {
	worker string
	m      *pb.Granted
}

// Granted takes a lease into use.
func (h *Holder) Granted(id string, m *pb.Granted) { h.events.Push(grantedEvent{id, m}) }

func (ev grantedEvent) apply(h *Holder) {
	if held := h.workers[ev.worker]; held != nil {
		if held.compareLease(ev.m) >= 0 {
			return
		}
		h.lose(held)
	}
	w := &worker{
		id:          ev.worker,
		epoch:       ev.m.Epoch,
		incarnation: ev.m.Incarnation,
		idle:        ev.m.IdleMilliwatts,
		capacity:    resources(ev.m.Capacity),
		flights:     make(map[taskKey]flight),
	}
	h.workers[ev.worker] = w
	h.dirty = true
	h.placer.SetWorker(placement.Worker{
		ID:       ev.worker,
		Rack:     h.cfg.Rack(ev.worker),
		Capacity: w.capacity,
		Tier:     placement.Probation,
	})
	h.apply(h.health.Joined(h.now, ev.worker, h.cfg.Domain))
	// Tasks of earlier leases keep their slots until the worker reports their
	// end: counting them as free would overload the worker, and its cap on
	// draw.
	for _, load := range ev.m.Running {
		each := resources(load.Each)
		each.Milliwatts = charged(load)
		h.placer.Occupy(ev.worker, each, 1)
		w.flights[taskKey{wire.ID(load.Task.GetSubmission()), load.Task.GetIndex()}] = flight{each: each, started: h.now}
	}
	h.acquired(w, ev.m)
	h.updateCapacity()
}

// lostEvent is a lease that ended.
type lostEvent struct {
	worker string
	m      *pb.Granted
}

// Lost takes a lease out of use.
func (h *Holder) Lost(id string, lease *pb.Granted, _ string) { h.events.Push(lostEvent{id, lease}) }

func (ev lostEvent) apply(h *Holder) {
	if w := h.workers[ev.worker]; w != nil && w.compareLease(ev.m) == 0 {
		h.lose(w)
	}
}

// compareLease is negative if the worker granted the lease that is held before the other one, positive if after
// it, and 0 if they are the same.
func (w *worker) compareLease(other *pb.Granted) int {
	return cmp.Or(cmp.Compare(w.incarnation, other.Incarnation), cmp.Compare(w.epoch, other.Epoch))
}

// lose takes a worker out of use whose lease is not held any more.
func (h *Holder) lose(w *worker) {
	h.leaseGone(w)
	for t := range w.flights {
		h.endFlight(w, t, &pb.TaskResult{
			Index:  t.index,
			State:  pb.TaskState_TASK_STATE_LOST,
			Reason: string(reason.LeaseLost),
			Worker: w.id,
		})
	}
	delete(h.workers, w.id)
	delete(h.starts, w.id)
	h.placer.RemoveWorker(w.id)
	h.health.Removed(w.id)
	h.dirty = true
	h.updateCapacity()
	h.returnStranded()
}

// retireEvent takes a worker out of use before its lease is given back.
type retireEvent struct {
	worker string
	idle   func()
}

// Retire places no more tasks on a worker and calls idle, from the loop, once
// nothing runs there. The lease is then given back without a task whose result
// would be lost with it.
func (h *Holder) Retire(id string, idle func()) { h.events.Push(retireEvent{id, idle}) }

func (ev retireEvent) apply(h *Holder) {
	w := h.workers[ev.worker]
	if w == nil {
		ev.idle()
		return
	}
	w.retired = ev.idle
	h.placer.SetTier(w.id, placement.Ejected)
	h.dirty = true
	h.returnStranded()
	w.finishRetiring()
}

// finishRetiring tells when nothing runs on a retired worker any more.
func (w *worker) finishRetiring() {
	if w.retired != nil && len(w.flights) == 0 {
		w.retired()
	}
}

// unretireEvent takes a worker into use again.
type unretireEvent struct{ worker string }

// Unretire takes a retired worker into use again, when its lease is kept after
// all.
func (h *Holder) Unretire(id string) { h.events.Push(unretireEvent{id}) }

func (ev unretireEvent) apply(h *Holder) {
	if w := h.workers[ev.worker]; w != nil && w.retired != nil {
		w.retired = nil
		h.placer.SetTier(w.id, h.health.Tier(w.id))
		h.dirty = true
	}
}

// returnStranded gives back waiting tasks that may run on no worker held here
// any more: nothing would ever start them, and their home may place them on the
// next holder.
func (h *Holder) returnStranded() {
	for key, w := range h.works {
		if !h.holdsAny(w.groups[0].m.Workers) {
			h.dropGroups(key, w, reason.NotAllowedHere)
		}
	}
}

// resultsEvent brings results of a worker.
type resultsEvent struct {
	worker string
	groups []*pb.ResultGroup
}

// Results takes what a worker reports.
func (h *Holder) Results(id string, groups []*pb.ResultGroup) {
	h.events.Push(resultsEvent{id, groups})
}

func (ev resultsEvent) apply(h *Holder) {
	w := h.workers[ev.worker]
	if w == nil {
		return
	}
	for _, g := range ev.groups {
		id := wire.ID(g.Submission)
		for _, r := range g.Results {
			r.Worker = w.id // the home may have to ask it
			h.endFlight(w, taskKey{id, r.Index}, r)
		}
	}
}

// endFlight frees what a task occupied and reports its result.
func (h *Holder) endFlight(w *worker, t taskKey, r *pb.TaskResult) {
	f, ok := w.flights[t]
	if !ok {
		return
	}
	delete(w.flights, t)
	h.placer.Free(w.id, f.each, 1)
	h.release(w, t)
	w.finishRetiring()
	if f.group == nil {
		return
	}
	h.uses(f.group.Account, f.each, -1)
	busy := h.now.Sub(f.started)
	h.order.Finish(h.now, workKey{f.session, t.id}, 1, busy, float64(r.Milliwatts)*busy.Seconds())
	h.cfg.Observer.Ended(f.group.Account, f.group.Template, w.id, r)
	h.learn(w, f, r)
	if !f.left {
		h.report(f.session, t.id, f.group.Generation, r)
	}
}

// updateCapacity tells the order of work what there is to share.
func (h *Holder) updateCapacity() {
	var c fairness.Capacity
	for _, w := range h.workers {
		c.Slots += float64(w.capacity.Slots)
		c.Milliwatts += float64(w.capacity.Milliwatts)
	}
	c.Slots += h.remote.Slots
	c.Milliwatts += h.remote.Milliwatts
	h.order.SetCapacity(h.now, c)
}

// learn passes the end of a task to the estimates and to the judgement of its
// worker. A task that did not start says nothing about either.
func (h *Holder) learn(w *worker, f flight, r *pb.TaskResult) {
	outcome := health.OK
	switch r.State {
	case pb.TaskState_TASK_STATE_DONE:
		h.learned.Observe(f.group.Template, f.group.Account, estimate.Sample{
			Time:       time.Duration(r.RunMicros) * time.Microsecond,
			Milliwatts: r.Milliwatts,
			Permille:   r.Permille,
		})
	case pb.TaskState_TASK_STATE_FAILED:
		outcome = health.Failed
	case pb.TaskState_TASK_STATE_LOST:
		outcome = health.Lost
	default:
		return
	}
	run := time.Duration(r.RunMicros) * time.Microsecond
	h.apply(h.health.Ended(h.now, w.id, f.group.Template, outcome, run, f.expected))
}

// judgeEvery is how often what is due by time is judged, and long waits are
// noted.
const judgeEvery = time.Second

// judge lets the judgement of workers see time pass.
func (h *Holder) judge() {
	if h.now.Sub(h.judged) < judgeEvery {
		return
	}
	h.judged = h.now
	h.apply(h.health.Tick(h.now))
	h.noteWaits()
}

// apply puts changes of tier in force.
func (h *Holder) apply(changes []health.Change) {
	for _, c := range changes {
		if w := h.workers[c.Worker]; w != nil && w.retired != nil {
			continue
		}
		h.placer.SetTier(c.Worker, c.To)
		if c.To == placement.Ejected || c.To == placement.Suspect {
			klog.InfoS(logPrefix+"worker distrusted", "worker", c.Worker, "tier", c.To, "reason", c.Reason, "template", c.Template, "score", c.Score)
		}
	}
}

const logPrefix = "holder: "
