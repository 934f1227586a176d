package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// Target is the entry VM that a link connects to.
type Target struct {
	Name        string
	Address     string
	Incarnation uint64 // 0: any incarnation
}

// Identity is the entry VM at this end of a connection.
type Identity struct {
	Name        string
	Incarnation uint64
}

// Dial holds what is needed to connect to peers.
type Dial struct {
	Dialer wire.Dialer
	Secure *TLSClient
	Token  string // shared secret of the site's entry VMs
}

// Link sends batches to one owner and reconnects until it is stopped.
type Link struct {
	settings Settings
	target   Target
	self     Identity
	dial     Dial
	events   Events

	out    *ring.Ring[*pb.RunRequest]
	cancel context.CancelFunc
	done   chan struct{}
}

// StartLink starts a link to an owner.
func StartLink(s Settings, target Target, self Identity, dial Dial, events Events) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		settings: s,
		target:   target,
		self:     self,
		dial:     dial,
		events:   events,
		out:      ring.New[*pb.RunRequest](s.QueueSize),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go l.run(ctx)
	return l
}

// Send queues a message for the owner. It returns false if the queue is full; the
// message is not sent then.
func (l *Link) Send(m *pb.RunRequest) bool { return l.out.TryPush(m) }

// Stop stops the link and waits until it has ended.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

// run opens one connection after the other until ctx ends.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		l.runConnection(ctx)
		pause.For(ctx, l.settings.RedialDelay)
	}
}

type runStream = connect.BidiStreamForClient[pb.RunRequest, pb.RunResponse]

// runConnection opens a connection with a transport of its own and uses it until it
// is lost. Messages queued before the connection are dropped.
func (l *Link) runConnection(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := l.dial.client()
	defer client.CloseAll()
	conn := l.dial.service(client, l.target.Address).Run(ctx)
	hello := &pb.RunRequest{Hello: &pb.Hello{
		EntryVm:         l.self.Name,
		Incarnation:     l.self.Incarnation,
		PeerIncarnation: l.target.Incarnation,
	}}
	timeout := time.AfterFunc(l.settings.SilenceTimeout, cancel)
	if err := conn.Send(hello); err != nil {
		timeout.Stop()
		return
	}
	first, err := conn.Receive()
	if !timeout.Stop() || err != nil || first.Advert == nil {
		return
	}
	l.out.Drain()
	l.events.OwnerUp(l.target.Name, first.Advert.Incarnation)
	l.events.Advert(l.target.Name, first.Advert)
	reason := l.useConnection(ctx, client, conn)
	klog.V(1).InfoS(logPrefix+"link ended", "peer", l.target.Name, "why", reason)
	l.events.OwnerLost(l.target.Name, reason)
}

// useConnection reads from and writes to a connection until it ends, and returns the
// reason.
func (l *Link) useConnection(ctx context.Context, client *wire.Client, conn *runStream) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var lastHeardNanos atomic.Int64
	lastHeardNanos.Store(time.Now().UnixNano())
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		l.readLoop(conn, &lastHeardNanos)
	})
	reason := l.writeLoop(ctx, conn, &lastHeardNanos)
	client.CloseAll()
	reader.Wait()
	return reason
}

// readLoop passes the owner's messages to the link's events until the stream ends.
func (l *Link) readLoop(conn *runStream, lastHeardNanos *atomic.Int64) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		lastHeardNanos.Store(time.Now().UnixNano())
		if len(m.Results) > 0 {
			l.events.RunResults(l.target.Name, m.Results)
		}
		if m.Advert != nil {
			l.events.Advert(l.target.Name, m.Advert)
		}
	}
}

// writeLoop sends queued messages and heartbeats, and returns the reason why the
// connection must end.
func (l *Link) writeLoop(ctx context.Context, conn *runStream, lastHeardNanos *atomic.Int64) string {
	heartbeats := time.NewTicker(l.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	number := uint64(0)
	for {
		var err error
		select {
		case <-ctx.Done():
			return "stream ended"
		case <-heartbeats.C:
			if time.Duration(time.Now().UnixNano()-lastHeardNanos.Load()) > l.settings.SilenceTimeout {
				return "silent"
			}
			number++
			err = conn.Send(&pb.RunRequest{Beat: number})
		case <-l.out.Ready():
			if m := mergeRequests(l.out.Drain()); m != nil {
				err = conn.Send(m)
			}
		}
		if err != nil {
			return err.Error()
		}
	}
}

// mergeRequests merges queued messages into the first one; nil if there are none.
func mergeRequests(waiting []*pb.RunRequest) *pb.RunRequest {
	if len(waiting) == 0 {
		return nil
	}
	m := waiting[0]
	for _, next := range waiting[1:] {
		m.Groups = append(m.Groups, next.Groups...)
		m.Withdraw = append(m.Withdraw, next.Withdraw...)
		m.Power = mergePower(m.Power, next.Power)
	}
	return m
}

// mergePower merges two power messages. If both are set it builds a new message,
// because the originals may be queued for other peers too. The later summary
// replaces the earlier one.
func mergePower(a, b *pb.Power) *pb.Power {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	return &pb.Power{
		Summary:   cmp.Or(b.Summary, a.Summary),
		Requests:  slices.Concat(a.Requests, b.Requests),
		Transfers: slices.Concat(a.Transfers, b.Transfers),
		Acks:      slices.Concat(a.Acks, b.Acks),
	}
}
