package vm

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// unreachable is a store transport and a worker client whose calls get no answer.
type unreachable struct{}

func (unreachable) Do(ctx context.Context, _ relay.Call) (relay.Reply, error) {
	return relay.Reply{}, context.DeadlineExceeded
}

func (unreachable) Start(context.Context, worker.Info, worker.Start) worker.Reply {
	return worker.Reply{Verdict: worker.NoAnswer}
}

func (unreachable) Stop(context.Context, worker.Info, worker.Stop) worker.Reply {
	return worker.Reply{Verdict: worker.NoAnswer}
}

func (unreachable) Hold(ctx context.Context, _ worker.Info, _ worker.Hold) (worker.Listing, worker.Reply) {
	pause.For(ctx, time.Minute)
	return worker.Listing{}, worker.Reply{Verdict: worker.NoAnswer}
}

// newIsolatedEngine returns an engine that holds a shard of two workers, knows domain b and a VM of it, and
// cannot reach the store, its workers or its peers.
func newIsolatedEngine(t *testing.T) *engine {
	t.Helper()
	now := time.Hour
	v := &VM{
		config: Config{Name: "a1", Domain: "a", Domains: []string{"a", "b"}, Workers: unreachable{}, MaxLease: time.Second, Policy: policy.Defaults()},
		now:    func() time.Duration { return now },
		events: ring.New[event](eventCapacity),
		calls:  newPeerCalls(),
	}
	v.router = relay.New(unreachable{}, v.calls, v.now)
	v.metrics = newMetrics("a1")
	v.store = &kvcall.Client{Calls: v.router}
	v.intake = journal.New(journal.Settings{Name: "intake", Capacity: 16}, v.store)
	v.ends = journal.New(journal.Settings{Name: "ends", Capacity: 16}, v.store)
	ctx, cancel := context.WithCancel(t.Context())
	e := newEngine(ctx, v)
	e.now = now
	t.Cleanup(func() {
		cancel()
		v.goroutines.Wait()
		if err := v.metrics.closer.Close(); err != nil {
			t.Error(err)
		}
	})
	for _, kv := range [][2]string{{site.DomainKey("a"), `{"n":1}`}, {site.DomainKey("b"), `{"n":1}`}, {site.MemberKey("b1"), `{"i":7,"d":"b"}`}} {
		if err := e.site.Apply(e.now, store.Event{Item: store.Item{Key: kv[0], Value: []byte(kv[1]), Revision: 3}}); err != nil {
			t.Fatal(err)
		}
	}
	e.acquireShard(site.Holding{Shard: "a/0", Holder: "a1", Token: 4, Revision: 5})
	e.setList("a", []worker.Info{
		{ID: "w1", Service: "desk", Address: "w1", Domain: "a", CPUMilli: 16000, MemMB: 4096},
		{ID: "w2", Service: "desk", Address: "w2", Domain: "a", CPUMilli: 16000, MemMB: 4096},
	}, e.now, "", 0)
	return e
}

// Guards against a frame from a peer that makes the process panic.
func FuzzFrame(f *testing.F) {
	rec := newOneStepRecord("job", 3, testWork)
	rec.Transient, rec.Shard, rec.Home = true, "a/0", "b1"
	list, err := json.Marshal([]worker.Info{{ID: "w3", Service: "desk", Address: "w3", Domain: "a", CPUMilli: 1, MemMB: 1}})
	if err != nil {
		f.Fatal(err)
	}
	for _, frame := range []*pb.KeptFrame{
		{Assign: []*pb.KeptAssign{{Id: "job", Record: rec.Encode()}, {Id: "job", Record: rec.Encode(), Resumed: true}}},
		{Assign: []*pb.KeptAssign{{Id: "job", Record: []byte(`{"s":[{"n":-7}],"h":"a/0"}`), Revision: 2}}},
		{Notes: []*pb.KeptNote{{Id: "job", Step: 9, Index: 1 << 31}}, Losses: []*pb.KeptLosses{{Id: "job", Step: 1, Losses: []*pb.KeptLoss{{Worker: "w1"}}}}},
		{States: []*pb.KeptState{{Id: "job", State: 77, Shard: "b/0", Returned: []*pb.KeptReturned{{Step: 3}}}}},
		{Queries: []*pb.KeptRef{{Id: "job"}}, Cancelled: []*pb.KeptRef{{Id: "job", Shard: "a/0"}}, TakenBack: []*pb.KeptRef{{Id: "job"}}},
		{Loads: []*pb.KeptLoad{{Shard: "b/0", Token: 1, Ready: true, RoomMilli: -5, FreeMilli: []uint32{1 << 31}, Queued: []*pb.KeptQueued{{Band: 9, Milli: -1}}}}},
		{Unplaced: &pb.KeptUnplaced{ByQueue: map[string]uint32{"q": 1 << 31}}, Elsewhere: []*pb.KeptWaiting{{Domain: "b", AgeNs: 1 << 63}}},
		{Workers: []*pb.KeptWorkers{{Domain: "a", List: list, AgeNs: 5, Version: 2}, {Domain: "a", List: []byte("[{}]")}, {Domain: "a", List: []byte("null")}}},
		{Evacuations: []*pb.KeptEvacuation{{Domain: "a", Revision: 9, Evacuated: true}}, Calls: []*pb.KeptCall{{Method: "GET", Target: "://"}}},
	} {
		b, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame pb.KeptFrame
		if proto.Unmarshal(data, &frame) != nil {
			return
		}
		e := newIsolatedEngine(t)
		scannedEvent{shard: "a/0", token: 4}.apply(e)
		for range 2 {
			frameEvent{from: "b1", frame: &frame}.apply(e)
			e.now += 50 * ms
			for name, h := range e.shards {
				e.runShard(name, h)
			}
			e.driveTransients()
		}
	})
}

// Guards against a key of the site in the store that makes the process panic.
func FuzzSiteKey(f *testing.F) {
	f.Add("vm/b1", []byte(`{"i":7,"d":"b","w":-3}`))
	f.Add("shard/a/0", []byte(`{"h":"b1","t":9}`))
	f.Add("shard/nowhere", []byte(`{"h":"a1","t":1}`))
	f.Add("domain/b", []byte(`{"n":1000}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e := newIsolatedEngine(t)
		siteEvent{requestedAt: e.now, events: []store.Event{{Item: store.Item{Key: site.Prefix + key, Value: value, Revision: 9}}}}.apply(e)
		e.now += time.Second
		e.site.Decide(e.now)
		for name, h := range e.shards {
			e.runShard(name, h)
		}
	})
}

var testWork = runhost.Work{Time: 50 * ms, CPUMilli: 6800}
