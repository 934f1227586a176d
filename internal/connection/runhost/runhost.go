// Package runhost is the Connect interface to workers that run tasks as numbered runs:
// the client that starts and stops runs on workers, and the server for simulated
// workers.
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

// Client calls workers, on one connection per address.
type Client struct {
	pool *wire.Pool[pumiceyardv1connect.RunHostServiceClient]
}

var _ worker.Client = (*Client)(nil)

// NewClient returns a client. Connections are opened by the first calls.
func NewClient() *Client {
	open := func(address string) (*wire.Client, pumiceyardv1connect.RunHostServiceClient) {
		h := wire.NewClient(nil, nil)
		return h, pumiceyardv1connect.NewRunHostServiceClient(h, "http://"+address, wire.ClientOptions()...)
	}
	return &Client{pool: wire.NewPool(open)}
}

// Close closes all connections of the client.
func (c *Client) Close() { c.pool.Close() }

// noAnswer is the reply to a call that failed.
var noAnswer = worker.Reply{Verdict: worker.NoAnswer}

// call makes one call. If it is not answered, call closes its connection and returns
// false.
func call[R any](ctx context.Context, c *Client, address string, do func(pumiceyardv1connect.RunHostServiceClient) (*connect.Response[R], error)) (*R, bool) {
	conn := c.pool.Get(address)
	resp, err := do(conn.Service)
	if err != nil {
		c.pool.Discard(address, conn)
		return nil, false
	}
	return resp.Msg, true
}

func taskMessage(r submission.TaskRef) *pb.RunTask {
	return &pb.RunTask{Id: string(r.ID), Step: uint32(r.Step), Index: uint32(r.Index)}
}

func taskRef(t *pb.RunTask) submission.TaskRef {
	return submission.TaskRef{
		ID:   submission.ID(t.GetId()),
		Task: submission.Task{Step: int(t.GetStep()), Index: int(t.GetIndex())},
	}
}

func workerReply(r *pb.RunReply) worker.Reply {
	return worker.Reply{Verdict: worker.Verdict(r.GetVerdict()), Clock: time.Duration(r.GetClockNs())}
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, to worker.Info, s worker.Start) worker.Reply {
	req := &pb.StartRunRequest{
		Worker:     to.ID,
		Task:       taskMessage(s.Task),
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
		return noAnswer
	}
	return workerReply(r)
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, to worker.Info, s worker.Stop) worker.Reply {
	req := &pb.StopRunRequest{Worker: to.ID, Task: taskMessage(s.Task), Run: s.Run, Token: s.Token}
	r, ok := call(ctx, c, to.Address, func(h pumiceyardv1connect.RunHostServiceClient) (*connect.Response[pb.RunReply], error) {
		return h.StopRun(ctx, connect.NewRequest(req))
	})
	if !ok {
		return noAnswer
	}
	return workerReply(r)
}

// Hold implements worker.Client.
func (c *Client) Hold(ctx context.Context, to worker.Info, h worker.Hold) (worker.Listing, worker.Reply) {
	req := &pb.HoldRunsRequest{Worker: to.ID, Token: h.Token, Seen: h.AckedEnd, DeadlineNs: int64(h.Deadline), WaitNs: int64(h.Wait)}
	r, ok := call(ctx, c, to.Address, func(s pumiceyardv1connect.RunHostServiceClient) (*connect.Response[pb.HoldRunsResponse], error) {
		return s.HoldRuns(ctx, connect.NewRequest(req))
	})
	if !ok {
		return worker.Listing{}, noAnswer
	}
	reply := workerReply(r.Reply)
	reply.Born = r.BornUnixMillis
	l := worker.Listing{Clock: reply.Clock, Born: reply.Born, MoreEnded: r.MoreEnded}
	for _, run := range r.Running {
		l.Running = append(l.Running, worker.Running{Task: taskRef(run.Task), Run: run.Run, Checkpoint: run.Checkpoint, Percent: int(run.Percent)})
	}
	for _, e := range r.Ended {
		l.Ended = append(l.Ended, worker.Ended{Seq: e.Number, Task: taskRef(e.Task), Run: e.Run, Reason: worker.EndReason(e.How), Checkpoint: e.Checkpoint})
	}
	return l, reply
}

