package vm

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// callerTimeout is how long a caller waits for the answer of a VM that stands still.
const callerTimeout = 1500 * time.Millisecond

// leaveNotice is how long after a VM goes on it finds out that a caller has left meanwhile.
const leaveNotice = 5 * time.Millisecond

// attempts are those of one caller at a submission of tasks that outlast the faults.
type attempts struct {
	*world
	home  string // the VM of the first attempt, in domain a
	tasks int
	work  runhost.Work
}

// first makes the first attempt, whose tasks have started when it returns, and returns a function by which the caller
// leaves.
func (a *attempts) first() (leave func()) {
	leave = a.leavingCaller(a.home, "job", a.tasks, a.work)
	time.Sleep(500 * ms)
	return leave
}

// next makes the next attempt, at a VM of domain b, and waits for its end.
func (a *attempts) next() {
	leave := a.leavingCaller(otherVM(a.holderOf("b")), "job", a.tasks, a.work)
	time.Sleep(2*a.work.Time + 2*time.Second)
	leave()
}

// wantGivenUp waits until the home gives the first attempt up.
func (a *attempts) wantGivenUp(out chan Outcome) {
	a.t.Helper()
	if o := <-out; o.Kind != Indeterminate {
		a.t.Fatalf("the outcome of the first attempt is %+v, want %v", o, Indeterminate)
	}
}

// peers returns the other VMs.
func (a *attempts) peers() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.vms)), func(name string) bool { return name == a.home })
}

// playAttempts plays two attempts on a site of three failure domains, for submissions that domain a can serve and larger
// ones, with and without late binding. The home VM of the first one holds the shard of its domain or does not.
func playAttempts(t *testing.T, homeHolds bool, play func(a *attempts)) {
	for _, late := range []bool{false, true} {
		for _, tasks := range []int{1, 9} {
			t.Run(fmt.Sprintf("late=%v tasks=%d", late, tasks), func(t *testing.T) {
				testWorldWith(t, func(w *world) {
					w.domains = []string{"a", "b", "c"}
					w.canStandStill = true
					w.policy.LateBinding, w.policy.LateBindingShards = late, 0
				}, func(w *world) {
					home := w.holderOf("a")
					if !homeHolds {
						home = otherVM(home)
					}
					play(&attempts{world: w, home: home, tasks: tasks, work: runhost.Work{Time: 5 * time.Second}})
				})
			})
		}
	}
}

// Guards against a cancellation that is in flight when the streams between home and holders are reset, and is not sent again.
func TestCancellationOnAStreamThatIsReset(t *testing.T) {
	playAttempts(t, false, func(a *attempts) {
		leave := a.first()
		for _, peer := range a.peers() {
			a.mesh.ResetAfter(addressOf(a.home), addressOf(peer), 10*ms)
		}
		leave()
		time.Sleep(callerRetryDelay)
		a.next()
	})
}

// Guards against a holder that goes on with what its home has given up, as only the connections that the home opens are
// lost. No other VM takes the shard, as the store is away.
func TestHomeGivesUpAHolderThatStillReachesIt(t *testing.T) {
	playAttempts(t, false, func(a *attempts) {
		out := a.submit(a.home, "job", a.tasks, a.work, true)
		time.Sleep(500 * ms)
		a.withoutStore(10 * time.Second)
		for _, peer := range a.peers() {
			a.mesh.SetDialsLost(addressOf(a.home), addressOf(peer), true)
		}
		a.wantGivenUp(out)
		time.Sleep(callerRetryDelay)
		a.next()
	})
}

// The same when the caller leaves at the beginning of the fault.
func TestCallerLeavesAHomeThatDoesNotReachItsHolders(t *testing.T) {
	playAttempts(t, false, func(a *attempts) {
		leave := a.first()
		for _, peer := range a.peers() {
			a.mesh.SetDialsLost(addressOf(a.home), addressOf(peer), true)
		}
		leave()
		time.Sleep(callerRetryDelay)
		a.next()
	})
}

