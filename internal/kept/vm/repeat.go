package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// A stop or a listing may be repeated before its time-out is over: of several that are lost or late independently,
// one is answered soon.
const (
	maxCalls       = 4 // of an order
	minRepeatDelay = 10 * time.Millisecond
	// maxRepeatedCalls bounds the repeated calls to one worker that are under way: a worker that answers none of so
	// many does not answer the next one sooner.
	maxRepeatedCalls = 32
)

// repetitions are the orders to one worker that are being repeated.
type repetitions struct {
	calls          atomic.Int32 // repeated calls that are under way
	listingsWanted atomic.Int32 // since the listing under way began, with that one; 0: none is under way
	stops          sync.Map     // the worker.Stop that are under way
}

// repeatsOrders reports whether the session repeats stops and listings that have no answer.
func (ws *workerSession) repeatsOrders() bool { return ws.vm.config.Policy.RepeatOrders }

// listRepeatedly asks the worker for a listing without waiting for the end of a run. While one is under way, further
// requests are served by the next one, which leaves after them.
func (ws *workerSession) listRepeatedly(ctx context.Context) {
	if ws.repetitions.listingsWanted.Add(1) > 1 {
		return
	}
	for ctx.Err() == nil {
		wanted := ws.repetitions.listingsWanted.Load()
		ws.listOnce(ctx)
		if ws.repetitions.listingsWanted.CompareAndSwap(wanted, 0) {
			return
		}
	}
}

// listOnce asks for a listing, with repetitions, and posts those that come.
func (ws *workerSession) listOnce(ctx context.Context) {
	var made atomic.Int32
	last := ws.repeat(ctx, func(ctx context.Context) worker.Reply {
		requestedAt := ws.vm.now()
		repeated := made.Add(1) > 1
		listing, reply := ws.hold(ctx, requestedAt, ws.holdOrder(requestedAt, 0, repeated || ws.unanswered.Load()))
		if reply.Verdict == worker.Accepted {
			ws.vm.post(listingEvent{session: ws, requestedAt: requestedAt, listing: listing})
		}
		return reply
	})
	if ctx.Err() == nil {
		ws.unanswered.Store(last.Verdict == worker.NoAnswer)
	}
}

// stopRepeatedly makes the calls of a stop. answered is false if the same stop is under way already, which has its
// own reply.
func (ws *workerSession) stopRepeatedly(ctx context.Context, s worker.Stop, send func(context.Context) worker.Reply) (r worker.Reply, answered bool) {
	if _, underWay := ws.repetitions.stops.LoadOrStore(s, nil); underWay {
		return worker.Reply{}, false
	}
	defer ws.repetitions.stops.Delete(s)
	return ws.repeat(ctx, send), true
}

// repeat makes a call that may be repeated, and returns the first answer. While there is none, it makes the call again
// after repeatDelay, then after twice as long each time, maxCalls times in all. Repetitions beyond maxRepeatedCalls are
// left out.
func (ws *workerSession) repeat(ctx context.Context, call func(context.Context) worker.Reply) worker.Reply {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	answers := make(chan worker.Reply, maxCalls)
	calls.Go(func() { answers <- ws.timedCall(ctx, call) })
	delay := ws.repeatDelay()
	next := time.NewTimer(delay)
	defer next.Stop()
	for due, unanswered := 1, 0; ; {
		select {
		case <-next.C:
			ws.repeatOnce(ctx, &calls, answers, call)
			if due++; due < maxCalls {
				delay *= 2
				next.Reset(delay)
			}
		case r := <-answers:
			unanswered++
			if r.Verdict != worker.NoAnswer || unanswered == maxCalls || ctx.Err() != nil {
				return r
			}
		}
	}
}

// repeatOnce makes a repeated call. One that is left out counts as one without an answer.
func (ws *workerSession) repeatOnce(ctx context.Context, calls *sync.WaitGroup, answers chan<- worker.Reply, call func(context.Context) worker.Reply) {
	if ws.repetitions.calls.Add(1) > maxRepeatedCalls {
		ws.repetitions.calls.Add(-1)
		answers <- worker.Reply{Verdict: worker.NoAnswer}
		return
	}
	ws.vm.metrics.ordersRepeated.Inc(1)
	calls.Go(func() {
		defer ws.repetitions.calls.Add(-1)
		answers <- ws.timedCall(ctx, call)
	})
}

// timedCall makes a call with the time-out of an order, and records how long it took.
func (ws *workerSession) timedCall(ctx context.Context, call func(context.Context) worker.Reply) worker.Reply {
	attempt, cancel := context.WithTimeout(ctx, ws.orderTimeout())
	defer cancel()
	requestedAt := ws.vm.now()
	r := call(attempt)
	if ctx.Err() == nil {
		ws.recordOrder(ws.vm.now()-requestedAt, r)
	}
	return r
}

// repeatDelay returns after which time a call is repeated that has no answer yet.
func (ws *workerSession) repeatDelay() time.Duration {
	slowest := max(ws.orderRTT.Load(), ws.vm.orderRTT.Load())
	return min(max(orderTimeoutFactor*time.Duration(slowest), minRepeatDelay), maxOrderTimeout)
}
