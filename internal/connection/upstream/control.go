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

// Control makes short calls to workers (seal, follow, stop), whether or not this
// entry VM holds their leases. It keeps one connection per worker and replaces it
// if a call fails without an answer.
type Control struct {
	settings Settings
	pool     *wire.Pool[pumiceyardv1connect.WorkerServiceClient]
}

// NewControl returns a Control. Connections are opened by the first calls.
func NewControl(s Settings, dial wire.Dialer) *Control {
	open := func(address string) (*wire.Client, pumiceyardv1connect.WorkerServiceClient) {
		h := wire.NewClient(dial, nil)
		return h, pumiceyardv1connect.NewWorkerServiceClient(h, "http://"+address, wire.ClientOptions()...)
	}
	return &Control{settings: s, pool: wire.NewPool(open)}
}

// Close closes all connections.
func (c *Control) Close() { c.pool.Close() }

// Seal asks a worker to seal a submission. Sealing is idempotent, so it is safe to
// retry; each retry uses a new connection. An error means that no attempt reached
// the worker.
func (c *Control) Seal(ctx context.Context, address string, req *pb.SealRequest) (*pb.SealResponse, error) {
	return callWithRetries(ctx, c, address, c.settings.CallTimeout, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.SealResponse, error) {
		resp, err := s.Seal(ctx, connect.NewRequest(req))
		return unwrap(resp, err)
	})
}

// Follow waits until tasks on a worker end, at most for req.WaitMillis.
func (c *Control) Follow(ctx context.Context, address string, req *pb.FollowRequest) (*pb.FollowResponse, error) {
	timeout := c.settings.CallTimeout + time.Duration(req.WaitMillis)*time.Millisecond
	return callWithRetries(ctx, c, address, timeout, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.FollowResponse, error) {
		resp, err := s.Follow(ctx, connect.NewRequest(req))
		return unwrap(resp, err)
	})
}

// StopSubmission stops the running tasks of a submission on a worker.
func (c *Control) StopSubmission(ctx context.Context, address string, req *pb.StopSubmissionRequest) (*pb.StopSubmissionResponse, error) {
	return callWithRetries(ctx, c, address, c.settings.CallTimeout, func(ctx context.Context, s pumiceyardv1connect.WorkerServiceClient) (*pb.StopSubmissionResponse, error) {
		resp, err := s.StopSubmission(ctx, connect.NewRequest(req))
		return unwrap(resp, err)
	})
}

// unwrap returns the message of a response.
func unwrap[M any](resp *connect.Response[M], err error) (*M, error) {
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// callWithRetries retries an idempotent call until it is answered or the attempts
// are used up.
func callWithRetries[M any](ctx context.Context, c *Control, address string, timeout time.Duration, call func(context.Context, pumiceyardv1connect.WorkerServiceClient) (*M, error)) (*M, error) {
	var lastErr error
	for range c.settings.CallAttempts {
		cl := c.pool.Get(address)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		m, err := call(callCtx, cl.Service)
		cancel()
		if err == nil {
			return m, nil
		}
		if connect.CodeOf(err) == connect.CodeNotFound {
			// This is an answer of the worker, not a failed connection. Closing
			// the connection would break other submissions' calls on it.
			return nil, err
		}
		lastErr = err
		c.pool.Discard(address, cl)
		if ctx.Err() != nil {
			break
		}
		pause.For(ctx, c.settings.RedialDelay)
	}
	return nil, lastErr
}
