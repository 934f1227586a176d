// Package runhost carries orders to workers that take numbered runs, and serves them
// for a stand-in.
package runhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Client gives orders to workers, on one connection to each.
type Client struct {
	pool *wire.Pool[pumiceyardv1connect.RunHostServiceClient]
}

var _ worker.Client = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	open := func(address string) (*wire.Client, pumiceyardv1connect.RunHostServiceClient) {
		h := wire.NewClient(nil, nil)
		return h, pumiceyardv1connect.NewRunHostServiceClient(h, "http://"+address, wire.ClientOptions()...)
	}
	return &Client{pool: wire.NewPool(open)}
}

// Close drops all connections.
func (c *Client) Close() { c.pool.Close() }

var silent = worker.Reply{Verdict: worker.NoAnswer}

// call makes one call. A connection on which a call has no answer is left.
func call[R any](ctx context.Context, c *Client, address string, do func(pumiceyardv1connect.RunHostServiceClient) (*connect.Response[R], error)) (*R, bool) {
	conn := c.pool.Get(address)
	resp, err := do(conn.Service)
	if err != nil {
		c.pool.Discard(address, conn)
		return nil, false
	}
	return resp.Msg, true
}

func taskOf(r submission.TaskRef) *pb.RunTask {
	return &pb.RunTask{Id: string(r.ID), Step: uint32(r.Step), Index: uint32(r.Index)}
}

func refOf(t *pb.RunTask) submission.TaskRef {
	return submission.TaskRef{
		ID:   submission.ID(t.GetId()),
		Task: submission.Task{Step: int(t.GetStep()), Index: int(t.GetIndex())},
	}
}

func replyOf(r *pb.RunReply) worker.Reply {
	return worker.Reply{Verdict: worker.Verdict(r.GetVerdict()), Clock: time.Duration(r.GetClockNs())}
}

// Start implements worker.Orders.
func (c *Client) Start(ctx context.Context, to worker.Info, s worker.Start) worker.Reply {
	req := &pb.StartRunRequest{
		Worker:     to.ID,
		Task:       taskOf(s.Task),
		Run:        s.Run,
		Spec:       s.Spec,
		Checkpoint: s.Checkpoint,
		Token:      s.Token,
		DeadlineNs: int64(s.Deadline),
	}
	r, ok := call(ctx, c, to.Address, func(h pumiceyardv1connect.RunHostServiceClient) (*connect.Response[pb.RunReply], error) {
		return h.StartRun(ctx, connect.NewRequest(req))
	})
	if !ok {
		return silent
	}
	return replyOf(r)
}

// Stop implements worker.Orders.
func (c *Client) Stop(ctx context.Context, to worker.Info, s worker.Stop) worker.Reply {
	req := &pb.StopRunRequest{Worker: to.ID, Task: taskOf(s.Task), Run: s.Run, Token: s.Token}
	r, ok := call(ctx, c, to.Address, func(h pumiceyardv1connect.RunHostServiceClient) (*connect.Response[pb.RunReply], error) {
		return h.StopRun(ctx, connect.NewRequest(req))
	})
	if !ok {
		return silent
	}
	return replyOf(r)
}

// Hold implements worker.Orders.
func (c *Client) Hold(ctx context.Context, to worker.Info, h worker.Hold) (worker.Listing, worker.Reply) {
	req := &pb.HoldRunsRequest{Worker: to.ID, Token: h.Token, Seen: h.AckedEnd, DeadlineNs: int64(h.Deadline), WaitNs: int64(h.Wait)}
	r, ok := call(ctx, c, to.Address, func(s pumiceyardv1connect.RunHostServiceClient) (*connect.Response[pb.HoldRunsResponse], error) {
		return s.HoldRuns(ctx, connect.NewRequest(req))
	})
	if !ok {
		return worker.Listing{}, silent
	}
	reply := replyOf(r.Reply)
	reply.Born = r.BornUnixMillis
	l := worker.Listing{Clock: reply.Clock, Born: reply.Born}
	for _, run := range r.Running {
		l.Running = append(l.Running, worker.Running{Task: refOf(run.Task), Run: run.Run, Checkpoint: run.Checkpoint, Percent: int(run.Percent)})
	}
	for _, e := range r.Ended {
		l.Ended = append(l.Ended, worker.Ended{Seq: e.Number, Task: refOf(e.Task), Run: e.Run, Reason: worker.EndReason(e.How), Checkpoint: e.Checkpoint})
	}
	return l, reply
}

