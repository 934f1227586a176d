package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// way answers as it is told.
type way struct {
	status int
	silent bool
	reach  bool
	calls  int
}

func (w *way) Do(ctx context.Context, _ Call) (Reply, error) {
	w.calls++
	if w.silent {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	return Reply{Status: w.status}, nil
}

func (w *way) AnyReachesStore() bool { return w.reach }

func ways(t *testing.T, play func(r *Router, direct, peers *way)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		direct, peers := &way{status: 200}, &way{status: 200, reach: true}
		play(New(direct, peers, func() time.Duration { return time.Hour + time.Since(began) }), direct, peers)
	})
}

func do(r *Router) (int, error) {
	rep, err := r.Do(context.Background(), Call{Method: "POST", Target: "/x"})
	return rep.Status, err
}

// Symptom: a VM that the store turns away refuses its callers. Sequence: the store
// answers 503 to this VM, and serves a peer.
func TestCallsOfAVMThatIsTurnedAwayGoThroughPeers(t *testing.T) {
	ways(t, func(r *Router, direct, peers *way) {
		direct.status = 503
		for range 3 {
			if status, err := do(r); status != 200 || err != nil {
				t.Fatalf("%d, %v", status, err)
			}
		}
		if peers.calls != 3 || direct.calls != 1 {
			t.Errorf("%d calls through peers, %d direct; the direct way is known to fail", peers.calls, direct.calls)
		}
		if r.ReachesStore() || r.Down() {
			t.Error("it tells peers that it reaches the store, or takes the store for down")
		}
		direct.status = 200
		time.Sleep(probeInterval)
		if _, err := do(r); err != nil || !r.ReachesStore() {
			t.Errorf("it does not go back to the direct way (%v)", err)
		}
	})
}

func TestSilentStoreIsLeftForAPeerInTime(t *testing.T) {
	ways(t, func(r *Router, direct, _ *way) {
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

func TestStoreIsDownWhenNoWayAnswers(t *testing.T) {
	ways(t, func(r *Router, direct, peers *way) {
		direct.status, peers.reach = 503, false
		if status, _ := do(r); status != 503 {
			t.Errorf("status %d", status)
		}
		time.Sleep(downThreshold + 100*time.Millisecond)
		if _, err := do(r); err != nil || !r.Down() {
			t.Errorf("it is not taken for down (%v)", err)
		}
		direct.status = 200
		if _, err := do(r); err != nil || r.Down() {
			t.Errorf("it is down after an answer (%v)", err)
		}
	})
}

// Symptom: all calls go through peers for a second after a shard changes hands. Cause:
// a call that its caller gave up counted against the store.
func TestCallGivenUpByItsCallerSaysNothingOfTheStore(t *testing.T) {
	ways(t, func(r *Router, direct, peers *way) {
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

// Symptom: a submission is refused as not run, and runs. Sequence: the store turns the
// direct call away; the peer's call is carried out and its answer lost (or the other way
// round). Cause: the answer of the one way was returned for both.
func TestCallThatOneWayTurnsAwayMayHaveBeenCarriedOutOnTheOther(t *testing.T) {
	for _, silent := range []string{"peer", "direct"} {
		ways(t, func(r *Router, direct, peers *way) {
			direct.status, peers.status = 503, 503
			direct.silent, peers.silent = silent == "direct", silent == "peer"
			for range 3 {
				if status, err := do(r); err == nil {
					t.Errorf("%s without an answer: status %d says that nothing was done", silent, status)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// A call that no peer could be sent is surely not carried out by one.
func TestCallThatWasNotSentIsNotInDoubt(t *testing.T) {
	ways(t, func(r *Router, direct, _ *way) {
		direct.status = 503
		r.peers = noPeer{}
		if status, err := do(r); status != 503 || err != nil {
			t.Errorf("%d, %v, want the refusal", status, err)
		}
	})
}

// noPeer loses its last peer between the look and the call.
type noPeer struct{}

func (noPeer) AnyReachesStore() bool                   { return true }
func (noPeer) Do(context.Context, Call) (Reply, error) { return Reply{}, ErrNotSent }
