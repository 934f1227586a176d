// Package link joins the entry VMs of a site: each opens one stream to each
// other one and sends on it all that it has to say. Messages may get lost when a
// stream breaks; what must not get lost is repeated by its sender.
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

// Settings of links.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats without other messages
	SilenceTimeout    time.Duration // without a heartbeat back, the peer is taken to be lost
	OpenTimeout       time.Duration // for a new stream to be answered
	RedialInterval    time.Duration // between tries, after the first
	// Unmet is how long a peer that was never reached may be out of reach before it counts as lost.
	// VMs that start together open hundreds of links at once, and a busy one answers late: its
	// shards went from VM to VM before the site served anything.
	FirstContactTimeout time.Duration
	QueueSize           int // frames that may wait

	Now          func() time.Duration // since boot: the time of day may jump
	ReachesStore func() bool          // whether this VM's own calls of the store are answered
}

// DefaultSettings suit round trips of about a millisecond.
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

// Distant settings are for peers whose shards this VM would not take over: a peer that falls
// silent is noticed by those that would, and the new holders of its shards speak up themselves.
// Heartbeats of 120 ms to all of them would take more processor than the work. A holder ends the runs of a
// home that it has lost, and the home's caller comes again 1.3 s after its connection broke: a longer
// heartbeat would leave no time to end them where both fall silent at once.
func RelaxedSettings(s Settings) Settings {
	s.HeartbeatInterval = 300 * time.Millisecond
	s.SilenceTimeout = 1200 * time.Millisecond
	s.OpenTimeout = 500 * time.Millisecond
	return s
}

// Events are told about links. They are called from the links' goroutines.
type Events interface {
	PeerUp(name string, incarnation uint64)
	PeerLost(name, why string)
	Frame(from string, f *pb.KeptFrame)
	// InboundStreamEnded says that a stream from a peer has ended.
	InboundStreamEnded(from string)
}

// Link is the stream to one peer.
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
}

// Open starts a link, which dials again until it is closed or ctx ends.
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

// Address is where the link leads.
func (l *Link) Address() string { return l.address }

// Send queues a frame. It reports false when too many wait.
func (l *Link) Send(f *pb.KeptFrame) bool { return l.queue.TryPush(f) }

// Want says whether this VM needs the link, or keeps it only because its peer does. The peer is
// told with each frame.
func (l *Link) SetNeeded(wanted bool) { l.needed.Store(wanted) }

// Close ends the link.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// run dials again at once when a stream breaks: a stream that was reset while its
// peer lives is back within a round trip, and only a failure to get it back says
// that the peer is lost.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	began := l.settings.Now()
	met := false
	for ctx.Err() == nil {
		opened, why := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if opened {
			met = true
			continue
		}
		if !met && l.settings.Now()-began < l.settings.FirstContactTimeout {
			pause.For(ctx, l.settings.RedialInterval)
			continue
		}
		l.events.PeerLost(l.name, why)
		l.queue.Drain() // what waited is out of date when the peer is back
		pause.For(ctx, l.settings.RedialInterval)
	}
}

type stream = connect.BidiStreamForClient[pb.KeptFrame, pb.KeptHeartbeat]

// connect is one stream from its first frame to its loss.
func (l *Link) connect(ctx context.Context) (opened bool, why string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewClient(l.dial, nil)
	defer client.Leave()
	service := pumiceyardv1connect.NewKeptServiceClient(client.Client, "http://"+l.address,
		wire.ClientOptions()...)
	guard := time.AfterFunc(l.settings.OpenTimeout, func() {
		cancel()
		client.Leave()
	})
	defer guard.Stop()
	conn := service.Link(ctx)
	first := &pb.KeptFrame{EntryVm: l.self.EntryVm, Incarnation: l.self.Incarnation, Wanted: l.needed.Load()}
	if err := conn.Send(first); err != nil {
		return false, err.Error()
	}
	heartbeat, err := conn.Receive()
	if err != nil {
		return false, err.Error()
	}
	if !guard.Stop() {
		return false, "no answer"
	}
	l.events.PeerUp(l.name, heartbeat.Incarnation)
	return true, l.serve(ctx, client, conn)
}