// Guards against a holder that goes on when nothing that the home sends reaches it, on any connection.
func TestAllThatAHomeSendsIsLost(t *testing.T) {
	playAttempts(t, false, func(a *attempts) {
		leave := a.first()
		for _, peer := range a.peers() {
			a.mesh.SetOneWayLoss(addressOf(a.home), addressOf(peer), true)
		}
		leave()
		time.Sleep(callerRetryDelay)
		a.next()
	})
}

// Guards against parts in other domains that outlast the caller's return when its home is cut off as it leaves, on a site
// of more than 13 VMs, where links are relaxed.
func TestCallerLeavesAsItsHomeIsCutOffOnALargeSite(t *testing.T) {
	testLargeWorld(t, 40, 0.192, func(w *world) {
		work := runhost.Work{Time: 4 * time.Second}
		leave := w.leavingCaller("a3", "job", 70, work)
		time.Sleep(500 * ms)
		w.cut("a", true)
		leave()
		time.Sleep(callerRetryDelay)
		leave = w.leavingCaller("c3", "job", 70, work)
		time.Sleep(work.Time + 4*time.Second)
		leave()
	})
}

// Guards against a home that is the holder as well, stood still, and goes on with what its caller has sent elsewhere. No
// other VM takes its shard, as the store is away.
func TestHomeAndHolderThatStoodStill(t *testing.T) {
	playStandstillOfHome(t, true, func(a *attempts) { a.withoutStore(3500 * ms) })
}

// Guards against a home that stood still while its shard changed hands, and gives the part to the next holder.
func TestShardChangesHandsWhileItsHomeStandsStill(t *testing.T) {
	playStandstillOfHome(t, false, func(a *attempts) { a.kill(a.holderOf("a")) })
}

// withoutStore makes all VMs go without the store for a while.
func (w *world) withoutStore(d time.Duration) {
	for _, s := range w.storeTransports {
		s.SetFault(kvstore.Unavailable)
	}
	time.AfterFunc(d, func() {
		for _, s := range w.storeTransports {
			s.SetFault(kvstore.NoFault)
		}
	})
}

// playStandstillOfHome plays a home that stands still for 3 s, which its caller leaves meanwhile.
func playStandstillOfHome(t *testing.T, homeHolds bool, meanwhile func(*attempts)) {
	playAttempts(t, homeHolds, func(a *attempts) {
		a.boot("a3")
		time.Sleep(time.Second)
		leave := a.first()
		a.standStill(a.home, 3*time.Second)
		time.AfterFunc(3*time.Second+leaveNotice, leave)
		time.Sleep(100 * ms)
		meanwhile(a)
		time.Sleep(callerTimeout - 600*ms + callerRetryDelay)
		a.next()
	})
}

// Guards against a holder that stood still and goes on with what its home has given up. No other VM takes its shard, as the
// store is away.
func TestHolderThatStoodStill(t *testing.T) {
	playAttempts(t, false, func(a *attempts) {
		out := a.submit(a.home, "job", a.tasks, a.work, true)
		time.Sleep(500 * ms)
		a.withoutStore(5 * time.Second)
		a.standStill(a.holderOf("a"), 3*time.Second)
		a.wantGivenUp(out)
		time.Sleep(callerRetryDelay)
		a.next()
	})
}

// Guards against a request that waited in a socket while its VM stood still, and whose caller has sent it elsewhere.
func TestRequestThatWaitedForAVMThatStoodStill(t *testing.T) {
	for _, homeHolds := range []bool{true, false} {
		for _, read := range []time.Duration{5 * ms, 40 * ms} { // after the VM goes on
			t.Run(fmt.Sprintf("home holds the shard=%v read=%v", homeHolds, read), func(t *testing.T) {
				playAttempts(t, homeHolds, func(a *attempts) {
					a.standStill(a.home, 3*time.Second)
					time.AfterFunc(3*time.Second+read, func() {
						leave := a.leavingCaller(a.home, "job", a.tasks, a.work)
						time.AfterFunc(leaveNotice, leave)
					})
					time.Sleep(callerTimeout + callerRetryDelay)
					a.next()
				})
			})
		}
	}
}
