package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Times of the talk with a worker.
const (
	// Renewals of a lease of a second: two of them may get lost before it is over.
	renewWait       = 250 * time.Millisecond
	renewTimeout    = 150 * time.Millisecond // for the answer, beyond the wait
	renewRetryDelay = 30 * time.Millisecond  // after one without an answer
	ackPollInterval = 5 * time.Millisecond   // between looks whether ends are acknowledged
	maxAckPolls     = 4                      // then the hold goes on without: it renews the lease
	// An order waits for its answer for some times as long as they usually take, within
	// bounds. A sound worker answers in a millisecond, one in another region in 40; a VM whose
	// processor is held back for a tenth of a second measures that too. What has no answer is
	// asked for and made void, which takes some milliseconds: the sooner it begins, the more
	// can still be done in time elsewhere.
	orderTimeoutFactor = 10
	minOrderTimeout    = 45 * time.Millisecond
	maxOrderTimeout    = 150 * time.Millisecond
	// Where the answers of all workers take long, it is this VM's own link or processor that is
	// full. An order given up then is asked for, made void and sent again, each on a new
	// connection: that fills the link further, and sound workers pass for silent.
	maxBusyOrderTimeout = 800 * time.Millisecond
	rttWeight           = 8                      // of the usual time against a new one
	sharedRTTWeight     = 64                     // the same, over all workers
	startValidFor       = 700 * time.Millisecond // on the worker's clock: a start that comes later is refused
	maxClockDrift       = 0.02                   // most by which a worker's clock is slow
)

// workerSession speaks to one worker for as long as its shard is held.
type workerSession struct {
	vm           *VM
	shard        string
	info         atomic.Pointer[worker.Info]
	born         atomic.Int64 // of the incarnation that it speaks to; 0: not known
	token        uint64
	ackedEnd     atomic.Uint64
	acked        chan struct{}
	extendLeases *atomic.Bool // whether leases may be extended
	unanswered   atomic.Bool  // the newest call had no answer
	orderRTT     atomic.Int64 // how long answers to orders usually take, in nanoseconds
	cancel       context.CancelFunc

	mu              sync.Mutex
	lastClock       time.Duration // the worker's, at the time below; 0: it never answered
	clockSentAt     time.Duration // when the call left that brought it
	clockReceivedAt time.Duration // when its answer came
	maxDeadline     time.Duration // highest that was sent, on the worker's clock
}

func startSession(ctx context.Context, v *VM, shard string, info worker.Info, token uint64, extend *atomic.Bool) *workerSession {
	ctx, cancel := context.WithCancel(ctx)
	h := &workerSession{vm: v, shard: shard, token: token, extendLeases: extend, cancel: cancel, acked: make(chan struct{}, 1)}
	h.info.Store(&info)
	h.born.Store(info.Born)
	v.spawn(func() { h.run(ctx) })
	return h
}

// run renews the worker's lease and brings its ends, until ctx ends or another
// incarnation answers.
func (h *workerSession) run(ctx context.Context) {
	lapsed := false
	for ctx.Err() == nil {
		sent := h.vm.now()
		listing, reply := h.renew(ctx, renewWait)
		if ctx.Err() != nil {
			return
		}
		switch reply.Verdict {
		case worker.Accepted:
			lapsed = false
			h.vm.post(listingEvent{session: h, sent: sent, listing: listing})
			h.awaitAcks(ctx, listing)
			continue
		case worker.Fenced:
			h.vm.post(workerFencedEvent{session: h})
			pause.For(ctx, 4*renewRetryDelay)
			continue
		case worker.Replaced:
			h.vm.post(workerReplacedEvent{session: h, successor: reply.Successor})
			return
		}
		if over, certain := h.leaseExpired(h.vm.now()); certain && over && !lapsed {
			lapsed = true
			h.vm.post(leaseExpiredEvent{session: h})
		}
		pause.For(ctx, renewRetryDelay)
	}
}

// awaitAcks waits until the ends of a listing are acknowledged, within a bound: a
// hold that does not acknowledge them would come back at once with the same ends.
func (h *workerSession) awaitAcks(ctx context.Context, l worker.Listing) {
	if len(l.Ended) == 0 {
		return
	}
	last := l.Ended[len(l.Ended)-1].Seq
	for i := 0; i < maxAckPolls && h.ackedEnd.Load() < last; i++ {
		select {
		case <-ctx.Done():
			return
		case <-h.acked:
		case <-time.After(ackPollInterval):
		}
	}
}

// acknowledge has the next hold say that ends up to a number are taken note of.
func (h *workerSession) acknowledge(seen uint64) {
	h.ackedEnd.Store(seen)
	select {
	case h.acked <- struct{}{}:
	default:
	}
}

// look asks for a listing at once.
func (h *workerSession) listNow(ctx context.Context) {
	sent := h.vm.now()
	listing, reply := h.renew(ctx, 0)
	if reply.Verdict == worker.Accepted {
		h.vm.post(listingEvent{session: h, sent: sent, listing: listing})
	}
}

