// Package relay makes calls of the platform's store, directly or through a peer, which is
// another entry VM.
//
// The store may refuse some entry VMs while it serves others. A VM that is refused would
// lose its key, its shards and all new submissions; through a peer it goes on working.
// If the answer of one attempt is lost, the call may be carried out twice. This does no
// harm, as all changes are conditional.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Call is one call of the store, as an HTTP request.
type Call struct {
	Method string
	Target string // path and query
	Body   []byte
	Wait   time.Duration // that the call asks the store to wait for a change, as in a watch
}

// Reply is the store's answer to a Call.
type Reply struct {
	Status int
	Body   []byte
}

// Unavailable reports whether the store refused to serve the caller for now. Such a call was
// not carried out.
func (r Reply) Unavailable() bool { return r.Status == 503 || r.Status == 429 }

// Transport makes calls.
type Transport interface {
	Do(ctx context.Context, c Call) (Reply, error)
}

// Peers makes calls through other entry VMs.
type Peers interface {
	Transport
	// AnyReachesStore reports whether at least one peer says that the store answers its direct calls.
	AnyReachesStore() bool
}

// Times of a Router.
const (
	directTimeout  = 450 * time.Millisecond  // of a direct call; a store 60 times slower than usual answers in 250 ms
	peerTimeout    = 600 * time.Millisecond  // of a call through a peer, with the hop to the peer
	probeInterval  = 700 * time.Millisecond  // between direct calls that probe the store while calls go through peers
	answerValidity = 2500 * time.Millisecond // after a direct answer, how long the store counts as reached
	downThreshold  = 500 * time.Millisecond  // without any answer, after which the store counts as down
)

// ErrNotSent is the error of a call that was not sent, as there is no peer to send it to.
var ErrNotSent = errors.New("no peer reaches the store")

var errUnreachable = errors.New("neither the store nor a peer that reaches it answers")

// Router makes each call directly or through a peer, whichever works. It is safe for concurrent use.
type Router struct {
	direct Transport
	peers  Peers
	now    func() time.Duration

	mu                 sync.Mutex
	viaPeers           bool
	directFailingSince time.Duration // 0: direct calls do not fail
	probedAt           time.Duration // last direct call while calls go through peers
	directAnsweredAt   time.Duration // last answered direct call
	answeredAt         time.Duration // last answered call
	unansweredAt       time.Duration // last call that neither the store nor a peer answered
	unansweredSince    time.Duration // first such call since an answered one; 0: none
	observe            func(answered bool)
}

// SetCallObserver sets a function that is called after each call with whether the store or a peer answered
// it. It must be set before the first call.
func (r *Router) SetCallObserver(observe func(answered bool)) { r.observe = observe }

// New returns a router that makes direct calls until one fails.
func New(direct Transport, peers Peers, now func() time.Duration) *Router {
	return &Router{direct: direct, peers: peers, now: now}
}

// DoDirect makes a direct call on behalf of a peer.
func (r *Router) DoDirect(ctx context.Context, c Call) (Reply, error) {
	return r.tryDirect(ctx, c)
}

// ReachesStore reports whether the store answers direct calls.
func (r *Router) ReachesStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directFailingSince == 0 && r.directAnsweredAt > 0 && r.now()-r.directAnsweredAt < answerValidity
}

// Down reports whether calls have failed both directly and through peers for longer than downThreshold.
func (r *Router) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unansweredSince > 0 && r.now()-r.unansweredSince > downThreshold
}

// LastCalls holds the times of the last answered call, and of the last one that neither the store nor a peer
// answered; 0: never. A refusal (Reply.Unavailable) does not count as an answer.
type LastCalls struct{ AnsweredAt, UnansweredAt time.Duration }

// LastCalls returns the times of the last answered and unanswered calls.
func (r *Router) LastCalls() LastCalls {
	r.mu.Lock()
	defer r.mu.Unlock()
	return LastCalls{AnsweredAt: r.answeredAt, UnansweredAt: r.unansweredAt}
}

// Do makes a call. An Unavailable reply means that the call was not carried out, so it is returned only if
// each attempt was refused: a call that is refused directly may have been carried out by a peer
// whose answer was lost, or the other way round.
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

// inDoubtError returns err if it is from an attempt that may have been carried out, otherwise earlier.
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

// startsAtPeer reports whether to try a peer before the store. It is so while direct calls fail, except for
// a probe of the store every probeInterval. Calls that wait for changes are not used as probes, as their
// answers come late.
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
		return rep, err // cancelled by the caller, which says nothing about the store
	}
	r.recordDirect(err == nil && !rep.Unavailable(), rep, err)
	return rep, err
}

// recordDirect records whether a direct call was answered, and switches to peers or back.
func (r *Router) recordDirect(ok bool, rep Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if ok {
		r.directAnsweredAt = now
		if r.viaPeers {
			klog.InfoS("kept: direct store calls succeed again", "after", now-r.directFailingSince)
		}
		r.directFailingSince = 0
		r.viaPeers = false
		return
	}
	if r.directFailingSince == 0 {
		r.directFailingSince = now
		klog.InfoS("kept: direct store calls fail", "status", rep.Status, "why", err)
	}
	if !r.viaPeers {
		r.viaPeers = true
		r.probedAt = now
		klog.InfoS("kept: sending store calls through peers", "a_peer_reaches_it", r.peers.AnyReachesStore())
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
