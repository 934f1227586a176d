package vm

import (
	"context"
	"fmt"
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

// StoreLayout says under which keys of the store the platform keeps its list of workers, its configuration
// (the catalog) and requests for evacuations, and decodes them.
type StoreLayout struct {
	WorkerPrefix  string
	DecodeWorker  func(store.Item) (worker.Info, error)
	CatalogPrefix string
	CatalogKey    string
	DecodeCatalog func(store.Item) (*catalog.Catalog, error)
	// EvacuationPrefix is the prefix under which operators ask for evacuations: while a key with
	// the name of a failure domain exists, nothing may start there. It begins with CatalogPrefix,
	// so that one watch serves both; "": the site has no evacuations.
	EvacuationPrefix string
}

// Config is the configuration of an entry VM.
type Config struct {
	Name                string
	Incarnation         uint64 // identifies this process; unique in the site for all time
	Domain              string
	Domains             []string // all failure domains of the site
	PeerAddress         string   // where peers reach this VM
	PeerListen          net.Listener
	PeerDial            wire.Dialer                       // nil: TCP
	StoreTransport      relay.Transport                   // calls the store directly, without a peer
	NewStore            func(relay.Transport) store.Store // makes a client of the store that uses a transport
	Workers             worker.Client                     // calls workers
	StoreLayout         StoreLayout
	Policy              policy.Settings
	Cores               float64 // CPU of this VM; 0: not known
	LinkBytesPerSecond  float64 // bandwidth of this VM's link; 0: not known
	StoreReadsPerSecond float64 // reads of the store that all VMs may make together; 0: not known
	// MaxCatalogDelay is the longest time until a change of the configuration is in force; 0: 2 s.
	MaxCatalogDelay time.Duration
	// MaxLeaveNoticeDelay is the longest time until a worker that announces that it leaves gets no new
	// tasks; 0: 2 s.
	MaxLeaveNoticeDelay time.Duration
	MaxLease            time.Duration        // longest time by which the lease of a worker's runs is extended
	Now                 func() time.Duration // nil: the time since boot

	// wrapEvents wraps what receives the frames of peers, for tests with faults; nil: it is not wrapped.
	wrapEvents func(link.Events) link.Events
}

// Limits of the engine's event queue and rounds.
const (
	eventCapacity     = 16384
	busyRoundInterval = 40 * time.Millisecond
	idleRoundInterval = 100 * time.Millisecond // while this VM holds no shards and knows no submissions
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
	ends    *journal.Journal // ends and progress of submissions
	server  *link.Server
	metrics *metrics

	catalog  atomic.Pointer[catalog.Catalog]
	ready    atomic.Bool // this VM can accept submissions
	stopping atomic.Bool // Drain was called

	drainRequested      chan struct{} // closed by Drain
	drainOnce           sync.Once
	finished            chan struct{} // closed when callers that have no answer yet get one that says nothing
	finishOnce          sync.Once
	readWorkersRequests chan bool // whether to read the list of workers; the latest request only

	sweepsFinals atomic.Bool // this VM removes old final states from the store

	loggedEntries loggedKeys // unusable entries of the list of workers that were logged

	orderRTT atomic.Int64 // moving average, over all workers, of the round-trip time of orders, in nanoseconds

	relaxedSiteSize atomic.Int64 // number of VMs while changes of the site may reach this VM late; 0: they may not

	sessionKeyDeleted atomic.Bool // the watch saw this VM's own member key deleted

	oldestEvent waitingSince

	startLines lineLimit // about starts that were sent late

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start runs an entry VM until Stop.
func Start(c Config) *VM {
	if c.Now == nil {
		c.Now = clock.Now
	}
	v := &VM{config: c, now: c.Now, events: ring.New[event](eventCapacity), readWorkersRequests: make(chan bool, 1), drainRequested: make(chan struct{}), finished: make(chan struct{})}
	v.calls = newPeerCalls()
	v.router = relay.New(c.StoreTransport, v.calls, c.Now)
	v.metrics = newMetrics(c.Name)
	v.router.SetCallObserver(func(answered bool) { v.metrics.storeCalls[answered].Inc(1) })
	v.store = c.NewStore(v.router)
	v.intake = journal.New(journal.Settings{Name: "intake", Capacity: 4096, MaxInFlight: 4}, v.store)
	v.ends = journal.New(journal.Settings{
		Name:        "ends",
		MinInterval: endsInterval,
		Capacity:    65536,
		MaxInFlight: 2,
	}, v.store)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	e := newEngine(ctx, v)
	received := link.Events(e)
	if c.wrapEvents != nil {
		received = c.wrapEvents(e)
	}
	v.server = link.NewServer(v.heartbeat(), received, c.Now)
	v.spawn(func() {
		if err := v.server.Serve(c.PeerListen); err != nil {
			klog.ErrorS(err, "kept: listener for peers ended")
		}
	})
	v.spawn(func() { v.intake.Run(ctx) })
	v.spawn(func() { v.ends.Run(ctx) })
	v.spawn(func() { v.keepSession(ctx) })
	v.spawn(func() { v.watchSite(ctx) })
	v.spawn(func() { v.sweepFinals(ctx) })
	v.spawn(func() { v.watchWorkers(ctx) })
	v.spawn(func() { v.watchCatalog(ctx) })
	v.spawn(func() { ring.Loop(ctx, v.events, e.roundInterval, e.runTimedRound) })
	klog.InfoS("kept: started", "vm", c.Name, "incarnation", c.Incarnation, "domain", c.Domain, "address", c.PeerAddress)
	return v
}

// spawn runs f on a goroutine that Stop waits for.
func (v *VM) spawn(f func()) { v.goroutines.Go(f) }

func (v *VM) heartbeat() *pb.KeptHeartbeat {
	return &pb.KeptHeartbeat{EntryVm: v.config.Name, Incarnation: v.config.Incarnation}
}

// Ready reports whether load balancers should send new callers here.
func (v *VM) Ready() bool { return v.ready.Load() && !v.stopping.Load() }

// Stopping reports whether Drain was called. The VM still accepts submissions then: load
// balancers need some seconds to send callers elsewhere.
func (v *VM) Stopping() bool { return v.stopping.Load() }

// Metrics returns a handler that serves the metrics in the Prometheus format.
func (v *VM) Metrics() http.Handler { return v.metrics.handler() }

// Catalog returns the configuration in force; nil before the first.
func (v *VM) Catalog() *catalog.Catalog { return v.catalog.Load() }

// Drain makes the VM not ready and hands over all its shards. The VM goes on accepting
// submissions and answers those in flight. Drain returns when the shards are handed over, or ctx ends.
func (v *VM) Drain(ctx context.Context) {
	v.stopping.Store(true)
	v.drainOnce.Do(func() { close(v.drainRequested) })
	done := make(chan struct{})
	go func() {
		if !v.deliver(drainEvent{done: done}) {
			close(done) // the VM is stopped
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Stop ends all goroutines of the VM and waits for them.
func (v *VM) Stop() {
	v.cancel()
	if err := v.server.Close(); err != nil {
		klog.V(1).InfoS("kept: listener for peers not closed cleanly", "why", err)
	}
	v.goroutines.Wait()
	v.metrics.close()
	klog.InfoS("kept: stopped", "vm", v.config.Name)
}

// post queues an event for the engine; false: it was dropped. It is for requests, which are refused then, and for what
// comes again: listings, and the expiry of a lease. The queue is full only when the engine cannot keep up at all.
func (v *VM) post(e event) bool {
	v.oldestEvent.note(v.now)
	if v.events.TryPush(e) {
		return true
	}
	v.metrics.droppedEvents.Inc(1)
	klog.InfoS("kept: event dropped, the engine's queue is full", "event", fmt.Sprintf("%T", e))
	return false
}

// deliver queues an event that nothing replaces, such as the answer to a call of the engine's, a change in the store or a
// frame, and waits for room if the queue is full. A peer whose frames wait for long opens another stream, and sends again
// what has to arrive. The engine, which makes the room, does not call it. false: the VM is stopped, the event was dropped.
func (v *VM) deliver(e event) bool {
	v.oldestEvent.note(v.now)
	if v.events.TryPush(e) {
		return true
	}
	if v.events.Closed() {
		return false
	}
	v.metrics.delayedEvents.Inc(1)
	klog.InfoS("kept: event waits for room in the engine's queue", "event", fmt.Sprintf("%T", e))
	return v.events.Push(e)
}

// HoldsShard reports whether this VM holds a shard.
func (v *VM) HoldsShard(shard string) bool {
	reply := make(chan bool, 1)
	return v.post(holdsEvent{shard: shard, reply: reply}) && <-reply
}
