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

// Target is the worker that a link connects to.
type Target struct {
	ID          string
	Address     string // host:port
	Incarnation uint64
}

// Identity is the entry VM that requests the lease.
type Identity struct {
	EntryVM     string
	Incarnation uint64
}

// Link acquires and renews the lease on one worker until it is stopped.
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

// Start starts a link. It tries to acquire the lease until Stop or Release.
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

// Send queues a message for the worker. It returns false if the queue is full; the
// message is not sent then.
func (l *Link) Send(m *pb.HoldRequest) bool { return l.out.TryPush(m) }

// Release sends the messages that are queued, releases the lease and stops the
// link.
func (l *Link) Release() {
	l.release.Store(true)
	l.out.Close()
	select {
	case <-l.done:
	case <-time.After(l.settings.CallTimeout):
	}
	l.Stop()
}

// Stop stops the link without releasing the lease, as a crash would.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

// run tries to hold the lease until ctx ends or the link is released.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil && !l.release.Load() {
		wait := l.holdLease(ctx)
		if wait <= 0 {
			continue
		}
		wait += time.Duration(rand.Int64N(int64(l.settings.RedialDelay)))
		select {
		case <-ctx.Done():
		case <-l.out.Ready():
			// Without the lease nothing is sent, so either the queue was closed by
			// Release or the queued messages are dropped.
			if l.out.Closed() {
				return
			}
			l.out.Drain()
		case <-time.After(wait):
		}
	}
}

// holdLease opens a connection, acquires the lease and uses it until it is lost.
// It returns how long to wait before the next attempt.
//
// Every attempt has a transport of its own. A shared transport would reuse the
// connection that has just gone silent.
func (l *Link) holdLease(ctx context.Context) time.Duration {
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
	reason := l.useLease(ctx, client, conn, granted)
	klog.V(1).InfoS(logPrefix+"lease ended", "worker", l.target.ID, "epoch", granted.Epoch, "why", reason)
	l.events.Lost(l.target.ID, granted, reason)
	return l.settings.RedialDelay
}

// reasonReleased is the reason that Events.Lost gets after Release.
const reasonReleased = "released"

type holdStream = connect.BidiStreamForClient[pb.HoldRequest, pb.HoldResponse]

// acquire opens a stream and requests the lease. If it is not granted, it returns a
// nil pb.Granted and the time to wait before the next attempt.
func (l *Link) acquire(ctx context.Context, client *wire.Client) (*pb.Granted, *holdStream, time.Duration) {
	retry := l.settings.RedialDelay
	if mayAcquire := l.settings.MayAcquire; mayAcquire != nil && !mayAcquire() {
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
	replies := make(chan reply, 1)
	go func() {
		if err := conn.Send(first); err != nil {
			replies <- reply{err: err}
			return
		}
		m, err := conn.Receive()
		replies <- reply{m, err}
	}()
	timeout := time.NewTimer(l.settings.SilenceTimeout)
	defer timeout.Stop()
	select {
	case r := <-replies:
		if r.err != nil {
			return nil, nil, retry
		}
		if r.m.Granted == nil {
			leaseExpiresIn := time.Duration(r.m.GetDenied().GetRetryAfterMillis()) * time.Millisecond
			return nil, nil, max(retry, min(leaseExpiresIn, l.settings.MaxDeniedRetryDelay))
		}
		return r.m.Granted, conn, 0
	case <-timeout.C:
		return nil, nil, retry
	case <-ctx.Done():
		return nil, nil, retry
	}
}

// useLease reads from and writes to a connection that has the lease until it ends,
// and returns the reason.
func (l *Link) useLease(ctx context.Context, client *wire.Client, conn *holdStream, granted *pb.Granted) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watchdog{}
	w.markHeard()
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		l.readLoop(conn, granted.Epoch, w)
	})
	reason := l.writeLoop(ctx, conn, granted.Epoch, w)
	if reason == reasonReleased {
		l.awaitStreamEnd(ctx)
	}
	client.CloseAll()
	reader.Wait()
	return reason
}

// awaitStreamEnd waits until the worker ends the stream, which it does after it has
// read the release. Otherwise the connection could be closed while the release is
// still in the transport's buffer. The worker would take the holder for dead, and
// nobody could acquire its lease until it expires three seconds later.
func (l *Link) awaitStreamEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.settings.CallTimeout):
	}
}

// watchdog records when the last message of the worker arrived.
type watchdog struct{ lastHeardNanos atomic.Int64 }

func (w *watchdog) markHeard() { w.lastHeardNanos.Store(time.Now().UnixNano()) }

func (w *watchdog) silentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.lastHeardNanos.Load())
}

// readLoop passes the worker's messages to the link's events until the stream ends.
func (l *Link) readLoop(conn *holdStream, epoch uint64, w *watchdog) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		w.markHeard()
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

// writeLoop sends queued messages and heartbeats, and returns the reason why the
// connection must end. It ends if no message has arrived within the silence
// time-out. This also covers a pause of this process: after it, the process must
// not use a lease that has expired in the meantime.
func (l *Link) writeLoop(ctx context.Context, conn *holdStream, epoch uint64, w *watchdog) string {
	heartbeats := time.NewTicker(l.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	number := uint64(0)
	for {
		var err error
		select {
		case <-ctx.Done():
			return "stream ended"
		case <-heartbeats.C:
			if w.silentFor() > l.settings.SilenceTimeout {
				return "silent"
			}
			number++
			err = conn.Send(&pb.HoldRequest{Beat: number, Epoch: epoch})
		case <-l.out.Ready():
			err = l.sendQueued(conn, epoch)
			if err == nil && l.out.Closed() {
				_ = conn.Send(&pb.HoldRequest{Epoch: epoch, Release: true})
				_ = conn.CloseRequest()
				return reasonReleased
			}
		}
		if err != nil {
			return errorReason(err)
		}
	}
}

// sendQueued merges all queued messages into one and sends it. Messages made under
// an earlier lease are dropped: their starts were reported as lost with that lease,
// and would run without the holder's knowledge if they were sent under this one.
func (l *Link) sendQueued(conn *holdStream, epoch uint64) error {
	var joined *pb.HoldRequest
	for _, m := range l.out.Drain() {
		switch {
		case m.Epoch != epoch:
		case joined == nil:
			joined = m
		default:
			mergeInto(joined, m)
		}
	}
	if joined == nil {
		return nil
	}
	return conn.Send(joined)
}

// mergeInto appends a later message to an earlier one. An allotment or throttle of
// the later message replaces that of the earlier one, because the worker confirms
// only those in force.
func mergeInto(into, m *pb.HoldRequest) {
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

// errorReason returns the reason for a connection that ended with an error: the
// Connect code, if there is one.
func errorReason(err error) string {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Code().String()
	}
	return err.Error()
}
