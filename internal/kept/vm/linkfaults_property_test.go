package vm

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// faultyEvents loses, repeats, delays and reorders messages of demands, grants, assignments, cancellations, questions of
// holders, replies and reports that reach a VM. Its other messages arrive.
type faultyEvents struct {
	link.Events
	mu     sync.Mutex
	rand   *rand.Rand
	oneIn  int // messages of which one is lost, three are late and three are repeated later
	faulty *atomic.Bool
}

func (l *faultyEvents) Frame(from string, f *pb.KeptFrame) {
	if l.faulty.Load() {
		l.mu.Lock()
		f.Demands = spoil(l, from, f, f.Demands, func(one *pb.KeptFrame, m *pb.KeptDemand) { one.Demands = []*pb.KeptDemand{m} })
		f.Grants = spoil(l, from, f, f.Grants, func(one *pb.KeptFrame, m *pb.KeptGrant) { one.Grants = []*pb.KeptGrant{m} })
		f.GrantReplies = spoil(l, from, f, f.GrantReplies, func(one *pb.KeptFrame, m *pb.KeptGrantReply) { one.GrantReplies = []*pb.KeptGrantReply{m} })
		f.Assign = spoil(l, from, f, f.Assign, func(one *pb.KeptFrame, m *pb.KeptAssign) { one.Assign = []*pb.KeptAssign{m} })
		f.States = spoil(l, from, f, f.States, func(one *pb.KeptFrame, m *pb.KeptState) { one.States = []*pb.KeptState{m} })
		f.TakenBack = spoil(l, from, f, f.TakenBack, func(one *pb.KeptFrame, m *pb.KeptRef) { one.TakenBack = []*pb.KeptRef{m} })
		f.Queries = spoil(l, from, f, f.Queries, func(one *pb.KeptFrame, m *pb.KeptRef) { one.Queries = []*pb.KeptRef{m} })
		f.Cancelled = spoil(l, from, f, f.Cancelled, func(one *pb.KeptFrame, m *pb.KeptRef) { one.Cancelled = []*pb.KeptRef{m} })
		f.Confirms = spoil(l, from, f, f.Confirms, func(one *pb.KeptFrame, m *pb.KeptConfirm) { one.Confirms = []*pb.KeptConfirm{m} })
		f.Confirmed = spoil(l, from, f, f.Confirmed, func(one *pb.KeptFrame, m *pb.KeptConfirm) { one.Confirmed = []*pb.KeptConfirm{m} })
		l.mu.Unlock()
	}
	l.Events.Frame(from, f)
}

const maxMessageDelay = 300 * ms

// spoil returns the messages of a frame that arrive with it, in some order. Of the others some arrive later, some of
// the first once more.
func spoil[M any](l *faultyEvents, from string, f *pb.KeptFrame, messages []M, set func(*pb.KeptFrame, M)) (arrive []M) {
	for _, m := range messages {
		n := l.rand.IntN(l.oneIn)
		if n > 3 {
			arrive = append(arrive, m)
		}
		if n > 0 && n < 7 {
			one := &pb.KeptFrame{Wanted: f.Wanted, ReachesStore: f.ReachesStore}
			set(one, m)
			time.AfterFunc(time.Duration(l.rand.Int64N(int64(maxMessageDelay))), func() { l.Events.Frame(from, one) })
		}
	}
	l.rand.Shuffle(len(arrive), func(i, j int) { arrive[i], arrive[j] = arrive[j], arrive[i] })
	return arrive
}

// linkFaultRun is one run of random transient submissions on a site whose links have faults. In some, not all VMs have
// late binding.
type linkFaultRun struct {
	*world
	rand    *rand.Rand
	faulty  atomic.Bool
	vmsFail bool // VMs are killed and replaced, cut off from the store, or from the other failure domain
	jobs    []*linkFaultJob
}

type linkFaultJob struct {
	id    submission.ID
	home  *VM
	tasks int
	out   chan Outcome
}