func (l *Link) serve(ctx context.Context, client *wire.Client, conn *stream) string {
	var last atomic.Int64
	last.Store(int64(l.settings.Now()))
	gone := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				gone <- err
				return
			}
			last.Store(int64(l.settings.Now()))
		}
	}()
	heartbeats := time.NewTicker(l.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	defer client.Leave() // ends a Send or Receive that hangs on a silent connection
	busy := false        // a frame has left since the last heartbeat was due
	for {
		var frame *pb.KeptFrame
		select {
		case <-ctx.Done():
			return "closed"
		case err := <-gone:
			return err.Error()
		case <-heartbeats.C:
			if l.settings.Now()-time.Duration(last.Load()) > l.settings.SilenceTimeout {
				return "silent"
			}
			if busy {
				busy = false
				continue
			}
			frame = &pb.KeptFrame{}
		case <-l.queue.Ready():
			frame = mergeFrames(l.queue.Drain())
			busy = frame != nil
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

// send leaves the connection if a peer does not read for longer than silence is
// borne: the write would block until the network gives up, minutes later.
func (l *Link) send(client *wire.Client, conn *stream, f *pb.KeptFrame) error {
	guard := time.AfterFunc(l.settings.SilenceTimeout, client.Leave)
	defer guard.Stop()
	return conn.Send(f)
}

// join merges waiting frames.
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
	}
	return f
}

// Says reports whether a frame is more than a heartbeat.
func CarriesMessages(f *pb.KeptFrame) bool {
	parts := len(f.Assign) + len(f.States) + len(f.Queries) + len(f.Cancelled) + len(f.Loads) + len(f.Calls) +
		len(f.Replies) + len(f.Notes) + len(f.TakenBack) + len(f.Elsewhere) + len(f.Workers) + len(f.Evacuations) + len(f.Losses)
	return parts > 0 || f.Unplaced != nil
}

// MaxFrameGap is the gap between frames of a stream after which what comes on it counts
// for nothing. It is that between the heartbeats of distant peers, four times.
//
// What was sent into a partition comes out of it at the heal, seconds later, on streams
// that the sender has long left: a submission that was given up meanwhile, and that its
// caller has sent to another VM, would run twice at once.
const MaxFrameGap = 1200 * time.Millisecond

// Server takes the streams of other entry VMs.
type Server struct {
	self   *pb.KeptHeartbeat
	events Events
	http   *http.Server
	now    func() time.Duration
}

// NewServer returns a server; Serve runs it.
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

// Close ends all streams.
func (s *Server) Close() error { return s.http.Close() }

var errStreamDelayed = errors.New("the stream was held up")

var errNoPeerName = errors.New("the first frame names no entry VM")

// minAnswerInterval is the least time between two answers on a stream. The shortest heartbeat is longer, so
// each heartbeat is answered; frames that carry loads or submissions come more often, and an
// answer to each would cost the receiver as much as the frame.
const minAnswerInterval = 100 * time.Millisecond

// Link implements the service: frames go to the events, and are answered by heartbeats.
func (s *Server) Link(_ context.Context, conn *connect.BidiStream[pb.KeptFrame, pb.KeptHeartbeat]) error {
	from := ""
	last := s.now()
	answered := last - minAnswerInterval
	defer func() {
		if from != "" {
			s.events.InboundStreamEnded(from)
		}
	}()
	for {
		f, err := conn.Receive()
		if err != nil {
			return nil // the stream is over
		}
		now := s.now()
		if now-last > MaxFrameGap {
			klog.InfoS("kept: a stream was held up, what comes on it is dropped", "peer", from, "for", now-last)
			return connect.NewError(connect.CodeAborted, errStreamDelayed)
		}
		last = now
		if from == "" {
			if from = f.EntryVm; from == "" {
				return connect.NewError(connect.CodeInvalidArgument, errNoPeerName)
			}
		}
		s.events.Frame(from, f)
		if now-answered < minAnswerInterval {
			continue
		}
		answered = now
		if err := conn.Send(s.self); err != nil {
			return nil
		}
	}
}
