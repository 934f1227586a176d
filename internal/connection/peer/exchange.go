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

// Control handles the control messages of other entry VMs: those of membership and
// of the distribution of the configuration.
type Control interface {
	// HandleExchange handles one batch of messages. It must not block.
	HandleExchange(m *pb.ExchangeRequest)
	// LastList returns the newest known list of VMs, empty before the first.
	LastList() *pb.ListVMsResponse
	// LastPlan returns the power plan in force, empty before the first.
	LastPlan() *pb.LastPlanResponse
}

// exchangeQueueSize is the maximum number of messages that wait for one peer. If that
// many heartbeats are queued, the oldest are too old to be of use.
const exchangeQueueSize = 64

// Exchange sends control messages to other entry VMs. Messages to one peer are sent
// in batches, one call at a time, on a connection that is used for nothing else. A
// silent peer therefore does not delay messages to other peers, and closing the
// connection after a failed call does not break a forwarded request. Messages that
// cannot be sent are dropped.
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

// outbox holds the messages that wait for one peer.
type outbox struct {
	queue  *ring.Ring[*pb.ControlMessage]
	cancel context.CancelFunc
}

// NewExchange returns the Exchange of an entry VM in a failure domain.
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

// Send queues messages for the entry VM at an address.
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
	out.queue.TryPush(messages...)
}

// startSender starts the goroutine that sends to an address. The caller holds mu.
func (e *Exchange) startSender(address string) *outbox {
	ctx, cancel := context.WithCancel(e.ctx)
	out := &outbox{queue: ring.New[*pb.ControlMessage](exchangeQueueSize), cancel: cancel}
	e.outboxes[address] = out
	e.senders.Go(func() { e.runSender(ctx, address, out) })
	return out
}

// RetainOnly stops sending to all addresses that are not wanted.
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

// Stop stops sending to all addresses.
func (e *Exchange) Stop() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.senders.Wait()
}

// runSender sends the messages for one address until ctx ends.
func (e *Exchange) runSender(ctx context.Context, address string, out *outbox) {
	client := e.dial.client()
	defer func() { client.CloseAll() }()
	service := e.dial.service(client, address)
	for {
		select {
		case <-ctx.Done():
			return
		case <-out.queue.Ready():
		}
		messages := out.queue.Drain()
		if len(messages) == 0 || e.sendBatch(ctx, service, messages) {
			continue
		}
		// The connection may be dead, so the next batch is sent on a new one.
		client.CloseAll()
		client = e.dial.client()
		service = e.dial.service(client, address)
		pause.For(ctx, e.settings.RedialDelay)
	}
}

// sendBatch sends one batch and reports whether it was answered.
func (e *Exchange) sendBatch(ctx context.Context, service pumiceyardv1connect.PeerServiceClient, messages []*pb.ControlMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, e.settings.SilenceTimeout)
	defer cancel()
	req := &pb.ExchangeRequest{EntryVm: e.sender.Name, Domain: e.domain, Messages: messages}
	_, err := service.Exchange(ctx, connect.NewRequest(req))
	return err == nil
}

// LastList asks the entry VM at an address for its list of VMs.
func (c *Calls) LastList(ctx context.Context, address string) (*pb.ListVMsResponse, error) {
	return callUnary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.ListVMsResponse], error) {
		return s.LastList(ctx, connect.NewRequest(&pb.LastListRequest{}))
	})
}

// Exchange implements PeerServiceHandler.
func (s *Server) Exchange(_ context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	s.control.HandleExchange(req.Msg)
	return connect.NewResponse(&pb.ExchangeResponse{}), nil
}

// LastList implements PeerServiceHandler.
func (s *Server) LastList(context.Context, *connect.Request[pb.LastListRequest]) (*connect.Response[pb.ListVMsResponse], error) {
	return connect.NewResponse(s.control.LastList()), nil
}

// LastPlan asks the entry VM at an address for the power plan of its failure
// domain.
func (c *Calls) LastPlan(ctx context.Context, address string) (*pb.LastPlanResponse, error) {
	return callUnary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.LastPlanResponse], error) {
		return s.LastPlan(ctx, connect.NewRequest(&pb.LastPlanRequest{}))
	})
}

// LastPlan implements PeerServiceHandler.
func (s *Server) LastPlan(context.Context, *connect.Request[pb.LastPlanRequest]) (*connect.Response[pb.LastPlanResponse], error) {
	return connect.NewResponse(s.control.LastPlan()), nil
}
