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

// Intervals and limits of the engine.
const (
	// holdingTrustedFor is how long a holder goes on extending leases without the store
	// confirming that it still holds the shard: another VM may have replaced it unnoticed.
	// Outages of the store are shorter.
	holdingTrustedFor = 7 * time.Second
	// holdingExpiredAfter is added to the longest lease for the time that a new holder waits,
	// from its claim, for runs that no worker lists, unless the previous holder's process has
	// certainly ended. A watch may lag by a second.
	holdingExpiredAfter = holdingTrustedFor + 2*time.Second
	rescanInterval      = time.Second            // between searches of the store for records that the holder was not told of
	loadInterval        = 300 * time.Millisecond // between reports of a shard's load that has not changed
	minLoadInterval     = 15 * time.Millisecond  // between reports of a load that changes
	loadIntervalPerPeer = 2 * time.Millisecond   // minLoadInterval for each linked peer, where that is longer
	// farLoadInterval is between load reports to VMs of other domains. They send few
	// submissions here, and on a large site there are many of them.
	farLoadInterval    = 400 * time.Millisecond
	maxLoadAge         = time.Second            // older load reports are ignored
	stateQueryInterval = 700 * time.Millisecond // without news of a submission, before its holder is asked
	endedRetention     = 150 * time.Second      // of ended submissions in memory; callers ask for 120 s
	pruneInterval      = 5 * time.Second
	// heldEntryInterval is the time after which the list of workers is applied again if entries were held back.
	heldEntryInterval = 250 * time.Millisecond
)

// heldShard is a shard that this VM holds.
type heldShard struct {
	core            *shard.Shard // decides what runs where, without I/O
	holding         site.Holding
	sessions        map[string]*workerSession
	askers          map[submission.ID][]string // VMs that asked about an unfinished submission
	cancel          context.CancelFunc
	ctx             context.Context // ends when the shard is lost
	extendLeases    atomic.Bool     // whether the workers' leases may be extended
	acquiredAt      time.Duration
	confirmedAt     time.Duration // when the last store call left that confirmed the holding
	scanning        bool          // a search for records is in flight
	scannedAt       time.Duration // 0: the records have not been read yet
	checkingAbsent  bool          // records that a search has not shown are being read
	offloadAt       time.Duration
	listAppliedAt   time.Duration // when the list of workers was last applied
	storedWorkers   string        // the workers, as stored for the next holder, without speeds
	storedSpeeds    string        // the same with their speeds
	storedWorkersAt time.Duration // when the last write of them was made
	storingWorkers  bool          // a write of them is in flight
	loadSentAt      time.Duration
	loadCheckedAt   time.Duration // when it was last compared with the load that was sent
	loadVersion     uint64        // RoomVersion at that time
	loadSentFarAt   time.Duration // when the load was last sent to VMs of other domains
	sentLoad        shard.Load
	roomVersion     uint64 // of the room that the pool was told
}

// knownLoad is the load of a shard as its holder last reported it.
type knownLoad struct {
	shard.Load
	holder     string
	token      uint64
	receivedAt time.Duration
	sentMilli  int64 // CPU of the tasks sent there since, in thousandths of a core
}

