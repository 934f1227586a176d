package wire

import "sync"

// Pool keeps one connection per address for short calls, with the client of a
// service on it.
type Pool[S any] struct {
	open func(address string) (*Client, S)

	mu      sync.Mutex
	clients map[string]*Pooled[S]
}

// Pooled is a service's client on one connection.
type Pooled[S any] struct {
	Service S
	http    *Client
}

// NewPool returns a Pool without connections. Open makes the client for an
// address.
func NewPool[S any](open func(address string) (*Client, S)) *Pool[S] {
	return &Pool[S]{open: open, clients: make(map[string]*Pooled[S])}
}

// Get returns the client for an address.
func (p *Pool[S]) Get(address string) *Pooled[S] {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		http, service := p.open(address)
		c = &Pooled[S]{Service: service, http: http}
		p.clients[address] = c
	}
	return c
}

// Leave drops a connection that did not answer. A silent connection may stay
// open for good while a new one works, so the next call must not reuse it.
func (p *Pool[S]) Discard(address string, c *Pooled[S]) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	c.http.CloseAll()
}

// Close drops all connections.
func (p *Pool[S]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		c.http.CloseAll()
		delete(p.clients, address)
	}
}
