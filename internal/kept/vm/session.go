package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Time-outs of the calls to a worker.
const (
	// renewWait is how long the worker may wait for the end of a run before it answers a renewal.
	// With renewTimeout, two renewals of a lease of one second may get lost before it expires.
	renewWait       = 250 * time.Millisecond
	renewTimeout    = 150 * time.Millisecond // for the answer to a renewal, added to its wait
	renewRetryDelay = 30 * time.Millisecond  // after a renewal without an answer
	// heldUpRenewal is how long a renewal without an answer takes at least that this VM itself has held up.
	heldUpRenewal   = renewWait + renewTimeout + 200*time.Millisecond
	ackPollInterval = 5 * time.Millisecond // between checks whether ends are acknowledged
	maxAckPolls     = 4                    // then the next renewal leaves without: it extends the lease

	// The time-out of an order is a multiple of the usual round-trip time, within bounds. A
	// healthy worker answers within a millisecond, one in another region within 40; a VM whose
	// CPU is throttled for a tenth of a second measures that too. After a time-out the holder
	// lists the worker's runs and voids the order, which takes some milliseconds: the sooner it
	// begins, the more can still be done in time on another worker.
	orderTimeoutFactor = 10
	minOrderTimeout    = 45 * time.Millisecond
	maxOrderTimeout    = 150 * time.Millisecond
	// maxBusyOrderTimeout applies when the answers of all workers are slow: then this VM's own
	// link or CPU is saturated. Each order given up causes a listing, a void and a repetition,
	// each on a new connection, which load the link further until healthy workers seem not to
	// answer.
	maxBusyOrderTimeout = 800 * time.Millisecond
	// maxTimeoutDoublings limits how often orders without an answer, one after the other, double the time-out.
	maxTimeoutDoublings = 2

	rttWeight       = 8  // of the moving average of round-trip times: a new one counts 1/rttWeight
	sharedRTTWeight = 64 // the same for the average over all workers
	// minStartDeadline is the earliest deadline that is sent: the platform has it in milliseconds, and none for 0.
	minStartDeadline = time.Millisecond
)

// workerSession makes the calls to one worker while this VM holds its shard.
type workerSession struct {
	vm           *VM
	shard        string
	info         atomic.Pointer[worker.Info]
	born         atomic.Int64  // start of the incarnation that the session is with; 0: not known
	token        uint64        // fencing token of the shard
	ackedEnd     atomic.Uint64 // the worker need not list ends up to this number again
	acked        chan struct{} // receives a value when ackedEnd changes
	extendLeases *atomic.Bool  // whether leases may be extended
	leaseLimit   atomic.Int64  // time until which the lease may be extended at most; 0: not at all
	leaseIsShort bool          // that was earlier than the end of the next renewal when the engine last set it
	unanswered   atomic.Bool   // the last renewal was not answered
	expiryPosted atomic.Bool   // the engine was told that the lease has expired; no answer or start has come since
	fenced       atomic.Bool   // the worker obeys a later holder, which may extend its lease
	orderRTT     atomic.Int64  // moving average of the round-trip time of orders, in nanoseconds
	silentOrders atomic.Int32  // orders without an answer since the last one with an answer
	cancel       context.CancelFunc
	repetitions  repetitions

	mu              sync.Mutex
	lastClock       time.Duration // the worker's clock as it last reported it; 0: it never answered
	clockSentAt     time.Duration // when the call that brought lastClock left
	clockReceivedAt time.Duration // when its answer arrived
	maxDeadline     time.Duration // latest deadline of an order, on the worker's clock
	heldUntil       time.Duration // deadline of the latest renewal that the worker has accepted
	endTold         bool          // the engine was told that the worker's process has ended; no answer has come since
}

// startSession starts a session, which runs until ctx ends or another incarnation answers.
func startSession(ctx context.Context, v *VM, shard string, info worker.Info, token uint64, extendLeases *atomic.Bool) *workerSession {
	ctx, cancel := context.WithCancel(ctx)
	ws := &workerSession{vm: v, shard: shard, token: token, extendLeases: extendLeases, leaseIsShort: true, cancel: cancel, acked: make(chan struct{}, 1)}
	ws.info.Store(&info)
	ws.born.Store(info.Born)
	v.spawn(func() { ws.run(ctx) })
	return ws
}

