package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/process/control"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// peerSet manages the links to the other entry VMs and tracks which are reachable.
type peerSet struct {
	vm    *VM
	calls *peer.Calls
	dial  peer.Dial

	mu    sync.Mutex
	links map[string]*peerLink // by name
	ended sync.WaitGroup       // links that are being closed
}

// peerLink is the link to one incarnation of a peer.
type peerLink struct {
	vm    membership.Fact
	link  *peer.Link
	up    bool
	drain bool      // it admits no new work and releases its leases
	since time.Time // the link was opened
	// answering is the incarnation that answered last. It is needed when the
	// list has incarnation 0, because VMs choose their incarnation themselves.
	answering uint64

	reporting sync.Mutex // held while events of this link are reported to the home
	told      bool       // the home was notified that the link is up
	ended     bool       // no more events are reported to the home
}

func newPeerSet(vm *VM) *peerSet {
	dial := peer.Dial{Dialer: vm.settings.dialer(), Token: vm.settings.PeerToken}
	if config := vm.secure.ClientConfig(); config != nil {
		dial.Secure = &peer.TLSClient{Config: config}
	}
	return &peerSet{
		vm:    vm,
		dial:  dial,
		calls: peer.NewCalls(vm.settings.peer(), dial),
		links: make(map[string]*peerLink),
	}
}

// reconcile opens links to the known entry VMs and closes all other links, without
// waiting for them to close.
func (p *peerSet) reconcile(others []membership.Fact) {
	known := make(map[string]membership.Fact, len(others))
	for _, o := range others {
		known[o.ID] = o
	}
	for name, l := range p.takeUnknown(known) {
		p.end(name, l)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, o := range known {
		if p.links[name] == nil {
			p.links[name] = p.open(o)
		}
	}
}

// takeUnknown removes the links to unknown VMs from the set and returns them.
func (p *peerSet) takeUnknown(known map[string]membership.Fact) map[string]*peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := make(map[string]*peerLink)
	for name, l := range p.links {
		if now, ok := known[name]; !ok || !l.leadsTo(now) {
			delete(p.links, name)
			taken[name] = l
		}
	}
	return taken
}

// leadsTo reports whether the link is to this incarnation of the VM. Incarnation 0
// in a list is unspecified and matches the one that answers.
func (l *peerLink) leadsTo(vm membership.Fact) bool {
	if l.vm.Address != vm.Address {
		return false
	}
	return vm.Incarnation == l.vm.Incarnation || (l.vm.Incarnation == 0 && vm.Incarnation == l.answering)
}

// end closes a link that was removed from the set, without waiting for it. It
// reports the loss to the home and suppresses all later events of the link. The
// link's own end event may arrive after the next link to the same name is up and
// would mark that one as lost for good: the peer would never be used again.
func (p *peerSet) end(name string, l *peerLink) {
	p.ended.Go(l.link.Stop)
	l.reporting.Lock()
	defer l.reporting.Unlock()
	l.ended = true
	if l.told {
		p.lost(name, "closed")
	}
}

// lost notifies the components that depend on an owner of its loss.
func (p *peerSet) lost(owner, why string) {
	p.vm.home.OwnerLost(owner, why)
	p.vm.shares.lost(owner)
}

func (p *peerSet) open(other membership.Fact) *peerLink {
	target := peer.Target{Name: other.ID, Address: other.Address, Incarnation: other.Incarnation}
	self := peer.Identity{Name: p.vm.settings.Name, Incarnation: p.vm.incarnation}
	l := &peerLink{vm: other, since: time.Now()}
	l.link = peer.StartLink(p.vm.settings.peer(), target, self, p.dial, peerEvents{p, l})
	return l
}

func (p *peerSet) stop() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*peerLink)
	p.mu.Unlock()
	for _, l := range links {
		l.link.Stop()
	}
	p.ended.Wait()
	p.calls.Close()
}

