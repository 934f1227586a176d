package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the shared HTTP/2 connections.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second // also bounds the TLS handshake of a server
	maxStreams        = 4096
	windowBytes       = 4 << 20
	frameBytes        = 256 << 10
)

// unencrypted enables HTTP/2 with and without TLS.
func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Dialer opens the connections of a client. Tests pass one over in-memory pipes.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client is an HTTP/2 client that can leave its connections at once.
type Client struct {
	*http.Client
	dial Dialer

	mu        sync.Mutex
	openConns map[net.Conn]struct{}
	closed    bool
}

// NewClient returns a client that speaks HTTP/2 only. With a TLS configuration
// it speaks it over TLS, otherwise in the clear. Nil dial uses TCP. The
// configuration may be shared: the transport changes a copy.
//
// Pings are left to the services' own heartbeats: those also notice a peer
// whose kernel answers while its process does not.
func NewClient(dial Dialer, secure *tls.Config) *Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(secure == nil)
	p.SetHTTP2(secure != nil)
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		dial = d.DialContext
	}
	c := &Client{dial: dial, openConns: make(map[net.Conn]struct{})}
	c.Client = &http.Client{Transport: &http.Transport{
		DialContext: c.dialContext,
		// A server that accepts and then says nothing would hold the dial for good:
		// the transport's handshake does not end with the request.
		TLSHandshakeTimeout: dialTimeout,
		TLSClientConfig:     secure.Clone(),
		Protocols:           p,
		IdleConnTimeout:     idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: windowBytes,
			MaxReceiveBufferPerStream:     windowBytes,
			MaxReadFrameSize:              frameBytes,
		},
	}}
	return c
}

func (c *Client) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c.openConns[conn] = struct{}{}
	return &trackedConn{Conn: conn, client: c}, nil
}

// Leave closes all connections, whatever is under way on them. Cancelling a
// stream's context is not enough: the transport notices it only after its next
// write, and on a connection that went silent a write may block for minutes.
// One would see the reader of a cancelled stream wait on.
func (c *Client) CloseAll() {
	c.mu.Lock()
	c.closed = true
	open := c.openConns
	c.openConns = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
	c.CloseIdleConnections()
}

// trackedConn forgets itself when it is closed.
type trackedConn struct {
	net.Conn
	client *Client
}

func (t *trackedConn) Close() error {
	t.client.mu.Lock()
	delete(t.client.openConns, t.Conn)
	t.client.mu.Unlock()
	return t.Conn.Close()
}

// NewServer returns a server for HTTP/1 and HTTP/2 in the clear, or over TLS
// when secure is set. Serve it by Serve.
func NewServer(handler http.Handler, secure *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		Protocols:         serverProtocols(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: windowBytes,
			MaxReceiveBufferPerStream:     windowBytes,
			MaxReadFrameSize:              frameBytes,
		},
	}
}

// Serve serves a listener, over TLS when the server was made with it, until the
// server is closed.
func Serve(server *http.Server, l net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(l)
	}
	return server.ServeTLS(l, "", "")
}