// engine owns the state of an entry VM. It runs on one goroutine.
type engine struct {
	vm                *VM
	ctx               context.Context
	now               time.Duration // when this round had taken its events from the queue
	site              *site.Site
	shards            map[string]*heldShard
	tracked           map[submission.ID]*trackedSubmission // stored submissions
	transients        map[submission.ID]*transientSubmission
	open              map[submission.ID]*transientSubmission // those of transients that have not ended
	ended             []*transientSubmission                 // the others of transients, in the order of their ends
	unbound           map[submission.ID]*transientSubmission // whose unassigned tasks wait for grants
	lastDemand        uint64                                 // number of the last demand told
	holdersMoved      bool                                   // a shard has another holder than before
	checkAll          bool                                   // holders or links have changed: all of open are to be looked at
	cancelNotices     map[submission.ID]*cancelNotice        // of stored submissions, until their holders are certain to know
	refusalLookups    int                                    // submissions that are looked up before they are refused
	noticesCheckedAt  time.Duration
	deferred          []submitEvent // received before the holders of the shards are known
	startedAt         time.Duration
	retrySchedule     policy.RetrySchedule // for callers that this VM refuses
	turns             policy.Turns         // the same, in its place with the setting retry_turns
	stranded          []strandedMove       // that wait for the list of all workers
	links             map[string]*link.Link
	linkUp            map[string]bool          // by peer: the link is established
	linkUpAt          map[string]time.Duration // by peer: when it was last established
	linkNeededBy      sync.Map                 // by peer: whether it needs the link from this VM (bool)
	linkNeededAt      map[string]time.Duration // by peer: when the link was last needed
	linksOutdated     bool                     // VMs or holders have changed since the links were updated
	linksUpdatedAt    time.Duration
	waiting           waitingReports // from other VMs
	waitingReportedAt time.Duration  // when this VM last reported the submissions that wait in its domain
	peerIncarnations  map[string]uint64
	probedAt          map[string]time.Duration  // by shard: when one of its workers answered a probe before a claim
	loads             map[string]*knownLoad     // by shard
	loadNames         []string                  // the shards of loads, sorted
	heldPools         map[string]*heldPool      // by failure domain, of those in which this VM holds a shard
	served            map[string]*policy.Shares // what groups are served by shards held here, by failure domain
	lastGrant         uint64                    // number of the last grant
	pools             map[poolKey]*knownPool    // as their holders report them, with those of this VM
	workerLists       map[string]*workerList    // by failure domain, of those in which this VM holds a shard
	lastListVersion   uint64                    // counts the lists that this VM has read
	// holdersChanged is set when there may be a holder that was not sent the list of workers.
	holdersChanged  bool
	readingWorkers  bool                       // this VM reads the list of workers from the store
	lastWorkersRead workersEvent               // the last list read here, of all domains
	services        map[string]catalog.Service // by name: all that any configuration has named, as last defined
	evacuations     evacuation.Set
	claimsInFlight  map[string]bool
	layoutInFlight  bool
	lastSerial      uint64 // of an attempt at a transient submission
	unplacedSentAt  time.Duration
	unplacedSent    bool                     // the last count of unplaced submissions sent to peers was not 0
	frames          map[string]*pb.KeptFrame // by peer: to be sent at the end of this round
	prunedAt        time.Duration
	rounds          roundTimes
	releaseLines    lineLimit
	unexpectedLines lineLimit
	heldLeaseLines  lineLimit

	unwantedReportLines lineLimit
	unwantedPartLines   lineLimit
	revoked             []revokedPart // in the order in which they were cancelled
	revokedCheckedAt    time.Duration // when their shards' holders were last looked at
	backlogUntil        time.Duration // when no request is read any more that came in during a standstill
	finishBy            time.Duration // when all callers are to be answered, as the VM is stopped; 0: it is not
	drained             chan struct{} // closed once all shards are handed over; nil: no caller of Drain waits
}

func newEngine(ctx context.Context, v *VM) *engine {
	c := v.config
	self := site.Member{Name: c.Name, Incarnation: c.Incarnation, Domain: c.Domain, Address: c.PeerAddress, Cores: c.Cores}
	return &engine{
		vm:               v,
		lastSerial:       serialBase(&v.config),
		ctx:              ctx,
		site:             site.New(site.DefaultSettings(), self, c.Domains, v.now()),
		shards:           make(map[string]*heldShard),
		tracked:          make(map[submission.ID]*trackedSubmission),
		transients:       make(map[submission.ID]*transientSubmission),
		open:             make(map[submission.ID]*transientSubmission),
		unbound:          make(map[submission.ID]*transientSubmission),
		startedAt:        v.now(),
		links:            make(map[string]*link.Link),
		linkUp:           make(map[string]bool),
		linkUpAt:         make(map[string]time.Duration),
		linkNeededAt:     make(map[string]time.Duration),
		waiting:          newWaitingReports(),
		workerLists:      make(map[string]*workerList),
		peerIncarnations: make(map[string]uint64),
		probedAt:         make(map[string]time.Duration),
		loads:            make(map[string]*knownLoad),
		heldPools:        make(map[string]*heldPool),
		served:           make(map[string]*policy.Shares),
		turns:            policy.Turns{Offset: policy.TurnOffset(c.Name)},
		pools:            make(map[poolKey]*knownPool),
		claimsInFlight:   make(map[string]bool),
		cancelNotices:    make(map[submission.ID]*cancelNotice),
		services:         make(map[string]catalog.Service),
		frames:           make(map[string]*pb.KeptFrame),
	}
}