func (h *workerSession) renew(ctx context.Context, wait time.Duration) (worker.Listing, worker.Reply) {
	order := worker.Hold{Token: h.token, AckedEnd: h.ackedEnd.Load(), Wait: wait}
	sent := h.vm.now()
	now, known := h.latestClock(sent)
	silent := h.unanswered.Load()
	if !known || silent {
		order.Wait = 0 // the call is to learn the worker's clock, or that it is back
		// Its next incarnation may answer under the same ID, and number its ends anew: it would forget
		// those that it has not listed yet.
		order.AckedEnd = 0
	}
	// A worker that does not answer is asked, and its lease is not extended: it may hear the
	// calls though its answers are lost. Without it each new try puts off the time when the
	// lease is over, and what ran there starts nowhere else: on a played day what four dead
	// workers had waited for 4.5 s, until they left the list.
	if known && !silent && h.extendLeases.Load() {
		order.Deadline = now + h.vm.config.MaxLease
		h.recordDeadline(order.Deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, order.Wait+renewTimeout)
	defer cancel()
	listing, reply := h.vm.config.Orders.Hold(ctx, *h.info.Load(), order)
	reply = h.checkIncarnation(reply)
	h.unanswered.Store(reply.Verdict == worker.NoAnswer)
	h.recordClock(sent, reply)
	return listing, reply
}

// incarnation is the one that the session speaks to.
func (h *workerSession) incarnation() worker.Incarnation {
	return worker.Incarnation{ID: h.info.Load().ID, Born: h.born.Load()}
}

// identify tells an answer of another incarnation under the same ID. One of a later incarnation says
// that the session's has ended; one of an earlier incarnation, which comes late, says nothing.
func (h *workerSession) checkIncarnation(r worker.Reply) worker.Reply {
	if r.Born == 0 || h.born.CompareAndSwap(0, r.Born) {
		return r
	}
	switch born := h.born.Load(); {
	case r.Born > born:
		return worker.Reply{Verdict: worker.Replaced, Successor: worker.Incarnation{ID: h.info.Load().ID, Born: r.Born}}
	case r.Born < born:
		return worker.Reply{Verdict: worker.NoAnswer}
	default:
		return r
	}
}

// latestClock is the highest that the worker's clock can show.
func (h *workerSession) latestClock(now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastClock == 0 {
		return 0, false
	}
	return h.lastClock + now - h.clockSentAt, true
}

func (h *workerSession) recordDeadline(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxDeadline = max(h.maxDeadline, d)
}

func (h *workerSession) recordClock(sent time.Duration, r worker.Reply) {
	if r.Clock == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastClock == 0 {
		// An earlier holder may have extended the lease until this call fenced it.
		h.maxDeadline = max(h.maxDeadline, r.Clock+h.vm.config.MaxLease)
	}
	if r.Clock > h.lastClock {
		h.lastClock = r.Clock
		h.clockSentAt = sent
		h.clockReceivedAt = h.vm.now()
	}
}

// leaseExpired reports whether the worker's lease has run out for certain, though its
// clock may be slow. It is not certain at all if the worker never answered.
func (h *workerSession) leaseExpired(now time.Duration) (over, certain bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastClock == 0 {
		return false, false
	}
	least := h.lastClock + time.Duration(float64(now-h.clockReceivedAt)*(1-maxClockDrift))
	return least > h.maxDeadline, true
}

// startDeadline is until when the worker may carry out a start that leaves now.
func (h *workerSession) startDeadline() time.Duration {
	now, known := h.latestClock(h.vm.now())
	if !known {
		return 0
	}
	d := now + startValidFor
	h.recordDeadline(d)
	return d
}

// orderTimeout is for how long an order waits for its answer.
func (h *workerSession) orderTimeout() time.Duration {
	own := min(orderTimeoutFactor*time.Duration(h.orderRTT.Load()), maxOrderTimeout)
	all := min(orderTimeoutFactor*time.Duration(h.vm.orderRTT.Load()), maxBusyOrderTimeout)
	return max(own, all, minOrderTimeout)
}

// recordRTT takes how long the answer to an order took; one that did not come counts as long as
// it was waited for. Where answers take longer than the wait, as the VM's own processor is
// busy, the wait would never grow otherwise, and each start would be made void and repeated.
func (h *workerSession) recordRTT(took time.Duration) {
	updateAverage(&h.orderRTT, took, rttWeight)
}

// recordOrder takes how long an order took. Over all workers only answers count: a tenth of the
// workers that have just died would draw the wait of all orders to its bound otherwise.
func (h *workerSession) recordOrder(took time.Duration, r worker.Reply) {
	h.recordRTT(took)
	if r.Verdict != worker.NoAnswer {
		updateAverage(&h.vm.orderRTT, took, sharedRTTWeight)
	}
}

// follow moves a usual time towards a new one. Of two at once one may get lost.
func updateAverage(usual *atomic.Int64, took time.Duration, weight int64) {
	before := usual.Load()
	usual.Store(before + (int64(took)-before)/weight)
}

func (h *workerSession) start(ctx context.Context, s worker.Start) {
	s.Token = h.token
	s.Deadline = h.startDeadline()
	ctx, cancel := context.WithTimeout(ctx, h.orderTimeout())
	defer cancel()
	sent := h.vm.now()
	r := h.checkIncarnation(h.vm.config.Orders.Start(ctx, *h.info.Load(), s))
	h.recordClock(sent, r)
	h.recordOrder(h.vm.now()-sent, r)
	h.vm.post(startReplyEvent{session: h, task: s.Task, run: s.Run, reply: r})
}

func (h *workerSession) stop(ctx context.Context, s worker.Stop) {
	s.Token = h.token
	ctx, cancel := context.WithTimeout(ctx, h.orderTimeout())
	defer cancel()
	sent := h.vm.now()
	r := h.checkIncarnation(h.vm.config.Orders.Stop(ctx, *h.info.Load(), s))
	h.recordClock(sent, r)
	h.vm.post(stopReplyEvent{session: h, task: s.Task, run: s.Run, reply: r})
}
