package storeclient_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	connection "github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	standin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
)

const (
	storeReads  = 2000
	storeWrites = 300
	fleet       = 60
)

func newClient(service *standin.Platform, seed uint64) *storeclient.Client {
	return storeclient.New(connection.New(service), storeclient.Options{
		StoreReadsPerSecond:  storeReads,
		StoreWritesPerSecond: storeWrites,
		Fleet:                fleet,
		Seed:                 seed,
	})
}

func write(value string, expected uint64) storeclient.Write {
	mine := func(found []byte) bool { return bytes.Equal(found, []byte(value)) }
	return storeclient.Write{Key: "k", Value: []byte(value), Expected: expected, Mine: mine}
}

// Symptom: an operator is told that a publication failed, and it is in force.
// Sequence: the write takes effect; its answer is lost; the client repeats it
// and sees a conflict with itself. Cause: a blind repeat.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		c := newClient(service, 1)
		service.SetFaults(standin.Faults{LostReplies: 1})
		result, err := c.CompareAndSet(t.Context(), storeclient.ForPublication, write("a", 0))
		if err != nil || !result.Swapped || !result.ReadBack {
			t.Fatalf("result %+v, %v", result, err)
		}
		if n := service.Calls()[standin.MethodCompareAndSet]; n != 1 {
			t.Errorf("%d writes sent, want 1", n)
		}
	})
}

// Symptom: a write is reported lost to another's, though the store held it.
// Sequence: the write takes effect; its answer is lost; reading back comes to
// an old replica, which still holds the value before. Cause: a stale read
// taken for the truth.
func TestStaleReadBackDoesNotDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		c := newClient(service, 1)
		first, err := c.CompareAndSet(t.Context(), storeclient.ForPublication, write("a", 0))
		if err != nil {
			t.Fatal(err)
		}
		service.SetFaults(standin.Faults{LostReplies: 1, StaleReads: true})
		time.AfterFunc(400*time.Millisecond, func() { service.SetFaults(standin.Faults{}) })
		result, err := c.CompareAndSet(t.Context(), storeclient.ForPublication, write("b", first.Version))
		if err != nil || !result.Swapped {
			t.Fatalf("result %+v, %v", result, err)
		}
		if n := service.Calls()[standin.MethodCompareAndSet]; n < 3 {
			t.Errorf("%d writes: the stale read never came into play", n)
		}
	})
}

func TestConflictShowsTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient(standin.New(standin.Options{}), 1)
		if _, err := c.CompareAndSet(t.Context(), storeclient.ForPublication, write("a", 0)); err != nil {
			t.Fatal(err)
		}
		result, err := c.CompareAndSet(t.Context(), storeclient.ForPublication, write("b", 0))
		if err != nil || result.Swapped || string(result.Value) != "a" {
			t.Fatalf("result %+v, %v", result, err)
		}
	})
}

// Symptom: an operator is told "not published", and later it is in force.
// Sequence: the write is sent; the store goes down before it answers; reading
// back fails as well. Cause: no answer taken for a refusal.
func TestUnsettledWriteSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		service.SetFaults(standin.Faults{Outage: true})
		var unresolved *storeclient.UnresolvedError
		_, err := newClient(service, 1).CompareAndSet(t.Context(), storeclient.ForPublication, write("a", 0))
		if !errors.As(err, &unresolved) {
			t.Fatalf("error %v, want an UnresolvedError", err)
		}
	})
}

// During an outage the breaker keeps calls from leaving, and says so.
func TestBreakerOpensAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		c := newClient(service, 1)
		service.SetFaults(standin.Faults{Outage: true})
		for range 20 {
			_, err := c.Get(t.Context(), storeclient.ForConfiguration, "k", 0)
			var down *storeclient.UnavailableError
			if !errors.As(err, &down) {
				t.Fatalf("error %v, want an UnavailableError", err)
			}
		}
		if n := service.Calls()[standin.MethodGet]; n > 10 {
			t.Errorf("%d calls left the process during an outage", n)
		}
		service.SetFaults(standin.Faults{})
		time.Sleep(2 * time.Second) // on the virtual clock: the breaker's pause
		if _, err := c.Get(t.Context(), storeclient.ForConfiguration, "k", 0); err != nil || !c.Up() {
			t.Errorf("after the outage: %v, up %v", err, c.Up())
		}
	})
}

// Symptom: the store comes back and falls over again. Sequence: an outage ends;
// all VMs ask at once for what they missed. Cause: callers that waited together
// return together. The run without a client shows that the load would pass the
// store's limits.
func TestHerdAfterOutageIsSpread(t *testing.T) {
	withClient := herd(t, func(service *standin.Platform, vm int) func(context.Context) error {
		c := newClient(service, uint64(vm))
		return func(ctx context.Context) error {
			_, err := c.Get(ctx, storeclient.ForConfiguration, "k", 0)
			return err
		}
	})
	without := herd(t, func(service *standin.Platform, _ int) func(context.Context) error {
		raw := connection.New(service)
		return func(ctx context.Context) error {
			_, err := raw.Get(ctx, &pumiceyardv1.GetRequest{Key: "k"})
			return err
		}
	})
	t.Logf("refused by the store: %d with the client, %d without", withClient, without)
	if withClient != 0 || without == 0 {
		t.Errorf("refused: %d with the client, want 0; %d without, want some", withClient, without)
	}
}

// herd lets each VM of the fleet ask for 100 values as an outage ends, and
// returns how many calls came above the store's limits.
func herd(t *testing.T, ask func(*standin.Platform, int) func(context.Context) error) (refused int) {
	const callsPerVM = 100
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{ReadsPerSecond: storeReads, WritesPerSecond: storeWrites})
		service.SetFaults(standin.Faults{Outage: true})
		time.AfterFunc(30*time.Second, func() { service.SetFaults(standin.Faults{}) })
		var waiting sync.WaitGroup
		for vm := range fleet {
			call := ask(service, vm)
			waiting.Go(func() {
				_ = call(t.Context())
				time.Sleep(30 * time.Second) // on the virtual clock: the outage
				for answered := 0; answered < callsPerVM; {
					if call(t.Context()) == nil {
						answered++
						continue
					}
					time.Sleep(time.Second) // on the virtual clock: the caller's own loop
				}
			})
		}
		waiting.Wait()
		refused = service.Refused()
	})
	return refused
}

// A whole fleet in full use stays under the store's limits in every second.
func TestFleetStaysUnderTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{ReadsPerSecond: storeReads, WritesPerSecond: storeWrites})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var waiting sync.WaitGroup
		for vm := range fleet {
			c := newClient(service, uint64(vm))
			waiting.Go(func() {
				for ctx.Err() == nil {
					_, _ = c.GrantLease(ctx, storeclient.ForClaims, time.Minute)
				}
			})
		}
		waiting.Wait()
		sent := service.Calls()[standin.MethodGrantLease]
		t.Logf("%d writes in 10 s, %d refused", sent, service.Refused())
		if service.Refused() != 0 || sent < storeWrites*10/2 {
			t.Errorf("%d writes in 10 s, %d refused", sent, service.Refused())
		}
	})
}

func TestAccountsByPurpose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		c := newClient(service, 1)
		for range 3 {
			if _, err := c.ListVMs(t.Context(), storeclient.ForMembership); err != nil {
				t.Fatal(err)
			}
		}
		want := storeclient.Account{Purpose: storeclient.ForMembership, Method: storeclient.MethodListVMs, Sent: 3}
		if got := c.Accounts(); len(got) != 1 || got[0] != want {
			t.Errorf("accounts %+v, want %+v", got, want)
		}
	})
}
