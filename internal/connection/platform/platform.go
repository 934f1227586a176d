// Package platform calls the platform's key-value service and VM list. It is a
// thin layer over the generated client: one method per operation, each with a
// deadline. It does not retry; package storeclient decides on retries.
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
	// CallTimeout limits every operation except Watch. A healthy service answers
	// within milliseconds.
	CallTimeout = 2 * time.Second
	// WatchReplyTimeout is how long the answer to a watch may take after the wait that
	// the watch asked for has passed. Without it, a watch on a dead connection would
	// wait forever and miss changes of the configuration.
	WatchReplyTimeout = time.Second
)

// NewHTTPClient returns an HTTP client to pass to Dial. A nil dialer means TCP.
//
// The client uses HTTP/1.1 only. A connection can die without an error while new
// connections work. With HTTP/2, further calls would use the dead connection and
// all time out. With HTTP/1.1, a call that times out closes its connection, and
// the next call opens a new one.
func NewHTTPClient(dial wire.Dialer) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		Protocols:           protocols,
		MaxIdleConnsPerHost: maxIdleConnections,
	}}
}

// maxIdleConnections is the number of idle connections to the service that are kept
// for reuse: enough for one watch and a few concurrent calls.
const maxIdleConnections = 4

// Client makes calls to the platform's service.
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

// Handler returns an HTTP handler for a platform service, at the path that clients
// made by Dial use.
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

// Watch waits until a key changes, at most for the message's WaitMillis.
func (c *Client) Watch(ctx context.Context, msg *pumiceyardv1.WatchRequest) (*pumiceyardv1.WatchResponse, error) {
	wait := time.Duration(msg.WaitMillis) * time.Millisecond
	return call(ctx, wait+WatchReplyTimeout, c.service.Watch, msg)
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, msg *pumiceyardv1.GrantLeaseRequest) (*pumiceyardv1.GrantLeaseResponse, error) {
	return call(ctx, CallTimeout, c.service.GrantLease, msg)
}

// KeepAlive extends a lease.
func (c *Client) KeepAlive(ctx context.Context, msg *pumiceyardv1.KeepAliveRequest) (*pumiceyardv1.KeepAliveResponse, error) {
	return call(ctx, CallTimeout, c.service.KeepAlive, msg)
}

// ListVMs reads the platform's list of VMs, which may be out of date.
func (c *Client) ListVMs(ctx context.Context) (*pumiceyardv1.ListVMsResponse, error) {
	return call(ctx, CallTimeout, c.service.ListVMs, &pumiceyardv1.ListVMsRequest{})
}

// operation is one method of the generated client.
type operation[Request, Response any] func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// call runs one operation with a timeout.
func call[Request, Response any](ctx context.Context, timeout time.Duration, op operation[Request, Response], msg *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := op(ctx, connect.NewRequest(msg))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
