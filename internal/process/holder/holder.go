package holder

import (
	"context"
	"sync/atomic"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/estimate"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/health"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// Config wires a Holder.
type Config struct {
	Settings    Settings
	Name        string // of this entry VM
	Domain      string
	Incarnation uint64
	Workers     Workers
	Peers       PowerPeers
	// PlanWanted is told, from the loop, that a new plan would bring back watts.
	PlanWanted func(power.PlanWanted)
	Observer   Observer
	Timelines  *timeline.Store
	// Rack names the rack of a worker, for spreading.
	Rack func(worker string) string
	// Class is the urgency of a template's work.
	Class func(template string) fairness.Class
	// MayAct is asked before tasks are placed; nil: always. A VM that was paused
	// must not act on what it knew before it has asked how it stands.
	MayAct func(now time.Time) bool
}

// workKey names the tasks of one submission that one session offered.
type workKey struct {
	session Session
	id      ticket.ID
}

// work is what waits of one workKey.
type work struct {
	groups []*waitingGroup
	queued int
	noted  bool // its timeline says why it waits
}

// waitingGroup is a batch of which tasks from next on wait.
type waitingGroup struct {
	m        *pb.RunGroup
	next     int
	each     placement.Resources // of one task, learned
	expected time.Duration       // of one task, learned
	allowed  placement.AllowedSet
	received time.Time
	deadline time.Time
}

type taskKey struct {
	id    ticket.ID
	index uint32
}

// flight is a task that was sent to a worker and has no end yet.
type flight struct {
	session  Session
	left     bool         // the session ended, nobody is told of the end
	group    *pb.RunGroup // nil: started under an earlier lease
	each     placement.Resources
	expected time.Duration
	started  time.Time
}

// worker is one whose lease is held.
type worker struct {
	id          string
	epoch       uint64
	incarnation uint64
	idle        uint32 // milliwatts
	capacity    placement.Resources
	// capped: no watts were left when placement was told last.
	capped  bool
	flights map[taskKey]flight
	// retired is called once nothing runs here any more; no task is placed on
	// the worker while it is set.
	retired func()
}

// Holder queues and places tasks on the workers whose leases are held here.
type Holder struct {
	cfg     Config
	events  *ring.Ring[event]
	ended   chan struct{} // closed when Run returns
	order   *fairness.Queue[workKey]
	placer  *placement.Placer
	health  *health.Table
	learned *estimate.Estimator
	works   map[workKey]*work
	workers map[string]*worker
	queued  int
	now     time.Time
	dirty   bool          // the held workers changed
	offered bool          // batches came in this round
	changed chan struct{} // the advert did
	judged  time.Time     // health's last tick

	usage     map[string]*usage // by client account
	remote    Remote
	usageList []*pb.AccountUsage // of the adverts
	listed    time.Time          // usageList was made
	split     time.Time          // quotas were divided last
	limits    map[string]float64 // slots an account may occupy here
	accounts  []fairness.Account // as configured
	parents   map[string]string  // of accounts

	watts   watts
	starts  map[string]*pb.HoldRequest  // of this round, by worker
	reports map[Session]*pb.RunResponse // of this round
	buf     []placement.Assignment

	draining atomic.Bool
	advert   atomic.Pointer[pb.Advert]
	version  uint64
}

type event interface{ apply(h *Holder) }

// New returns a Holder; Run starts it.
func New(cfg Config) *Holder {
	h := &Holder{
		cfg:     cfg,
		events:  ring.New[event](cfg.Settings.Ring),
		ended:   make(chan struct{}),
		order:   fairness.New[workKey](cfg.Settings.Order),
		placer:  placement.New(cfg.Settings.Placement),
		health:  health.New(cfg.Settings.Health),
		learned: estimate.New(cfg.Settings.Estimate),
		works:   make(map[workKey]*work),
		workers: make(map[string]*worker),
		changed: make(chan struct{}, 1),
		usage:   make(map[string]*usage),
		limits:  make(map[string]float64),
		starts:  make(map[string]*pb.HoldRequest),
		reports: make(map[Session]*pb.RunResponse),
	}
	h.watts.ledger = power.New(power.VM{Name: cfg.Name, Incarnation: cfg.Incarnation}, cfg.Settings.Power)
	h.watts.status.Store(&power.Status{})
	h.publish()
	return h
}

// Run is the loop's goroutine. It returns when ctx ends.
func (h *Holder) Run(ctx context.Context) { ring.Loop(ctx, h.events, h.pace, h.round) }

// pace is the time to the next round without an event: longer while nothing waits
// or runs, since an idle loop that ticks is most of what control costs a VM.
func (h *Holder) pace() time.Duration {
	if h.queued > 0 || len(h.usage) > 0 {
		return h.cfg.Settings.Tick
	}
	return idleFactor * h.cfg.Settings.Tick
}

// idleFactor keeps idle rounds within the 50 ms that the power ledger asks for.
const idleFactor = 5

// round handles everything that waits, places, and sends.
func (h *Holder) round(now time.Time) {
	h.now = now
	for _, e := range h.events.Drain() {
		e.apply(h)
	}
	h.expire()
	h.judge()
	h.watts.due = h.now.Sub(h.watts.ticked) >= powerTick
	h.tellPlacement()
	h.place()
	h.tickPower()
	h.publish()
	h.flush()
}

// publish makes the present load visible to homes.
func (h *Holder) publish() {
	old := h.advert.Load()
	m := &pb.Advert{
		Incarnation: h.cfg.Incarnation,
		Domain:      h.cfg.Domain,
		FreeSlots:   uint32(h.placer.FreeSlots()),
		QueuedTasks: uint32(h.queued),
		Draining:    h.draining.Load(),
		Usage:       h.usageMessage(),
	}
	if old != nil && !h.dirty {
		if !h.offered && sameLoad(old, m) {
			return
		}
		m.WorkersVersion, m.Workers, m.Slots, m.Largest = old.WorkersVersion, old.Workers, old.Slots, old.Largest
		h.show(m)
		return
	}
	h.dirty = false
	h.version++
	m.WorkersVersion = h.version
	for _, w := range h.workers {
		if w.retired != nil {
			continue
		}
		m.Workers = append(m.Workers, w.held())
		m.Slots += w.capacity.Slots
	}
	m.Largest = resourcesMessage(h.placer.Largest())
	m.Largest.Milliwatts = h.largestDraw()
	h.show(m)
}

// show puts an advert in the place of the last one and tells that it changed.
func (h *Holder) show(m *pb.Advert) {
	h.offered = false
	h.advert.Store(m)
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// sameLoad reports whether a home would plan alike by both adverts.
func sameLoad(a, b *pb.Advert) bool {
	return a.FreeSlots == b.FreeSlots && a.QueuedTasks == b.QueuedTasks && a.Draining == b.Draining &&
		len(a.Usage) == 0 && len(b.Usage) == 0
}

// AdvertChanged is readable after the advert has changed.
func (h *Holder) AdvertChanged() <-chan struct{} { return h.changed }

// Advert describes this owner now. It is safe for concurrent use.
func (h *Holder) Advert() *pb.Advert { return h.advert.Load() }

// Drain refuses further tasks and returns those that wait.
func (h *Holder) Drain() {
	h.draining.Store(true)
	h.events.Push(drainEvent{})
}

// Busy reports whether tasks wait or run here.
func (h *Holder) Busy() bool {
	busy := make(chan bool, 1)
	if !h.events.Push(busyEvent{busy}) {
		return false
	}
	return <-busy
}

// flush sends this round's messages.
func (h *Holder) flush() {
	for id, m := range h.starts {
		if h.cfg.Workers.Send(id, m) {
			delete(h.starts, id)
			continue
		}
		h.unsent(h.workers[id], m)
		if h.starts[id] = unsentOrders(m); h.starts[id] == nil {
			delete(h.starts, id)
		}
	}
	for s, m := range h.reports {
		delete(h.reports, s)
		s.Report(m)
	}
}

// unsent takes back starts that did not fit into the worker's ring. They were
// not sent, so they are certain not to run.
func (h *Holder) unsent(w *worker, m *pb.HoldRequest) {
	if w == nil {
		return
	}
	for _, g := range m.Starts {
		id := wire.ID(g.Submission)
		for _, index := range g.Index {
			h.endFlight(w, taskKey{id, index}, notRun(index, reason.WorkerBusy, ""))
		}
	}
}

// unsentOrders is what of a message goes out with the next round, or nil. What
// goes wrong if an allotment is dropped: the ledger waits for its answer for
// ever, and the worker's watts stay where they are.
func unsentOrders(m *pb.HoldRequest) *pb.HoldRequest {
	if m.Allotment == nil && m.Throttle == nil && len(m.Stops)+len(m.Checkpoints) == 0 {
		return nil
	}
	m.Starts = nil
	return m
}

// message is this round's message to a worker.
func (h *Holder) message(w *worker) *pb.HoldRequest {
	m := h.starts[w.id]
	if m == nil {
		m = &pb.HoldRequest{Epoch: w.epoch}
		h.starts[w.id] = m
	}
	return m
}

func notRun(index uint32, code reason.Code, worker string) *pb.TaskResult {
	return &pb.TaskResult{Index: index, State: pb.TaskState_TASK_STATE_NOT_RUN, Reason: string(code), Worker: worker}
}

// report adds a result to this round's message for a session. Results of one
// submission under one generation that follow each other share a message.
func (h *Holder) report(s Session, id ticket.ID, gen *pb.Generation, r *pb.TaskResult) {
	m := h.reports[s]
	if m == nil {
		m = &pb.RunResponse{}
		h.reports[s] = m
	}
	if n := len(m.Results); n > 0 {
		last := m.Results[n-1]
		if wire.ID(last.Submission) == id && wire.Generation(last.Generation) == wire.Generation(gen) {
			last.Results = append(last.Results, r)
			return
		}
	}
	m.Results = append(m.Results, &pb.RunResult{
		Submission: wire.IDMessage(id),
		Generation: gen,
		Results:    []*pb.TaskResult{r},
	})
}
