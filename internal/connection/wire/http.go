package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Bounds of the shared HTTP/2 connections.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxStreams        = 4096
	windowBytes       = 4 << 20
	frameBytes        = 256 << 10
)

// unencrypted enables HTTP/2 with and without TLS.
func unencrypted() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Dialer opens the connections of a client. Tests pass one over in-memory pipes.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that speaks HTTP/2 only. With a TLS configuration
// it speaks it over TLS, otherwise in the clear. Nil dial uses TCP.
//
// Pings are left to the services' own heartbeats: those also notice a peer
// whose kernel answers while its process does not.
func NewClient(dial Dialer, secure *tls.Config) *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(secure == nil)
	p.SetHTTP2(secure != nil)
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		dial = d.DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:     dial,
		TLSClientConfig: secure,
		Protocols:       p,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: windowBytes,
			MaxReceiveBufferPerStream:     windowBytes,
			MaxReadFrameSize:              frameBytes,
		},
	}}
}

// NewServer returns a server for HTTP/1 and HTTP/2 in the clear, or over TLS
// when secure is set.
func NewServer(handler http.Handler, secure *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		Protocols:         unencrypted(),
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
