package site

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errPartition = errors.New("injected partition: the failure domains are cut off from each other")

// partition injects network partitions between failure domains. Entry VMs open their
// connections to other VMs and to the platform through its dialers. Across a cut, it
// closes open connections and refuses new ones.
type partition struct {
	mu      sync.Mutex
	domains map[string]string // failure domain by listening address; the platform has none
	cut     map[string]bool   // failure domains that are cut off
	open    map[*partitionConn]struct{}
}

func newPartition() *partition {
	return &partition{
		domains: make(map[string]string),
		cut:     make(map[string]bool),
		open:    make(map[*partitionConn]struct{}),
	}
}

// setDomain records the failure domain of a listener.
func (p *partition) setDomain(address, domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[address] = domain
}

// setCut cuts a failure domain off from all others and from the platform, or
// reconnects it.
func (p *partition) setCut(domain string, cut bool) {
	p.mu.Lock()
	p.cut[domain] = cut
	var broken []*partitionConn
	for c := range p.open {
		if p.isCut(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	p.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// isCut reports whether two failure domains are cut off from each other. The caller
// holds mu.
func (p *partition) isCut(from, to string) bool {
	return from != to && (p.cut[from] || p.cut[to])
}

// dialer returns the dialer for the VMs of a failure domain.
func (p *partition) dialer(domain string) *partitionDialer {
	return &partitionDialer{partition: p, domain: domain}
}

type partitionDialer struct {
	partition *partition
	domain    string
	tcp       net.Dialer
}

// DialContext implements entry.Dialer.
func (d *partitionDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	p := d.partition
	p.mu.Lock()
	to := p.domains[address]
	separated := p.isCut(d.domain, to)
	p.mu.Unlock()
	if separated {
		return nil, errPartition
	}
	conn, err := d.tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &partitionConn{Conn: conn, partition: p, from: d.domain, to: to}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut(d.domain, to) {
		_ = conn.Close()
		return nil, errPartition
	}
	p.open[c] = struct{}{}
	return c, nil
}

// partitionConn is an open connection, with the failure domains of its ends.
type partitionConn struct {
	net.Conn
	partition *partition
	from, to  string
}

func (c *partitionConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.open, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}

// CutDomain cuts a failure domain off from the others and from the platform: open
// connections across the cut are closed, and new ones are refused.
func (s *Site) CutDomain(domain string) { s.partition.setCut(domain, true) }

// ReconnectDomain ends the cut of a failure domain.
func (s *Site) ReconnectDomain(domain string) { s.partition.setCut(domain, false) }