// run renews the worker's lease and posts its listings, until ctx ends or another
// incarnation answers.
func (ws *workerSession) run(ctx context.Context) {
	askedAgain := false // since the last answer, after a renewal that was held up
	for ctx.Err() == nil {
		requestedAt := ws.vm.now()
		listing, reply := ws.renew(ctx, renewWait)
		if ctx.Err() != nil {
			return
		}
		switch reply.Verdict {
		case worker.Accepted:
			askedAgain = false
			ws.fenced.Store(false)
			ws.vm.post(listingEvent{session: ws, requestedAt: requestedAt, listing: listing})
			ws.awaitAcks(ctx, listing)
			continue
		case worker.Fenced:
			ws.fenced.Store(true)
			ws.vm.post(workerFencedEvent{session: ws})
			pause.For(ctx, 4*renewRetryDelay)
			continue
		case worker.Replaced:
			ws.vm.deliver(workerReplacedEvent{session: ws, successor: reply.Successor})
			return
		}
		// A VM that stood still finds its calls timed out, whatever its workers did: it asks once more.
		if !askedAgain && ws.vm.now()-requestedAt >= heldUpRenewal {
			askedAgain = true
			continue
		}
		if reply.Refused {
			ws.postEnd()
		}
		ws.postExpiry()
		pause.For(ctx, renewRetryDelay)
	}
}

// postExpiry tells the engine once that the lease has expired. The engine checks it again, as it may have decided
// a start since.
func (ws *workerSession) postExpiry() {
	if over, _ := ws.leaseExpired(ws.vm.now()); over && !ws.fenced.Load() && ws.expiryPosted.CompareAndSwap(false, true) {
		if !ws.vm.post(leaseExpiredEvent{session: ws}) {
			ws.expiryPosted.Store(false)
		}
	}
}

// postEnd tells the engine once that the worker's process has ended, if the lease that it has accepted certainly runs.
func (ws *workerSession) postEnd() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.endTold || ws.lastClock == 0 || ws.latestClock(ws.vm.now()) >= ws.heldUntil {
		return
	}
	ws.endTold = ws.vm.post(workerEndedEvent{session: ws})
}

// awaitAcks waits for a limited time until the ends of a listing are acknowledged: a
// renewal that does not acknowledge them would return at once with the same ends.
func (ws *workerSession) awaitAcks(ctx context.Context, l worker.Listing) {
	if len(l.Ended) == 0 {
		return
	}
	last := l.Ended[len(l.Ended)-1].Seq
	for i := 0; i < maxAckPolls && ws.ackedEnd.Load() < last; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ws.acked:
		case <-time.After(ackPollInterval):
		}
	}
}

// acknowledge has the next renewal acknowledge the ends up to a number.
func (ws *workerSession) acknowledge(ackedEnd uint64) {
	ws.ackedEnd.Store(ackedEnd)
	select {
	case ws.acked <- struct{}{}:
	default:
	}
}

// listNow asks the worker for a listing without waiting for the end of a run.
func (ws *workerSession) listNow(ctx context.Context) {
	if !ws.repeatsOrders() {
		requestedAt := ws.vm.now()
		listing, reply := ws.renew(ctx, 0)
		if reply.Verdict == worker.Accepted {
			ws.vm.post(listingEvent{session: ws, requestedAt: requestedAt, listing: listing})
		}
		return
	}
	ws.listRepeatedly(ctx)
}

// renew extends the worker's lease, if it may, and returns a listing. The worker answers when a run ends,
// or after wait.
func (ws *workerSession) renew(ctx context.Context, wait time.Duration) (worker.Listing, worker.Reply) {
	requestedAt := ws.vm.now()
	order := ws.holdOrder(requestedAt, wait, ws.unanswered.Load())
	ctx, cancel := context.WithTimeout(ctx, order.Wait+renewTimeout)
	defer cancel()
	listing, reply := ws.hold(ctx, requestedAt, order)
	ws.unanswered.Store(reply.Verdict == worker.NoAnswer)
	return listing, reply
}

