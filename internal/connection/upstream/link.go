package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

const logPrefix = "upstream: "

// Target is the worker a link leads to.
type Target struct {
	ID          string
	Address     string // host:port
	Incarnation uint64
}

// Identity is who asks for the lease.
type Identity struct {
	EntryVM     string
	Incarnation uint64
}

// Link holds the lease on one worker for as long as it runs.
type Link struct {
	settings Settings
	target   Target
	self     Identity
	events   Events
	dial     wire.Dialer

	out     *ring.Ring[*pb.HoldRequest]
	release atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
}

// Start opens a link. It tries to get the lease until Stop.
func Start(s Settings, target Target, self Identity, dial wire.Dialer, events Events) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		settings: s,
		target:   target,
		self:     self,
		events:   events,
		dial:     dial,
		out:      ring.New[*pb.HoldRequest](s.QueueSize),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go l.run(ctx)
	return l
}

// Send queues a message to the worker. It reports false when the ring is full;
// nothing was sent then.
func (l *Link) Send(m *pb.HoldRequest) bool { return l.out.TryPush(m) }

// Release gives the lease back and ends the link. Messages queued before are
// sent first.
func (l *Link) Release() {
	l.release.Store(true)
	l.out.Close()
	select {
	case <-l.done:
	case <-time.After(l.settings.CallTimeout):
	}
	l.Stop()
}

// Stop ends the link without giving the lease back, as a crash would.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil && !l.release.Load() {
		wait := l.hold(ctx)
		if wait <= 0 {
			continue
		}
		wait += time.Duration(rand.Int64N(int64(l.settings.RedialDelay)))
		select {
		case <-ctx.Done():
		case <-l.out.Ready():
			// Only Close can wake an idle link: without the lease nothing is sent.
			if l.out.Closed() {
				return
			}
			l.out.Drain()
		case <-time.After(wait):
		}
	}
}

// hold is one connection from acquiring the lease to losing it. It returns how
// long to wait before the next one.
//
// Every connection has a transport of its own: a shared one would put the next
// attempt on the connection that just went silent.
func (l *Link) hold(ctx context.Context) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewClient(l.dial, nil)
	defer client.CloseAll()
	granted, conn, wait := l.acquire(ctx, client)
	if granted == nil {
		return wait
	}
	l.out.Drain()
	l.events.Granted(l.target.ID, granted)
	why := l.serve(ctx, client, conn, granted)
	klog.V(1).InfoS(logPrefix+"lease ended", "worker", l.target.ID, "epoch", granted.Epoch, "why", why)
	l.events.Lost(l.target.ID, why)
	return l.settings.RedialDelay
}

// released is why a link ended that gave its lease back.
const released = "released"

type holdStream = connect.BidiStreamForClient[pb.HoldRequest, pb.HoldResponse]

// acquire opens a stream and asks for the lease.
func (l *Link) acquire(ctx context.Context, client *wire.Client) (*pb.Granted, *holdStream, time.Duration) {
	retry := l.settings.RedialDelay
	if may := l.settings.MayAcquire; may != nil && !may() {
		return nil, nil, retry
	}
	conn := pumiceyardv1connect.NewWorkerServiceClient(client, "http://"+l.target.Address, wire.ClientOptions()...).Hold(ctx)
	first := &pb.HoldRequest{Acquire: &pb.Acquire{
		EntryVm:     l.self.EntryVM,
		Incarnation: l.self.Incarnation,
		TtlMillis:   uint32(l.settings.LeaseTTL.Milliseconds()),
	}}
	type reply struct {
		m   *pb.HoldResponse
		err error
	}
	got := make(chan reply, 1)
	go func() {
		if err := conn.Send(first); err != nil {
			got <- reply{err: err}
			return
		}
		m, err := conn.Receive()
		got <- reply{m, err}
	}()
	timeout := time.NewTimer(l.settings.SilenceTimeout)
	defer timeout.Stop()
	select {
	case r := <-got:
		if r.err != nil {
			return nil, nil, retry
		}
		if r.m.Granted == nil {
			lapses := time.Duration(r.m.GetDenied().GetRetryAfterMillis()) * time.Millisecond
			return nil, nil, max(retry, min(lapses, l.settings.MaxDeniedRetryDelay))
		}
		return r.m.Granted, conn, 0
	case <-timeout.C:
		return nil, nil, retry
	case <-ctx.Done():
		return nil, nil, retry
	}
}

