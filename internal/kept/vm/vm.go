package vm

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/clock"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

// Lists says where the platform keeps its lists in the store, and reads them.
type StoreLayout struct {
	WorkerPrefix  string
	DecodeWorker  func(store.Item) (worker.Info, error)
	CatalogPrefix string
	CatalogKey    string
	DecodeCatalog func(store.Item) (*catalog.Catalog, error)
	// EvacuationPrefix is where operators ask for evacuations: one key for each failure domain,
	// named after it, for as long as nothing may start there. It begins with CatalogPrefix, so
	// that one watch serves both; "": there are none.
	EvacuationPrefix string
}

// Config is what an entry VM is made of.
type Config struct {
	Name                string
	Incarnation         uint64 // of this process; no other process of the site ever has the same
	Domain              string
	Domains             []string // all failure domains of the site
	PeerAddress         string   // where peers reach this VM
	PeerListen          net.Listener
	PeerDial            wire.Dialer // nil: TCP
	Direct              relay.Transport
	Store               func(relay.Transport) store.Store // the store, over a way of making calls
	Orders              worker.Client
	StoreLayout         StoreLayout
	Policy              policy.Settings
	Cores               float64 // processor of this VM, in cores; 0: not known
	LinkBytesPerSecond  float64 // what this VM's link carries a second, in bytes; 0: not known
	StoreReadsPerSecond float64 // reads of the store a second that all VMs may make together; 0: not known
	// MaxCatalogDelay is how soon a change of the configuration is in force; 0: in 2 s.
	MaxCatalogDelay time.Duration
	// MaxLeaveNoticeDelay is how soon a worker that says it leaves gets nothing new; 0: in 2 s.
	MaxLeaveNoticeDelay time.Duration
	MaxLease            time.Duration // longest lease of runs at a worker
	Now                 func() time.Duration
}

// Bounds of an entry VM.
const (
	eventCapacity     = 16384
	busyRoundInterval = 40 * time.Millisecond
	idleRoundInterval = 100 * time.Millisecond // of a VM that holds nothing and has nothing open
)

// VM is a running entry VM.
type VM struct {
	config  Config
	now     func() time.Duration
	events  *ring.Ring[event]
	router  *relay.Router
	calls   *peerCalls
	store   store.Store
	intake  *journal.Journal // new submissions
	ends    *journal.Journal // ends and progress
	server  *link.Server
	metrics *metrics

	catalog  atomic.Pointer[catalog.Catalog]
	ready    atomic.Bool // a shard takes submissions, and so does this VM
	stopping atomic.Bool

	drainRequested      chan struct{} // closed when this VM is about to stop
	drainOnce           sync.Once
	readWorkersRequests chan bool // whether the list of workers is to be read

	sweepsFinals atomic.Bool // this VM removes final states

	loggedEntries loggedKeys // entries of the list of workers

	orderRTT atomic.Int64 // how long answers of workers to orders usually take, in nanoseconds

	relaxedSiteSize atomic.Int64 // VMs of the site, while its news need not reach this VM at once; 0: they must

	sessionKeyDeleted atomic.Bool // the session's key was deleted though nobody ended it

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start runs an entry VM until Stop.
func Start(c Config) *VM {
	if c.Now == nil {
		c.Now = clock.Now
	}
	v := &VM{config: c, now: c.Now, events: ring.New[event](eventCapacity), readWorkersRequests: make(chan bool, 1), drainRequested: make(chan struct{})}
	v.calls = newPeerCalls()
	v.router = relay.New(c.Direct, v.calls, c.Now)
	v.metrics = newMetrics(c.Name)
	v.router.SetCallObserver(func(answered bool) { v.metrics.storeCalls[answered].Inc(1) })
	v.store = c.Store(v.router)
	v.intake = journal.New(journal.Settings{Name: "intake", Capacity: 4096, MaxInFlight: 4}, v.store)
	v.ends = journal.New(journal.Settings{
		Name:        "ends",
		BatchDelay:  endsBatchDelay,
		Capacity:    65536,
		MaxInFlight: 2,
	}, v.store)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	e := newEngine(ctx, v)
	v.server = link.NewServer(v.heartbeat(), e, c.Now)
	v.spawn(func() {
		if err := v.server.Serve(c.PeerListen); err != nil {
			klog.ErrorS(err, "kept: peers' listener ended")
		}
	})
	v.spawn(func() { v.intake.Run(ctx) })
	v.spawn(func() { v.ends.Run(ctx) })
	v.spawn(func() { v.keepSession(ctx) })
	v.spawn(func() { v.watchSite(ctx) })
	v.spawn(func() { v.sweepFinals(ctx) })
	v.spawn(func() { v.watchWorkers(ctx) })
	v.spawn(func() { v.watchCatalog(ctx) })
	v.spawn(func() { ring.Loop(ctx, v.events, e.roundInterval, e.runRound) })
	klog.InfoS("kept: started", "vm", c.Name, "incarnation", c.Incarnation, "domain", c.Domain, "address", c.PeerAddress)
	return v
}

func (v *VM) spawn(f func()) { v.goroutines.Go(f) }

func (v *VM) heartbeat() *pb.KeptHeartbeat {
	return &pb.KeptHeartbeat{EntryVm: v.config.Name, Incarnation: v.config.Incarnation}
}

// Ready reports whether new callers should come here.
func (v *VM) Ready() bool { return v.ready.Load() && !v.stopping.Load() }

// Stopping reports whether Drain was called. The VM still takes submissions then: the
// balancer needs some seconds to send callers elsewhere.
func (v *VM) Stopping() bool { return v.stopping.Load() }

// Metrics serves counters and histograms in the usual scrape format.
func (v *VM) Metrics() http.Handler { return v.metrics.handler() }

// Catalog is the configuration in force; nil before the first.
func (v *VM) Catalog() *catalog.Catalog { return v.catalog.Load() }

// Drain gives up all shards and is not ready any more. Submissions are still taken, and
// those under way are answered. It returns when the shards are given up, or ctx ends.
func (v *VM) Drain(ctx context.Context) {
	v.stopping.Store(true)
	v.drainOnce.Do(func() { close(v.drainRequested) })
	done := make(chan struct{})
	if !v.post(drainEvent{done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Stop ends all duties.
func (v *VM) Stop() {
	v.cancel()
	if err := v.server.Close(); err != nil {
		klog.V(1).InfoS("kept: peers' listener", "why", err)
	}
	v.goroutines.Wait()
	v.metrics.close()
	klog.InfoS("kept: stopped", "vm", v.config.Name)
}

// post hands an event to the engine. A full ring means that the engine cannot
// keep up at all.
func (v *VM) post(e event) bool {
	if v.events.TryPush(e) {
		return true
	}
	v.metrics.droppedEvents.Inc(1)
	klog.InfoS("kept: event dropped, the ring is full")
	return false
}

// Holds reports whether this VM holds a shard.
func (v *VM) Holds(shard string) bool {
	reply := make(chan bool, 1)
	return v.post(holdsEvent{shard: shard, reply: reply}) && <-reply
}