// holdOrder returns the order of a renewal that leaves at requestedAt. unanswered says that the one before it has had no
// answer.
func (ws *workerSession) holdOrder(requestedAt, wait time.Duration, unanswered bool) worker.Hold {
	order := worker.Hold{Token: ws.token, AckedEnd: ws.ackedEnd.Load(), Wait: wait}
	known := ws.knowsClock()
	if !known || unanswered {
		order.Wait = 0 // the call only finds out the worker's clock, or that it is back
		// The worker's next incarnation may answer under the same ID. It numbers its ends from 1
		// again, and would discard those that it has not listed yet.
		order.AckedEnd = 0
	}
	// A worker that does not answer is called without extending its lease, as it may receive the
	// calls though its answers are lost. Otherwise each attempt would postpone the expiry of the
	// lease, and its tasks would start nowhere else: tasks of four dead workers waited for 4.5 s,
	// until the workers left the list.
	if known && !unanswered && ws.extendLeases.Load() {
		order.Deadline = ws.renewedDeadline(requestedAt)
		ws.recordDeadline(order.Deadline)
	}
	return order
}

// hold sends the order of a renewal.
func (ws *workerSession) hold(ctx context.Context, requestedAt time.Duration, order worker.Hold) (worker.Listing, worker.Reply) {
	listing, reply := ws.vm.config.Workers.Hold(ctx, *ws.info.Load(), order)
	reply = ws.checkIncarnation(reply)
	ws.recordClock(requestedAt, reply)
	if reply.Verdict == worker.Accepted {
		ws.expiryPosted.Store(false)
		ws.recordHeld(order.Deadline)
	}
	return listing, reply
}

// incarnation returns the incarnation of the worker that the session is with.
func (ws *workerSession) incarnation() worker.Incarnation {
	return worker.Incarnation{ID: ws.info.Load().ID, Born: ws.born.Load()}
}

// checkIncarnation replaces an answer that another incarnation gave under the same ID. From a later
// incarnation it means that the session's own has ended; a late one from an earlier incarnation counts
// as no answer.
func (ws *workerSession) checkIncarnation(r worker.Reply) worker.Reply {
	if r.Born == 0 || ws.born.CompareAndSwap(0, r.Born) {
		return r
	}
	switch born := ws.born.Load(); {
	case r.Born > born:
		return worker.Reply{Verdict: worker.Replaced, Successor: worker.Incarnation{ID: ws.info.Load().ID, Born: r.Born}}
	case r.Born < born:
		return worker.Reply{Verdict: worker.NoAnswer}
	default:
		return r
	}
}

// knowsClock reports whether the worker has told its clock.
func (ws *workerSession) knowsClock() bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.lastClock != 0
}

// earliestClock returns the earliest time that the worker's clock can show, if it is known. The caller holds the mutex.
func (ws *workerSession) earliestClock(now time.Duration) time.Duration {
	return ws.lastClock + onSlowestClock(now-ws.clockReceivedAt)
}

// latestClock returns the latest time that the worker's clock can show, if it is known. The caller holds the mutex.
func (ws *workerSession) latestClock(now time.Duration) time.Duration {
	return ws.lastClock + now - ws.clockSentAt
}

// recordDeadline keeps the latest deadline of an order, before it is sent.
func (ws *workerSession) recordDeadline(d time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.maxDeadline = max(ws.maxDeadline, d)
}

// recordHeld keeps the deadline of a renewal that the worker has accepted; 0: it extended nothing.
func (ws *workerSession) recordHeld(d time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.heldUntil = max(ws.heldUntil, d)
	ws.endTold = false
}

