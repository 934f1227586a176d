// Package control runs the deterministic cores of the membership and of the
// configuration's distribution on one entry VM: it gives them the time and what
// arrives, and carries out what they ask for.
//
// One goroutine, Control.Run, owns both cores. Everything else reaches it through
// a bounded ring; what does not fit is lost, as on a network.
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
	// waiting bounds the events that wait for the cores.
	waiting = 4096
	// pauseLimit is how old the cores' last step may be for the VM to act. It
	// is that of the membership, which sees a pause only at its next step.
	pauseLimit = time.Second
)

// Store is the platform's store, as storeclient.Client gives it.
type Store interface {
	Watch(ctx context.Context, purpose storeclient.Purpose, key string, after uint64, wait time.Duration) (*pb.WatchResponse, error)
}

// VM is the entry VM that the cores work for. All calls come from Control.Run
// and must not block.
type VM interface {
	// SendMembership and SendRevision send to another entry VM; the message may
	// get lost.
	SendMembership(address string, m membership.Message)
	SendRevision(address string, m distribution.Message)
	// ReadList asks for the platform's list; Control.ListRead brings the end.
	ReadList()
	// ListTaken follows each list that was read and is believed.
	ListTaken(m *pb.ListVMsResponse)
	// InForce puts a revision in force.
	InForce(head *publication.Head)
	// ViewChanged follows each change of the view.
	ViewChanged(v membership.View)
	// ReadyChanged follows the change of Ready.
	ReadyChanged()
}

// Config wires a Control.
type Config struct {
	Self  membership.Fact
	Seed  uint64
	Store Store
	VM    VM
}

// Control runs both cores.
type Control struct {
	cfg    Config
	inbox  *ring.Ring[event]
	calls  sync.WaitGroup
	view   atomic.Pointer[membership.View]
	ready  atomic.Bool
	step   atomic.Pointer[time.Time] // of the membership's last step
	member *membership.Core

	// node distributes the configuration. It begins once the list was asked
	// for: before, it knows no peers, and would take the store's word alone.
	node      *distribution.Node
	peers     []distribution.Peer
	addresses map[string]string // of the other entry VMs, by name
}

// event is a step of a core.
type event interface {
	apply(ctx context.Context, c *Control)
}

// New returns a Control. Run starts it.
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

// Run is the goroutine of the cores. It returns when ctx ends and every call
// that it made has.
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

// View is what the membership knows now. It must not be modified.
func (c *Control) View() membership.View { return *c.view.Load() }

// Ready reports whether the configuration in force is the highest that this VM
// could learn of since it started.
func (c *Control) Ready() bool { return c.ready.Load() }

// MayAct reports whether this VM may place work and take leases.
//
// What goes wrong otherwise: a VM is paused, its workers' leases lapse and others
// take them; it wakes and acts on what it knew. The membership finds the pause at
// its next step; the age of its last step shows it to whoever runs first.
func (c *Control) MayAct(now time.Time) bool {
	last := *c.step.Load()
	gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	return gap <= pauseLimit && c.view.Load().Standing == membership.Acting
}

func (c *Control) noteStep(now time.Time) { c.step.Store(&now) }

// FromPeer hands in what another entry VM sent. Nil messages are left out.
func (c *Control) FromPeer(from distribution.Peer, member membership.Message, revision distribution.Message) {
	if member != nil {
		c.inbox.TryPush(memberEvent{membership.Received{From: from.ID, Message: member}})
	}
	if revision != nil {
		c.inbox.TryPush(nodeEvent{distribution.Received{From: from, Message: revision}})
	}
}

// ListRead hands in the end of a read of the platform's list, nil when it failed.
// It waits for room: the membership asks for no other list before.
func (c *Control) ListRead(m *pb.ListVMsResponse) { c.inbox.Push(listEvent{m}) }

// WorkerSaid hands in what a worker said of itself.
func (c *Control) WorkerSaid(worker membership.Fact) {
	c.inbox.TryPush(memberEvent{membership.WorkerSaid{Worker: worker}})
}

// Leave tells the others that this VM leaves.
func (c *Control) Leave() { c.inbox.Push(memberEvent{membership.Leave{}}) }

type memberEvent struct{ event membership.Event }

func (e memberEvent) apply(ctx context.Context, c *Control) { c.stepMembership(ctx, e.event) }

// listEvent is a list, nil when it could not be read.
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

// stepMembership takes one step of the membership and does what it asks for.
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

// tellPeers gives the distribution the entry VMs that are known, those in doubt
// as well: what they hold still counts, and a cut heals by asking them.
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

// Others are the entry VMs of a view but this one, those in doubt as well, by
// name.
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

// stepNode takes one step of the distribution and does what it asks for.
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

// callStore makes one call to the store and hands the end in.
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
