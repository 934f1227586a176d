package soak

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target, until it is told to treat them badly.
type proxy struct {
	listener net.Listener
	target   string

	mu                 sync.Mutex
	delay              time.Duration // of each chunk
	toTarget, toCaller bool          // silenced: bytes that way are swallowed
	refuse             bool          // new connections are reset
	conns              map[*pair]struct{}
}

type pair struct{ caller, target net.Conn }

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*pair]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
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

const dialWithin = 2 * time.Second

func (p *proxy) serve(c net.Conn) {
	t, err := net.DialTimeout("tcp", p.target, dialWithin)
	if err != nil {
		abort(c)
		return
	}
	pr := &pair{caller: c, target: t}
	p.mu.Lock()
	p.conns[pr] = struct{}{}
	p.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { p.pass(t, c, true) })
	ways.Go(func() { p.pass(c, t, false) })
	ways.Wait()
	p.mu.Lock()
	delete(p.conns, pr)
	p.mu.Unlock()
}

// pass copies one way and ends both connections when one ends.
func (p *proxy) pass(to, from net.Conn, toTarget bool) {
	defer abort(to)
	defer abort(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay, swallow := p.treatment(toTarget)
			if delay > 0 {
				time.Sleep(delay)
			}
			if !swallow {
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

func (p *proxy) treatment(toTarget bool) (delay time.Duration, swallow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toTarget {
		return p.delay, p.toTarget
	}
	return p.delay, p.toCaller
}

// reset ends all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	var all []*pair
	for pr := range p.conns {
		all = append(all, pr)
	}
	p.mu.Unlock()
	for _, pr := range all {
		abort(pr.caller)
		abort(pr.target)
	}
}

func (p *proxy) set(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// heal ends all faults. Connections that swallowed bytes cannot be used any more.
func (p *proxy) heal() {
	p.mu.Lock()
	swallowed := p.toTarget || p.toCaller
	p.delay, p.toTarget, p.toCaller, p.refuse = 0, false, false, false
	p.mu.Unlock()
	if swallowed {
		p.reset()
	}
}
