package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/distribution"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
	"github.com/pumiceyard/pumiceyard/internal/standin/pipe"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
)

const (
	noWorkWithin = 3 * time.Second
	longRun      = time.Minute
)

// rig is an entry VM without listeners and a worker, on virtual time.
type rig struct {
	vm      *VM
	worker  *worker.Worker
	results []*pb.TaskResult
	ctx     context.Context
}

func newRig(t *testing.T) *rig {
	w := worker.New(worker.Config{ID: "w1", Incarnation: 7, Capacity: &pb.Resources{Slots: 4},
		Behaviour: func(string, []byte) worker.Outcome { return worker.Outcome{Run: longRun} }})
	n := pipe.New()
	server := wire.NewServer(w.Handler(), nil)
	go func() { _ = server.Serve(n) }()
	s := DefaultSettings()
	s.Name, s.Domain, s.PeerAddress = "e1", "d", "e1:1"
	s.Dialer = onlyWorker{n}
	vm := &VM{settings: s, incarnation: 5, listWanted: make(chan struct{}, 1), superseded: make(chan struct{})}
	r := &rig{vm: vm, worker: w}
	r.ctx, vm.cancel = context.WithCancel(context.Background())
	vm.build()
	vm.duties.Go(func() { vm.holder.Run(r.ctx) })
	vm.duties.Go(func() { vm.home.Run(r.ctx) })
	t.Cleanup(func() {
		vm.Kill()
		_ = server.Close()
	})
	return r
}

// onlyWorker reaches the worker and nothing else.
type onlyWorker struct{ network *pipe.Network }

func (d onlyWorker) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != "w1:1" {
		return nil, errors.New("unreachable")
	}
	return d.network.Dial(ctx, network, address)
}

// list is the platform's list with the worker, the VM and a peer.
func list(version uint64, leaving bool) *pb.ListVMsResponse {
	return &pb.ListVMsResponse{Version: version, Vms: []*pb.VM{
		{Id: "w1", Role: pb.VMRole_VM_ROLE_WORKER, Incarnation: 7, Domain: "d", Address: "w1:1", Leaving: leaving},
		{Id: "e1", Role: pb.VMRole_VM_ROLE_ENTRY, Incarnation: 5, Domain: "d", Address: "e1:1"},
		{Id: "e2", Role: pb.VMRole_VM_ROLE_ENTRY, Incarnation: 6, Domain: "d2", Address: "e2:1"},
	}}
}

// Report and AddTaken make the rig a holder.Session.
func (r *rig) Report(m *pb.RunResponse) {
	for _, group := range m.Results {
		r.results = append(r.results, group.Results...)
	}
}
func (r *rig) AddTaken(int) {}

// offer submits one task that may run on the worker.
func (r *rig) offer(counter uint64) {
	r.vm.holder.Offer(r, []*pb.RunGroup{{
		Submission:       &pb.SubmissionID{Incarnation: 1, Counter: counter},
		Generation:       &pb.Generation{Author: 1},
		ExpiryUnixMillis: uint64(time.Now().Add(time.Hour).UnixMilli()),
		Each:             &pb.Resources{Slots: 1},
		DeadlineMillis:   uint32(longRun.Milliseconds()),
		Index:            []uint32{0}, Input: [][]byte{nil},
		Workers: []string{"w1"}, WorkerIncarnation: []uint64{7},
	}})
	synctest.Wait()
}

func (r *rig) starts() int {
	_, starts, _ := r.worker.Starts()
	return starts
}

// Guards against placing tasks on a leaving worker, where they would be lost. While a
// task runs there, one of the signs of leaving arrives, and work is offered that only
// this worker may run. The holder must stop placing at once, without waiting for the
// VM list or the running task.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	fact := membership.Fact{Role: membership.Worker, ID: "w1", Incarnation: 7, Domain: "d", Address: "w1:1", State: membership.Leaving}
	signs := map[string]func(*VM){
		"its own word": func(vm *VM) { vm.control.WorkerSaid(fact) },
		"a peer's notice": func(vm *VM) {
			vm.control.FromPeer(distribution.Peer{ID: "e2", Domain: "d2"}, membership.Notice{Facts: []membership.Fact{fact}}, nil)
		},
		"the list": func(vm *VM) { vm.control.ListRead(list(2, true)) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.vm.duties.Go(func() { r.vm.control.Run(r.ctx) })
				r.vm.control.ListRead(list(1, false))
				time.Sleep(noWorkWithin)
				r.offer(1)
				if r.starts() != 1 {
					t.Fatalf("%d starts before the sign, want 1", r.starts())
				}
				sign(r.vm)
				time.Sleep(noWorkWithin)
				r.offer(2)
				if r.starts() != 1 || len(r.results) != 1 || r.results[0].State != pb.TaskState_TASK_STATE_NOT_RUN {
					t.Errorf("%d starts, results %v; want the second task not run", r.starts(), r.results)
				}
			})
		})
	}
}

// Guards against a VM that was paused and starts tasks on workers that others hold by
// now. Work is offered after it resumes and before it has heard from any peer. The
// holder must not act before the membership has detected the pause, or while the
// membership still asks its peers.
func TestPausedVMPlacesNothingUntilItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		awake, fallAsleep := context.WithCancel(r.ctx)
		r.vm.duties.Go(func() { r.vm.control.Run(awake) })
		r.vm.control.ListRead(list(1, false))
		time.Sleep(noWorkWithin)
		fallAsleep()
		time.Sleep(2 * noWorkWithin)
		r.offer(1)
		if r.starts() != 0 {
			t.Fatal("a task was started before the pause was noticed")
		}
		r.vm.duties.Go(func() { r.vm.control.Run(r.ctx) })
		time.Sleep(2 * membership.TickInterval)
		synctest.Wait()
		if v := r.vm.control.View(); v.Standing != membership.Probing || v.Pauses != 1 || r.starts() != 0 {
			t.Fatalf("standing %d after %d pauses, %d starts", v.Standing, v.Pauses, r.starts())
		}
		time.Sleep(noWorkWithin)
		synctest.Wait()
		if r.starts() != 1 {
			t.Errorf("%d starts once nobody had answered for long, want 1", r.starts())
		}
	})
}
