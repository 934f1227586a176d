package link

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/standin/mesh"
)

// recorder implements Events.
type recorder struct {
	mu     sync.Mutex
	up     int
	lost   []string
	frames []*pb.KeptFrame
}

func (r *recorder) PeerUp(string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up++
}

func (r *recorder) PeerLost(_, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, why)
}

func (r *recorder) InboundStreamEnded(string) {}

func (r *recorder) Frame(_ string, f *pb.KeptFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
}

func (r *recorder) queries() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frames {
		for _, q := range f.Queries {
			out = append(out, q.Id)
		}
	}
	return out
}

func (r *recorder) counts() (up, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up, len(r.lost)
}

func query(id string) *pb.KeptFrame { return &pb.KeptFrame{Queries: []*pb.KeptRef{{Id: id}}} }

// withServer runs a test with a server at "b:1" and the fake clock of synctest.
func withServer(t *testing.T, test func(ctx context.Context, m *mesh.Mesh, server *recorder, now func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		m := mesh.New()
		server := &recorder{}
		s := NewServer(&pb.KeptHeartbeat{EntryVm: "b", Incarnation: 7}, server, now)
		l := m.Listen("b:1", "b")
		go func() { _ = s.Serve(l) }()
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, m, server, now)
		cancel()
		m.Kill("b:1")
		_ = s.Close()
	})
}

func settings(now func() time.Duration) Settings {
	s := DefaultSettings()
	s.Now = now
	return s
}

func TestFramesArriveAndSilenceIsNoticed(t *testing.T) {
	withServer(t, func(ctx context.Context, m *mesh.Mesh, server *recorder, now func() time.Duration) {
		client := &recorder{}
		l := Open(ctx, settings(now), &pb.KeptHeartbeat{EntryVm: "a", Incarnation: 1}, "b", "b:1", m.Dialer("a:1", "a"), client)
		defer l.Close()
		time.Sleep(100 * time.Millisecond)
		l.Send(query("x"))
		time.Sleep(50 * time.Millisecond)
		if got := server.queries(); !slices.Equal(got, []string{"x"}) {
			t.Fatalf("arrived: %v", got)
		}
		m.SetCut("b", true)
		time.Sleep(900 * time.Millisecond)
		if up, lost := client.counts(); up != 1 || lost == 0 {
			t.Errorf("after 0.9 s of silence: up %d times, lost %d times", up, lost)
		}
		m.SetCut("b", false)
		time.Sleep(600 * time.Millisecond)
		if up, _ := client.counts(); up != 2 {
			t.Errorf("the link is not back 0.6 s after the heal")
		}
	})
}

// Guards against a killed peer that counts as alive until the silence timeout.
func TestKilledPeerIsLostAtOnce(t *testing.T) {
	withServer(t, func(ctx context.Context, m *mesh.Mesh, _ *recorder, now func() time.Duration) {
		client := &recorder{}
		l := Open(ctx, settings(now), &pb.KeptHeartbeat{EntryVm: "a", Incarnation: 1}, "b", "b:1", m.Dialer("a:1", "a"), client)
		defer l.Close()
		time.Sleep(100 * time.Millisecond)
		m.Kill("b:1")
		time.Sleep(20 * time.Millisecond)
		if _, lost := client.counts(); lost == 0 {
			t.Error("not noticed within 20 ms")
		}
	})
}

// Guards against a task that runs twice at once: a home sends a submission to its holder as a partition
// begins, gives it up, and the caller sends it to another VM. When the partition heals, the first
// frame is still delivered.
func TestFramesDelayedByAPartitionAreDropped(t *testing.T) {
	withServer(t, func(ctx context.Context, m *mesh.Mesh, server *recorder, _ func() time.Duration) {
		client := wire.NewClient(m.Dialer("a:1", "a"), nil)
		defer client.CloseAll()
		conn := pumiceyardv1connect.NewKeptServiceClient(client.Client, "http://b:1", wire.ClientOptions()...).Link(ctx)
		if err := conn.Send(&pb.KeptFrame{EntryVm: "a", Incarnation: 1}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := conn.Send(query("in time")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		_ = conn.Send(query("too late"))
		_ = conn.Send(query("after it"))
		time.Sleep(time.Second)
		if got := server.queries(); !slices.Equal(got, []string{"in time"}) {
			t.Errorf("arrived: %v", got)
		}
	})
}

// Guards against live holders that lose their shards while a site of many VMs starts: a busy VM answers a new
// link only after several attempts, and one failed attempt must not count as the loss of the peer.
func TestPeerThatWasNeverReachedIsNotLostAtOnce(t *testing.T) {
	withServer(t, func(ctx context.Context, m *mesh.Mesh, _ *recorder, now func() time.Duration) {
		client := &recorder{}
		s := settings(now)
		m.SetCut("b", true) // as if it were too busy to answer
		l := Open(ctx, s, &pb.KeptHeartbeat{EntryVm: "a", Incarnation: 1}, "b", "b:1", m.Dialer("a:1", "a"), client)
		defer l.Close()
		time.Sleep(s.FirstContactTimeout / 2)
		if _, lost := client.counts(); lost != 0 {
			t.Errorf("lost %d times before it was ever reached", lost)
		}
		time.Sleep(s.FirstContactTimeout)
		if _, lost := client.counts(); lost == 0 {
			t.Errorf("not lost %v after the first attempt", s.FirstContactTimeout*3/2)
		}
	})
}
