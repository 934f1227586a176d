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
	conns []*Conn // client sides, oldest first
}

// New returns a network without connections.
func New() *Network {
	return &Network{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection to the server.
func (n *Network) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	c := Wrap(client)
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
		c.Silence()
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

// Conn is one side of a connection, which can fall silent.
type Conn struct {
	net.Conn
	once   sync.Once
	silent chan struct{}
	close  sync.Once
	ended  chan struct{}
}

// Wrap makes a connection one that can fall silent.
func Wrap(c net.Conn) *Conn {
	return &Conn{Conn: c, silent: make(chan struct{}), ended: make(chan struct{})}
}

// Silence makes the connection swallow what is written and what arrives, for good and
// without an error.
func (c *Conn) Silence() { c.once.Do(func() { close(c.silent) }) }

func (c *Conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read drops what arrives once the connection is silent, until it is closed.
func (c *Conn) Read(b []byte) (int, error) {
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

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.close.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
