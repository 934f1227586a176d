package soak

import (
	"bytes"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
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

type connPair struct {
	caller, target net.Conn
	opening        []byte // the first bytes from the caller, up to maxOpening
}

// maxOpening is enough for the first frame of a stream between two VMs, which names the sender.
const maxOpening = 512

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
	directions.Go(func() { p.forward(pr, true) })
	directions.Go(func() { p.forward(pr, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, pr)
	p.mu.Unlock()
}

// forward copies bytes in one direction and ends both connections when one ends.
func (p *proxy) forward(pr *connPair, toTarget bool) {
	to, from := pr.caller, pr.target
	if toTarget {
		to, from = pr.target, pr.caller
	}
	defer abort(to)
	defer abort(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if toTarget {
				p.noteOpening(pr, buffer[:n])
			}
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

func (p *proxy) noteOpening(pr *connPair, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr.opening = append(pr.opening, b[:min(len(b), maxOpening-len(pr.opening))]...)
}

// resetConnections ends all connections.
func (p *proxy) resetConnections() {
	p.resetWhere(func(*connPair) bool { return true })
}

// resetConnectionsFrom ends the connections that a VM has opened to another one.
func (p *proxy) resetConnectionsFrom(vm string) {
	sender := protowire.AppendString(protowire.AppendTag(nil, senderField, protowire.BytesType), vm)
	p.resetWhere(func(pr *connPair) bool { return bytes.Contains(pr.opening, sender) })
}

// senderField is the number of the field of a KeptFrame that names the VM that sends it.
const senderField = 1

func (p *proxy) resetWhere(chosen func(*connPair) bool) {
	p.mu.Lock()
	var all []*connPair
	for pr := range p.conns {
		if chosen(pr) {
			all = append(all, pr)
		}
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
