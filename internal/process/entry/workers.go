package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/upstream"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
)

// workerSet manages the links to the workers that this VM should hold, and makes
// control calls to any worker.
type workerSet struct {
	vm      *VM
	control *upstream.Control
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	mu        sync.Mutex
	links     map[string]*workerLink
	releasing map[*upstream.Link]struct{} // links that are not in links any more and still release their leases
	stopped   bool
}

type workerLink struct {
	vm       fleet.VM
	link     *upstream.Link
	retiring bool          // the lease is released once nothing runs on the worker
	retirer  bool          // a goroutine runs retire
	kept     chan struct{} // receives after retiring was withdrawn
}

func newWorkerSet(vm *VM) *workerSet {
	ctx, cancel := context.WithCancel(context.Background())
	return &workerSet{
		vm:      vm,
		control: upstream.NewControl(vm.settings.upstream(), vm.settings.dialer()),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[string]*workerLink),

		releasing: make(map[*upstream.Link]struct{}),
	}
}

// reconcile acquires the workers that this VM should hold and releases all others.
func (w *workerSet) reconcile() {
	s := w.vm.fleet.Latest()
	view := w.vm.control.View()
	live := w.vm.peers.liveInDomain(view)
	leaving := leavingWorkers(view)
	mayTake := view.Standing == membership.Acting
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	for id, l := range w.links {
		listed, ok := s.Workers[id]
		switch {
		case !ok || listed.Incarnation != l.vm.Incarnation:
			w.removeLink(id, l)
		default:
			w.setRetiring(id, l, !w.wanted(listed, live, leaving))
		}
	}
	for id, worker := range s.Workers {
		if mayTake && w.links[id] == nil && w.wanted(worker, live, leaving) {
			w.links[id] = w.open(worker)
		}
	}
}

// setRetiring begins to retire a worker, or withdraws that. w.mu must be held.
func (w *workerSet) setRetiring(id string, l *workerLink, retiring bool) {
	if l.retiring == retiring {
		return
	}
	l.retiring = retiring
	switch {
	case !retiring:
		select {
		case l.kept <- struct{}{}:
		default:
		}
	case !l.retirer:
		l.retirer = true
		w.calls.Go(func() { w.retire(id, l) })
	}
}

// retire releases a lease once nothing runs on the worker, or takes the worker into use again when retiring is
// withdrawn. One goroutine does both, as the holder must get them in order.
func (w *workerSet) retire(id string, l *workerLink) {
	for w.continueRetiring(l) {
		idle := w.awaitIdle(id, l)
		if w.endRetiring(id, l, idle) {
			return
		}
		w.vm.holder.Unretire(id)
	}
}

// continueRetiring reports whether the worker is still to be retired. False: retire ends.
func (w *workerSet) continueRetiring(l *workerLink) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.retirer = l.retiring
	return l.retiring
}

// awaitIdle retires a worker and returns true when nothing runs there, or at the time limit of a planned stop, since
// a long task would otherwise keep the worker from its next holder. False: retiring was withdrawn before.
func (w *workerSet) awaitIdle(id string, l *workerLink) bool {
	idle := make(chan struct{}, 1)
	w.vm.holder.Retire(id, func() {
		select {
		case idle <- struct{}{}:
		default:
		}
	})
	bound := time.NewTimer(millis(w.vm.settings.ShutdownMillis))
	defer bound.Stop()
	for {
		select {
		case <-idle:
			return true
		case <-bound.C:
			return true
		case <-w.ctx.Done():
			return true
		case <-l.kept:
			if !w.isRetiring(l) {
				return false
			}
		}
	}
}

func (w *workerSet) isRetiring(l *workerLink) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.retiring
}

// endRetiring removes the link of an idle worker that is still to be retired. False: the link is kept.
func (w *workerSet) endRetiring(id string, l *workerLink, idle bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.links[id] != l {
		return true
	}
	if !idle || !l.retiring {
		return false
	}
	w.removeLink(id, l)
	return true
}

// removeLink removes a link and releases its lease in a goroutine that stop ends and waits for. w.mu must be held.
func (w *workerSet) removeLink(id string, l *workerLink) {
	delete(w.links, id)
	w.releasing[l.link] = struct{}{}
	w.calls.Go(func() {
		l.link.Release()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.releasing, l.link)
	})
}

func (w *workerSet) wanted(worker fleet.VM, live []string, leaving map[string]uint64) bool {
	if worker.Domain != w.vm.settings.Domain || worker.Leaving || leaving[worker.ID] == worker.Incarnation {
		return false
	}
	return ownership.Holder(worker.ID, live) == w.vm.settings.Name
}

func (w *workerSet) open(worker fleet.VM) *workerLink {
	target := upstream.Target{ID: worker.ID, Address: worker.Address, Incarnation: worker.Incarnation}
	self := upstream.Identity{EntryVM: w.vm.settings.Name, Incarnation: w.vm.incarnation}
	settings := w.vm.settings.upstream()
	settings.MayAcquire = func() bool { return w.vm.control.MayAct(time.Now()) }
	return &workerLink{
		vm:   worker,
		link: upstream.Start(settings, target, self, w.vm.settings.dialer(), w.vm.holder),
		kept: make(chan struct{}, 1),
	}
}

// Send implements holder.Workers.
func (w *workerSet) Send(worker string, m *pb.HoldRequest) bool {
	w.mu.Lock()
	l := w.links[worker]
	w.mu.Unlock()
	return l != nil && l.link.Send(m)
}

// release releases all leases and stops.
func (w *workerSet) release() {
	links := w.takeAll()
	var done sync.WaitGroup
	for _, l := range links {
		done.Go(l.link.Release)
	}
	done.Wait()
}

// stop closes all links without notifying the workers.
func (w *workerSet) stop() {
	w.cancel()
	for _, l := range w.takeAll() {
		l.link.Stop()
	}
	for _, l := range w.releasingLinks() {
		l.Stop()
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

// releasingLinks returns the links that are being released.
func (w *workerSet) releasingLinks() []*upstream.Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.releasing))
}

var errNotListed = errors.New("the worker is not in the platform's list")

// call runs a control call in a new goroutine.
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
