package entry

import (
	"context"
	"maps"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/upstream"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// Guards against a worker that is held and gets no tasks: retiring it is withdrawn while a task runs there, and the
// holder gets the withdrawal first.
func TestWithdrawnRetiringLeavesTheWorkerInUse(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			w, l := newBusyWorker(t)
			for range 3 {
				w.mu.Lock()
				w.setRetiring("w1", l, true)
				w.setRetiring("w1", l, false)
				w.mu.Unlock()
				synctest.Wait()
			}
			if n := workersInUse(w); n != 1 {
				t.Errorf("%d workers are in use, want 1", n)
			}
			if !w.has(l) {
				t.Error("the lease was released")
			}
			w.mu.Lock()
			w.setRetiring("w1", l, true)
			w.setRetiring("w1", l, false)
			w.setRetiring("w1", l, true)
			w.mu.Unlock()
			synctest.Wait()
			if n := workersInUse(w); n != 0 || !w.has(l) {
				t.Errorf("%d workers are in use while the only one retires, want 0; its lease is held: %v", n, w.has(l))
			}
			time.Sleep(2 * millis(w.vm.settings.ShutdownMillis))
			if w.has(l) {
				t.Error("the lease of a retired worker was not released at the time limit")
			}
			w.stop()
		})
	}
}

// has reports whether a link is open.
func (w *workerSet) has(l *workerLink) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(slices.Collect(maps.Values(w.links)), l)
}

// workersInUse counts the workers that the holder offers, a second from now.
func workersInUse(w *workerSet) int {
	time.Sleep(time.Second)
	return len(w.vm.holder.Advert().Workers)
}

// newBusyWorker returns a worker set with one link, and a holder that runs a task on its worker.
func newBusyWorker(t *testing.T) (*workerSet, *workerLink) {
	vm := &VM{settings: DefaultSettings()}
	w := newWorkerSet(vm)
	vm.holder = holder.New(holder.Config{
		Settings: holder.Defaults(), Workers: sink{}, Peers: sink{}, Timelines: timeline.NewStore(10),
		Rack:  func(string) string { return "" },
		Class: func(string) fairness.Class { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go vm.holder.Run(ctx)
	task := &pb.TaskRef{Submission: &pb.SubmissionID{Counter: 1}}
	vm.holder.Granted("w1", &pb.Granted{
		Epoch: 1, Capacity: &pb.Resources{Slots: 8},
		Running: []*pb.TaskLoad{{Task: task, Each: &pb.Resources{Slots: 1}}},
	})
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	l := &workerLink{kept: make(chan struct{}, 1)}
	l.link = upstream.Start(vm.settings.upstream(), upstream.Target{ID: "w1"}, upstream.Identity{}, refuse, vm.holder)
	w.links["w1"] = l
	return w, l
}

// sink takes all messages to workers and to other entry VMs.
type sink struct{}

func (sink) Send(string, *pb.HoldRequest) bool { return true }
func (sink) Broadcast(*pb.Power)               {}
func (sink) SendTo(string, *pb.Power)          {}
