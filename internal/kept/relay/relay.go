// Package relay carries calls of the platform's store, directly or through a
// peer.
//
// The store may turn some entry VMs away while it serves the others. A VM that is
// turned away would lose its key, its shards and all new submissions; through a
// peer it works on. A call through a peer may be made twice when its first answer
// is lost: all changes are conditional, so that does no harm.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Call is one call of the store, as its protocol spells it.
type Call struct {
	Method string
	Target string // path and query
	Body   []byte
	Wait   time.Duration // that the store may take by the call's own words, as in a watch
}

// Reply is the answer.
type Reply struct {
	Status int
	Body   []byte
}

// Unavailable reports whether the store answered that it does not serve the caller
// now. Nothing was done.
func (r Reply) Unavailable() bool { return r.Status == 503 || r.Status == 429 }

// Transport makes calls.
type Transport interface {
	Do(ctx context.Context, c Call) (Reply, error)
}

// Peers makes calls through other entry VMs.
type Peers interface {
	Transport
	// Reach reports whether a peer says that the store answers it.
	AnyReachesStore() bool
}

// Times of a Router.
const (
	directTimeout  = 450 * time.Millisecond  // a store 60 times slower than usual answers in 250 ms
	peerTimeout    = 600 * time.Millisecond  // with the hop to the peer
	probeInterval  = 700 * time.Millisecond  // of the direct way, while calls go through peers
	answerValidity = 2500 * time.Millisecond // an answer says for so long that the store is reached
	downThreshold  = 500 * time.Millisecond  // failures all the while say that it is not
)

// ErrNotSent says that a call has not left: there is no peer to send it to.
var ErrNotSent = errors.New("no peer reaches the store")

var errUnreachable = errors.New("neither the store nor a peer that reaches it answers")

// Router picks the way for each call. It is safe for concurrent use.
type Router struct {
	direct Transport
	peers  Peers
	now    func() time.Duration

	mu                 sync.Mutex
	viaPeers           bool
	directFailingSince time.Duration // since when direct calls fail; 0: they do not
	probedAt           time.Duration
	directAnsweredAt   time.Duration // when a direct call was answered last
	answeredAt         time.Duration // when any call was answered last
	unansweredAt       time.Duration // when a call was last answered on neither way
	unansweredSince    time.Duration // since when no call is answered either way; 0: not so
	observe            func(answered bool)
}

// Count has each call counted by whether it was answered, on either way. It is to be
// set before the first call.
func (r *Router) SetCallObserver(count func(answered bool)) { r.observe = count }

// New returns a router that begins with the direct way.
func New(direct Transport, peers Peers, now func() time.Duration) *Router {
	return &Router{direct: direct, peers: peers, now: now}
}

// Direct makes a call on the direct way only, for a peer.
func (r *Router) DoDirect(ctx context.Context, c Call) (Reply, error) {
	return r.tryDirect(ctx, c)
}

// ReachesStore reports whether direct calls are answered.
func (r *Router) ReachesStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directFailingSince == 0 && r.directAnsweredAt > 0 && r.now()-r.directAnsweredAt < answerValidity
}

// Down reports whether calls have failed on both ways for a while.
func (r *Router) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unansweredSince > 0 && r.now()-r.unansweredSince > downThreshold
}

// Contact says when a call was last answered, and when one was last answered on neither way; 0: never.
type LastCalls struct{ AnsweredAt, UnansweredAt time.Duration }

// Contact returns how calls have fared so far.
func (r *Router) LastCalls() LastCalls {
	r.mu.Lock()
	defer r.mu.Unlock()
	return LastCalls{AnsweredAt: r.answeredAt, UnansweredAt: r.unansweredAt}
}

// Do makes a call. An answer that turns it away says that nothing was done, so it is
// returned only if no way was tried without an answer: a call that is turned away on one
// way may have been carried out on the other.
func (r *Router) Do(ctx context.Context, c Call) (Reply, error) {
	var unanswered error
	if r.startsAtPeer(c) {
		rep, err := r.tryPeer(ctx, c)
		if err == nil && !rep.Unavailable() {
			return r.recordAnswered(rep)
		}
		unanswered = inDoubtError(err, unanswered)
	}
	rep, err := r.tryDirect(ctx, c)
	if err == nil && !rep.Unavailable() {
		return r.recordAnswered(rep)
	}
	unanswered = inDoubtError(err, unanswered)
	if ctx.Err() == nil && r.peers.AnyReachesStore() {
		rep2, err2 := r.tryPeer(ctx, c)
		if err2 == nil && !rep2.Unavailable() {
			return r.recordAnswered(rep2)
		}
		unanswered = inDoubtError(err2, unanswered)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return Reply{}, ctx.Err()
	}
	r.recordUnanswered()
	if unanswered != nil {
		return Reply{}, unanswered
	}
	return rep, err
}

// inDoubtError returns the error of a try that may have been carried out, or the earlier one.
func inDoubtError(err, earlier error) error {
	if err == nil || errors.Is(err, ErrNotSent) {
		return earlier
	}
	return err
}

func (r *Router) recordAnswered(rep Reply) (Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = r.now()
	r.unansweredSince = 0
	if r.observe != nil {
		r.observe(true)
	}
	return rep, nil
}

func (r *Router) recordUnanswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.observe != nil {
		r.observe(false)
	}
	r.unansweredAt = r.now()
	if r.unansweredSince == 0 {
		r.unansweredSince = r.unansweredAt
	}
}

// startsAtPeer says which way to try first: a peer's while direct calls fail, but for a probe
// now and then. A call that waits is no probe: its answer would come late.
func (r *Router) startsAtPeer(c Call) bool {
	if !r.peers.AnyReachesStore() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.viaPeers {
		return false
	}
	now := r.now()
	if c.Wait == 0 && now-r.probedAt >= probeInterval {
		r.probedAt = now
		return false
	}
	return true
}

func (r *Router) tryDirect(ctx context.Context, c Call) (Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, directTimeout+c.Wait)
	defer cancel()
	rep, err := r.direct.Do(callCtx, c)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return rep, err // the caller has lost interest: that says nothing of the store
	}
	r.recordDirect(err == nil && !rep.Unavailable(), rep, err)
	return rep, err
}

// note keeps whether the direct way works.
func (r *Router) recordDirect(ok bool, rep Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if ok {
		r.directAnsweredAt = now
		if r.viaPeers {
			klog.InfoS("kept: the store answers again", "after", now-r.directFailingSince)
		}
		r.directFailingSince = 0
		r.viaPeers = false
		return
	}
	if r.directFailingSince == 0 {
		r.directFailingSince = now
		klog.InfoS("kept: the store does not answer", "status", rep.Status, "why", err)
	}
	if !r.viaPeers {
		r.viaPeers = true
		r.probedAt = now
		klog.InfoS("kept: calls of the store go through peers", "a_peer_reaches_it", r.peers.AnyReachesStore())
	}
}

func (r *Router) tryPeer(ctx context.Context, c Call) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+c.Wait)
	defer cancel()
	rep, err := r.peers.Do(ctx, c)
	if err == nil && rep.Status == 0 {
		return rep, errUnreachable
	}
	return rep, err
}
