package upstream

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/standin/pipe"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
)

// events keeps what a link reported, in order.
type events struct {
	granted []uint64 // epochs
	lost    []string
	results []*pb.TaskResult
}

func (e *events) Granted(_ string, m *pb.Granted) { e.granted = append(e.granted, m.Epoch) }
func (e *events) Lost(_, why string)              { e.lost = append(e.lost, why) }
func (e *events) Usage(string, *pb.Usage)         {}

func (e *events) Confirmed(string, uint64, *pb.AllotmentAnswer, *pb.Throttle) {}
func (e *events) Results(_ string, groups []*pb.ResultGroup) {
	for _, g := range groups {
		e.results = append(e.results, g.Results...)
	}
}

// serve runs a worker on a network of pipes.
func serve(t *testing.T) (*worker.Worker, *pipe.Network) {
	w := worker.New(worker.Config{ID: "w1", Incarnation: 7, Capacity: &pb.Resources{Slots: 4},
		Behaviour: func(string, []byte) worker.Outcome { return worker.Outcome{Run: time.Second} }})
	n := pipe.New()
	server := wire.NewServer(w.Handler(), nil)
	go func() { _ = server.Serve(n) }()
	t.Cleanup(func() { _ = server.Close() })
	return w, n
}

func start(epoch uint64, counter uint64) *pb.HoldRequest {
	return &pb.HoldRequest{Epoch: epoch, Starts: []*pb.StartGroup{{
		Submission:       &pb.SubmissionID{Incarnation: 1, Counter: counter},
		Generation:       &pb.Generation{Author: 1},
		ExpiryUnixMillis: uint64(time.Now().Add(time.Hour).UnixMilli()),
		Index:            []uint32{0},
		Input:            [][]byte{nil},
	}}}
}

// Symptom: a worker gets no more work, or a start is sent twice. Sequence: the
// connection that holds the lease goes silent for good while new ones work; the
// holder sends a start under the old epoch after it has the lease again. Cause
// would be a link that waits on the old connection, or repeats on the new one
// what it sent on the old.
func TestSilentConnectionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n := serve(t)
		e, s := &events{}, Defaults()
		l := Start(s, Target{ID: "w1", Address: "w1:1"}, Identity{EntryVM: "vm1", Incarnation: 1}, n.Dial, e)
		defer l.Stop()
		synctest.Wait()
		if len(e.granted) != 1 {
			t.Fatalf("leases %v, want one", e.granted)
		}
		n.Silence()
		l.Send(start(e.granted[0], 1))
		time.Sleep(s.SilenceTimeout + 2*s.HeartbeatInterval + 2*s.RedialDelay)
		synctest.Wait()
		if len(e.lost) != 1 || e.lost[0] != "silent" || len(e.granted) != 2 || n.Dials() != 2 {
			t.Fatalf("lost %v, leases %v, %d connections: want the silent one left for a new one", e.lost, e.granted, n.Dials())
		}
		l.Send(start(e.granted[0], 2))
		l.Send(start(e.granted[1], 3))
		time.Sleep(2 * time.Second)
		if _, starts, _ := w.Starts(); starts != 1 || len(e.results) != 1 {
			t.Fatalf("%d starts, %d results, want the one of the new lease", starts, len(e.results))
		}
	})
}

// Symptom: a submission ends as unknown although its worker works. Sequence: the
// connection for control calls went silent; a seal is asked. Cause would be
// repeating the call on the silent connection.
func TestSealIsAskedOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := serve(t)
		c := NewControl(Defaults(), n.Dial)
		defer c.Close()
		req := &pb.SealRequest{Submission: &pb.SubmissionID{Incarnation: 1, Counter: 1}, Generation: &pb.Generation{Author: 1}}
		for range 2 {
			if m, err := c.Seal(context.Background(), "w1:1", req); err != nil || !m.Sealed {
				t.Fatalf("seal %v, %v", m, err)
			}
			n.Silence()
		}
		if n.Dials() != 2 {
			t.Fatalf("%d connections, want 2", n.Dials())
		}
	})
}

// Symptom: submissions end as unknown although their worker works. Sequence: one
// call asks a worker for a task that it does not know, others wait on the same
// connection. Cause: each error counted as a broken connection, which was closed
// under the others.
func TestUnknownTaskKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := serve(t)
		c := NewControl(Defaults(), n.Dial)
		defer c.Close()
		req := &pb.FollowRequest{Submission: &pb.SubmissionID{Incarnation: 1, Counter: 1}, Index: []uint32{0}}
		for range 2 {
			if _, err := c.Follow(context.Background(), "w1:1", req); connect.CodeOf(err) != connect.CodeNotFound {
				t.Fatalf("error %v, want not found", err)
			}
		}
		if n.Dials() != 1 {
			t.Fatalf("%d connections, want 1", n.Dials())
		}
	})
}

// Symptom: a worker stands idle for the rest of a lease after each planned
// hand-over. Sequence: the holder gives the lease back and leaves the connection;
// the next holder asks. Cause would be a connection that is left before the
// release was read, or a next holder that waits until the denied lease would have
// lapsed.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := serve(t)
		first, next := &events{}, &events{}
		s := Defaults()
		target := Target{ID: "w1", Address: "w1:1", Incarnation: 7}
		old := Start(s, target, Identity{EntryVM: "a", Incarnation: 1}, n.Dial, first)
		synctest.Wait()
		l := Start(s, target, Identity{EntryVM: "b", Incarnation: 2}, n.Dial, next)
		defer l.Stop()
		time.Sleep(s.LeaseTTL)
		old.Release()
		time.Sleep(s.MaxDeniedRetryDelay + s.RedialDelay)
		synctest.Wait()
		if len(first.granted) != 1 || len(next.granted) != 1 || len(next.lost) != 0 {
			t.Errorf("granted %v, then %v, lost %v", first.granted, next.granted, next.lost)
		}
	})
}

// Symptom: a VM that was paused takes workers from their new holders. Cause would
// be a link that asks for the lease before its VM knows how it stands.
func TestLinkAsksForNoLeaseWhileItsVMMayNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := serve(t)
		e, may := &events{}, &atomic.Bool{}
		s := Defaults()
		s.MayAcquire = may.Load
		l := Start(s, Target{ID: "w1", Address: "w1:1", Incarnation: 7}, Identity{EntryVM: "a", Incarnation: 1}, n.Dial, e)
		defer l.Stop()
		time.Sleep(s.LeaseTTL)
		synctest.Wait()
		if len(e.granted) != 0 {
			t.Fatalf("granted %v", e.granted)
		}
		may.Store(true)
		time.Sleep(3 * s.RedialDelay)
		synctest.Wait()
		if len(e.granted) != 1 {
			t.Errorf("granted %v", e.granted)
		}
	})
}
