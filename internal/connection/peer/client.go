package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
)

// tokenHeader is the request header with the secret that entry VMs share.
const tokenHeader = "Pumiceyard-Peer-Token"

// TLSClient is the TLS configuration of a Dial. Nil means connections without TLS.
type TLSClient struct{ Config *tls.Config }

// client returns an HTTP client with a transport of its own.
func (d Dial) client() *wire.Client {
	if d.Secure == nil {
		return wire.NewClient(d.Dialer, nil)
	}
	return wire.NewClient(d.Dialer, d.Secure.Config)
}

// service returns a client of the peer service at an address.
func (d Dial) service(client *wire.Client, address string) pumiceyardv1connect.PeerServiceClient {
	scheme := "http://"
	if d.Secure != nil {
		scheme = "https://"
	}
	return pumiceyardv1connect.NewPeerServiceClient(client, scheme+address, wire.ClientOptions(connect.WithInterceptors(tokenInterceptor(d.Token)))...)
}

// tokenInterceptor adds the shared secret to calls and streams.
type tokenInterceptor string

func (t tokenInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set(tokenHeader, string(t))
		return next(ctx, req)
	}
}

func (t tokenInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(tokenHeader, string(t))
		return conn
	}
}

func (t tokenInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// Calls makes calls to other entry VMs, on one connection per peer.
type Calls struct {
	settings Settings
	pool     *wire.Pool[pumiceyardv1connect.PeerServiceClient]
}

// NewCalls returns Calls. Connections are opened by the first calls.
func NewCalls(s Settings, dial Dial) *Calls {
	open := func(address string) (*wire.Client, pumiceyardv1connect.PeerServiceClient) {
		h := dial.client()
		return h, dial.service(h, address)
	}
	return &Calls{settings: s, pool: wire.NewPool(open)}
}

// Close closes all connections.
func (c *Calls) Close() { c.pool.Close() }

var errNoAnswer = errors.New("the home ended the call without an answer")

// Submit forwards a submission to its home and waits for the final answer. It
// returns an error if no heartbeat arrives within the silence time-out. The home may
// then have accepted the submission, so the caller of Submit must attach to it or
// recover it, and must never submit it again.
func (c *Calls) Submit(ctx context.Context, address string, req *pb.SubmitRequest) (*pb.Answer, error) {
	cl := c.pool.Get(address)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(c.settings.SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	stream, err := cl.Service.Submit(callCtx, connect.NewRequest(req))
	if err != nil {
		c.pool.Discard(address, cl)
		return nil, err
	}
	defer stream.Close()
	for stream.Receive() {
		silenceTimer.Reset(c.settings.SilenceTimeout)
		if a := stream.Msg().Answer; a != nil {
			return a, nil
		}
	}
	if ctx.Err() == nil {
		c.pool.Discard(address, cl)
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, errNoAnswer
}

// Cancel forwards a cancellation to the submission's home.
func (c *Calls) Cancel(ctx context.Context, address string, req *pb.CancelRequest) (*pb.CancelResponse, error) {
	return callUnary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.CancelResponse], error) {
		return s.Cancel(ctx, connect.NewRequest(req))
	})
}

// Timeline asks one entry VM for the steps that it has recorded of a submission.
func (c *Calls) Timeline(ctx context.Context, address string, req *pb.TimelineRequest) (*pb.TimelineResponse, error) {
	return callUnary(ctx, c, address, func(ctx context.Context, s pumiceyardv1connect.PeerServiceClient) (*connect.Response[pb.TimelineResponse], error) {
		return s.Timeline(ctx, connect.NewRequest(req))
	})
}

// callUnary makes a call within the silence time-out. A connection on which the call
// fails is discarded.
func callUnary[M any](ctx context.Context, c *Calls, address string, call func(context.Context, pumiceyardv1connect.PeerServiceClient) (*connect.Response[M], error)) (*M, error) {
	cl := c.pool.Get(address)
	ctx, cancel := context.WithTimeout(ctx, c.settings.SilenceTimeout)
	defer cancel()
	resp, err := call(ctx, cl.Service)
	if err != nil {
		c.pool.Discard(address, cl)
		return nil, err
	}
	return resp.Msg, nil
}
