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

// peerCalls makes calls of the store through peers.
type peerCalls struct {
	mu      sync.Mutex
	links   map[string]*link.Link
	reaches map[string]bool // peers that say that the store answers them
	seq     uint64
	waiting map[uint64]chan *pb.KeptReply
	turn    int
}

func newPeerCalls() *peerCalls {
	return &peerCalls{
		links:   make(map[string]*link.Link),
		reaches: make(map[string]bool),
		waiting: make(map[uint64]chan *pb.KeptReply),
	}
}

// Reach implements relay.Peers.
func (p *peerCalls) AnyReachesStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, ok := range p.reaches {
		if ok && p.links[name] != nil {
			return true
		}
	}
	return false
}

// Do implements relay.Transport.
func (p *peerCalls) Do(ctx context.Context, c relay.Call) (relay.Reply, error) {
	l, seq, answer := p.open()
	if l == nil {
		return relay.Reply{}, relay.ErrNotSent
	}
	defer p.close(seq)
	left := c.Wait
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	call := &pb.KeptCall{Seq: seq, Method: c.Method, Target: c.Target, Body: c.Body, WaitNs: int64(left)}
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

// open picks a peer that reaches the store, in turn.
func (p *peerCalls) open() (*link.Link, uint64, chan *pb.KeptReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var able []*link.Link
	for name, ok := range p.reaches {
		if l := p.links[name]; ok && l != nil {
			able = append(able, l)
		}
	}
	if len(able) == 0 {
		return nil, 0, nil
	}
	p.turn++
	p.seq++
	answer := make(chan *pb.KeptReply, 1)
	p.waiting[p.seq] = answer
	return able[p.turn%len(able)], p.seq, answer
}

func (p *peerCalls) close(seq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, seq)
}

func (p *peerCalls) reply(r *pb.KeptReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.waiting[r.Seq]; answer != nil {
		answer <- r
		delete(p.waiting, r.Seq)
	}
}

func (p *peerCalls) set(name string, l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l == nil {
		delete(p.links, name)
		delete(p.reaches, name)
		return
	}
	p.links[name] = l
}

func (p *peerCalls) setReach(name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reaches[name] = ok
}

// answerCall makes a call for a peer, on the direct way only: a call that went
// from peer to peer could go round in circles.
func (v *VM) answerCall(ctx context.Context, c *pb.KeptCall) *pb.KeptReply {
	wait := min(time.Duration(c.WaitNs), maxRelayed)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := v.router.DoDirect(ctx, relay.Call{Method: c.Method, Target: c.Target, Body: c.Body, Wait: wait})
	out := &pb.KeptReply{Seq: c.Seq, Status: int32(r.Status), Body: r.Body}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// maxRelayed bounds what a peer may ask to wait for.
const maxRelayed = 5 * time.Second
