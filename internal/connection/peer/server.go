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

// session is one home's connection to this owner.
type session struct {
	out     *ring.Ring[*pb.RunResponse]
	version uint64 // of the held workers the home was told last
	taken   atomic.Uint64
}

// Took counts tasks that show in the owner's advert from now on.
func (s *session) AddTaken(tasks int) { s.taken.Add(uint64(tasks)) }

// Report queues results for the home. When the ring is full the session ends:
// the home then asks the workers, which is slower but loses nothing.
func (s *session) Report(m *pb.RunResponse) {
	if !s.out.TryPush(m) {
		s.out.Close()
	}
}

// Server answers other entry VMs.
type Server struct {
	settings Settings
	token    string
	self     Identity
	owner    Owner
	home     Home
	control  Control
	inFlight atomic.Int64 // forwarded submissions without a sent answer
}

// Serving is the number of forwarded submissions that wait for their answer.
func (s *Server) InFlightSubmits() int { return int(s.inFlight.Load()) }

// NewServer returns a server. token is the shared secret of the site's entry
// VMs.
func NewServer(s Settings, token string, self Identity, owner Owner, home Home, control Control) *Server {
	return &Server{settings: s, token: token, self: self, owner: owner, home: home, control: control}
}

// Handler serves the peer interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := pumiceyardv1connect.NewPeerServiceHandler(s, wire.HandlerOptions()...)
	mux.Handle(path, s.authenticate(handler))
	return mux
}

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

// Run implements the service.
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
	heard := make(chan struct{}, 1)
	go s.receive(conn, session, heard)
	return s.send(ctx, conn, session, heard)
}

// receive is the session's reading duty.
func (s *Server) receive(conn *serverStream, session *session, heard chan<- struct{}) {
	defer session.out.Close()
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		select {
		case heard <- struct{}{}:
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

// send is the session's writing duty: results as they come, an advert and a
// heartbeat at each beat. It ends when the home was silent too long, because
// tasks must not wait here for a home that is gone.
func (s *Server) send(ctx context.Context, conn *serverStream, session *session, heard <-chan struct{}) error {
	beats := time.NewTicker(s.settings.HeartbeatInterval)
	defer beats.Stop()
	last := time.Now()
	beat := uint64(0)
	for {
		var m *pb.RunResponse
		select {
		case <-ctx.Done():
			return nil
		case <-heard:
			last = time.Now()
			continue
		case <-beats.C:
			if time.Since(last) > s.settings.SilenceTimeout {
				return connect.NewError(connect.CodeDeadlineExceeded, errors.New("home is silent"))
			}
			beat++
			m = &pb.RunResponse{Beat: beat}
		case <-session.out.Ready():
			m = joinResponses(session.out.Drain())
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

// brief is the advert for this home. What accounts use goes with heartbeats
// only, which bounds its cost. It leaves the list of workers out of an advert that the home has already:
// the list is long and changes seldom.
func (s *session) advertForHome(m *pb.Advert, beat bool) *pb.Advert {
	brief := AdvertForSession(m, s.taken.Load())
	if beat {
		brief.Usage, brief.Periodic = m.Usage, true
	}
	if m.WorkersVersion == s.version {
		brief.Workers = nil
	}
	s.version = m.WorkersVersion
	return brief
}

// AdvertForSession is an owner's advert with the count of tasks that one session has brought,
// without what accounts use.
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

func joinResponses(waiting []*pb.RunResponse) *pb.RunResponse {
	if len(waiting) == 0 {
		return nil
	}
	m := waiting[0]
	for _, next := range waiting[1:] {
		m.Results = append(m.Results, next.Results...)
	}
	return m
}

// Submit implements the service: heartbeats until the final answer.
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

// Cancel implements the service.
func (s *Server) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	return connect.NewResponse(s.home.Cancel(req.Msg)), nil
}

// Timeline implements the service.
func (s *Server) Timeline(_ context.Context, req *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	return connect.NewResponse(s.home.Timeline(req.Msg)), nil
}
