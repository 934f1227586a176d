// Package link connects the entry VMs of a site. A VM opens one stream to each of its
// peers and sends all its messages to that peer on it; heartbeats come back. Messages
// may get lost when a stream breaks: the sender repeats those that must arrive.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/kept/clock"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// Settings are the timeouts and limits of a link.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats, if no other frames are sent
	SilenceTimeout    time.Duration // without an answer from the peer, after which the stream is given up
	OpenTimeout       time.Duration // for a new stream to be answered
	RedialInterval    time.Duration // between failed attempts to open a stream
	// FirstContactTimeout is how long a peer that was never reached may stay unreachable before it counts
	// as lost. VMs that start together open hundreds of links at once, and a busy one answers late;
	// without this time its shards moved from VM to VM before the site served any request.
	FirstContactTimeout time.Duration
	QueueSize           int // frames that may wait to be sent

	Now          func() time.Duration // a monotonic clock, as the time of day may jump
	ReachesStore func() bool          // whether the store answers this VM's direct calls
}

// DefaultSettings returns settings for round trips of about a millisecond.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval:   120 * time.Millisecond,
		SilenceTimeout:      480 * time.Millisecond, // four heartbeats
		OpenTimeout:         250 * time.Millisecond,
		RedialInterval:      150 * time.Millisecond,
		FirstContactTimeout: 900 * time.Millisecond,
		QueueSize:           1024,

		Now:          clock.Now,
		ReachesStore: func() bool { return false },
	}
}

// RelaxedSettings returns s with longer intervals, for peers whose shards this VM would not take over: the
// VMs that would take them over detect the loss of the peer, and the new holders announce themselves.
// Heartbeats every 120 ms to all peers would take more CPU than the work itself.
//
// Longer intervals than these are not safe. The holder of a shard ends the runs of a home (the entry VM that
// took a submission) when it loses its link to the home, and the home's caller retries 1.3 s after its
// connection broke. If both links fall silent at once, the runs must have ended by then.
func RelaxedSettings(s Settings) Settings {
	s.HeartbeatInterval = 300 * time.Millisecond
	s.SilenceTimeout = 1200 * time.Millisecond
	s.OpenTimeout = 500 * time.Millisecond
	return s
}

// Events receives what happens on links, on either end. The methods are called from the links' goroutines.
type Events interface {
	PeerUp(name string, incarnation uint64)
	PeerLost(name, why string)
	Frame(from string, f *pb.KeptFrame)
	// InboundStreamEnded is called when a stream that a peer opened has ended.
	InboundStreamEnded(from string)
}

// Link is a stream to one peer, which is opened again whenever it breaks.
type Link struct {
	settings Settings
	self     *pb.KeptHeartbeat
	name     string
	address  string
	dial     wire.Dialer
	events   Events
	queue    *ring.Ring[*pb.KeptFrame]
	needed   atomic.Bool
	cancel   context.CancelFunc
	done     chan struct{}
	endedAt  time.Duration // when the last stream ended; 0: there was none
}

// Open starts a link, which redials until it is closed or ctx ends.
func Open(ctx context.Context, s Settings, self *pb.KeptHeartbeat, name, address string, dial wire.Dialer, events Events) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{
		settings: s,
		self:     self,
		name:     name,
		address:  address,
		dial:     dial,
		events:   events,
		queue:    ring.New[*pb.KeptFrame](s.QueueSize),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go l.run(ctx)
	return l
}

// Address returns the address of the peer.
func (l *Link) Address() string { return l.address }

// Send queues a frame and reports false if the queue is full.
func (l *Link) Send(f *pb.KeptFrame) bool { return l.queue.TryPush(f) }

// SetNeeded sets whether this VM needs the link itself or keeps it only because the peer needs it. Each
// frame tells the peer.
func (l *Link) SetNeeded(needed bool) { l.needed.Store(needed) }

// Close ends the link and waits until its goroutine has ended.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// run redials at once when a stream breaks. If the peer is alive, a stream that was reset is
// open again within a round trip, so the peer counts as lost only if the redial fails.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	startedAt := l.settings.Now()
	everOpened := false
	for ctx.Err() == nil {
		opened, why := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if opened {
			everOpened = true
			l.endedAt = l.settings.Now()
			klog.InfoS("kept: stream to a peer ended", "peer", l.name, "why", why)
			continue
		}
		if !everOpened && l.settings.Now()-startedAt < l.settings.FirstContactTimeout {
			pause.For(ctx, l.settings.RedialInterval)
			continue
		}
		l.events.PeerLost(l.name, why)
		l.queue.Drain() // queued frames are out of date by the time the peer is back
		pause.For(ctx, l.settings.RedialInterval)
	}
}

