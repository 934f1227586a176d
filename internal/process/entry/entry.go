// Package entry assembles an entry VM: it connects the components of the process
// (home, holder, router, control, planner and others) to each other and to their
// network connections, and starts and stops them.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/control"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
	"github.com/pumiceyard/pumiceyard/internal/process/home"
	"github.com/pumiceyard/pumiceyard/internal/process/metrics"
	"github.com/pumiceyard/pumiceyard/internal/process/router"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const logPrefix = "entry: "

// callerBeats is the ratio of the heartbeat interval of caller connections to that
// between entry VMs. Callers have longer round trips and many connections.
const callerBeats = 2

// maxForwards is how many times a request is forwarded to its home VM before that
// VM counts as lost.
const maxForwards = 2

// VM is a running entry VM.
type VM struct {
	settings    Settings
	secure      *secure.Credentials // nil: operator and peer connections are not encrypted
	incarnation uint64

	document  atomic.Pointer[document.Document]
	fleet     *fleet.Fleet
	timelines *timeline.Store
	metrics   *metrics.Metrics
	home      *home.Home
	holder    *holder.Holder
	router    *router.Router
	peers     *peerSet
	workers   *workerSet
	local     *localSession
	shares    *shares
	platform  *platform.Client
	platHTTP  *http.Client
	store     *storeclient.Client
	planner   *planner
	control   *control.Control
	exchange  *peer.Exchange
	list      atomic.Pointer[pb.ListVMsResponse] // the newest VM list

	listWanted  chan struct{} // signals that the VM list should be read
	superseding sync.Once
	superseded  chan struct{} // closed when a later start has taken the name

	listeners listeners
	servers   []*http.Server
	peerSide  *peer.Server
	ready     atomic.Bool
	listed    atomic.Bool // the last read of the platform's VM list succeeded
	leaving   atomic.Bool // a planned stop has begun; reported as unready to the load balancer
	draining  atomic.Bool // no new work is admitted and leases are released

	cancel context.CancelFunc
	duties sync.WaitGroup
}

// listeners are the VM's listening sockets.
type listeners struct{ caller, operator, peer net.Listener }

// Start starts an entry VM. The VM listens when Start returns, and becomes ready
// once it has a configuration and a list of VMs.
func Start(s Settings) (*VM, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	material, err := s.TLS.Load()
	if err != nil {
		return nil, err
	}
	vm := &VM{
		settings:    s,
		secure:      material,
		incarnation: ticket.NewIncarnation(time.Now()),
		listWanted:  make(chan struct{}, 1),
		superseded:  make(chan struct{}),
	}
	if err := vm.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	vm.build()
	vm.run(ctx)
	klog.InfoS(logPrefix+"started", "name", s.Name, "domain", s.Domain, "incarnation", vm.incarnation,
		"callers", vm.CallerAddress(), "operators", vm.OperatorAddress(), "peers", vm.PeerAddress())
	return vm, nil
}

func (vm *VM) listen() error {
	for _, l := range []struct {
		role    string
		address string
		into    *net.Listener
	}{
		{"caller", vm.settings.CallerListen, &vm.listeners.caller},
		{"operator", vm.settings.OperatorListen, &vm.listeners.operator},
		{"peer", vm.settings.PeerListen, &vm.listeners.peer},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			vm.closeListeners()
			return err
		}
		if wrapper := vm.settings.Wrapper; wrapper != nil {
			listener = wrapper.WrapListener(l.role, listener)
		}
		*l.into = listener
	}
	return nil
}

