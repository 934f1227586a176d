// Package control runs the deterministic cores of membership and configuration
// distribution on one entry VM: it passes them ticks, messages and replies, and
// executes the actions that they return.
//
// One goroutine, Control.Run, owns both cores. All others send it events through
// a bounded ring buffer. Events from the network are dropped when it is full, as
// if the network had lost them; Leave and ListRead wait for room.
package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire/fleetwire"
	"github.com/pumiceyard/pumiceyard/internal/process/distribution"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

const (
	logPrefix = "control: "
	// waiting is the capacity of the event queue of the cores.
	waiting = 4096
	// pauseLimit is the maximum age of the last membership step at which the VM
	// may act. It equals the limit of package membership, which detects a pause
	// only at its next step.
	pauseLimit = time.Second
)

// Store is the part of the store client that Control uses; storeclient.Client
// implements it.
type Store interface {
	Watch(ctx context.Context, purpose storeclient.Purpose, key string, after uint64, wait time.Duration) (*pb.WatchResponse, error)
}

// VM is the entry VM that the cores run on. All methods are called from
// Control.Run and must not block.
type VM interface {
	// SendMembership and SendRevision send a message to another entry VM. The
	// message may be lost.
	SendMembership(address string, m membership.Message)
	SendRevision(address string, m distribution.Message)
	// ReadList starts a read of the platform's VM list. The result is passed to
	// Control.ListRead.
	ReadList()
	// ListTaken is called with each VM list that was read and accepted by the
	// membership.
	ListTaken(m *pb.ListVMsResponse)
	// InForce applies a configuration revision.
	InForce(head *publication.Head)
	// ViewChanged is called after each change of the membership view.
	ViewChanged(v membership.View)
	// ReadyChanged is called when Ready becomes true.
	ReadyChanged()
}

// Config holds the dependencies of a Control.
type Config struct {
	Self  membership.Fact
	Seed  uint64
	Store Store
	VM    VM
}

// Control runs the membership and distribution cores.
type Control struct {
	cfg    Config
	inbox  *ring.Ring[event]
	calls  sync.WaitGroup
	view   atomic.Pointer[membership.View]
	ready  atomic.Bool
	step   atomic.Pointer[time.Time] // of the membership's last step
	member *membership.Core

	// node distributes the configuration. It is created after the first read of
	// the VM list, because it knows no peers before and would rely on the store
	// alone.
	node      *distribution.Node
	peers     []distribution.Peer
	addresses map[string]string // of the other entry VMs, by name
}

// event is an input of one of the cores.
type event interface {
	apply(ctx context.Context, c *Control)
}

// New returns a Control; call Run to start it.
func New(cfg Config, now time.Time) *Control {
	c := &Control{
		cfg:       cfg,
		inbox:     ring.New[event](waiting),
		member:    membership.New(membership.Options{Self: cfg.Self, Seed: cfg.Seed}, now),
		addresses: make(map[string]string),
	}
	c.noteStep(now)
	view := c.member.View()
	c.view.Store(&view)
	return c
}

// Run is the main loop of the cores. It returns when ctx is done and all store
// calls have ended.
func (c *Control) Run(ctx context.Context) {
	ticks := time.NewTicker(membership.TickInterval)
	defer ticks.Stop()
	defer c.calls.Wait()
	defer c.inbox.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			c.stepMembership(ctx, membership.Tick{})
			c.stepNode(ctx, distribution.Tick{})
		case <-c.inbox.Ready():
			for _, e := range c.inbox.Drain() {
				e.apply(ctx, c)
			}
		}
	}
}

// View returns the current membership view. It must not be modified.
func (c *Control) View() membership.View { return *c.view.Load() }

// Ready reports whether this VM has applied the highest configuration revision
// that it could find at its start.
func (c *Control) Ready() bool { return c.ready.Load() }

// MayAct reports whether this VM may place work and take leases.
//
// It guards against a VM that is paused until its worker leases expire and others
// acquire them, and that resumes and acts on outdated state. The membership
// detects the pause only at its next step; the age of its last step reveals it
// to any goroutine that runs earlier.
func (c *Control) MayAct(now time.Time) bool {
	last := *c.step.Load()
	gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	return gap <= pauseLimit && c.view.Load().Standing == membership.Acting
}

func (c *Control) noteStep(now time.Time) { c.step.Store(&now) }

// FromPeer queues messages from another entry VM. Nil messages are skipped.
func (c *Control) FromPeer(from distribution.Peer, member membership.Message, revision distribution.Message) {
	if member != nil {
		c.inbox.TryPush(memberEvent{membership.Received{From: from.ID, Message: member}})
	}
	if revision != nil {
		c.inbox.TryPush(nodeEvent{distribution.Received{From: from, Message: revision}})
	}
}

// ListRead queues the result of a read of the platform's VM list, nil if it
// failed. It blocks until there is room, because the membership requests no
// other list before it gets this result.
func (c *Control) ListRead(m *pb.ListVMsResponse) { c.inbox.Push(listEvent{m}) }

