// Package pipe is a network stand-in for tests of connections: a listener and a
// dialer over in-memory pipes. Open connections can be made to drop all data while
// new ones work.
package pipe

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Network connects one server with its clients. It is safe for concurrent use.
type Network struct {
	accept chan net.Conn
	closed chan struct{}

	mu    sync.Mutex
	conns []*Conn // client ends, oldest first
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

// Dials returns the number of connections opened so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Silence makes all current connections drop what either end writes, permanently and
// without an error. Later connections work.
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

// Conn is one end of a connection that can be silenced.
type Conn struct {
	net.Conn
	once   sync.Once
	silent chan struct{}
	isMute atomic.Bool
	close  sync.Once
	ended  chan struct{}
}

// Wrap returns a Conn that uses c.
func Wrap(c net.Conn) *Conn {
	return &Conn{Conn: c, silent: make(chan struct{}), ended: make(chan struct{})}
}

// Silence makes the connection drop what is written and what arrives, permanently and
// without an error.
func (c *Conn) Silence() { c.once.Do(func() { close(c.silent) }) }

// SilenceWrites makes the connection drop what this end writes, permanently and without an error.
func (c *Conn) SilenceWrites() { c.isMute.Store(true) }

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
	if c.isSilent() || c.isMute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. Once the connection is silenced, Read drops what arrives and
// blocks until the connection is closed.
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