// Server serves the interface of the worker at one address by calling a
// worker.Client.
type Server struct {
	info   worker.Info
	client worker.Client
	http   *http.Server
}

// NewServer returns a server that passes requests to client. Info describes the
// worker, apart from its id.
func NewServer(info worker.Info, client worker.Client) *Server {
	s := &Server{info: info, client: client}
	mux := http.NewServeMux()
	mux.Handle(pumiceyardv1connect.NewRunHostServiceHandler(s, wire.HandlerOptions()...))
	s.http = wire.NewServer(mux, nil)
	return s
}

// Serve runs the server on a listener until Close.
func (s *Server) Serve(l net.Listener) error { return wire.Serve(s.http, l) }

// Close closes the server and all its connections.
func (s *Server) Close() error { return s.http.Close() }

// addressedWorker returns the server's worker with the id that the caller sent.
func (s *Server) addressedWorker(id string) worker.Info {
	info := s.info
	info.ID = id
	return info
}

// errNoAnswer is returned to a caller if the simulated worker gives no answer.
var errNoAnswer = connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)

func runReply(r worker.Reply) (*connect.Response[pb.RunReply], error) {
	if r.Verdict == worker.NoAnswer {
		return nil, errNoAnswer
	}
	return connect.NewResponse(&pb.RunReply{Verdict: uint32(r.Verdict), ClockNs: int64(r.Clock)}), nil
}

// StartRun implements RunHostServiceHandler.
func (s *Server) StartRun(ctx context.Context, req *connect.Request[pb.StartRunRequest]) (*connect.Response[pb.RunReply], error) {
	m := req.Msg
	return runReply(s.client.Start(ctx, s.addressedWorker(m.Worker), worker.Start{
		Task:       taskRef(m.Task),
		Run:        m.Run,
		Spec:       m.Spec,
		Checkpoint: m.Checkpoint,
		Token:      m.Token,
		Deadline:   time.Duration(m.DeadlineNs),
	}))
}

// StopRun implements RunHostServiceHandler.
func (s *Server) StopRun(ctx context.Context, req *connect.Request[pb.StopRunRequest]) (*connect.Response[pb.RunReply], error) {
	m := req.Msg
	return runReply(s.client.Stop(ctx, s.addressedWorker(m.Worker), worker.Stop{Task: taskRef(m.Task), Run: m.Run, Token: m.Token}))
}

// HoldRuns implements RunHostServiceHandler.
func (s *Server) HoldRuns(ctx context.Context, req *connect.Request[pb.HoldRunsRequest]) (*connect.Response[pb.HoldRunsResponse], error) {
	m := req.Msg
	l, r := s.client.Hold(ctx, s.addressedWorker(m.Worker), worker.Hold{
		Token:    m.Token,
		AckedEnd: m.Seen,
		Deadline: time.Duration(m.DeadlineNs),
		Wait:     time.Duration(m.WaitNs),
	})
	if r.Verdict == worker.NoAnswer {
		return nil, errNoAnswer
	}
	out := &pb.HoldRunsResponse{Reply: &pb.RunReply{Verdict: uint32(r.Verdict), ClockNs: int64(r.Clock)}, BornUnixMillis: r.Born, MoreEnded: l.MoreEnded}
	for _, run := range l.Running {
		out.Running = append(out.Running, &pb.ListedRun{Task: taskMessage(run.Task), Run: run.Run, Checkpoint: run.Checkpoint, Percent: uint32(run.Percent)})
	}
	for _, e := range l.Ended {
		out.Ended = append(out.Ended, &pb.EndedRun{Number: e.Seq, Task: taskMessage(e.Task), Run: e.Run, How: uint32(e.Reason), Checkpoint: e.Checkpoint})
	}
	return connect.NewResponse(out), nil
}