// recordClock keeps the worker's clock from the answer to a call that left at requestedAt.
func (ws *workerSession) recordClock(requestedAt time.Duration, r worker.Reply) {
	if r.Clock == 0 {
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.lastClock == 0 {
		// The previous holder may have extended the lease until this call fenced it.
		ws.maxDeadline = max(ws.maxDeadline, r.Clock+ws.vm.config.MaxLease)
	}
	if r.Clock > ws.lastClock {
		ws.lastClock = r.Clock
		ws.clockSentAt = requestedAt
		ws.clockReceivedAt = ws.vm.now()
	}
}

// leaseExpired reports whether the worker's lease has expired even if the worker's clock is
// slow. Nothing is certain if the worker never answered.
func (ws *workerSession) leaseExpired(now time.Duration) (over, certain bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.lastClock == 0 {
		return false, false
	}
	return ws.earliestClock(now) > ws.maxDeadline, true
}

// orderTimeout returns how long to wait for the answer to an order.
func (ws *workerSession) orderTimeout() time.Duration {
	own := min(max(orderTimeoutFactor*time.Duration(ws.orderRTT.Load()), minOrderTimeout)<<min(ws.silentOrders.Load(), maxTimeoutDoublings), maxOrderTimeout)
	all := min(orderTimeoutFactor*time.Duration(ws.vm.orderRTT.Load()), maxBusyOrderTimeout)
	return max(own, all, minOrderTimeout)
}

// recordRTT records the round-trip time of an order; for one without an answer, the time-out. If
// that were left out and answers took longer than the time-out, as when this VM's own CPU is busy,
// the time-out would never grow, and each start would be voided and repeated.
func (ws *workerSession) recordRTT(took time.Duration) {
	updateAverage(&ws.orderRTT, took, rttWeight)
}

// recordOrder records how long an order took. In the average over all workers only answers count:
// otherwise the death of a tenth of the workers would raise the time-out of all orders to its limit.
// If orders are repeated, those without an answer double the worker's time-out until one is answered:
// a worker of which a part of the orders is lost or late answers the others as fast as before.
func (ws *workerSession) recordOrder(took time.Duration, r worker.Reply) {
	switch {
	case !ws.repeatsOrders():
		ws.recordRTT(took)
	case r.Verdict == worker.NoAnswer:
		ws.silentOrders.Add(1)
	default:
		ws.silentOrders.Store(0)
		ws.recordRTT(took)
	}
	if r.Verdict != worker.NoAnswer {
		updateAverage(&ws.vm.orderRTT, took, sharedRTTWeight)
	}
}

// updateAverage adds a sample to a moving average. Of two concurrent samples one may get lost.
func updateAverage(average *atomic.Int64, sample time.Duration, weight int64) {
	before := average.Load()
	average.Store(before + (int64(sample)-before)/weight)
}

// start sends an order to start a run, decided at a time of the engine, and posts the worker's reply. Without a deadline
// it is not sent, as the worker could carry it out at any time.
func (ws *workerSession) start(ctx context.Context, s worker.Start, decidedAt time.Duration) {
	if s.Deadline < minStartDeadline {
		klog.InfoS("kept: start not sent, it would have no deadline", "id", s.Task.ID, "step", s.Task.Step, "index", s.Task.Index,
			"run", s.Run, "worker", ws.info.Load().ID, "shard", ws.shard)
		ws.vm.deliver(startReplyEvent{session: ws, task: s.Task, run: s.Run, reply: worker.Reply{Verdict: worker.Unavailable}})
		return
	}
	s.Token = ws.token
	ctx, cancel := context.WithTimeout(ctx, ws.orderTimeout())
	defer cancel()
	requestedAt := ws.vm.now()
	ws.recordStartDelay(s, requestedAt-decidedAt)
	r := ws.checkIncarnation(ws.vm.config.Workers.Start(ctx, *ws.info.Load(), s))
	ws.recordClock(requestedAt, r)
	ws.recordOrder(ws.vm.now()-requestedAt, r)
	ws.vm.deliver(startReplyEvent{session: ws, task: s.Task, run: s.Run, reply: r})
}

// stop sends an order to end a run and posts the worker's reply.
func (ws *workerSession) stop(ctx context.Context, s worker.Stop) {
	s.Token = ws.token
	send := func(ctx context.Context) worker.Reply {
		requestedAt := ws.vm.now()
		r := ws.checkIncarnation(ws.vm.config.Workers.Stop(ctx, *ws.info.Load(), s))
		ws.recordClock(requestedAt, r)
		return r
	}
	var r worker.Reply
	if ws.repeatsOrders() {
		var answered bool
		if r, answered = ws.stopRepeatedly(ctx, s, send); !answered {
			return
		}
	} else {
		ctx, cancel := context.WithTimeout(ctx, ws.orderTimeout())
		defer cancel()
		r = send(ctx)
	}
	ws.vm.deliver(stopReplyEvent{session: ws, task: s.Task, run: s.Run, reply: r})
}
