package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target, with faults that can be set at any time.
type proxy struct {
	listener net.Listener
	target   string

	mu                         sync.Mutex
	delay                      time.Duration // of each chunk that is read
	dropToTarget, dropToCaller bool          // bytes in this direction are dropped
	resetNew                   bool          // reset new connections
	conns                      map[*connPair]struct{}
}

type connPair struct{ caller, target net.Conn }

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*connPair]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		resetNew := p.resetNew
		p.mu.Unlock()
		if resetNew {
			abort(c)
			continue
		}
		go p.serve(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

const dialTimeout = 2 * time.Second

func (p *proxy) serve(c net.Conn) {
	t, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		abort(c)
		return
	}
	pr := &connPair{caller: c, target: t}
	p.mu.Lock()
	p.conns[pr] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(t, c, true) })
	directions.Go(func() { p.forward(c, t, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, pr)
	p.mu.Unlock()
}

// forward copies bytes in one direction and ends both connections when one ends.
func (p *proxy) forward(to, from net.Conn, toTarget bool) {
	defer abort(to)
	defer abort(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay, drop := p.activeFaults(toTarget)
			if delay > 0 {
				time.Sleep(delay)
			}
			if !drop {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// activeFaults returns the delay and whether bytes in the given direction are dropped.
func (p *proxy) activeFaults(toTarget bool) (delay time.Duration, drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toTarget {
		return p.delay, p.dropToTarget
	}
	return p.delay, p.dropToCaller
}

// resetConnections ends all connections.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	var all []*connPair
	for pr := range p.conns {
		all = append(all, pr)
	}
	p.mu.Unlock()
	for _, pr := range all {
		abort(pr.caller)
		abort(pr.target)
	}
}

func (p *proxy) setFault(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// clearFaults ends all faults. It resets the connections if bytes were dropped, since they can no
// longer be used.
func (p *proxy) clearFaults() {
	p.mu.Lock()
	dropped := p.dropToTarget || p.dropToCaller
	p.delay, p.dropToTarget, p.dropToCaller, p.resetNew = 0, false, false, false
	p.mu.Unlock()
	if dropped {
		p.resetConnections()
	}
}