func (vm *VM) closeListeners() {
	for _, l := range []net.Listener{vm.listeners.caller, vm.listeners.operator, vm.listeners.peer} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// build creates the components and connects them.
func (vm *VM) build() {
	s := &vm.settings
	vm.fleet = fleet.New()
	vm.timelines = timeline.NewStore(s.Timelines)
	vm.metrics = metrics.New(s.Name)
	vm.platHTTP = platform.NewHTTPClient(s.dialer())
	vm.platform = platform.Dial(vm.platHTTP, s.Platform)
	vm.store = vm.newStore()
	vm.workers = newWorkerSet(vm)
	vm.peers = newPeerSet(vm)
	self := peer.Identity{Name: s.Name, Incarnation: vm.incarnation}
	vm.exchange = peer.NewExchange(s.peer(), vm.peers.dial, self, s.Domain)
	vm.control = vm.newControl()

	holderSettings := holder.Defaults()
	holderSettings.MaxQueued = s.MaxQueuedTasks
	vm.planner = newPlanner(vm)
	vm.holder = holder.New(holder.Config{
		Settings:    holderSettings,
		Name:        s.Name,
		Domain:      s.Domain,
		Incarnation: vm.incarnation,
		Workers:     vm.workers,
		Peers:       vm.peers,
		PlanWanted:  vm.planner.wanted,
		Observer:    vm.metrics,
		Timelines:   vm.timelines,
		Rack:        func(worker string) string { return vm.fleet.Latest().Workers[worker].Rack },
		Class:       vm.classOf,
		MayAct:      vm.control.MayAct,
	})
	homeSettings := home.Defaults()
	homeSettings.RetainBytes = s.RetainAnswerBytes
	vm.home = home.New(home.Config{
		Settings:    homeSettings,
		Name:        s.Name,
		Domain:      s.Domain,
		Incarnation: vm.incarnation,
		Owners:      vm.peers,
		Workers:     vm.workers,
		Peers:       vm.peers,
		Timelines:   vm.timelines,
		Observer:    vm.metrics,
	})
	vm.shares = newShares(vm.holder)
	vm.local = newLocalSession(vm)
	vm.router = router.New(router.Config{
		Name:        s.Name,
		Domain:      s.Domain,
		Incarnation: vm.incarnation,
		Key:         []byte(s.TicketKey),
		TicketTTL:   millis(s.TicketTTLMillis),
		MaxForwards: maxForwards,
		Home:        vm.home,
		Fleet:       vm.fleet,
		Peers:       vm.peers,
		Document:    vm.Document,
		Timelines:   vm.timelines,
	})
}

// run starts the goroutines of the components and the servers.
func (vm *VM) run(ctx context.Context) {
	vm.duties.Go(func() { vm.home.Run(ctx) })
	vm.duties.Go(func() { vm.holder.Run(ctx) })
	vm.duties.Go(func() { vm.local.run(ctx) })
	vm.duties.Go(func() { vm.control.Run(ctx) })
	vm.duties.Go(func() { vm.pollList(ctx) })
	vm.duties.Go(func() { vm.planner.follow(ctx) })
	vm.duties.Go(func() { vm.planner.run(ctx) })
	vm.duties.Go(func() { vm.reconcileLeases(ctx) })

	callers := caller.Defaults()
	callers.MaxBodyBytes = vm.settings.MaxBodyBytes
	callers.HeartbeatInterval = callerBeats * millis(vm.settings.BeatMillis)
	callers.BodyTimeout = millis(vm.settings.BodyTimeoutMillis)
	vm.serve(vm.listeners.caller, caller.NewServer(callers, vm.router, vm, vm.Document, vm.newClaims(vm.store)).Handler(), nil)
	self := peer.Identity{Name: vm.settings.Name, Incarnation: vm.incarnation}
	vm.peerSide = peer.NewServer(vm.settings.peer(), vm.settings.PeerToken, self, vm.holder, peerHome{vm}, controlled{vm})
	vm.serve(vm.listeners.peer, vm.peerSide.Handler(), vm.secure.ServerConfig())
	vm.serve(vm.listeners.operator, vm.operatorHandler(), vm.secure.ServerConfig())
}

func (vm *VM) serve(l net.Listener, handler http.Handler, config *tls.Config) {
	server := wire.NewServer(handler, config)
	vm.servers = append(vm.servers, server)
	vm.duties.Go(func() {
		if err := wire.Serve(server, l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, logPrefix+"listener ended", "address", l.Addr().String())
		}
	})
}

// Document returns the current configuration, nil if there is none yet.
func (vm *VM) Document() *document.Document { return vm.document.Load() }

// Incarnation returns the number that identifies this start of the VM.
func (vm *VM) Incarnation() uint64 { return vm.incarnation }

// CallerAddress returns the address that callers connect to.
func (vm *VM) CallerAddress() string { return vm.listeners.caller.Addr().String() }

// OperatorAddress returns the address that operators connect to.
func (vm *VM) OperatorAddress() string { return vm.listeners.operator.Addr().String() }

// PeerAddress returns the address that other entry VMs connect to.
func (vm *VM) PeerAddress() string {
	if vm.settings.PeerAddress != "" {
		return vm.settings.PeerAddress
	}
	return vm.listeners.peer.Addr().String()
}

// Ready reports whether the load balancer should send callers to this VM.
func (vm *VM) Ready() bool { return vm.ready.Load() && !vm.leaving.Load() }

func (vm *VM) classOf(template string) fairness.Class {
	if d := vm.Document(); d != nil {
		if t := d.Template(template); t != nil {
			switch t.Class {
			case document.Urgent:
				return fairness.Urgent
			case document.Bulk:
				return fairness.Bulk
			}
		}
	}
	return fairness.Normal
}