func (p *peerSet) setUp(l *peerLink, up bool, incarnation uint64) {
	p.mu.Lock()
	l.up, l.answering = up, incarnation
	p.mu.Unlock()
	p.vm.workers.reconcile()
}

func (p *peerSet) setDrain(l *peerLink, drain bool) {
	p.mu.Lock()
	changed := l.drain != drain
	l.drain = drain
	p.mu.Unlock()
	if changed {
		p.vm.workers.reconcile()
	}
}

// liveInDomain returns the entry VMs that should hold this failure domain's
// workers: this one, those that answer, and those that have not had time to answer
// yet. Leaving VMs are excluded, so that their workers are handed over before they
// stop.
//
// A lost link reveals a failure sooner than the membership does. It counts until
// the VM answers again or another member is known to hear from it, in which case
// only the path from this VM is broken. Reports of another member may be outdated,
// or a guess about a VM that it never heard from, and do not override the
// platform's list either. Otherwise a dead VM would count as live for good, and
// no VM would hold its workers.
func (p *peerSet) liveInDomain(v membership.View) []string {
	vouched := make(map[string]bool)
	for _, s := range v.Suspects {
		vouched[s.VM.ID] = s.Live
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := p.vm.fleet.Latest().Entries
	var live []string
	if !p.vm.draining.Load() {
		live = append(live, p.vm.settings.Name)
	}
	grace := millis(p.vm.settings.SilenceMillis)
	for _, o := range control.Others(v, p.vm.settings.Name) {
		l := p.links[o.ID]
		if o.Domain != p.vm.settings.Domain || o.State != membership.Present || l == nil || l.drain {
			continue
		}
		_, isListed := listed[o.ID]
		if l.up || time.Since(l.since) < grace || (vouched[o.ID] && isListed) {
			live = append(live, o.ID)
		}
	}
	return live
}

// Send implements home.Owners.
func (p *peerSet) Send(owner string, m *pb.RunRequest) bool {
	if owner == p.vm.settings.Name {
		return p.vm.local.send(m)
	}
	p.mu.Lock()
	l := p.links[owner]
	p.mu.Unlock()
	return l != nil && l.link.Send(m)
}

// Lives implements home.Peers.
func (p *peerSet) Lives(incarnation uint64) bool {
	if incarnation == p.vm.incarnation {
		return true
	}
	_, ok := p.FindAuthor(incarnation)
	return ok
}

// Find implements router.Peers.
func (p *peerSet) Find(name string, incarnation uint64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil || !l.up || l.answering != incarnation {
		return "", false
	}
	return l.vm.Address, true
}

// FindAuthor implements router.Peers.
func (p *peerSet) FindAuthor(incarnation uint64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.up && l.answering == incarnation {
			return l.vm.Address, true
		}
	}
	return "", false
}

// Submit implements router.Peers.
func (p *peerSet) Submit(ctx context.Context, address string, m *pb.SubmitRequest) (*pb.Answer, error) {
	return p.calls.Submit(ctx, address, m)
}

// Cancel implements router.Peers.
func (p *peerSet) Cancel(ctx context.Context, address string, m *pb.CancelRequest) (*pb.CancelResponse, error) {
	return p.calls.Cancel(ctx, address, m)
}

// Addresses implements router.Peers.
func (p *peerSet) Addresses() []string {
	return slices.Sorted(maps.Values(p.addresses()))
}

// addresses returns the addresses of the reachable peers, by name.
func (p *peerSet) addresses() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string, len(p.links))
	for name, l := range p.links {
		if l.up {
			out[name] = l.vm.Address
		}
	}
	return out
}

// peerEvents forwards the events of one link to the home until the link is ended.
type peerEvents struct {
	p *peerSet
	l *peerLink
}

func (e peerEvents) report(f func()) {
	e.l.reporting.Lock()
	defer e.l.reporting.Unlock()
	if !e.l.ended {
		f()
	}
}

