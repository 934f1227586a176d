package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// Control takes the messages of other entry VMs' membership and distribution.
type Control interface {
	// Exchanged takes one batch. It must not block.
	HandleExchange(m *pb.ExchangeRequest)
	// LastList is the newest list of VMs, empty before there is one.
	LastList() *pb.ListVMsResponse
	// LastPlan is the power plan in force, empty before there is one.
	LastPlan() *pb.LastPlanResponse
}

// exchangeQueueSize bounds the messages that wait for one peer. Heartbeats of that
// many beats would be of no use any more.
const exchangeQueueSize = 64

// Exchange sends control messages to other entry VMs. Messages to one peer go
// out in batches, one call at a time, on a connection that nothing else uses: a
// peer that is silent delays nobody else, and a call that fails may leave the
// connection without breaking a forwarded request. What cannot be sent is lost.
type Exchange struct {
	settings Settings
	dial     Dial
	sender   Identity
	domain   string

	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu       sync.Mutex
	outboxes map[string]*outbox // by address
}

// outbox is what waits for one peer.
type outbox struct {
	waiting *ring.Ring[*pb.ControlMessage]
	cancel  context.CancelFunc
}

// NewExchange returns an Exchange of an entry VM in a failure domain.
func NewExchange(s Settings, dial Dial, sender Identity, domain string) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{
		settings: s,
		dial:     dial,
		sender:   sender,
		domain:   domain,
		ctx:      ctx,
		cancel:   cancel,
		outboxes: make(map[string]*outbox),
	}
}

// Send queues messages to the entry VM at an address.
func (e *Exchange) Send(address string, messages ...*pb.ControlMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	out := e.outboxes[address]
	if out == nil {
		out = e.startSender(address)
	}
	out.waiting.TryPush(messages...)
}

// open starts the duty that sends to an address. The caller holds the lock.
func (e *Exchange) startSender(address string) *outbox {
	ctx, cancel := context.WithCancel(e.ctx)
	out := &outbox{waiting: ring.New[*pb.ControlMessage](exchangeQueueSize), cancel: cancel}
	e.outboxes[address] = out
	e.senders.Go(func() { e.runSender(ctx, address, out) })
	return out
}

// Keep ends the sending to all addresses that are not wanted any more.
func (e *Exchange) RetainOnly(wanted map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, out := range e.outboxes {
		if !wanted[address] {
			out.cancel()
			delete(e.outboxes, address)
		}
	}
}

// Stop ends all sending.
func (e *Exchange) Stop() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.senders.Wait()
}

func (e *Exchange) runSender(ctx context.Context, address string, out *outbox) {
	client := e.dial.client()
	defer func() { client.CloseAll() }()
	service := e.dial.service(client, address)
	for {
		select {
		case <-ctx.Done():
			return
		case <-out.waiting.Ready():
		}
		messages := out.waiting.Drain()
		if len(messages) == 0 || e.post(ctx, service, messages) {
			continue
		}
		// The connection may be silent for good: the next batch gets a new one.
		client.CloseAll()
		client = e.dial.client()
		service = e.dial.service(client, address)
		pause.For(ctx, e.settings.RedialDelay)
	}
}

// post sends one batch and reports whether it arrived.
func (e *Exchange) post(ctx context.Context, service pumiceyardv1connect.PeerServiceClient, messages []*pb.ControlMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, e.settings.SilenceTimeout)
	defer cancel()
	req := &pb.ExchangeRequest{EntryVm: e.sender.Name, Domain: e.domain, Messages: messages}
	_, err := service.Exchange(ctx, connect.NewRequest(req))
	return err == nil
}

// LastList asks the entry VM at an address for its list of VMs.
func (c *Calls) LastList(ctx context.Context, address string) (*pb.ListVMsResponse, error) {
	return unary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.ListVMsResponse], error) {
		return s.LastList(ctx, connect.NewRequest(&pb.LastListRequest{}))
	})
}

// Exchange implements the service.
func (s *Server) Exchange(_ context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	s.control.HandleExchange(req.Msg)
	return connect.NewResponse(&pb.ExchangeResponse{}), nil
}

// LastList implements the service.
func (s *Server) LastList(context.Context, *connect.Request[pb.LastListRequest]) (*connect.Response[pb.ListVMsResponse], error) {
	return connect.NewResponse(s.control.LastList()), nil
}

// LastPlan asks the entry VM at an address for the power plan of its failure
// domain.
func (c *Calls) LastPlan(ctx context.Context, address string) (*pb.LastPlanResponse, error) {
	return unary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.LastPlanResponse], error) {
		return s.LastPlan(ctx, connect.NewRequest(&pb.LastPlanRequest{}))
	})
}

// LastPlan implements the service.
func (s *Server) LastPlan(context.Context, *connect.Request[pb.LastPlanRequest]) (*connect.Response[pb.LastPlanResponse], error) {
	return connect.NewResponse(s.control.LastPlan()), nil
}
