package upstream

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Control makes short calls to workers, with or without their lease: seal,
// follow, stop. It keeps one connection per worker and leaves it for a new one
// when a call times out.
type Control struct {
	settings Settings
	pool     *wire.Pool[pumiceyardv1connect.WorkerServiceClient]
}

// NewControl returns a Control without connections.
func NewControl(s Settings, dial wire.Dialer) *Control {
	open := func(address string) (*wire.Client, pumiceyardv1connect.WorkerServiceClient) {
		h := wire.NewClient(dial, nil)
		return h, pumiceyardv1connect.NewWorkerServiceClient(h, "http://"+address, wire.ClientOptions()...)
	}
	return &Control{settings: s, pool: wire.NewPool(open)}
}

// Close drops all connections.
func (c *Control) Close() { c.pool.Close() }

// Seal asks a worker to seal a submission, on a new connection for each
// attempt after the first. Sealing is idempotent, so repeating it is safe.
// Errors mean that the worker could not be reached within all attempts.
func (c *Control) Seal(ctx context.Context, address string, req *pb.SealRequest) (*pb.SealResponse, error) {
	return attempt(ctx, c, address, c.settings.CallTimeout, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.SealResponse, error) {
		resp, err := s.Seal(ctx, connect.NewRequest(req))
		return message(resp, err)
	})
}

// Follow waits at a worker for the end of tasks, as long as req says.
func (c *Control) Follow(ctx context.Context, address string, req *pb.FollowRequest) (*pb.FollowResponse, error) {
	bound := c.settings.CallTimeout + time.Duration(req.WaitMillis)*time.Millisecond
	return attempt(ctx, c, address, bound, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.FollowResponse, error) {
		resp, err := s.Follow(ctx, connect.NewRequest(req))
		return message(resp, err)
	})
}

// StopSubmission stops what runs of a submission on a worker.
func (c *Control) StopSubmission(ctx context.Context, address string, req *pb.StopSubmissionRequest) (*pb.StopSubmissionResponse, error) {
	return attempt(ctx, c, address, c.settings.CallTimeout, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.StopSubmissionResponse, error) {
		resp, err := s.StopSubmission(ctx, connect.NewRequest(req))
		return message(resp, err)
	})
}

func message[M any](resp *connect.Response[M], err error) (*M, error) {
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// attempt runs an idempotent call until it answers or the attempts are used up.
func attempt[M any](ctx context.Context, c *Control, address string, bound time.Duration, call func(context.Context, pumiceyardv1connect.WorkerServiceClient) (*M, error)) (*M, error) {
	var last error
	for range c.settings.CallAttempts {
		cl := c.pool.Get(address)
		callCtx, cancel := context.WithTimeout(ctx, bound)
		m, err := call(callCtx, cl.Service)
		cancel()
		if err == nil {
			return m, nil
		}
		if connect.CodeOf(err) == connect.CodeNotFound {
			// The worker's word. Leaving the connection would break the calls
			// of other submissions that wait on it.
			return nil, err
		}
		last = err
		c.pool.Discard(address, cl)
		if ctx.Err() != nil {
			break
		}
		pause.For(ctx, c.settings.RedialDelay)
	}
	return nil, last
}
