package vm

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
)

// peerCalls relays calls of the store through peers. It implements relay.Peers.
type peerCalls struct {
	mu           sync.Mutex
	links        map[string]*link.Link         // by peer
	reachesStore map[string]bool               // by peer: it says that the store answers it
	seq          uint64                        // of the last call
	waiting      map[uint64]chan *pb.KeptReply // calls in flight, by their seq
	nextPeer     int                           // counts up, to spread calls over the peers
}

func newPeerCalls() *peerCalls {
	return &peerCalls{
		links:        make(map[string]*link.Link),
		reachesStore: make(map[string]bool),
		waiting:      make(map[uint64]chan *pb.KeptReply),
	}
}

// AnyReachesStore implements relay.Peers.
func (p *peerCalls) AnyReachesStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, ok := range p.reachesStore {
		if ok && p.links[name] != nil {
			return true
		}
	}
	return false
}

// Do implements relay.Transport.
func (p *peerCalls) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	l, seq, answer := p.register()
	if l == nil {
		return relay.Reply{}, relay.ErrNotSent
	}
	defer p.unregister(seq)
	timeLeft := c.Wait
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	call := &pb.KeptCall{Seq: seq, Method: c.Method, Target: c.Target, Body: c.Body, WaitNs: int64(timeLeft)}
	if !l.Send(&pb.KeptFrame{Calls: []*pb.KeptCall{call}}) {
		return relay.Reply{}, relay.ErrNotSent
	}
	select {
	case <-ctx.Done():
		return relay.Reply{}, ctx.Err()
	case r := <-answer:
		if r.Error != "" {
			return relay.Reply{}, errors.New(r.Error)
		}
		return relay.Reply{Status: int(r.Status), Body: r.Body}, nil
	}
}

// register assigns a call to one of the peers that reach the store; the link is nil if there is none.
func (p *peerCalls) register() (*link.Link, uint64, chan *pb.KeptReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*link.Link
	for name, ok := range p.reachesStore {
		if l := p.links[name]; ok && l != nil {
			candidates = append(candidates, l)
		}
	}
	if len(candidates) == 0 {
		return nil, 0, nil
	}
	p.nextPeer++
	p.seq++
	answer := make(chan *pb.KeptReply, 1)
	p.waiting[p.seq] = answer
	return candidates[p.nextPeer%len(candidates)], p.seq, answer
}

// unregister ends the wait for a reply.
func (p *peerCalls) unregister(seq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, seq)
}

// deliver hands a reply to the call that waits for it, if any.
func (p *peerCalls) deliver(r *pb.KeptReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.waiting[r.Seq]; answer != nil {
		answer <- r
		delete(p.waiting, r.Seq)
	}
}

// setLink sets the link to a peer; nil removes the peer.
func (p *peerCalls) setLink(name string, l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l == nil {
		delete(p.links, name)
		delete(p.reachesStore, name)
		return
	}
	p.links[name] = l
}

// setReachesStore records whether a peer says that the store answers it.
func (p *peerCalls) setReachesStore(name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachesStore[name] = ok
}

// serveRelayedCall calls the store for a peer. It never relays the call through another peer, as
// calls could then go round in circles.
func (v *VM) serveRelayedCall(ctx context.Context, c *pb.KeptCall) *pb.KeptReply {
	wait := min(time.Duration(c.WaitNs), maxRelayedWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := v.router.DoDirect(ctx, relay.Call{Method: c.Method, Target: c.Target, Body: c.Body, Wait: wait})
	out := &pb.KeptReply{Seq: c.Seq, Status: int32(r.Status), Body: r.Body}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// maxRelayedWait limits how long a relayed call may take, whatever the peer asks for.
const maxRelayedWait = 5 * time.Second
