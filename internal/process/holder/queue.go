package holder

import (
	"fmt"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/estimate"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// Join accepts a session, unless this owner is stopping.
func (h *Holder) Join(Session) bool { return !h.draining.Load() }

// offerEvent hands over batches.
type offerEvent struct {
	session Session
	groups  []*pb.RunGroup
}

// Offer takes batches of a session. Each task gets one result.
func (h *Holder) Offer(s Session, groups []*pb.RunGroup) {
	h.events.Push(offerEvent{s, groups})
}

// TryOffer is Offer for callers that must not wait. It reports whether the
// batches were taken.
func (h *Holder) TryOffer(s Session, groups []*pb.RunGroup) bool {
	return h.events.TryPush(offerEvent{s, groups})
}

func (ev offerEvent) apply(h *Holder) {
	h.offered = true
	for _, g := range ev.groups {
		ev.session.AddTaken(len(g.Index))
		if len(g.Index) != len(g.Input) {
			continue
		}
		if code := h.refusal(g); code != "" {
			h.refuseGroup(ev.session, g, 0, code)
			continue
		}
		h.enqueue(ev.session, g)
	}
}

func (h *Holder) refusal(g *pb.RunGroup) reason.Code {
	switch {
	case h.draining.Load():
		return reason.Draining
	case h.queued+len(g.Index) > h.cfg.Settings.MaxQueued:
		return reason.QueueFull
	case !h.holdsAny(g.Workers):
		return reason.NotAllowedHere
	}
	return ""
}

func (h *Holder) holdsAny(workers []string) bool {
	for _, id := range workers {
		if w := h.workers[id]; w != nil && w.retired == nil {
			return true
		}
	}
	return false
}

// refuseGroup reports the tasks of a batch from the given position on as not
// run.
func (h *Holder) refuseGroup(s Session, g *pb.RunGroup, from int, code reason.Code) {
	id := wire.ID(g.Submission)
	for _, index := range g.Index[from:] {
		h.report(s, id, g.Generation, notRun(index, code, ""))
	}
}

func (h *Holder) enqueue(s Session, g *pb.RunGroup) {
	key := workKey{s, wire.ID(g.Submission)}
	w := h.works[key]
	if w == nil {
		w = &work{}
		h.works[key] = w
	}
	guess := h.learned.Charge(g.Template, g.Account, estimate.Declared{
		Time:       time.Duration(g.ExpectedMicros) * time.Microsecond,
		Milliwatts: g.Each.GetMilliwatts(),
		MemoryMiB:  g.Each.GetMemoryMib(),
	})
	each := resources(g.Each)
	each.Milliwatts = guess.Milliwatts
	each.MemoryMiB = guess.MemoryMiB
	wg := &waitingGroup{
		m:        g,
		each:     each,
		expected: guess.Time,
		allowed:  h.placer.Allow(g.Workers),
		received: h.now,
		deadline: h.now.Add(time.Duration(g.DeadlineMillis) * time.Millisecond),
	}
	w.groups = append(w.groups, wg)
	w.queued += len(g.Index)
	h.queued += len(g.Index)
	h.order.Push(h.now, fairness.Job[workKey]{
		Key:          key,
		Account:      g.Account,
		Template:     g.Template,
		Class:        h.cfg.Class(g.Template),
		Slots:        wg.each.Slots,
		Milliwatts:   wg.each.Milliwatts,
		Expected:     guess.Time,
		JobRemaining: int(g.JobRemaining),
		Deadline:     wg.deadline,
	}, len(g.Index))
}

func resourcesMessage(r placement.Resources) *pb.Resources {
	return &pb.Resources{
		Slots:        r.Slots,
		Millicpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Milliwatts:   r.Milliwatts,
	}
}

func resources(m *pb.Resources) placement.Resources {
	return placement.Resources{
		Slots:        max(m.GetSlots(), 1),
		MilliCPU:     m.GetMillicpu(),
		MemoryMiB:    m.GetMemoryMib(),
		Accelerators: m.GetAccelerators(),
		Milliwatts:   m.GetMilliwatts(),
	}
}

// place starts what the order and the free places allow.
func (h *Holder) place() {
	if h.cfg.MayAct != nil && !h.cfg.MayAct(h.now) {
		return
	}
	h.order.Unpark()
	for h.placer.FreeSlots() > 0 && h.queued > 0 {
		pick, ok := h.order.Next(h.now)
		if !ok {
			return
		}
		h.placePick(pick)
	}
}

// placePick places tasks of the job's first waiting batch, or parks the job.
func (h *Holder) placePick(pick fairness.Pick[workKey]) {
	w := h.works[pick.Key]
	if w == nil || len(w.groups) == 0 {
		panic("the order of work named a job that has nothing waiting")
	}
	g := w.groups[0]
	if !h.holdsAny(g.m.Workers) {
		h.dropGroups(pick.Key, w, reason.NotAllowedHere)
		return
	}
	n := min(pick.Max, len(g.m.Index)-g.next)
	placed, refusal := h.placer.Place(placement.Request{Count: n, Each: g.each, Allowed: g.allowed}, h.buf)
	h.buf = placed
	if len(placed) == 0 {
		h.order.Park(pick.Key, refusal.Reason)
		h.noteDemand(g, n, refusal.Reason)
		return
	}
	started := 0
	var held []heldBack
	for _, a := range placed {
		held = append(held, h.start(pick.Key, g, a)...)
		started += a.Count
	}
	h.order.Start(h.now, pick.Key, started)
	h.giveBack(pick.Key, g, held)
	h.took(pick.Key, w, started)
	h.cfg.Observer.Started(g.m.Account, g.m.Template, started, h.now.Sub(g.received))
	h.cfg.Timelines.Add(pick.Key.id, timeline.Step{
		At:     h.now,
		Event:  "placed",
		Reason: pick.Why,
		Detail: fmt.Sprintf("%d tasks on %s and %d others after %s", started, placed[0].Worker, len(placed)-1, h.now.Sub(g.received).Round(time.Millisecond)),
	})
}

// took counts tasks of the first batch out of the queue.
func (h *Holder) took(key workKey, w *work, n int) {
	h.queued -= n
	w.queued -= n
	if g := w.groups[0]; g.next == len(g.m.Index) {
		w.groups = w.groups[1:]
	}
	if len(w.groups) == 0 {
		delete(h.works, key)
	}
}

// heldBack is a task that was placed on a worker and is not started there:
// another start of it is under way, or the worker has no watts for it.
type heldBack struct {
	worker *worker
	index  uint32
	code   reason.Code
}

// start adds the next tasks of a batch to this round's message to a worker, and
// returns those that it holds back: a result names its task only, so of two
// starts at one worker the refusal of the first would pass for that of the
// second, and the task could start there after its home gave it to another.
func (h *Holder) start(key workKey, g *waitingGroup, a placement.Assignment) []heldBack {
	w := h.workers[a.Worker]
	until := g.next + a.Count
	index, input := g.m.Index[g.next:until], g.m.Input[g.next:until]
	g.next = until
	held := underWay(w, key, index)
	if len(held) > 0 {
		index, input = without(held, index, input)
	}
	if len(index) == 0 {
		return held
	}
	index, input, held = h.charge(key, w, g, chargeable{index, input}, held)
	if len(index) == 0 {
		return held
	}
	m := h.message(w)
	m.Starts = append(m.Starts, &pb.StartGroup{
		Submission:       g.m.Submission,
		Generation:       g.m.Generation,
		ExpiryUnixMillis: g.m.ExpiryUnixMillis,
		Template:         g.m.Template,
		Each:             g.m.Each,
		Index:            index,
		Input:            input,

		WorkerIncarnation: incarnation(g.m, a.Worker),
		ChargedMilliwatts: g.each.Milliwatts,
	})
	for _, i := range index {
		w.flights[taskKey{key.id, i}] = flight{session: key.session, group: g.m, each: g.each, expected: g.expected, started: h.now}
		h.uses(g.m.Account, g.each, 1)
		h.health.Started(h.now, w.id, g.m.Template, g.expected)
	}
	return held
}

// underWay returns the tasks of which a start at the worker has no end yet.
func underWay(w *worker, key workKey, index []uint32) []heldBack {
	var held []heldBack
	for _, i := range index {
		if _, ok := w.flights[taskKey{key.id, i}]; ok {
			held = append(held, heldBack{w, i, reason.DuplicateTask})
		}
	}
	return held
}

func without(held []heldBack, index []uint32, input [][]byte) (restIndex []uint32, restInput [][]byte) {
	for n, i := range index {
		if !slices.ContainsFunc(held, func(b heldBack) bool { return b.index == i }) {
			restIndex = append(restIndex, i)
			restInput = append(restInput, input[n])
		}
	}
	return restIndex, restInput
}

// giveBack frees the places of tasks that were held back. Of a second start their
// home is told as the worker would: it asks the worker above the generation of
// both starts. A task without watts is placed again by its home.
func (h *Holder) giveBack(key workKey, g *waitingGroup, held []heldBack) {
	for _, b := range held {
		h.placer.Free(b.worker.id, g.each, 1)
		h.order.Finish(h.now, key, 1, 0, 0)
		named := b.worker.id
		if b.code == reason.PowerRefused {
			named = "" // the worker was not asked and has nothing to say
		}
		h.report(key.session, key.id, g.m.Generation, notRun(b.index, b.code, named))
	}
}

// incarnation is the one that the home knows of a worker, 0 when it does not say.
func incarnation(m *pb.RunGroup, worker string) uint64 {
	i := slices.Index(m.Workers, worker)
	if i < 0 || i >= len(m.WorkerIncarnation) {
		return 0
	}
	return m.WorkerIncarnation[i]
}

// expire returns what waits past its deadline.
func (h *Holder) expire() {
	for _, key := range h.order.Expire(h.now) {
		if w := h.works[key]; w != nil {
			h.refuseWork(key, w, reason.DeadlineExceeded)
		}
	}
}

// dropGroups takes a submission's waiting tasks out of the order and returns
// them as not run.
func (h *Holder) dropGroups(key workKey, w *work, code reason.Code) {
	h.order.Drop(key)
	h.refuseWork(key, w, code)
}

func (h *Holder) refuseWork(key workKey, w *work, code reason.Code) {
	for _, g := range w.groups {
		h.refuseGroup(key.session, g.m, g.next, code)
	}
	h.queued -= w.queued
	delete(h.works, key)
}

// withdrawEvent takes back what has not started, and stops what runs.
type withdrawEvent struct {
	session Session
	ids     []*pb.SubmissionID
}

// Withdraw gives up submissions of a session.
func (h *Holder) Withdraw(s Session, ids []*pb.SubmissionID) {
	h.events.Push(withdrawEvent{s, ids})
}

func (ev withdrawEvent) apply(h *Holder) {
	for _, m := range ev.ids {
		key := workKey{ev.session, wire.ID(m)}
		if w := h.works[key]; w != nil {
			h.dropGroups(key, w, reason.Withdrawn)
		}
		h.stopRunning(key)
	}
}

// stopRunning asks the workers to stop a submission's running tasks. Their
// slots count as taken until the workers say that they ended.
func (h *Holder) stopRunning(key workKey) {
	for _, w := range h.workers {
		for t, f := range w.flights {
			if t.id != key.id || f.session != key.session {
				continue
			}
			m := h.message(w)
			m.Stops = append(m.Stops, &pb.TaskRef{Submission: wire.IDMessage(t.id), Index: t.index})
		}
	}
}

// leaveEvent ends a session.
type leaveEvent struct{ session Session }

// Leave ends a session: what waits of it never starts.
func (h *Holder) Leave(s Session) { h.events.Push(leaveEvent{s}) }

func (ev leaveEvent) apply(h *Holder) {
	for key, w := range h.works {
		if key.session == ev.session {
			h.order.Drop(key)
			h.queued -= w.queued
			delete(h.works, key)
		}
	}
	for _, w := range h.workers {
		for t, f := range w.flights {
			if f.session == ev.session {
				f.left = true
				w.flights[t] = f
			}
		}
	}
	delete(h.reports, ev.session)
}

type drainEvent struct{}

func (drainEvent) apply(h *Holder) {
	for key, w := range h.works {
		h.dropGroups(key, w, reason.Draining)
	}
}

type busyEvent struct{ answer chan bool }

func (ev busyEvent) apply(h *Holder) {
	busy := h.queued > 0
	for _, w := range h.workers {
		for _, f := range w.flights {
			busy = busy || (f.group != nil && !f.left)
		}
	}
	ev.answer <- busy
}

// accountsEvent changes the sharing parameters.
type accountsEvent struct{ accounts []fairness.Account }

// SetAccounts puts the client accounts of a configuration revision in force.
func (h *Holder) SetAccounts(accounts []fairness.Account) {
	h.events.Push(accountsEvent{accounts})
}

func (ev accountsEvent) apply(h *Holder) {
	h.accounts = ev.accounts
	h.parents = make(map[string]string, len(ev.accounts))
	for _, a := range ev.accounts {
		h.parents[a.Name] = a.Parent
	}
	h.splitQuotas()
	h.applyQuotas()
}