type stream = connect.BidiStreamForClient[pb.KeptFrame, pb.KeptHeartbeat]

// connect opens a stream and serves it until it breaks. opened reports whether the peer answered; why
// is the reason for the end.
func (l *Link) connect(ctx context.Context) (opened bool, why string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewClient(l.dial, nil)
	defer client.CloseAll()
	service := pumiceyardv1connect.NewKeptServiceClient(client.Client, "http://"+l.address,
		wire.ClientOptions()...)
	timeout := time.AfterFunc(l.settings.OpenTimeout, func() {
		cancel()
		client.CloseAll()
	})
	defer timeout.Stop()
	conn := service.Link(ctx)
	first := &pb.KeptFrame{EntryVm: l.self.EntryVm, Incarnation: l.self.Incarnation, Wanted: l.needed.Load()}
	if err := conn.Send(first); err != nil {
		return false, err.Error()
	}
	heartbeat, err := conn.Receive()
	if err != nil {
		return false, err.Error()
	}
	if !timeout.Stop() {
		return false, "no answer to the first frame"
	}
	if l.endedAt > 0 {
		klog.InfoS("kept: stream to a peer opened again", "peer", l.name, "away", l.settings.Now()-l.endedAt)
	}
	l.events.PeerUp(l.name, heartbeat.Incarnation)
	return true, l.serve(ctx, client, conn)
}

// serve sends queued frames and heartbeats until the stream breaks or the peer is silent, and returns why.
func (l *Link) serve(ctx context.Context, client *wire.Client, conn *stream) string {
	var lastReceived atomic.Int64
	lastReceived.Store(int64(l.settings.Now()))
	readErr := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				readErr <- err
				return
			}
			lastReceived.Store(int64(l.settings.Now()))
		}
	}()
	heartbeats := time.NewTicker(l.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	defer client.CloseAll() // ends a Send or Receive that hangs on a silent connection
	frameSent := false      // a frame was sent since the last heartbeat was due
	for {
		var frame *pb.KeptFrame
		select {
		case <-ctx.Done():
			return "closed"
		case err := <-readErr:
			return err.Error()
		case <-heartbeats.C:
			if l.settings.Now()-time.Duration(lastReceived.Load()) > l.settings.SilenceTimeout {
				return "silent"
			}
			if frameSent {
				frameSent = false
				continue
			}
			frame = &pb.KeptFrame{}
		case <-l.queue.Ready():
			frame = mergeFrames(l.queue.Drain())
			frameSent = frame != nil
		}
		if frame == nil {
			continue
		}
		frame.ReachesStore = l.settings.ReachesStore()
		frame.Wanted = l.needed.Load()
		if err := l.send(client, conn, frame); err != nil {
			return err.Error()
		}
	}
}

// send drops the connection if a write takes longer than SilenceTimeout. The write to a peer that does
// not read would otherwise block until TCP gives up, minutes later.
func (l *Link) send(client *wire.Client, conn *stream, f *pb.KeptFrame) error {
	timeout := time.AfterFunc(l.settings.SilenceTimeout, client.CloseAll)
	defer timeout.Stop()
	return conn.Send(f)
}

