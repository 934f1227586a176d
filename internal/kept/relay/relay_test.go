package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// fakeTransport is a fake Transport and Peers.
type fakeTransport struct {
	status       int
	silent       bool
	reachesStore bool
	calls        int
}

func (t *fakeTransport) Do(ctx context.Context, _ Call) (Reply, error) {
	t.calls++
	if t.silent {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	return Reply{Status: t.status}, nil
}

func (t *fakeTransport) AnyReachesStore() bool { return t.reachesStore }

func withRouter(t *testing.T, test func(r *Router, direct, peers *fakeTransport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		direct, peers := &fakeTransport{status: 200}, &fakeTransport{status: 200, reachesStore: true}
		test(New(direct, peers, func() time.Duration { return time.Hour + time.Since(began) }), direct, peers)
	})
}

func do(r *Router) (int, error) {
	rep, err := r.Do(context.Background(), Call{Method: "POST", Target: "/x"})
	return rep.Status, err
}

// Guards against a VM that refuses its callers because the store refuses it, although the store serves a peer.
func TestCallsOfARefusedVMGoThroughPeers(t *testing.T) {
	withRouter(t, func(r *Router, direct, peers *fakeTransport) {
		direct.status = 503
		for range 3 {
			if status, err := do(r); status != 200 || err != nil {
				t.Fatalf("%d, %v", status, err)
			}
		}
		if peers.calls != 3 || direct.calls != 1 {
			t.Errorf("%d calls through peers, %d direct; direct calls are known to fail", peers.calls, direct.calls)
		}
		if r.ReachesStore() || r.Down() {
			t.Error("it claims to reach the store directly, or considers it down")
		}
		direct.status = 200
		time.Sleep(probeInterval)
		if _, err := do(r); err != nil || !r.ReachesStore() {
			t.Errorf("it does not return to direct calls (%v)", err)
		}
	})
}

func TestSilentStoreIsReplacedByAPeerInTime(t *testing.T) {
	withRouter(t, func(r *Router, direct, _ *fakeTransport) {
		direct.silent = true
		began := time.Now()
		if status, err := do(r); status != 200 || err != nil {
			t.Fatalf("%d, %v", status, err)
		}
		if took := time.Since(began); took > directTimeout+50*time.Millisecond {
			t.Errorf("the first call took %v", took)
		}
		began = time.Now()
		if _, err := do(r); err != nil || time.Since(began) > 50*time.Millisecond {
			t.Errorf("the next call took %v (%v)", time.Since(began), err)
		}
	})
}

func TestStoreIsDownWhenNobodyAnswers(t *testing.T) {
	withRouter(t, func(r *Router, direct, peers *fakeTransport) {
		direct.status, peers.reachesStore = 503, false
		if status, _ := do(r); status != 503 {
			t.Errorf("status %d", status)
		}
		time.Sleep(downThreshold + 100*time.Millisecond)
		if _, err := do(r); err != nil || !r.Down() {
			t.Errorf("it is not considered down (%v)", err)
		}
		direct.status = 200
		if _, err := do(r); err != nil || r.Down() {
			t.Errorf("it is down after an answer (%v)", err)
		}
	})
}

// Guards against calls that go through peers for a second after a handover of a shard: a call that its
// caller cancelled must not count as a failure of the store.
func TestCancelledCallIsNoFailureOfTheStore(t *testing.T) {
	withRouter(t, func(r *Router, direct, peers *fakeTransport) {
		direct.silent = true
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		if _, err := r.Do(ctx, Call{}); !errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
		direct.silent = false
		if _, err := do(r); err != nil || peers.calls != 0 {
			t.Errorf("%d calls went through peers (%v)", peers.calls, err)
		}
	})
}

// Guards against a submission that is refused as not run, and runs: the store refuses the direct call, while
// the peer's call is carried out and its answer lost, or the other way round. The refusal must not
// be returned for both.
func TestRefusalIsNotReturnedIfAnotherAttemptIsUnanswered(t *testing.T) {
	for _, silent := range []string{"peer", "direct"} {
		withRouter(t, func(r *Router, direct, peers *fakeTransport) {
			direct.status, peers.status = 503, 503
			direct.silent, peers.silent = silent == "direct", silent == "peer"
			for range 3 {
				if status, err := do(r); err == nil {
					t.Errorf("%s without an answer: status %d means that it was not carried out", silent, status)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// A call that was not sent to any peer cannot have been carried out by one.
func TestCallThatWasNotSentIsNotInDoubt(t *testing.T) {
	withRouter(t, func(r *Router, direct, _ *fakeTransport) {
		direct.status = 503
		r.peers = noPeer{}
		if status, err := do(r); status != 503 || err != nil {
			t.Errorf("%d, %v, want the refusal", status, err)
		}
	})
}

// noPeer is Peers whose last peer is lost between AnyReachesStore and Do.
type noPeer struct{}

func (noPeer) AnyReachesStore() bool                   { return true }
func (noPeer) Do(context.Context, Call) (Reply, error) { return Reply{}, ErrNotSent }