// Server serves one worker's address from any worker.Orders.
type Server struct {
	info   worker.Info
	orders worker.Client
	http   *http.Server
}

// NewServer returns a server for the worker at an address.
func NewServer(info worker.Info, orders worker.Client) *Server {
	s := &Server{info: info, orders: orders}
	mux := http.NewServeMux()
	mux.Handle(pumiceyardv1connect.NewRunHostServiceHandler(s, wire.HandlerOptions()...))
	s.http = wire.NewServer(mux, nil)
	return s
}

// Serve serves until Close.
func (s *Server) Serve(l net.Listener) error { return wire.Serve(s.http, l) }

// Close ends all connections.
func (s *Server) Close() error { return s.http.Close() }

// meant is the worker as the caller knows it.
func (s *Server) meant(id string) worker.Info {
	info := s.info
	info.ID = id
	return info
}

var errSilent = connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)

func answerOf(r worker.Reply) (*connect.Response[pb.RunReply], error) {
	if r.Verdict == worker.NoAnswer {
		return nil, errSilent
	}
	return connect.NewResponse(&pb.RunReply{Verdict: uint32(r.Verdict), ClockNs: int64(r.Clock)}), nil
}

// StartRun implements the service.
func (s *Server) StartRun(ctx context.Context, req *connect.Request[pb.StartRunRequest]) (*connect.Response[pb.RunReply], error) {
	m := req.Msg
	return answerOf(s.orders.Start(ctx, s.meant(m.Worker), worker.Start{
		Task:       refOf(m.Task),
		Run:        m.Run,
		Spec:       m.Spec,
		Checkpoint: m.Checkpoint,
		Token:      m.Token,
		Deadline:   time.Duration(m.DeadlineNs),
	}))
}

// StopRun implements the service.
func (s *Server) StopRun(ctx context.Context, req *connect.Request[pb.StopRunRequest]) (*connect.Response[pb.RunReply], error) {
	m := req.Msg
	return answerOf(s.orders.Stop(ctx, s.meant(m.Worker), worker.Stop{Task: refOf(m.Task), Run: m.Run, Token: m.Token}))
}

// HoldRuns implements the service.
func (s *Server) HoldRuns(ctx context.Context, req *connect.Request[pb.HoldRunsRequest]) (*connect.Response[pb.HoldRunsResponse], error) {
	m := req.Msg
	l, r := s.orders.Hold(ctx, s.meant(m.Worker), worker.Hold{
		Token:    m.Token,
		AckedEnd: m.Seen,
		Deadline: time.Duration(m.DeadlineNs),
		Wait:     time.Duration(m.WaitNs),
	})
	if r.Verdict == worker.NoAnswer {
		return nil, errSilent
	}
	out := &pb.HoldRunsResponse{Reply: &pb.RunReply{Verdict: uint32(r.Verdict), ClockNs: int64(r.Clock)}, BornUnixMillis: r.Born}
	for _, run := range l.Running {
		out.Running = append(out.Running, &pb.ListedRun{Task: taskOf(run.Task), Run: run.Run, Checkpoint: run.Checkpoint, Percent: uint32(run.Percent)})
	}
	for _, e := range l.Ended {
		out.Ended = append(out.Ended, &pb.EndedRun{Number: e.Seq, Task: taskOf(e.Task), Run: e.Run, How: uint32(e.Reason), Checkpoint: e.Checkpoint})
	}
	return connect.NewResponse(out), nil
}
