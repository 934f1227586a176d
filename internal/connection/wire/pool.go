package wire

import "sync"

// Pool holds one HTTP/2 client per address for short calls, together with the client
// of a service that uses it.
type Pool[S any] struct {
	open func(address string) (*Client, S)

	mu      sync.Mutex
	clients map[string]*Pooled[S]
}

// Pooled is a service's client with the HTTP/2 client that it uses.
type Pooled[S any] struct {
	Service S
	http    *Client
}

// NewPool returns an empty Pool. It calls open to create the clients for an address.
func NewPool[S any](open func(address string) (*Client, S)) *Pool[S] {
	return &Pool[S]{open: open, clients: make(map[string]*Pooled[S])}
}

// Get returns the client for an address. It creates one if there is none.
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

// Discard closes the connection of a client that did not answer and removes the client
// from the pool. A dead connection may stay open indefinitely while a new one would
// work, so the next call must not reuse it.
func (p *Pool[S]) Discard(address string, c *Pooled[S]) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	c.http.CloseAll()
}

// Close closes all connections.
func (p *Pool[S]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		c.http.CloseAll()
		delete(p.clients, address)
	}
}