// serve runs both duties of a granted connection until it ends, and says why.
func (l *Link) serve(ctx context.Context, client *wire.Client, conn *holdStream, granted *pb.Granted) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watchdog{}
	w.heard()
	var duties sync.WaitGroup
	duties.Go(func() {
		defer cancel()
		l.read(conn, granted.Epoch, w)
	})
	why := l.write(ctx, conn, granted.Epoch, w)
	if why == released {
		l.awaitEnd(ctx)
	}
	client.CloseAll()
	duties.Wait()
	return why
}

// awaitEnd waits until the worker has ended the stream, which it does once it has
// read the release. What goes wrong otherwise: the connection is left while the
// release still waits in the transport; the worker sees a holder that died, and
// nobody gets its lease until it lapses, three seconds later.
func (l *Link) awaitEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.settings.CallTimeout):
	}
}

// watchdog remembers when the worker was last heard.
type watchdog struct{ last atomic.Int64 }

func (w *watchdog) heard() { w.last.Store(time.Now().UnixNano()) }

func (w *watchdog) silentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.last.Load())
}

func (l *Link) read(conn *holdStream, epoch uint64, w *watchdog) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		w.heard()
		if len(m.Results) > 0 {
			l.events.Results(l.target.ID, m.Results)
		}
		if m.Usage != nil {
			l.events.Usage(l.target.ID, m.Usage)
		}
		if m.Allotment != nil || m.Throttled != nil {
			l.events.Confirmed(l.target.ID, epoch, m.Allotment, m.Throttled)
		}
	}
}

// write sends what waits, and heartbeats. It ends the connection when the
// worker was silent too long, or when this process was: a paused process must
// not believe in a lease that lapsed meanwhile.
func (l *Link) write(ctx context.Context, conn *holdStream, epoch uint64, w *watchdog) string {
	beats := time.NewTicker(l.settings.HeartbeatInterval)
	defer beats.Stop()
	beat := uint64(0)
	for {
		var err error
		select {
		case <-ctx.Done():
			return "stream ended"
		case <-beats.C:
			if w.silentFor() > l.settings.SilenceTimeout {
				return "silent"
			}
			beat++
			err = conn.Send(&pb.HoldRequest{Beat: beat, Epoch: epoch})
		case <-l.out.Ready():
			err = l.flush(conn, epoch)
			if err == nil && l.out.Closed() {
				_ = conn.Send(&pb.HoldRequest{Epoch: epoch, Release: true})
				_ = conn.CloseRequest()
				return released
			}
		}
		if err != nil {
			return errText(err)
		}
	}
}

// flush joins all waiting messages into one. A message that was made under an
// earlier lease is dropped: its starts were reported as lost with that lease,
// and sent under this one they would run without the holder's knowledge.
func (l *Link) flush(conn *holdStream, epoch uint64) error {
	var joined *pb.HoldRequest
	for _, m := range l.out.Drain() {
		switch {
		case m.Epoch != epoch:
		case joined == nil:
			joined = m
		default:
			join(joined, m)
		}
	}
	if joined == nil {
		return nil
	}
	return conn.Send(joined)
}

// join adds a later message to an earlier one. The later allotment and throttle
// replace the earlier: the worker confirms those that are in force.
func join(into, m *pb.HoldRequest) {
	into.Starts = append(into.Starts, m.Starts...)
	into.Stops = append(into.Stops, m.Stops...)
	into.Checkpoints = append(into.Checkpoints, m.Checkpoints...)
	if m.Throttle != nil {
		into.Throttle = m.Throttle
	}
	if m.Allotment != nil {
		into.Allotment = m.Allotment
	}
}

func errText(err error) string {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Code().String()
	}
	return err.Error()
}
