package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/evacuation"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Times of the engine.
const (
	// A holder that the store has not confirmed for so long stops extending leases:
	// it may have been replaced without knowing. Outages of the store are shorter.
	holdingTrustedFor = 7 * time.Second
	// A new holder waits so long, from its claim, for runs that no worker lists,
	// unless the earlier holder's process has certainly ended. A watch may be a
	// second behind.
	holdingExpiredAfter = holdingTrustedFor + 2*time.Second
	rescanInterval      = time.Second // for records whose holder was not told of them
	loadInterval        = 300 * time.Millisecond
	minLoadInterval     = 15 * time.Millisecond // between messages about a changed load
	loadIntervalPerPeer = 2 * time.Millisecond  // that for each linked peer, if it is more
	// VMs of other domains send little here, and on a large site are many.
	farLoadInterval    = 400 * time.Millisecond
	maxLoadAge         = time.Second            // an older word of a shard's load counts for nothing
	stateQueryInterval = 700 * time.Millisecond // a holder that has not told of a submission for so long is asked
	endedRetention     = 150 * time.Second      // ended submissions are remembered; callers ask for 120 s
	pruneInterval      = 5 * time.Second
)

// held is a shard that this VM holds.
type heldShard struct {
	core           *shard.Shard
	holding        site.Holding
	sessions       map[string]*workerSession
	askers         map[submission.ID][]string // VMs that asked for an unfinished submission
	cancel         context.CancelFunc
	ctx            context.Context
	extendLeases   atomic.Bool
	acquiredAt     time.Duration
	confirmedAt    time.Duration // when the store was asked last that confirmed the holding
	scanning       bool
	scannedAt      time.Duration
	offloadAt      time.Duration
	storedWorkers  string // the workers as stored for the next holder
	storingWorkers bool
	loadSentAt     time.Duration
	loadSentFarAt  time.Duration // when VMs of other domains were told of its load
	sentLoad       shard.Load
}

// knownLoad is what is known of a shard's load.
type knownLoad struct {
	shard.Load
	holder     string
	token      uint64
	receivedAt time.Duration
	sentMilli  int64 // processor of tasks sent since, thousandths of a core
}

// engine owns the state of an entry VM.
type engine struct {
	vm                *VM
	ctx               context.Context
	now               time.Duration // of this round
	site              *site.Site
	shards            map[string]*heldShard
	tracked           map[submission.ID]*trackedSubmission // stored submissions
	transients        map[submission.ID]*transientSubmission
	deferred          []submitEvent // came before the shards are known
	startedAt         time.Duration
	retryTurns        policy.RetrySchedule // of callers that were refused here
	links             map[string]*link.Link
	linkUp            map[string]bool          // peers whose link stands
	linkWantedBy      sync.Map                 // peer to whether it needs the link from here
	linkNeededAt      map[string]time.Duration // when a link was last needed
	linksOutdated     bool                     // VMs or holders have changed
	linksUpdatedAt    time.Duration            // when it was last looked which links are needed
	waiting           waitingReports           // of other VMs
	waitingReportedAt time.Duration            // when this VM told of what waits in its domain
	peerIncarnations  map[string]uint64
	probedAt          map[string]time.Duration // when a worker of a shard was reached, before its claim
	loads             map[string]*knownLoad
	workerLists       map[string]*workerList // of workers, by failure domain of which a shard is held
	lastListVersion   uint64                 // of lists told so far
	// holdersChanged says that a holder may be there that was not told of the list of workers.
	holdersChanged   bool
	readingWorkers   bool                       // the list of workers is read here
	lastWorkersRead  workersEvent               // what was read last, of all domains
	services         map[string]catalog.Service // that any configuration has named, as the newest says
	evacuations      evacuation.Set
	claimsInFlight   map[string]bool
	divisionInFlight bool
	transientSerial  uint64 // of transient submissions taken here
	unplacedSentAt   time.Duration
	unplacedSent     bool                     // what peers were told last is not 0
	frames           map[string]*pb.KeptFrame // to be sent at the end of this round
	prunedAt         time.Duration
	drained          chan struct{}
}

func newEngine(ctx context.Context, v *VM) *engine {
	c := v.config
	self := site.Member{Name: c.Name, Incarnation: c.Incarnation, Domain: c.Domain, Address: c.PeerAddress, Cores: c.Cores}
	return &engine{
		vm:               v,
		ctx:              ctx,
		site:             site.New(site.DefaultSettings(), self, c.Domains, v.now()),
		shards:           make(map[string]*heldShard),
		tracked:          make(map[submission.ID]*trackedSubmission),
		transients:       make(map[submission.ID]*transientSubmission),
		startedAt:        v.now(),
		links:            make(map[string]*link.Link),
		linkUp:           make(map[string]bool),
		linkNeededAt:     make(map[string]time.Duration),
		waiting:          newWaitingReports(),
		workerLists:      make(map[string]*workerList),
		peerIncarnations: make(map[string]uint64),
		probedAt:         make(map[string]time.Duration),
		loads:            make(map[string]*knownLoad),
		claimsInFlight:   make(map[string]bool),
		services:         make(map[string]catalog.Service),
		frames:           make(map[string]*pb.KeptFrame),
	}
}

