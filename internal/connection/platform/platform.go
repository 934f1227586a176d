// Package platform calls the platform's key-value service and VM list. It is a
// thin layer over the generated client: one method per operation, each with a
// deadline, and no retry, which is storeclient's decision.
package platform

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
)

// Deadlines of the operations.
const (
	// CallTimeout bounds each operation but a watch. The service answers in
	// milliseconds when it is well.
	CallTimeout = 2 * time.Second
	// WatchGrace is how long past its wait a watch may stay without an answer.
	// A watch whose connection went silent would otherwise wait for ever, and
	// changes of the configuration would go unseen.
	WatchGrace = time.Second
)

// NewHTTPClient returns the HTTP client to dial with. Nil dial uses TCP.
//
// It speaks HTTP/1.1 only. A connection can go silent for good while new ones
// work; HTTP/2 would go on putting calls on it, and each would time out. On
// HTTP/1.1 a call that times out takes its connection with it, and the next
// call opens another.
func NewHTTPClient(dial wire.Dialer) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		Protocols:           protocols,
		MaxIdleConnsPerHost: idleConnections,
	}}
}

// idleConnections is how many connections to the service are kept for reuse: a
// watch, and a few calls beside it.
const idleConnections = 4

// Client calls the platform's service.
type Client struct {
	service pumiceyardv1connect.PlatformServiceClient
}

// Dial returns a client of the service at a base URL such as
// http://10.0.0.1:7000. It opens no connection until the first call.
func Dial(httpClient connect.HTTPClient, baseURL string) *Client {
	return New(pumiceyardv1connect.NewPlatformServiceClient(httpClient, baseURL))
}

// New returns a client that calls the given service.
func New(service pumiceyardv1connect.PlatformServiceClient) *Client {
	return &Client{service: service}
}

// Handler serves a platform service at the path that Dial's clients use.
func Handler(service pumiceyardv1connect.PlatformServiceHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pumiceyardv1connect.NewPlatformServiceHandler(service))
	return mux
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, msg *pumiceyardv1.GetRequest) (*pumiceyardv1.GetResponse, error) {
	return call(ctx, CallTimeout, c.service.Get, msg)
}

// CompareAndSet writes a key if its version is the expected one.
func (c *Client) CompareAndSet(ctx context.Context, msg *pumiceyardv1.CompareAndSetRequest) (*pumiceyardv1.CompareAndSetResponse, error) {
	return call(ctx, CallTimeout, c.service.CompareAndSet, msg)
}

// Watch waits for a key to change, for at most the wait in the message.
func (c *Client) Watch(ctx context.Context, msg *pumiceyardv1.WatchRequest) (*pumiceyardv1.WatchResponse, error) {
	wait := time.Duration(msg.WaitMillis) * time.Millisecond
	return call(ctx, wait+WatchGrace, c.service.Watch, msg)
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, msg *pumiceyardv1.GrantLeaseRequest) (*pumiceyardv1.GrantLeaseResponse, error) {
	return call(ctx, CallTimeout, c.service.GrantLease, msg)
}

// KeepAlive extends a lease.
func (c *Client) KeepAlive(ctx context.Context, msg *pumiceyardv1.KeepAliveRequest) (*pumiceyardv1.KeepAliveResponse, error) {
	return call(ctx, CallTimeout, c.service.KeepAlive, msg)
}

// ListVMs reads the list of VMs, which lags behind their true state.
func (c *Client) ListVMs(ctx context.Context) (*pumiceyardv1.ListVMsResponse, error) {
	return call(ctx, CallTimeout, c.service.ListVMs, &pumiceyardv1.ListVMsRequest{})
}

// operation is one method of the generated client.
type operation[Request, Response any] func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

func call[Request, Response any](ctx context.Context, timeout time.Duration, op operation[Request, Response], msg *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := op(ctx, connect.NewRequest(msg))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
