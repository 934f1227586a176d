// Package pipe is a network stand-in for tests of connections: a listener and a
// dialer over in-memory pipes, on which single connections can fall silent while
// new ones work.
package pipe

import (
	"context"
	"net"
	"sync"
)

// Network joins one server with its clients. It is safe for concurrent use.
type Network struct {
	accept chan net.Conn
	closed chan struct{}

	mu    sync.Mutex
	conns []*conn // client sides, oldest first
}

// New returns a network without connections.
func New() *Network {
	return &Network{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection to the server.
func (n *Network) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &conn{Conn: client, silent: make(chan struct{}), ended: make(chan struct{})}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	select {
	case n.accept <- server:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials is the number of connections opened so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Silence makes all present connections swallow what either end writes, for
// good, without an error. Later ones work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.once.Do(func() { close(c.silent) })
	}
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *Network) Close() error {
	close(n.closed)
	return nil
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr { return &net.IPAddr{} }

// conn is the client's side of a connection.
type conn struct {
	net.Conn
	once   sync.Once
	silent chan struct{}
	close  sync.Once
	ended  chan struct{}
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read drops what arrives once the connection is silent, until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.isSilent() && err == nil {
		n, err = c.Conn.Read(b)
	}
	if c.isSilent() {
		<-c.ended
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Close() error {
	c.close.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
