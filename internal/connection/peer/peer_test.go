package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
	"github.com/pumiceyard/pumiceyard/internal/standin/pipe"
)

// entryVM is a fake entry VM at the other end: an owner that reports each task as
// done at once, and a home that answers after a delay.
type entryVM struct {
	joined, left int
	offered      []uint64 // counters of submissions
	answerAfter  time.Duration
	exchanged    []*pb.ControlMessage
}

func (o *entryVM) Join(holder.Session) bool                          { o.joined++; return true }
func (o *entryVM) Leave(holder.Session)                              { o.left++ }
func (o *entryVM) Withdraw(holder.Session, []*pb.SubmissionID)       {}
func (o *entryVM) Power(*pb.Power)                                   {}
func (o *entryVM) Advert() *pb.Advert                                { return &pb.Advert{Incarnation: 2} }
func (o *entryVM) Cancel(*pb.CancelRequest) *pb.CancelResponse       { return &pb.CancelResponse{} }
func (o *entryVM) Timeline(*pb.TimelineRequest) *pb.TimelineResponse { return &pb.TimelineResponse{} }
func (o *entryVM) Offer(s holder.Session, groups []*pb.RunGroup) {
	for _, g := range groups {
		o.offered = append(o.offered, g.Submission.Counter)
		s.Report(&pb.RunResponse{Results: []*pb.RunResult{{Submission: g.Submission, Generation: g.Generation}}})
	}
}

func (o *entryVM) Submit(_ <-chan struct{}, m *pb.SubmitRequest) *pb.Answer {
	time.Sleep(o.answerAfter)
	return &pb.Answer{Outcome: "complete", Detail: m.Ticket}
}

func (o *entryVM) HandleExchange(m *pb.ExchangeRequest) {
	o.exchanged = append(o.exchanged, m.Messages...)
}
func (o *entryVM) LastList() *pb.ListVMsResponse  { return &pb.ListVMsResponse{} }
func (o *entryVM) LastPlan() *pb.LastPlanResponse { return &pb.LastPlanResponse{} }

// events records the reports of a link in order.
type events struct{ seen []string }

func (e *events) OwnerUp(string, uint64)             { e.seen = append(e.seen, "up") }
func (e *events) Advert(string, *pb.Advert)          {}
func (e *events) RunResults(string, []*pb.RunResult) { e.seen = append(e.seen, "results") }
func (e *events) OwnerLost(_, reason string)         { e.seen = append(e.seen, "lost: "+reason) }

func serve(t *testing.T) (*entryVM, *pipe.Network, Dial) {
	o, n := &entryVM{}, pipe.New()
	server := wire.NewServer(NewServer(Defaults(), "secret", Identity{Name: "b", Incarnation: 2}, o, o, o).Handler(), nil)
	go func() { _ = server.Serve(n) }()
	t.Cleanup(func() { _ = server.Close() })
	return o, n, Dial{Dialer: n.Dial, Token: "secret"}
}

func batchOf(counter uint64) *pb.RunRequest {
	return &pb.RunRequest{Groups: []*pb.RunGroup{{Submission: &pb.SubmissionID{Counter: counter}}}}
}

// Guards against tasks that wait at an owner that cannot be heard, and against tasks
// that run twice. The connection goes silent for good with a batch in flight while
// new connections work. The link must not wait on the old connection or send the
// batch again on the new one, and the owner must not keep the session.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, n, dial := serve(t)
		e, s := &events{}, Defaults()
		l := StartLink(s, Target{Name: "b", Address: "b:1", Incarnation: 2}, Identity{Name: "a", Incarnation: 1}, dial, e)
		defer l.Stop()
		synctest.Wait()
		l.Send(batchOf(1))
		synctest.Wait()
		n.Silence()
		l.Send(batchOf(2))
		time.Sleep(2 * s.SilenceTimeout)
		l.Send(batchOf(3))
		synctest.Wait()
		want := []string{"up", "results", "lost: silent", "up", "results"}
		if len(e.seen) != len(want) {
			t.Fatalf("events %v, want %v", e.seen, want)
		}
		for i := range want {
			if e.seen[i] != want[i] {
				t.Fatalf("events %v, want %v", e.seen, want)
			}
		}
		if len(o.offered) != 2 || o.offered[1] != 3 || o.joined != 2 || o.left != 1 {
			t.Fatalf("offered submissions %v, want 1 and 3; %d sessions, want 2; %d ended, want 1", o.offered, o.joined, o.left)
		}
	})
}

// Guards against a caller that hangs and against a slow answer that is taken for a
// dead home. One forwarded request takes long, and the connection of the next one
// goes silent. There must be a time-out on the silence, but none on the whole wait.
func TestForwardedRequestWaitsWhileHeartbeatsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, n, dial := serve(t)
		s := Defaults()
		o.answerAfter = 10 * s.SilenceTimeout
		c := NewCalls(s, dial)
		defer c.Close()
		if a, err := c.Submit(context.Background(), "b:1", &pb.SubmitRequest{Ticket: "one"}); err != nil || a.Detail != "one" {
			t.Fatalf("answer %v, %v", a, err)
		}
		time.AfterFunc(s.HeartbeatInterval, n.Silence)
		if _, err := c.Submit(context.Background(), "b:1", &pb.SubmitRequest{Ticket: "two"}); err == nil {
			t.Fatal("got an answer over a silent connection")
		}
		if a, err := c.Submit(context.Background(), "b:1", &pb.SubmitRequest{Ticket: "two"}); err != nil || a.Detail != "two" || n.Dials() != 2 {
			t.Fatalf("answer %v, %v after %d connections", a, err, n.Dials())
		}
	})
}

// Guards against two entry VMs that can reach each other but take each other for
// dead. The connection of their control messages goes silent for good with a
// heartbeat in flight while new connections work. The exchange must not wait on the
// old connection.
func TestSilentExchangeOpensNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, n, dial := serve(t)
		s := Defaults()
		e := NewExchange(s, dial, Identity{Name: "a", Incarnation: 1}, "d")
		defer e.Stop()
		want := func() *pb.ControlMessage {
			return &pb.ControlMessage{Message: &pb.ControlMessage_Want{Want: &pb.Want{}}}
		}
		e.Send("b:1", want())
		synctest.Wait()
		n.Silence()
		e.Send("b:1", want())
		time.Sleep(s.SilenceTimeout + 2*s.RedialDelay)
		e.Send("b:1", want(), want())
		synctest.Wait()
		if len(o.exchanged) != 3 || n.Dials() != 2 {
			t.Errorf("%d messages arrived over %d connections, want 3 over 2", len(o.exchanged), n.Dials())
		}
	})
}