// OwnerUp implements peer.Events.
func (e peerEvents) OwnerUp(owner string, incarnation uint64) {
	e.report(func() {
		e.l.told = true
		e.p.vm.home.OwnerUp(owner, incarnation)
	})
	e.p.setUp(e.l, true, incarnation)
}

// Advert implements peer.Events.
func (e peerEvents) Advert(owner string, m *pb.Advert) {
	e.report(func() {
		e.p.vm.home.Advert(owner, m)
		e.p.vm.planner.heard(owner, m)
		e.p.vm.shares.heard(owner, m)
	})
	e.p.setDrain(e.l, m.Draining)
}

// RunResults implements peer.Events.
func (e peerEvents) RunResults(owner string, results []*pb.RunResult) {
	e.report(func() { e.p.vm.home.RunResults(owner, results) })
}

// OwnerLost implements peer.Events.
func (e peerEvents) OwnerLost(owner, why string) {
	e.report(func() {
		e.l.told = false
		e.p.lost(owner, why)
	})
	e.p.setUp(e.l, false, 0)
}

// peerHome serves forwarded requests.
type peerHome struct{ vm *VM }

func (h peerHome) Submit(done <-chan struct{}, m *pb.SubmitRequest) *pb.Answer {
	return h.vm.router.ServeSubmit(done, m)
}

func (h peerHome) Cancel(m *pb.CancelRequest) *pb.CancelResponse { return h.vm.router.ServeCancel(m) }

func (h peerHome) Timeline(m *pb.TimelineRequest) *pb.TimelineResponse {
	id := ticket.ID{Incarnation: m.GetSubmission().GetIncarnation(), Counter: m.GetSubmission().GetCounter()}
	return &pb.TimelineResponse{Steps: h.vm.steps(id)}
}

// localSession connects this VM's home to its own holder. Neither event loop may
// wait for the other, because that could deadlock. Offers are refused when the
// queue is full, and results pass through a ring buffer that a separate goroutine
// drains.
type localSession struct {
	vm    *VM
	out   *ring.Ring[*pb.RunResponse]
	taken takenCounter
}

const localRing = 1 << 16

func newLocalSession(vm *VM) *localSession {
	return &localSession{vm: vm, out: ring.New[*pb.RunResponse](localRing)}
}

// Report implements holder.Session.
func (l *localSession) Report(m *pb.RunResponse) {
	if !l.out.TryPush(m) {
		panic("the ring of local results is full: its bound is above the tasks that can be under way")
	}
}

// name returns the name of this entry VM, which is both the home and the owner.
func (l *localSession) name() string { return l.vm.settings.Name }

// AddTaken implements holder.Session.
func (l *localSession) AddTaken(tasks int) { l.taken.add(tasks) }

func (l *localSession) send(m *pb.RunRequest) bool {
	if len(m.Groups) > 0 && !l.vm.holder.TryOffer(l, m.Groups) {
		return false
	}
	if len(m.Withdraw) > 0 {
		go l.vm.holder.Withdraw(l, m.Withdraw)
	}
	return true
}

func (l *localSession) run(ctx context.Context) {
	l.vm.home.OwnerUp(l.name(), l.vm.incarnation)
	var told *pb.Advert
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.vm.holder.AdvertChanged():
		case <-l.out.Ready():
		}
		var results []*pb.RunResult
		for _, m := range l.out.Drain() {
			results = append(results, m.Results...)
		}
		if len(results) > 0 {
			l.vm.home.RunResults(l.name(), results)
		}
		if m := l.vm.holder.Advert(); m != told {
			told = m
			l.vm.home.Advert(l.name(), l.taken.on(m))
		}
	}
}

// Collect implements caller.Timelines: this VM's steps and those of all peers
// that can be reached.
func (vm *VM) Collect(ctx context.Context, id ticket.ID) []caller.NamedStep {
	return collect(ctx, vm, id)
}
