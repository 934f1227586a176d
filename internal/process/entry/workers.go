package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/upstream"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
)

// workerSet keeps the links to the workers that this VM should hold, and makes
// control calls to any worker.
type workerSet struct {
	vm      *VM
	control *upstream.Control
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*workerLink
	stopped bool
}

type workerLink struct {
	vm       fleet.VM
	link     *upstream.Link
	retiring bool // the lease is given back once nothing runs there
}

func newWorkerSet(vm *VM) *workerSet {
	ctx, cancel := context.WithCancel(context.Background())
	return &workerSet{
		vm:      vm,
		control: upstream.NewControl(vm.settings.upstream(), vm.settings.dialer()),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[string]*workerLink),
	}
}

// reconcile holds what this VM should hold now, and gives the rest back.
func (w *workerSet) reconcile() {
	s := w.vm.fleet.Latest()
	live := w.vm.peers.liveInDomain(s)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	for id, l := range w.links {
		listed, ok := s.Workers[id]
		switch {
		case !ok || listed.Incarnation != l.vm.Incarnation:
			delete(w.links, id)
			go l.link.Release()
		case w.wanted(listed, live):
			if l.retiring {
				l.retiring = false
				go w.vm.holder.Unretire(id)
			}
		case !l.retiring:
			l.retiring = true
			go w.retire(id, l)
		}
	}
	for id, worker := range s.Workers {
		if w.links[id] == nil && w.wanted(worker, live) {
			w.links[id] = w.open(worker)
		}
	}
}

// retire gives a lease back once nothing runs on the worker, or at the bound of
// a planned stop: a task that runs on would keep the worker from its next holder.
func (w *workerSet) retire(id string, l *workerLink) {
	idle := make(chan struct{}, 1)
	w.vm.holder.Retire(id, func() {
		select {
		case idle <- struct{}{}:
		default:
		}
	})
	bound := time.NewTimer(millis(w.vm.settings.ShutdownMillis))
	defer bound.Stop()
	select {
	case <-idle:
	case <-bound.C:
	case <-w.ctx.Done():
	}
	w.mu.Lock()
	stays := !l.retiring || w.links[id] != l
	if !stays {
		delete(w.links, id)
	}
	w.mu.Unlock()
	if !stays {
		l.link.Release()
	}
}

func (w *workerSet) wanted(worker fleet.VM, live []string) bool {
	if worker.Domain != w.vm.settings.Domain || worker.Leaving {
		return false
	}
	return ownership.Holder(worker.ID, live) == w.vm.settings.Name
}

func (w *workerSet) open(worker fleet.VM) *workerLink {
	target := upstream.Target{ID: worker.ID, Address: worker.Address, Incarnation: worker.Incarnation}
	self := upstream.Identity{EntryVM: w.vm.settings.Name, Incarnation: w.vm.incarnation}
	return &workerLink{vm: worker, link: upstream.Start(w.vm.settings.upstream(), target, self, w.vm.settings.dialer(), w.vm.holder)}
}

// Send implements holder.Workers.
func (w *workerSet) Send(worker string, m *pb.HoldRequest) bool {
	w.mu.Lock()
	l := w.links[worker]
	w.mu.Unlock()
	return l != nil && l.link.Send(m)
}

// release gives all leases back and stops.
func (w *workerSet) release() {
	links := w.takeAll()
	var done sync.WaitGroup
	for _, l := range links {
		done.Go(l.link.Release)
	}
	done.Wait()
}

// stop drops everything without telling the workers.
func (w *workerSet) stop() {
	w.cancel()
	for _, l := range w.takeAll() {
		l.link.Stop()
	}
	w.calls.Wait()
	w.control.Close()
}

func (w *workerSet) takeAll() map[string]*workerLink {
	w.mu.Lock()
	defer w.mu.Unlock()
	links := w.links
	w.links = make(map[string]*workerLink)
	w.stopped = true
	return links
}

var errNotListed = errors.New("the worker is not in the platform's list")

// call runs a control call in a goroutine of its own.
func (w *workerSet) call(worker string, f func(ctx context.Context, address string), missing func()) {
	listed, ok := w.vm.fleet.Latest().Workers[worker]
	w.calls.Go(func() {
		if !ok {
			missing()
			return
		}
		f(w.ctx, listed.Address)
	})
}

// Seal implements home.Workers.
func (w *workerSet) Seal(worker string, req *pb.SealRequest, done func(*pb.SealResponse, error)) {
	w.call(worker, func(ctx context.Context, address string) {
		done(w.control.Seal(ctx, address, req))
	}, func() { done(nil, errNotListed) })
}

// Follow implements home.Workers.
func (w *workerSet) Follow(worker string, req *pb.FollowRequest, done func(*pb.FollowResponse, error)) {
	w.call(worker, func(ctx context.Context, address string) {
		done(w.control.Follow(ctx, address, req))
	}, func() { done(nil, errNotListed) })
}

// StopSubmission implements home.Workers.
func (w *workerSet) StopSubmission(worker string, req *pb.StopSubmissionRequest) {
	w.call(worker, func(ctx context.Context, address string) {
		_, _ = w.control.StopSubmission(ctx, address, req)
	}, func() {})
}

// pollList reads the platform's list of VMs and acts on each newer one.
func (vm *VM) pollList(ctx context.Context) {
	ticks := time.NewTicker(millis(vm.settings.ListPollMillis))
	defer ticks.Stop()
	for {
		m, err := vm.platform.ListVMs(ctx)
		vm.listed.Store(err == nil)
		if err == nil && vm.fleet.Update(m) {
			s := vm.fleet.Latest()
			vm.peers.reconcile(s.Entries)
		}
		vm.workers.reconcile()
		vm.updateReady()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (vm *VM) updateReady() {
	vm.ready.Store(vm.Document() != nil && vm.fleet.Latest().Version > 0)
}