// round takes all waiting events, decides, and sends one frame to each peer that
// there is something to say to.
func (e *engine) runRound(time.Time) {
	e.now = e.vm.now()
	for _, ev := range e.vm.events.Drain() {
		ev.apply(e)
	}
	e.maintainLinks()
	e.divideDomains()
	e.claimShards()
	e.updateLists()
	for name, h := range e.shards {
		e.runShard(name, h)
	}
	e.releaseEarly()
	e.driveTransients()
	e.queryOverdueStates()
	e.signalDrained()
	e.tellLoads()
	e.tellUnplaced()
	e.reportWaiting()
	e.prune()
	e.flush()
	e.vm.ready.Store(e.canServe())
	workers := 0
	for _, h := range e.shards {
		workers += len(h.sessions)
	}
	e.vm.metrics.heldWorkers.Update(float64(workers))
	e.vm.metrics.heldShards.Update(float64(len(e.shards)))
	e.vm.metrics.openSubmissions.Update(float64(len(e.transients) + len(e.tracked)))
}

// pace is the longest time to the next round.
func (e *engine) roundInterval() time.Duration {
	if len(e.shards)+len(e.transients)+len(e.tracked)+len(e.deferred) == 0 && e.drained == nil {
		return idleRoundInterval
	}
	return busyRoundInterval
}

// drive runs a shard that this VM holds.
func (e *engine) runShard(name string, h *heldShard) {
	h.extendLeases.Store(e.now-h.confirmedAt < holdingTrustedFor || !h.core.HasStored())
	if e.now-h.scannedAt >= rescanInterval && !h.scanning {
		e.scanRecords(name, h)
	}
	h.core.Tick(e.now)
	e.offload(name, h)
	if h.core.WorkerCount() != len(h.sessions) {
		e.syncSessions(h) // it has dropped a worker; new ones come with the list only
	}
	e.execute(name, h, h.core.TakeActions())
}

// execute does what a shard has decided.
func (e *engine) execute(name string, h *heldShard, a shard.Actions) {
	for _, s := range a.Acks {
		if ws := h.sessions[s.Worker]; ws != nil {
			ws.acknowledge(s.UpTo)
		}
	}
	for _, s := range a.Starts {
		if s.IsFirst {
			e.vm.metrics.queue(s.Queue).firstStart.RecordDuration(s.Waited)
		}
		e.sendOrder(h, s.Worker.ID, func(ws *workerSession) {
			ws.start(h.ctx, worker.Start{Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint})
		})
		klog.InfoS("kept: start", "id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run,
			"worker", s.Worker.ID, "shard", name, "token", h.holding.Token, "waited", s.Waited,
			"known_from", s.Origin.String(), "list_age", e.listAge(name))
	}
	for _, s := range a.Stops {
		e.sendOrder(h, s.Worker.ID, func(ws *workerSession) {
			ws.stop(h.ctx, worker.Stop{Task: s.Task, Run: s.Run})
		})
		klog.InfoS("kept: stop", "id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run,
			"worker", s.Worker.ID, "shard", name, "why", s.Reason)
	}
	for _, id := range a.Probes {
		e.sendOrder(h, id, func(ws *workerSession) { ws.listNow(h.ctx) })
	}
	for _, f := range a.Finals {
		e.storeFinal(name, h, f)
	}
	for _, s := range a.Saves {
		e.storeProgress(name, h, s)
	}
	for _, m := range a.Reassigns {
		e.storeMove(name, h, m)
	}
	e.logLosses(name, a)
	for _, l := range a.TaskLosses {
		e.reportTaskLosses(l)
	}
	for _, n := range a.Outcomes {
		e.reportTaskOutcome(n) // before the state: what is told as returned has not completed
	}
	for _, s := range a.States {
		w := h.report(s)
		e.reportState(s.ID, s.Home, w)
		e.notifyAskers(h, s, w)
	}
}

// order gives a worker an order on a goroutine of its own, as it may hang.
func (e *engine) sendOrder(h *heldShard, id string, give func(*workerSession)) {
	ws := h.sessions[id]
	if ws == nil {
		klog.InfoS("kept: an order for a worker that is not held", "worker", id)
		return
	}
	e.vm.spawn(func() { give(ws) })
}

// canServe reports whether a submission could be taken now.
func (e *engine) canServe() bool {
	if e.vm.Catalog() == nil {
		return false
	}
	return e.anyReachable()
}

// reachable reports whether the holder of a shard can be told of submissions.
func (e *engine) reachable(name string) bool {
	l := e.loads[name]
	if l == nil || !l.Ready || e.now-l.receivedAt > maxLoadAge {
		return false
	}
	return e.shards[name] != nil || e.linkUp[l.holder]
}

// signalDrained tells the one who waits that all shards are given up.
func (e *engine) signalDrained() {
	if e.drained != nil && len(e.shards) == 0 {
		close(e.drained)
		e.drained = nil
	}
}

// frame is what will be sent to a peer at the end of the round.
func (e *engine) frame(peer string) *pb.KeptFrame {
	f := e.frames[peer]
	if f == nil {
		f = &pb.KeptFrame{}
		e.frames[peer] = f
	}
	return f
}

func (e *engine) flush() {
	for peer, f := range e.frames {
		if l := e.linkTo(peer); l != nil && !l.Send(f) {
			klog.InfoS("kept: a frame was dropped, too many wait", "peer", peer)
		}
	}
	clear(e.frames)
}

// prune forgets submissions that ended long ago.
func (e *engine) prune() {
	if e.now-e.prunedAt < pruneInterval {
		return
	}
	e.prunedAt = e.now
	for id, h := range e.tracked {
		if h.state.Final() && e.now-h.updatedAt > endedRetention {
			delete(e.tracked, id)
		}
	}
	for _, h := range e.shards {
		h.pruneAskers()
	}
}