func newLinkFaultRun(t *testing.T, seed uint64) *linkFaultRun {
	r := &linkFaultRun{world: newWorld(t, "a", "b"), rand: rand.New(rand.NewPCG(seed, 17)), vmsFail: seed%2 == 0}
	r.policy.LateBinding, r.policy.LateBindingShards = true, 0
	if seed/2%2 == 1 { // some VMs bind at once
		r.bindsLate = func(name string) bool { return name[1] == '1' }
	}
	r.events = func(name string, e link.Events) link.Events {
		return &faultyEvents{Events: e, rand: rand.New(rand.NewPCG(seed, r.lastIncarnation)), oneIn: []int{10, 20, 60}[seed%3], faulty: &r.faulty}
	}
	r.populate()
	r.faulty.Store(true)
	return r
}

func (r *linkFaultRun) submitSome() {
	names := slices.Sorted(maps.Keys(r.vms))
	for range 1 + r.rand.IntN(3) {
		work := runhost.Work{Time: time.Duration(20+r.rand.IntN(400)) * ms, CPUMilli: []int64{3000, 6800}[r.rand.IntN(2)]}
		j := &linkFaultJob{id: submission.ID(fmt.Sprint("s", len(r.jobs))), home: r.vms[names[r.rand.IntN(len(names))]], tasks: 1 + r.rand.IntN(9), out: make(chan Outcome, 1)}
		r.jobs = append(r.jobs, j)
		r.fleet.SetWork(j.id, work)
		rec := newOneStepRecord(j.id, j.tasks, work)
		rec.Transient, rec.Terms.Target = true, []time.Duration{500 * ms, 8 * time.Second}[r.rand.IntN(2)]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			j.out <- j.home.Submit(ctx, rec)
		}()
	}
}

func (r *linkFaultRun) step() {
	r.submitSome()
	if r.vmsFail && r.rand.IntN(10) == 0 {
		r.failVM()
	}
	time.Sleep(r.upTo(150 * ms))
}

// upTo returns a random duration below d.
func (r *linkFaultRun) upTo(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)))
}

// failVM kills a VM and starts the next one in its place, cuts it off from the store until others have taken over its
// shards, or cuts off its failure domain.
func (r *linkFaultRun) failVM() {
	names := slices.Sorted(maps.Keys(r.vms))
	name := names[r.rand.IntN(len(names))]
	switch r.rand.IntN(3) {
	case 0:
		r.kill(name)
		time.Sleep(r.upTo(300 * ms))
		r.boot(name)
	case 1:
		r.storeTransports[name].SetFault(kvstore.NoReply)
		time.AfterFunc(r.upTo(6*time.Second), func() { r.storeTransports[name].SetFault(kvstore.NoFault) })
	case 2:
		r.cut(name[:1], true)
		time.Sleep(r.upTo(3 * time.Second))
		r.cut(name[:1], false)
	}
}

// check compares the outcome of a submission with what its tasks did, after all has ended.
func (r *linkFaultRun) check(j *linkFaultJob) {
	o := <-j.out
	starts := r.fleet.Starts(j.id)
	switch {
	case o.Kind == Refused && starts > 0:
		r.t.Errorf("%s was refused and had %d starts", j.id, starts)
	case starts > j.tasks && !r.vmsFail:
		r.t.Errorf("%s had %d starts of %d tasks though no VM failed", j.id, starts, j.tasks)
	case o.Kind == Ended && o.State != submission.Done:
		r.t.Errorf("%s ended in state %s", j.id, o.State)
	case o.Kind == Ended:
		for i := range j.tasks {
			if ref := (submission.TaskRef{ID: j.id, Task: submission.Task{Index: i}}); r.fleet.Completions(ref) == 0 {
				r.t.Errorf("%s is done without its task %d", j.id, i)
			}
		}
	case o.Reason == "no answer in time" && slices.Contains(slices.Collect(maps.Values(r.vms)), j.home):
		r.t.Errorf("%s was not answered", j.id)
	}
}

// Guards against a task that runs twice, a refusal of what has run, a whole answer for some of the tasks, and a
// submission that never ends, when messages between home VMs and holders are lost, repeated, late and reordered.
func TestRandomLinkFaultsBreakNoPromise(t *testing.T) {
	playSeeds(t, nil, func(t *testing.T, seed uint64) {
		r := newLinkFaultRun(t, seed)
		for range 60 {
			r.step()
		}
		r.faulty.Store(false) // those of VMs end by themselves
		time.Sleep(31 * time.Second)
		for _, j := range r.jobs {
			r.check(j)
		}
		r.end()
	})
}