// runRound applies all queued events, runs what is due, and sends at most one frame to each
// peer.
func (e *engine) runRound(time.Time) {
	e.applyEvents()
	e.maintainLinks()
	e.planLayouts()
	e.claimShards()
	e.updateLists()
	for name, h := range e.shards {
		e.runShard(name, h)
	}
	e.admitDeferred()
	e.driveTransients()
	e.grantRoom()
	e.queryOverdueStates()
	e.repeatCancelNotices()
	e.signalDrained()
	e.broadcastLoads()
	e.broadcastPools()
	e.broadcastUnplaced()
	e.broadcastWaiting()
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

// maxEventLag is how long before the time of a round an event may have been queued that the round has not applied.
const maxEventLag = 5 * time.Millisecond

// applyEvents applies the queued events and sets the time of the round.
func (e *engine) applyEvents() {
	e.settleAfterStandstill()
	for {
		asOf := e.vm.now()
		events := e.vm.events.Drain()
		// The clock is read after the events are taken: an event applied at a time before it happened could make a listing
		// that was asked for before a start was answered count as newer than the answer.
		e.now = e.vm.now()
		for _, ev := range events {
			ev.apply(e)
		}
		// If the thread stood still in between, the answer to what is overdue by now may be queued.
		if e.now-asOf <= maxEventLag {
			return
		}
	}
}

// roundInterval returns the longest time until the next round.
func (e *engine) roundInterval() time.Duration {
	if len(e.shards)+len(e.transients)+len(e.tracked)+len(e.deferred) == 0 && e.drained == nil {
		return idleRoundInterval
	}
	return busyRoundInterval
}

// runShard advances a shard that this VM holds and carries out its actions.
func (e *engine) runShard(name string, h *heldShard) {
	// The confirmation by the store matters only for stored submissions.
	h.extendLeases.Store(e.now-h.confirmedAt < holdingTrustedFor || !h.core.HasStored())
	if e.now-h.scannedAt >= rescanInterval && !h.scanning {
		e.scanRecords(name, h)
	}
	h.core.Tick(e.now)
	e.offload(name, h)
	if h.core.HoldsEntriesBack() && e.now-h.listAppliedAt >= heldEntryInterval {
		e.updateWorkers(h)
	}
	if h.core.WorkerCount() != len(h.sessions) {
		e.syncSessions(h) // the shard has dropped a worker; new ones come only with the list
	}
	e.limitLeases(h)
	e.execute(name, h, h.core.TakeActions())
}

// execute carries out the actions that a shard has decided on.
func (e *engine) execute(name string, h *heldShard, a shard.Actions) {
	for _, s := range a.Acks {
		if ws := h.sessions[s.Worker]; ws != nil {
			ws.acknowledge(s.UpTo)
		}
	}
	for _, s := range a.Starts {
		decidedAt := e.now
		if s.IsFirst {
			e.vm.metrics.queue(s.Queue).firstStart.RecordDuration(s.Waited)
		}
		deadline := e.startDeadline(h, s.Worker.ID)
		e.sendOrder(h, s.Worker.ID, func(ws *workerSession) {
			ws.start(h.ctx, worker.Start{Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Deadline: deadline}, decidedAt)
		})
		klog.InfoS("kept: start", "id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run,
			"worker", s.Worker.ID, "shard", name, "token", h.holding.Token, "serial", s.Serial, "home", s.Home, "waited", s.Waited,
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
		e.storeReassign(name, h, m)
	}
	e.logLosses(name, a)
	e.logReleases(name, h.holding.Token, a.Releases)
	e.logUnexpected(name, h.holding.Token, a.Unexpected)
	e.logSpeeds(name, a)
	for _, l := range a.TaskLosses {
		e.reportTaskLosses(l)
	}
	for _, n := range a.Outcomes {
		e.reportTaskOutcome(n) // before the state, in which a task listed as returned counts as not completed
	}
	e.logUnconfirmed(h, a.Unconfirmed)
	for _, c := range a.Confirms {
		e.askHome(h, c)
	}
	for _, s := range a.States {
		w := h.report(s)
		e.reportState(s.ID, s.Home, w)
		e.notifyAskers(h, s, w)
	}
}

// startDeadline returns the deadline of a start that was decided in this round; 0: it must not be sent.
func (e *engine) startDeadline(h *heldShard, id string) time.Duration {
	ws := h.sessions[id]
	if ws == nil {
		return 0
	}
	return ws.startDeadline(e.now)
}

// sendOrder calls a worker on a separate goroutine, as the worker may hang.
func (e *engine) sendOrder(h *heldShard, id string, give func(*workerSession)) {
	ws := h.sessions[id]
	if ws == nil {
		klog.InfoS("kept: order dropped, the worker does not belong to the shard", "worker", id)
		return
	}
	e.vm.spawn(func() { give(ws) })
}

// canServe reports whether this VM can accept submissions now.
func (e *engine) canServe() bool {
	if e.vm.Catalog() == nil {
		return false
	}
	return e.anyReachable()
}

// reachable reports whether the shard is ready, by a recent load report, and its holder can be
// reached.
func (e *engine) reachable(name string) bool { return e.isReachable(name, e.loads[name]) }

// isReachable is reachable for a shard whose last load is at hand; nil: there is none.
func (e *engine) isReachable(name string, l *knownLoad) bool {
	if l == nil || !l.Ready || e.now-l.receivedAt > maxLoadAge {
		return false
	}
	return e.shards[name] != nil || e.linkUp[l.holder]
}

// signalDrained wakes the caller of Drain once this VM holds no shards.
func (e *engine) signalDrained() {
	if e.drained != nil && len(e.shards) == 0 {
		close(e.drained)
		e.drained = nil
	}
}

// frame returns the frame that will be sent to a peer at the end of the round.
func (e *engine) frame(peer string) *pb.KeptFrame {
	f := e.frames[peer]
	if f == nil {
		f = &pb.KeptFrame{}
		e.frames[peer] = f
	}
	return f
}

// flush sends the frames of this round.
func (e *engine) flush() {
	for peer, f := range e.frames {
		if l := e.linkTo(peer); l != nil && !l.Send(f) {
			klog.InfoS("kept: frame dropped, the send queue is full", "peer", peer)
		}
	}
	clear(e.frames)
}

// prune removes ended submissions whose retention is over.
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
