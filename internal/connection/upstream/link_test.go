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

// events records the reports of a link in order.
type events struct {
	granted []uint64 // epochs
	lost    []string
	results []*pb.TaskResult
}

func (e *events) Granted(_ string, m *pb.Granted) { e.granted = append(e.granted, m.Epoch) }
func (e *events) Usage(string, *pb.Usage)         {}
func (e *events) Lost(_ string, _ *pb.Granted, reason string) {
	e.lost = append(e.lost, reason)
}

func (e *events) Confirmed(string, uint64, *pb.AllotmentAnswer, *pb.Throttle) {}
func (e *events) Results(_ string, groups []*pb.ResultGroup) {
	for _, g := range groups {
		e.results = append(e.results, g.Results...)
	}
}

// serve runs a simulated worker on an in-memory network.
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

// Guards against a worker that gets no more work and against a start that is sent
// twice. The connection with the lease goes silent for good while new connections
// work, and after the lease is acquired again the holder sends a start under the old
// epoch. The link must neither wait on the old connection nor resend on the new one
// what it sent on the old one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n := serve(t)
		e, s := &events{}, Defaults()
		l := Start(s, Target{ID: "w1", Address: "w1:1"}, Identity{EntryVM: "vm1", Incarnation: 1}, n.Dial, e)
		defer l.Stop()
		synctest.Wait()
		if len(e.granted) != 1 {
			t.Fatalf("leases granted: %v, want one", e.granted)
		}
		n.Silence()
		l.Send(start(e.granted[0], 1))
		time.Sleep(s.SilenceTimeout + 2*s.HeartbeatInterval + 2*s.RedialDelay)
		synctest.Wait()
		if len(e.lost) != 1 || e.lost[0] != "silent" || len(e.granted) != 2 || n.Dials() != 2 {
			t.Fatalf("lost %v, leases %v, %d connections: want the silent connection replaced by one new connection", e.lost, e.granted, n.Dials())
		}
		l.Send(start(e.granted[0], 2))
		l.Send(start(e.granted[1], 3))
		time.Sleep(2 * time.Second)
		if _, starts, _ := w.Starts(); starts != 1 || len(e.results) != 1 {
			t.Fatalf("%d starts, %d results, want the one of the new lease", starts, len(e.results))
		}
	})
}

// Guards against a submission that ends as unknown although its worker is up: the
// connection for control calls has gone silent, and a seal is retried on it instead
// of on a new connection.
func TestSealIsRetriedOnNewConnection(t *testing.T) {
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

// Guards against submissions that end as unknown although their worker is up: one
// call asks the worker for a task that it does not know while other calls wait on
// the same connection. The error must not count as a failed connection, because
// closing it would break the other calls.
func TestNotFoundKeepsConnectionOpen(t *testing.T) {
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

// Guards against a worker that is idle for the rest of a lease after each planned
// handover. The holder releases the lease and closes the connection, then the next
// holder requests the lease. The connection must not be closed before the worker has
// read the release, and the next holder must not wait until the lease that it was
// denied would have expired.
func TestReleasedLeaseIsReacquiredAtOnce(t *testing.T) {
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
			t.Errorf("first holder granted %v, next holder granted %v and lost %v; want one grant each and no loss", first.granted, next.granted, next.lost)
		}
	})
}

// Guards against a VM that takes workers from their new holders after it was paused:
// its links must not request leases before MayAcquire allows it.
func TestLinkDoesNotAcquireWhileVMMayNotAct(t *testing.T) {
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
			t.Fatalf("leases granted: %v, want none", e.granted)
		}
		may.Store(true)
		time.Sleep(3 * s.RedialDelay)
		synctest.Wait()
		if len(e.granted) != 1 {
			t.Errorf("leases granted: %v, want one", e.granted)
		}
	})
}
