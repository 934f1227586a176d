// Package mesh is an in-memory stand-in for the network between entry VMs. Tests can kill VMs, let them stand still, cut
// failure domains off from each other, reset connections, and lose what is sent in one direction.
package mesh

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/standin/pipe"
)

// Mesh connects VMs by address. It is safe for concurrent use.
type Mesh struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
	conns     map[*conn]struct{}
	cut       map[string]bool // by failure domain
	dialsLost map[route]bool
	lost      map[route]bool
	held      map[string]chan struct{} // by address: closed when the VM goes on
}

// route is a direction between two VMs, by address.
type route struct{ from, to string }

// New returns a network without VMs.
func New() *Mesh {
	return &Mesh{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cut:       make(map[string]bool),
		dialsLost: make(map[route]bool),
		lost:      make(map[route]bool),
		held:      make(map[string]chan struct{}),
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
	isDialer   bool // this end is that of the VM that dialed

	queueMu sync.Mutex
	queue   [][]byte // written while one of the VMs stood still, and not delivered yet
	isQueue bool     // what is written now comes after the queue
	isEnded bool     // closed by its VM while the queue was not delivered yet
}

// writer returns the VM that writes to this end.
func (c *conn) writer() string {
	if c.isDialer {
		return c.from
	}
	return c.to
}

// Write implements net.Conn. It does not block while a VM stands still: what is written meanwhile is delivered once it
// goes on.
func (c *conn) Write(b []byte) (int, error) {
	goesOn := c.mesh.heldUntil(c.from, c.to)
	c.queueMu.Lock()
	switch {
	case c.isEnded:
		c.queueMu.Unlock()
		return 0, net.ErrClosed
	case goesOn == nil && !c.isQueue:
		c.queueMu.Unlock()
		return c.Conn.Write(b)
	}
	c.queue = append(c.queue, bytes.Clone(b))
	if !c.isQueue {
		c.isQueue = true
		go c.deliver(goesOn)
	}
	c.queueMu.Unlock()
	return len(b), nil
}

// deliver writes the queue once both VMs go on, and closes the connection if its VM has done so.
func (c *conn) deliver(goesOn chan struct{}) {
	for ; goesOn != nil; goesOn = c.mesh.heldUntil(c.from, c.to) {
		<-goesOn
	}
	for {
		c.queueMu.Lock()
		if len(c.queue) == 0 {
			c.isQueue = false
			isEnded := c.isEnded
			c.queueMu.Unlock()
			if isEnded {
				_ = c.Conn.Close()
			}
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.queueMu.Unlock()
		if _, err := c.Conn.Write(next); err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

// Close implements net.Conn. The other end reads what was written before.
func (c *conn) Close() error {
	c.mesh.mu.Lock()
	delete(c.mesh.conns, c)
	c.mesh.mu.Unlock()
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if c.isQueue && !c.isEnded {
		c.isEnded = true
		return c.SetReadDeadline(time.Now()) // ends a Read that is in progress
	}
	return c.Conn.Close()
}

// reset closes the connection at once.
func (c *conn) reset() {
	c.mesh.mu.Lock()
	delete(c.mesh.conns, c)
	c.mesh.mu.Unlock()
	_ = c.Conn.Close()
}

var errRefused = errors.New("mesh: connection refused")

// Dialer returns the dialer of a VM in a failure domain. Across a cut it blocks until
// the context ends.
func (m *Mesh) Dialer(address, domain string) wire.Dialer {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		m.mu.Lock()
		l := m.listeners[to]
		cut := l != nil && l.domain != domain && (m.cut[domain] || m.cut[l.domain])
		out := route{address, to}
		cut = cut || m.dialsLost[out] || m.lost[out] || m.lost[route{to, address}]
		goesOn := m.held[address]
		m.mu.Unlock()
		if goesOn != nil {
			select {
			case <-goesOn:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, errRefused
		}
		a, b := net.Pipe()
		clientEnd := &conn{Conn: pipe.Wrap(a), mesh: m, from: address, to: to, fromDomain: domain, toDomain: l.domain, isDialer: true}
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
		c.reset()
	}
}

// ResetAfter loses what two VMs send each other on their connections from now on, and resets these after a time.
func (m *Mesh) ResetAfter(a, b string, d time.Duration) {
	var between []*conn
	m.mu.Lock()
	for c := range m.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.Silence()
			between = append(between, c)
		}
	}
	m.mu.Unlock()
	time.AfterFunc(d, func() {
		for _, c := range between {
			c.reset()
		}
	})
}

// SetOneWayLoss starts or ends the loss of all that one VM sends to another. Open connections lose that direction for
// good, and dials between the two block while the loss lasts.
func (m *Mesh) SetOneWayLoss(from, to string, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[route{from, to}] = lost
	for c := range m.conns {
		if lost && c.writer() == from && (c.from == to || c.to == to) {
			c.SilenceWrites()
		}
	}
}

// SetDialsLost starts or ends a fault of the connections that one VM has opened to another, as on a path of its own:
// open ones drop all data for good, and dials block. Those that the other VM opens work.
func (m *Mesh) SetDialsLost(from, to string, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dialsLost[route{from, to}] = lost
	for c := range m.conns {
		if lost && c.from == from && c.to == to {
			c.Silence()
		}
	}
}

// SetHeld makes a VM stand still for the others, or go on: what it sends and what it is sent arrives when it goes on, also
// on connections that were closed meanwhile.
func (m *Mesh) SetHeld(address string, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch goesOn := m.held[address]; {
	case held && goesOn == nil:
		m.held[address] = make(chan struct{})
	case !held && goesOn != nil:
		close(goesOn)
		delete(m.held, address)
	}
}

// heldUntil returns a channel that is closed when one of two VMs goes on; nil: none stands still.
func (m *Mesh) heldUntil(a, b string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if goesOn := m.held[a]; goesOn != nil {
		return goesOn
	}
	return m.held[b]
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
