package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire/fleetwire"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/control"
	"github.com/pumiceyard/pumiceyard/internal/process/distribution"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// newControl returns the component that runs the cores of this VM.
func (vm *VM) newControl() *control.Control {
	return control.New(control.Config{
		Self: membership.Fact{
			Role:        membership.Entry,
			ID:          vm.settings.Name,
			Incarnation: vm.incarnation,
			Domain:      vm.settings.Domain,
			Address:     vm.PeerAddress(),
			State:       membership.Present,
			Sign:        membership.SignOwnWord,
		},
		Seed:  vm.incarnation,
		Store: vm.store,
		VM:    controlled{vm},
	}, time.Now())
}

// controlled executes the actions that the cores request from the VM.
type controlled struct{ vm *VM }

// SendMembership implements control.VM.
func (c controlled) SendMembership(address string, m membership.Message) {
	c.vm.exchange.Send(address, fleetwire.MembershipMessage(m))
}

// SendRevision implements control.VM.
func (c controlled) SendRevision(address string, m distribution.Message) {
	c.vm.exchange.Send(address, fleetwire.RevisionMessage(m))
}

// ReadList implements control.VM.
func (c controlled) ReadList() { c.vm.wantList() }

// ListTaken implements control.VM.
func (c controlled) ListTaken(m *pb.ListVMsResponse) {
	if c.vm.fleet.Update(m) {
		c.vm.list.Store(m)
	}
	c.vm.workers.reconcile()
	c.vm.updateReady()
}

// ReadyChanged implements control.VM.
func (c controlled) ReadyChanged() { c.vm.updateReady() }

// InForce implements control.VM.
func (c controlled) InForce(head *publication.Head) { c.vm.putInForce(head.Document) }

// ViewChanged implements control.VM.
func (c controlled) ViewChanged(v membership.View) {
	vm := c.vm
	others := control.Others(v, vm.settings.Name)
	addresses := make(map[string]bool, len(others))
	for _, o := range others {
		addresses[o.Address] = true
	}
	vm.exchange.RetainOnly(addresses)
	vm.store.SetFleet(len(others) + 1)
	vm.peers.reconcile(others)
	vm.workers.reconcile()
	if listDiffers(vm.fleet.Latest(), v.Workers) {
		vm.wantList()
	}
	if v.Standing == membership.Superseded {
		vm.supersede()
	}
	vm.updateReady()
}

// listDiffers reports whether this VM's list lacks a worker that the membership
// view contains, or contains one that the view knows to be gone.
func listDiffers(s *fleet.Snapshot, workers []membership.Fact) bool {
	if len(workers) != len(s.Workers) {
		return true
	}
	for _, w := range workers {
		if listed, ok := s.Workers[w.ID]; !ok || listed.Incarnation != w.Incarnation {
			return true
		}
	}
	return false
}

// HandleExchange implements peer.Control.
func (c controlled) HandleExchange(m *pb.ExchangeRequest) {
	from := distribution.Peer{ID: m.EntryVm, Domain: m.Domain}
	for _, message := range m.Messages {
		c.vm.control.FromPeer(from, fleetwire.Membership(message), fleetwire.Revision(message))
	}
}

// LastPlan implements peer.Control.
func (c controlled) LastPlan() *pb.LastPlanResponse { return c.vm.planner.last() }

// LastList implements peer.Control.
func (c controlled) LastList() *pb.ListVMsResponse {
	if m := c.vm.list.Load(); m != nil {
		return m
	}
	return &pb.ListVMsResponse{}
}

// supersede stops this VM's work because a later start has taken its name, and
// with it all that this VM holds.
func (vm *VM) supersede() {
	vm.superseding.Do(func() {
		klog.ErrorS(nil, logPrefix+"superseded by a later start under the same name", "name", vm.settings.Name)
		vm.draining.Store(true)
		vm.router.Drain()
		vm.holder.Drain()
		close(vm.superseded)
	})
}

// Superseded returns a channel that is closed when this VM learns that a later
// start has taken its name. The VM must be stopped then.
func (vm *VM) Superseded() <-chan struct{} { return vm.superseded }

// wantList requests a read of the platform's VM list.
func (vm *VM) wantList() {
	select {
	case vm.listWanted <- struct{}{}:
	default:
	}
}

// reconcileLeases periodically acquires and releases leases. It has to poll,
// because no event is raised when a peer fails to answer in time.
func (vm *VM) reconcileLeases(ctx context.Context) {
	for pause.For(ctx, millis(vm.settings.BeatMillis)) {
		vm.workers.reconcile()
	}
}

// listPause is the minimum time between two reads of the VM list.
const listPause = 200 * time.Millisecond

// pollList reads the platform's VM list when the membership requests it and, if
// configured, every Settings.ListPollMillis.
func (vm *VM) pollList(ctx context.Context) {
	var due <-chan time.Time
	if every := millis(vm.settings.ListPollMillis); every > 0 {
		ticks := time.NewTicker(every)
		defer ticks.Stop()
		due = ticks.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-vm.listWanted:
		}
		vm.control.ListRead(vm.readList(ctx))
		if !pause.For(ctx, listPause) {
			return
		}
	}
}

// readList reads the platform's VM list. If the platform is unavailable and this
// VM has never had a list, it asks the peers in its settings, because it could not
// start otherwise. It returns nil if no list is available.
func (vm *VM) readList(ctx context.Context) *pb.ListVMsResponse {
	m, err := vm.store.ListVMs(ctx, storeclient.ForMembership)
	vm.listed.Store(err == nil)
	if err == nil {
		return m
	}
	if vm.list.Load() != nil {
		return nil
	}
	for _, address := range vm.settings.Peers {
		m, err := vm.peers.calls.LastList(ctx, address)
		if err == nil && m.Version > 0 {
			klog.InfoS(logPrefix+"the platform is out, the list of VMs is a peer's", "peer", address, "version", m.Version)
			return m
		}
	}
	return nil
}

// putInForce applies a configuration document.
func (vm *VM) putInForce(d *document.Document) {
	vm.document.Store(d)
	accounts := make([]fairness.Account, 0, len(d.Accounts))
	for _, a := range d.Accounts {
		accounts = append(accounts, fairness.Account{Name: a.Name, Weight: a.Weight, QuotaSlots: a.QuotaSlots, Parent: a.Parent})
	}
	vm.holder.SetAccounts(accounts)
	vm.updateReady()
	klog.InfoS(logPrefix+"configuration in force", "name", vm.settings.Name, "revision", d.Revision, "author", d.Author)
}

// updateReady makes the VM ready once it has a list of VMs and the highest
// configuration revision that it could find. Before, it might serve with an
// outdated configuration.
func (vm *VM) updateReady() {
	ready := vm.Document() != nil && vm.control.Ready() && vm.fleet.Latest().Version > 0
	vm.ready.Store(ready && vm.control.View().Standing != membership.Superseded)
}

// leavingWorkers returns the workers that the membership knows to be leaving or
// gone, which the VM list shows only at its next read.
func leavingWorkers(v membership.View) map[string]uint64 {
	leaving := make(map[string]uint64)
	for _, w := range v.Workers {
		if w.State == membership.Leaving {
			leaving[w.ID] = w.Incarnation
		}
	}
	return leaving
}

var _ peer.Control = controlled{}
