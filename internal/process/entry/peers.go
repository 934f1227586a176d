package entry

import (
	"context"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// peerSet keeps the links to the other entry VMs and knows which of them live.
type peerSet struct {
	vm    *VM
	calls *peer.Calls
	dial  peer.Dial

	mu    sync.Mutex
	links map[string]*peerLink // by name
}

// peerLink is the link to one incarnation of a peer.
type peerLink struct {
	vm    fleet.VM
	link  *peer.Link
	up    bool
	drain bool      // it takes nothing new and gives its leases back
	since time.Time // the link was opened
	// answering is the incarnation that answered last. The list may leave it
	// open with a 0, when VMs take their incarnation themselves.
	answering uint64
}

func newPeerSet(vm *VM) *peerSet {
	dial := peer.Dial{Dialer: vm.settings.dialer(), Token: vm.settings.PeerToken}
	return &peerSet{
		vm:    vm,
		dial:  dial,
		calls: peer.NewCalls(vm.settings.peer(), dial),
		links: make(map[string]*peerLink),
	}
}

// reconcile opens links to the listed entry VMs and closes the others.
func (p *peerSet) reconcile(entries map[string]fleet.VM) {
	p.mu.Lock()
	var ended []*peerLink
	for name, l := range p.links {
		if listed, ok := entries[name]; !ok || listed.Incarnation != l.vm.Incarnation {
			delete(p.links, name)
			ended = append(ended, l)
		}
	}
	for name, entry := range entries {
		if name != p.vm.settings.Name && p.links[name] == nil {
			p.links[name] = p.open(entry)
		}
	}
	p.mu.Unlock()
	for _, l := range ended {
		l.link.Stop()
	}
}

func (p *peerSet) open(entry fleet.VM) *peerLink {
	target := peer.Target{Name: entry.ID, Address: entry.Address, Incarnation: entry.Incarnation}
	self := peer.Identity{Name: p.vm.settings.Name, Incarnation: p.vm.incarnation}
	return &peerLink{
		vm:    entry,
		link:  peer.StartLink(p.vm.settings.peer(), target, self, p.dial, peerEvents{p}),
		since: time.Now(),
	}
}

func (p *peerSet) stop() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*peerLink)
	p.mu.Unlock()
	for _, l := range links {
		l.link.Stop()
	}
	p.calls.Close()
}

func (p *peerSet) setUp(name string, up bool, incarnation uint64) {
	p.mu.Lock()
	if l := p.links[name]; l != nil {
		l.up, l.answering = up, incarnation
	}
	p.mu.Unlock()
	p.vm.workers.reconcile()
}

func (p *peerSet) setDrain(name string, drain bool) {
	p.mu.Lock()
	l := p.links[name]
	changed := l != nil && l.drain != drain
	if changed {
		l.drain = drain
	}
	p.mu.Unlock()
	if changed {
		p.vm.workers.reconcile()
	}
}

// liveInDomain names the entry VMs that should hold this failure domain's
// workers: this one, those that answer, and those that have not had the time to
// answer yet. Leaving ones are out, so that their workers move before they stop.
func (p *peerSet) liveInDomain(s *fleet.Snapshot) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []string
	if !p.vm.draining.Load() {
		live = append(live, p.vm.settings.Name)
	}
	grace := millis(p.vm.settings.SilenceMillis)
	for name, l := range p.links {
		listed := s.Entries[name]
		if listed.Domain != p.vm.settings.Domain || listed.Leaving || l.drain {
			continue
		}
		if l.up || time.Since(l.since) < grace {
			live = append(live, name)
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

// addresses returns the peers that can be reached, by name.
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

// peerEvents passes what links report to the home.
type peerEvents struct{ p *peerSet }

func (e peerEvents) OwnerUp(owner string, incarnation uint64) {
	e.p.vm.home.OwnerUp(owner, incarnation)
	e.p.setUp(owner, true, incarnation)
}

func (e peerEvents) Advert(owner string, m *pb.Advert) {
	e.p.vm.home.Advert(owner, m)
	e.p.vm.planner.heard(owner, m)
	e.p.setDrain(owner, m.Draining)
	e.p.vm.shares.heard(owner, m)
}

func (e peerEvents) RunResults(owner string, results []*pb.RunResult) {
	e.p.vm.home.RunResults(owner, results)
}

func (e peerEvents) OwnerLost(owner, why string) {
	e.p.vm.home.OwnerLost(owner, why)
	e.p.vm.shares.lost(owner)
	e.p.setUp(owner, false, 0)
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

// localSession joins this VM's home to its own holder. Neither loop may wait for
// the other: both could wait for each other for ever. Offers that do not fit are
// refused, and results pass through a ring that a goroutine of its own empties.
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

// HomeName implements holder.Session.
func (l *localSession) HomeName() string { return l.vm.settings.Name }

// Took implements holder.Session.
func (l *localSession) Took(tasks int) { l.taken.add(tasks) }

func (l *localSession) send(m *pb.RunRequest) bool {
	if len(m.Groups) > 0 && !l.vm.holder.TryOffer(l, m.Groups) {
		return false
	}
	if len(m.Withdraw) > 0 {
		go l.vm.holder.Withdraw(l, m.Withdraw)
	}
	return true
}

// advertEvery bounds how old the home's picture of its own holder gets.
const advertEvery = 2 * time.Millisecond

func (l *localSession) run(ctx context.Context) {
	l.vm.home.OwnerUp(l.HomeName(), l.vm.incarnation)
	ticks := time.NewTicker(advertEvery)
	defer ticks.Stop()
	var told *pb.Advert
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		case <-l.out.Ready():
		}
		var results []*pb.RunResult
		for _, m := range l.out.Drain() {
			results = append(results, m.Results...)
		}
		if len(results) > 0 {
			l.vm.home.RunResults(l.HomeName(), results)
		}
		if m := l.vm.holder.Advert(); m != told {
			told = m
			l.vm.home.Advert(l.HomeName(), l.taken.on(m))
		}
	}
}

// Collect implements caller.Timelines: this VM's steps and those of all peers
// that can be reached.
func (vm *VM) Collect(ctx context.Context, id ticket.ID) []caller.NamedStep {
	return collect(ctx, vm, id)
}
