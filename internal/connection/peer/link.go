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

// Target is the entry VM a link leads to.
type Target struct {
	Name        string
	Address     string
	Incarnation uint64 // 0: whichever answers
}

// Identity is the entry VM that opens links.
type Identity struct {
	Name        string
	Incarnation uint64
}

// Dial says how to reach peers.
type Dial struct {
	Dialer wire.Dialer
	Secure *TLSClient
	Token  string // shared secret of the site's entry VMs
}

// Link carries batches to one owner for as long as it runs.
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

// StartLink opens a link to an owner.
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

// Send queues a message to the owner. It reports false when the ring is full;
// nothing was sent then.
func (l *Link) Send(m *pb.RunRequest) bool { return l.out.TryPush(m) }

// Stop ends the link.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		l.connect(ctx)
		pause.For(ctx, l.settings.RedialDelay)
	}
}

type runStream = connect.BidiStreamForClient[pb.RunRequest, pb.RunResponse]

// connect is one connection from hello to loss, on a transport of its own.
func (l *Link) connect(ctx context.Context) {
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
	guard := time.AfterFunc(l.settings.SilenceTimeout, cancel)
	if err := conn.Send(hello); err != nil {
		guard.Stop()
		return
	}
	first, err := conn.Receive()
	if !guard.Stop() || err != nil || first.Advert == nil {
		return
	}
	l.out.Drain()
	l.events.OwnerUp(l.target.Name, first.Advert.Incarnation)
	l.events.Advert(l.target.Name, first.Advert)
	why := l.serve(ctx, client, conn)
	klog.V(1).InfoS(logPrefix+"link ended", "peer", l.target.Name, "why", why)
	l.events.OwnerLost(l.target.Name, why)
}

func (l *Link) serve(ctx context.Context, client *wire.Client, conn *runStream) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var last atomic.Int64
	last.Store(time.Now().UnixNano())
	var duties sync.WaitGroup
	duties.Go(func() {
		defer cancel()
		l.read(conn, &last)
	})
	why := l.write(ctx, conn, &last)
	client.CloseAll()
	duties.Wait()
	return why
}

func (l *Link) read(conn *runStream, last *atomic.Int64) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		last.Store(time.Now().UnixNano())
		if len(m.Results) > 0 {
			l.events.RunResults(l.target.Name, m.Results)
		}
		if m.Advert != nil {
			l.events.Advert(l.target.Name, m.Advert)
		}
	}
}

func (l *Link) write(ctx context.Context, conn *runStream, last *atomic.Int64) string {
	beats := time.NewTicker(l.settings.HeartbeatInterval)
	defer beats.Stop()
	beat := uint64(0)
	for {
		var err error
		select {
		case <-ctx.Done():
			return "stream ended"
		case <-beats.C:
			if time.Duration(time.Now().UnixNano()-last.Load()) > l.settings.SilenceTimeout {
				return "silent"
			}
			beat++
			err = conn.Send(&pb.RunRequest{Beat: beat})
		case <-l.out.Ready():
			if m := join(l.out.Drain()); m != nil {
				err = conn.Send(m)
			}
		}
		if err != nil {
			return err.Error()
		}
	}
}

// join merges waiting messages into one.
func join(waiting []*pb.RunRequest) *pb.RunRequest {
	if len(waiting) == 0 {
		return nil
	}
	m := waiting[0]
	for _, next := range waiting[1:] {
		m.Groups = append(m.Groups, next.Groups...)
		m.Withdraw = append(m.Withdraw, next.Withdraw...)
		m.Power = joinPower(m.Power, next.Power)
	}
	return m
}

// joinPower merges what is said about watts into a message of its own: the parts
// may be on their way to other peers too. The later summary replaces the earlier.
func joinPower(a, b *pb.Power) *pb.Power {
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
