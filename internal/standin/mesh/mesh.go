// Package mesh is an in-memory stand-in for the network between entry VMs. Tests can
// kill VMs and cut failure domains off from each other.
package mesh

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/standin/pipe"
)

// Mesh connects VMs by address. It is safe for concurrent use.
type Mesh struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
	conns     map[*conn]struct{}
	cut       map[string]bool // by failure domain
}

// New returns a network without VMs.
func New() *Mesh {
	return &Mesh{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cut:       make(map[string]bool),
	}
}

type listener struct {
	address, domain string
	accept          chan net.Conn
	closed          chan struct{}
	once            sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

// Listen opens the listener of a VM in a failure domain.
func (m *Mesh) Listen(address, domain string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &listener{address: address, domain: domain, accept: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l
}

// conn is one end of a connection between two VMs. Both ends have the same from and
// to: the VM that dialed and the VM that listens.
type conn struct {
	*pipe.Conn
	mesh       *Mesh
	from, to   string // addresses
	fromDomain string
	toDomain   string
}

func (c *conn) Close() error {
	c.mesh.mu.Lock()
	delete(c.mesh.conns, c)
	c.mesh.mu.Unlock()
	return c.Conn.Close()
}

var errRefused = errors.New("mesh: connection refused")

// Dialer returns the dialer of a VM in a failure domain. Across a cut it blocks until
// the context ends.
func (m *Mesh) Dialer(address, domain string) wire.Dialer {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		m.mu.Lock()
		l := m.listeners[to]
		cut := l != nil && l.domain != domain && (m.cut[domain] || m.cut[l.domain])
		m.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, errRefused
		}
		a, b := net.Pipe()
		clientEnd := &conn{Conn: pipe.Wrap(a), mesh: m, from: address, to: to, fromDomain: domain, toDomain: l.domain}
		serverEnd := &conn{Conn: pipe.Wrap(b), mesh: m, from: address, to: to, fromDomain: domain, toDomain: l.domain}
		select {
		case l.accept <- serverEnd:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		m.mu.Lock()
		m.conns[clientEnd] = struct{}{}
		m.conns[serverEnd] = struct{}{}
		m.mu.Unlock()
		return clientEnd, nil
	}
}

// Kill closes all connections of a VM and refuses new ones, as when its process dies.
func (m *Mesh) Kill(address string) {
	m.mu.Lock()
	l := m.listeners[address]
	delete(m.listeners, address)
	var own []*conn
	for c := range m.conns {
		if c.from == address || c.to == address {
			own = append(own, c)
		}
	}
	m.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range own {
		_ = c.Close()
	}
}

// SetCut starts or ends the separation of a failure domain from the others. Open
// connections across the cut drop all data for good, and dials across it block while
// the cut lasts.
func (m *Mesh) SetCut(domain string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[domain] = cut
	if !cut {
		return
	}
	for c := range m.conns {
		if (c.fromDomain == domain) != (c.toDomain == domain) {
			c.Silence()
		}
	}
}