// mergeFrames merges queued frames into one; nil if there are none. Each field of a frame must be listed here.
func mergeFrames(waiting []*pb.KeptFrame) *pb.KeptFrame {
	if len(waiting) == 0 {
		return nil
	}
	f := &pb.KeptFrame{}
	for _, w := range waiting {
		f.Assign = append(f.Assign, w.Assign...)
		f.States = append(f.States, w.States...)
		f.Queries = append(f.Queries, w.Queries...)
		if w.Unplaced != nil {
			f.Unplaced = w.Unplaced // the newest replaces the others
		}
		f.Cancelled = append(f.Cancelled, w.Cancelled...)
		f.Loads = append(f.Loads, w.Loads...)
		f.Calls = append(f.Calls, w.Calls...)
		f.Replies = append(f.Replies, w.Replies...)
		f.Notes = append(f.Notes, w.Notes...)
		f.TakenBack = append(f.TakenBack, w.TakenBack...)
		f.Elsewhere = append(f.Elsewhere, w.Elsewhere...)
		f.Workers = append(f.Workers, w.Workers...)
		f.Evacuations = append(f.Evacuations, w.Evacuations...)
		f.Losses = append(f.Losses, w.Losses...)
		f.Demands = append(f.Demands, w.Demands...)
		f.Grants = append(f.Grants, w.Grants...)
		f.GrantReplies = append(f.GrantReplies, w.GrantReplies...)
		f.Pools = append(f.Pools, w.Pools...)
		f.Confirms = append(f.Confirms, w.Confirms...)
		f.Confirmed = append(f.Confirmed, w.Confirmed...)
	}
	return f
}

// CarriesMessages reports whether a frame is more than a heartbeat. Each field of a frame must be listed here.
func CarriesMessages(f *pb.KeptFrame) bool {
	parts := len(f.Assign) + len(f.States) + len(f.Queries) + len(f.Cancelled) + len(f.Loads) + len(f.Calls) +
		len(f.Replies) + len(f.Notes) + len(f.TakenBack) + len(f.Elsewhere) + len(f.Workers) + len(f.Evacuations) + len(f.Losses) +
		len(f.Demands) + len(f.Grants) + len(f.GrantReplies) + len(f.Pools) + len(f.Confirms) + len(f.Confirmed)
	return parts > 0 || f.Unplaced != nil
}

// MaxFrameGap is the longest gap between two frames of a stream; what arrives after a longer one is dropped.
// It is four heartbeat intervals of RelaxedSettings.
//
// Frames sent into a network partition are delivered when it heals, seconds later, on streams
// that the sender has long abandoned. A submission among them may have been given up meanwhile and
// sent to another VM by its caller, so it would run twice at once.
const MaxFrameGap = 1200 * time.Millisecond

// Server accepts the streams of other entry VMs.
type Server struct {
	self   *pb.KeptHeartbeat
	events Events
	http   *http.Server
	now    func() time.Duration
}

// NewServer returns a server, which Serve runs.
func NewServer(self *pb.KeptHeartbeat, events Events, now func() time.Duration) *Server {
	s := &Server{self: self, events: events, now: now}
	mux := http.NewServeMux()
	mux.Handle(pumiceyardv1connect.NewKeptServiceHandler(s, wire.HandlerOptions()...))
	s.http = wire.NewServer(mux, nil)
	return s
}

// Serve serves until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server and ends all streams.
func (s *Server) Close() error { return s.http.Close() }

var errStreamDelayed = errors.New("stream delayed: too long a gap between frames")

var errNoPeerName = errors.New("the first frame names no entry VM")

// minAnswerInterval is the minimum time between two answers on a stream. Heartbeats come further apart, so
// each one is answered. Frames with loads or submissions come more often; an answer to each would
// cost the receiver as much as the frame.
const minAnswerInterval = 100 * time.Millisecond

// Link implements KeptService: it passes frames on to the Events and answers them with heartbeats.
func (s *Server) Link(_ context.Context, conn *connect.BidiStream[pb.KeptFrame, pb.KeptHeartbeat]) error {
	from := ""
	lastFrame := s.now()
	lastAnswer := lastFrame - minAnswerInterval
	defer func() {
		if from != "" {
			s.events.InboundStreamEnded(from)
		}
	}()
	for {
		f, err := conn.Receive()
		if err != nil {
			return nil // the stream has ended
		}
		now := s.now()
		if now-lastFrame > MaxFrameGap {
			klog.InfoS("kept: stream from a peer was delayed, dropping it", "peer", from, "for", now-lastFrame)
			return connect.NewError(connect.CodeAborted, errStreamDelayed)
		}
		lastFrame = now
		if from == "" {
			if from = f.EntryVm; from == "" {
				return connect.NewError(connect.CodeInvalidArgument, errNoPeerName)
			}
		}
		s.events.Frame(from, f)
		if now-lastAnswer < minAnswerInterval {
			continue
		}
		lastAnswer = now
		if err := conn.Send(s.self); err != nil {
			return nil
		}
	}
}
