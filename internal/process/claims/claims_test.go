package claims_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	connection "github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/process/claims"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	standin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
)

func newClaims(store *standin.Platform, seed uint64) *claims.Claims {
	return claimsWith(claims.Defaults(), store, seed)
}

func claimsWith(s claims.Settings, store *standin.Platform, seed uint64) *claims.Claims {
	return claims.New(s, storeclient.New(connection.New(store), storeclient.Options{
		StoreReadsPerSecond: 2000, StoreWritesPerSecond: 300, Fleet: 8, Seed: seed,
	}))
}

func claim(t *testing.T, c *claims.Claims, account, key, token string) string {
	t.Helper()
	bound, refusal := c.Claim(t.Context(), account, key, token)
	if refusal != nil {
		t.Fatalf("%s of %s: %+v", key, account, refusal)
	}
	return bound
}

// Guards against running a submission twice. A caller sends it with its key to one
// entry VM, gets no answer, and sends it to another. Both VMs could treat the key as
// new, or one could mistake its own claim, whose reply was lost, for another's.
func TestFirstClaimWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{})
		a, b := newClaims(store, 1), newClaims(store, 2)
		if got := claim(t, a, "desk", "k", "t1"); got != "t1" {
			t.Errorf("the first claim is bound to %s", got)
		}
		if got := claim(t, b, "desk", "k", "t2"); got != "t1" {
			t.Errorf("the second claim is bound to %s", got)
		}
		if got := claim(t, b, "foremen", "k", "t3"); got != "t3" {
			t.Errorf("another account's key is bound to %s", got)
		}
		store.SetFaults(standin.Faults{LostReplies: 1})
		if got := claim(t, b, "desk", "k2", "t4"); got != "t4" {
			t.Errorf("a claim whose answer was lost is bound to %s", got)
		}
	})
}

// Checks how many store calls a claim costs, and that a claim expires by itself after
// its lifetime.
func TestClaimCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{})
		c := newClaims(store, 1)
		const fresh, repeats = 100, 10
		for i := range fresh {
			claim(t, c, "desk", fmt.Sprint("k", i), "t1")
			time.Sleep(time.Second)
		}
		for i := range repeats {
			claim(t, c, "desk", fmt.Sprint("k", i), "t2")
			time.Sleep(time.Second)
		}
		calls := store.Calls()
		if calls[standin.MethodCompareAndSet] != fresh+repeats || calls[standin.MethodGet] != repeats || calls[standin.MethodGrantLease] != 2 {
			t.Errorf("%d fresh claims, %d repeats in 110 s cost %v", fresh, repeats, calls)
		}
		time.Sleep(claims.Defaults().Life + claims.Defaults().LeaseWindow)
		if got := claim(t, c, "desk", "k1", "t3"); got != "t3" {
			t.Errorf("a lapsed claim is still bound to %s", got)
		}
	})
}

// Checks that claims above the rate limit are refused without a store call.
func TestClaimRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{})
		s := claims.Defaults()
		s.PerSecond = 0 // the burst is not filled up again
		c := claimsWith(s, store, 1)
		for i := range s.Burst {
			claim(t, c, "desk", fmt.Sprint("k", i), "t1")
		}
		_, refusal := c.Claim(t.Context(), "desk", "k", "t1")
		if refusal == nil || refusal.Code != reason.ClaimRateExceeded || refusal.RetryAfter == 0 {
			t.Errorf("over the rate: %+v", refusal)
		}
		if n := store.Calls()[standin.MethodCompareAndSet]; n != s.Burst {
			t.Errorf("%d writes for a burst of %d", n, s.Burst)
		}
	})
}

// Checks that claims are refused while the store is unavailable and succeed again
// afterwards.
func TestClaimsWhileStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{})
		c := newClaims(store, 1)
		claim(t, c, "desk", "k1", "t1")
		store.SetFaults(standin.Faults{Outage: true})
		_, refusal := c.Claim(t.Context(), "desk", "k2", "t1")
		if refusal == nil || refusal.Code != reason.ClaimStoreDown || refusal.RetryAfter == 0 {
			t.Errorf("store out: %+v", refusal)
		}
		time.Sleep(10 * time.Second)
		store.SetFaults(standin.Faults{})
		if got := claim(t, c, "desk", "k2", "t2"); got != "t2" {
			t.Errorf("after the outage the key is bound to %s", got)
		}
	})
}

// Checks a store that restarts empty, without the lease: the next claim is refused,
// and the one after it uses a new lease.
func TestLostLeaseIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		store := standin.New(standin.Options{Now: func() time.Time { return now }})
		c := newClaims(store, 1)
		claim(t, c, "desk", "k1", "t1")
		now = now.Add(24 * time.Hour)
		if _, refusal := c.Claim(t.Context(), "desk", "k2", "t1"); refusal == nil || refusal.Code != reason.ClaimStoreDown {
			t.Errorf("under a lost lease: %+v", refusal)
		}
		if got := claim(t, c, "desk", "k2", "t2"); got != "t2" {
			t.Errorf("bound to %s", got)
		}
	})
}