// WorkerSaid queues what a worker reported about itself.
func (c *Control) WorkerSaid(worker membership.Fact) {
	c.inbox.TryPush(memberEvent{membership.WorkerSaid{Worker: worker}})
}

// Leave announces to the other entry VMs that this VM leaves.
func (c *Control) Leave() { c.inbox.Push(memberEvent{membership.Leave{}}) }

type memberEvent struct{ event membership.Event }

func (e memberEvent) apply(ctx context.Context, c *Control) { c.stepMembership(ctx, e.event) }

// listEvent is the result of a list read; the list is nil if the read failed.
type listEvent struct{ list *pb.ListVMsResponse }

func (e listEvent) apply(ctx context.Context, c *Control) {
	if e.list == nil {
		c.stepMembership(ctx, membership.ListRead{Failed: true})
	} else {
		c.stepMembership(ctx, membership.ListRead{Version: e.list.Version, VMs: fleetwire.ListedFacts(e.list)})
		if !c.View().ListDoubted {
			c.cfg.VM.ListTaken(e.list)
		}
	}
	if c.node == nil {
		self := distribution.Peer{ID: c.cfg.Self.ID, Domain: c.cfg.Self.Domain}
		c.node = distribution.New(distribution.Options{Self: self, Seed: c.cfg.Seed}, time.Now())
		c.tellPeers(ctx)
	}
}

type nodeEvent struct{ event distribution.Event }

func (e nodeEvent) apply(ctx context.Context, c *Control) { c.stepNode(ctx, e.event) }

// stepMembership passes an event to the membership and executes its actions.
func (c *Control) stepMembership(ctx context.Context, event membership.Event) {
	now := time.Now()
	actions := c.member.Step(now, event)
	view := c.member.View()
	changed := view.Version != c.view.Load().Version
	if changed {
		c.view.Store(&view)
	}
	c.noteStep(now)
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			if action.Address != "" {
				c.cfg.VM.SendMembership(action.Address, action.Message)
			}
		case membership.ReadList:
			c.cfg.VM.ReadList()
		}
	}
	if changed {
		c.cfg.VM.ViewChanged(view)
		c.tellPeers(ctx)
	}
}

// tellPeers passes the known entry VMs to the distribution, including suspected
// ones: the revisions that they hold still count, and contacting them is how
// the distribution recovers after a network partition.
func (c *Control) tellPeers(ctx context.Context) {
	var peers []distribution.Peer
	clear(c.addresses)
	for _, vm := range Others(c.View(), c.cfg.Self.ID) {
		peers = append(peers, distribution.Peer{ID: vm.ID, Domain: vm.Domain})
		c.addresses[vm.ID] = vm.Address
	}
	if c.node == nil || slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	c.stepNode(ctx, distribution.PeersChanged{Peers: peers})
}

// Others returns the entry VMs of a view except this one, including suspected
// ones, sorted by ID.
func Others(v membership.View, self string) []membership.Fact {
	var out []membership.Fact
	for _, live := range v.Live {
		for _, vm := range live {
			if vm.ID != self {
				out = append(out, vm)
			}
		}
	}
	for _, s := range v.Suspects {
		if !s.Live {
			out = append(out, s.VM)
		}
	}
	slices.SortFunc(out, func(a, b membership.Fact) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return slices.CompactFunc(out, func(a, b membership.Fact) bool { return a.ID == b.ID })
}

// stepNode passes an event to the distribution and executes its actions.
func (c *Control) stepNode(ctx context.Context, event distribution.Event) {
	if c.node == nil {
		return
	}
	for _, action := range c.node.Step(time.Now(), event) {
		switch action := action.(type) {
		case distribution.Send:
			if address := c.addresses[action.To.ID]; address != "" {
				c.cfg.VM.SendRevision(address, action.Message)
			}
		case distribution.CallStore:
			c.calls.Go(func() { c.callStore(ctx, action) })
		case distribution.Apply:
			c.apply(action.Snapshot)
		case distribution.Ready:
			c.ready.Store(true)
			c.cfg.VM.ReadyChanged()
		}
	}
}

func (c *Control) apply(s distribution.Snapshot) {
	_, head, err := distribution.Decode(s.Encoded, s.Version)
	if err != nil {
		panic("a revision that was decoded before can not be decoded: " + err.Error())
	}
	c.cfg.VM.InForce(head)
}

// callStore makes one call to the store and queues the result.
func (c *Control) callStore(ctx context.Context, call distribution.CallStore) {
	answer := distribution.StoreAnswered{Call: call.Call}
	m, err := c.cfg.Store.Watch(ctx, storeclient.ForConfiguration, publication.HeadKey, call.After, call.Wait)
	if err == nil && m.Changed {
		answer.Snapshot, _, err = distribution.Decode(m.Value, m.Version)
		if err != nil {
			klog.ErrorS(err, logPrefix+"document refused")
		}
	}
	answer.Failed = err != nil
	c.inbox.TryPush(nodeEvent{answer})
}
