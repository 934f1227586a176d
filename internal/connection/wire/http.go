package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Time-outs and limits of the HTTP/2 connections.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second // also limits the TLS handshake of a server
	maxStreams        = 4096
	windowBytes       = 4 << 20
	frameBytes        = 256 << 10
)

// serverProtocols returns HTTP/1 and HTTP/2, the latter with and without TLS.
func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Dialer opens the connections of a client. Tests pass one that uses in-memory pipes.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client is an HTTP/2 client that can close all its connections at once, including
// those in use.
type Client struct {
	*http.Client
	dial Dialer

	mu        sync.Mutex
	openConns map[net.Conn]struct{}
	closed    bool
}

// NewClient returns a client that uses HTTP/2 only: over TLS if secure is not nil,
// else without TLS. A nil dial means TCP. The TLS configuration may be shared,
// because the transport gets a copy.
//
// The client sends no HTTP/2 pings. The services' own heartbeats replace them; they
// also detect a peer whose kernel answers while its process does not.
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
		// Without this time-out, a server that accepts the connection and then sends
		// nothing would block the dial forever: the transport's handshake does not end
		// with the request.
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

// CloseAll closes all connections, including those with requests in flight, and makes
// further dials fail. Cancelling the context of a stream is not enough: the transport
// notices it only after its next write, and on a dead connection a write may block
// for minutes. The reader of the cancelled stream would wait as long.
func (c *Client) CloseAll() {
	c.mu.Lock()
	c.closed = true
	openConns := c.openConns
	c.openConns = nil
	c.mu.Unlock()
	for conn := range openConns {
		_ = conn.Close()
	}
	c.CloseIdleConnections()
}

// trackedConn is a connection of a Client. Close removes it from the client's set.
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

// NewServer returns a server for HTTP/1 and HTTP/2: over TLS if secure is not nil,
// else without TLS. Run it with Serve.
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

// Serve runs a server made by NewServer on a listener until the server is closed. It
// uses TLS if the server has a TLS configuration.
func Serve(server *http.Server, l net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(l)
	}
	return server.ServeTLS(l, "", "")
}
