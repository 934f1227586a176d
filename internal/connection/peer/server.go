package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// session is the connection of one home to this owner.
type session struct {
	out                *ring.Ring[*pb.RunResponse]
	sentWorkersVersion uint64 // version of the list of workers that the home has
	takenTasks         atomic.Uint64
}

// AddTaken counts tasks of this session that the owner's adverts include from now
// on.
func (s *session) AddTaken(tasks int) { s.takenTasks.Add(uint64(tasks)) }

// Report queues results for the home. If the queue is full the session ends, and the
// home asks the workers for the results. That is slower but loses nothing.
func (s *session) Report(m *pb.RunResponse) {
	if !s.out.TryPush(m) {
		s.out.Close()
	}
}

// Server handles the requests of other entry VMs.
type Server struct {
	settings Settings
	token    string
	self     Identity
	owner    Owner
	home     Home
	control  Control
	inFlight atomic.Int64 // forwarded submissions that are not answered yet
}

// InFlightSubmits returns the number of forwarded submissions that are not answered
// yet.
func (s *Server) InFlightSubmits() int { return int(s.inFlight.Load()) }

// NewServer returns a server. The token is the secret that the site's entry VMs
// share.
func NewServer(s Settings, token string, self Identity, owner Owner, home Home, control Control) *Server {
	return &Server{settings: s, token: token, self: self, owner: owner, home: home, control: control}
}

// Handler returns the HTTP handler of the peer interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := pumiceyardv1connect.NewPeerServiceHandler(s, wire.HandlerOptions()...)
	mux.Handle(path, s.authenticate(handler))
	return mux
}

// authenticate refuses requests without the shared secret.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), []byte(s.token)) != 1 {
			http.Error(w, "peer token does not match the settings", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type serverStream = connect.BidiStream[pb.RunRequest, pb.RunResponse]

// Run implements PeerServiceHandler: it serves the session of one home.
func (s *Server) Run(ctx context.Context, conn *serverStream) error {
	first, err := conn.Receive()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil || (hello.PeerIncarnation != 0 && hello.PeerIncarnation != s.self.Incarnation) {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("not the incarnation that was asked for"))
	}
	session := &session{out: ring.New[*pb.RunResponse](s.settings.QueueSize)}
	if !s.owner.Join(session) {
		return connect.NewError(connect.CodeUnavailable, errors.New("not taking sessions"))
	}
	defer s.owner.Leave(session)
	if err := conn.Send(&pb.RunResponse{Advert: session.advertForHome(s.owner.Advert(), true)}); err != nil {
		return err
	}
	received := make(chan struct{}, 1)
	go s.readLoop(conn, session, received)
	return s.writeLoop(ctx, conn, session, received)
}

// readLoop passes the home's messages to the owner until the stream ends.
func (s *Server) readLoop(conn *serverStream, session *session, received chan<- struct{}) {
	defer session.out.Close()
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if len(m.Groups) > 0 {
			s.owner.Offer(session, m.Groups)
		}
		if len(m.Withdraw) > 0 {
			s.owner.Withdraw(session, m.Withdraw)
		}
		if m.Power != nil {
			s.owner.Power(m.Power)
		}
	}
}

// writeLoop sends results as they arrive and heartbeats at the interval, each with
// an advert. It ends the session if the home is silent for longer than the silence
// time-out, because tasks must not stay queued here for a home that is gone.
func (s *Server) writeLoop(ctx context.Context, conn *serverStream, session *session, received <-chan struct{}) error {
	heartbeats := time.NewTicker(s.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	lastReceived := time.Now()
	beat := uint64(0)
	for {
		var m *pb.RunResponse
		select {
		case <-ctx.Done():
			return nil
		case <-received:
			lastReceived = time.Now()
			continue
		case <-heartbeats.C:
			if time.Since(lastReceived) > s.settings.SilenceTimeout {
				return connect.NewError(connect.CodeDeadlineExceeded, errors.New("home is silent"))
			}
			beat++
			m = &pb.RunResponse{Beat: beat}
		case <-session.out.Ready():
			m = mergeResponses(session.out.Drain())
			if m == nil && session.out.Closed() {
				return nil
			}
		}
		if m == nil {
			continue
		}
		m.Advert = session.advertForHome(s.owner.Advert(), m.Beat != 0)
		if err := conn.Send(m); err != nil {
			return err
		}
	}
}

// advertForHome returns the advert to send to this home. The usage per account is
// sent with heartbeats only, to limit its cost. The list of workers is left out if
// the home has it already, because it is long and seldom changes.
func (s *session) advertForHome(m *pb.Advert, beat bool) *pb.Advert {
	advert := AdvertForSession(m, s.takenTasks.Load())
	if beat {
		advert.Usage, advert.Periodic = m.Usage, true
	}
	if m.WorkersVersion == s.sentWorkersVersion {
		advert.Workers = nil
	}
	s.sentWorkersVersion = m.WorkersVersion
	return advert
}

// AdvertForSession returns a copy of an owner's advert with the number of tasks taken
// from one session, and without the usage per account.
func AdvertForSession(m *pb.Advert, takenTasks uint64) *pb.Advert {
	return &pb.Advert{
		Incarnation:    m.Incarnation,
		Domain:         m.Domain,
		Workers:        m.Workers,
		FreeSlots:      m.FreeSlots,
		QueuedTasks:    m.QueuedTasks,
		Draining:       m.Draining,
		WorkersVersion: m.WorkersVersion,
		Slots:          m.Slots,
		Largest:        m.Largest,
		TakenTasks:     takenTasks,
	}
}

// mergeResponses merges queued messages into the first one; nil if there are none.
func mergeResponses(waiting []*pb.RunResponse) *pb.RunResponse {
	if len(waiting) == 0 {
		return nil
	}
	m := waiting[0]
	for _, next := range waiting[1:] {
		m.Results = append(m.Results, next.Results...)
	}
	return m
}

// Submit implements PeerServiceHandler. It sends heartbeats until the final answer.
func (s *Server) Submit(ctx context.Context, req *connect.Request[pb.SubmitRequest], conn *connect.ServerStream[pb.SubmitResponse]) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	answer := make(chan *pb.Answer, 1)
	go func() { answer <- s.home.Submit(ctx.Done(), req.Msg) }()
	beats := time.NewTicker(s.settings.HeartbeatInterval)
	defer beats.Stop()
	for beat := uint64(1); ; beat++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answer:
			return conn.Send(&pb.SubmitResponse{Answer: a})
		case <-beats.C:
			if err := conn.Send(&pb.SubmitResponse{Beat: beat}); err != nil {
				return err
			}
		}
	}
}

// Cancel implements PeerServiceHandler.
func (s *Server) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	return connect.NewResponse(s.home.Cancel(req.Msg)), nil
}

// Timeline implements PeerServiceHandler.
func (s *Server) Timeline(_ context.Context, req *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	return connect.NewResponse(s.home.Timeline(req.Msg)), nil
}
