package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	client "github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/standin/platform"
)

func start(options platform.Options) (*platform.Platform, *client.Client) {
	service := platform.New(options)
	return service, client.New(service)
}

func set(t *testing.T, c *client.Client, value string, expected, lease uint64) (*pumiceyardv1.CompareAndSetResponse, error) {
	t.Helper()
	return c.CompareAndSet(t.Context(), &pumiceyardv1.CompareAndSetRequest{
		Key: "k", Value: []byte(value), ExpectedVersion: expected, Lease: lease,
	})
}

func get(t *testing.T, c *client.Client) string {
	t.Helper()
	answer, err := c.Get(t.Context(), &pumiceyardv1.GetRequest{Key: "k"})
	if err != nil {
		t.Fatal(err)
	}
	return string(answer.Value)
}

func TestCompareAndSet(t *testing.T) {
	_, c := start(platform.Options{})
	first, err := set(t, c, "a", 0, 0)
	if err != nil || !first.Swapped {
		t.Fatalf("first write: %v, %v", first, err)
	}
	second, err := set(t, c, "b", 0, 0)
	if err != nil || second.Swapped || second.Version != first.Version {
		t.Fatalf("write under an old version: %v, %v", second, err)
	}
	if _, err := set(t, c, string(make([]byte, platform.MaxValueBytes+1)), first.Version, 0); connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("value above the size limit: %v, want code invalid argument", err)
	}
	if got := get(t, c); got != "a" {
		t.Errorf("value = %q, want a", got)
	}
}

func TestLeasedValueExpires(t *testing.T) {
	now := time.Unix(0, 0)
	_, c := start(platform.Options{Now: func() time.Time { return now }})
	granted, err := c.GrantLease(t.Context(), &pumiceyardv1.GrantLeaseRequest{TtlMillis: 1000})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := set(t, c, "a", 0, granted.Lease); err != nil {
		t.Fatal(err)
	}
	now = now.Add(999 * time.Millisecond)
	kept, err := c.KeepAlive(t.Context(), &pumiceyardv1.KeepAliveRequest{Lease: granted.Lease})
	if err != nil || !kept.Alive || get(t, c) != "a" {
		t.Fatalf("before expiry: %v, %v", kept, err)
	}
	now = now.Add(time.Second)
	kept, err = c.KeepAlive(t.Context(), &pumiceyardv1.KeepAliveRequest{Lease: granted.Lease})
	if err != nil || kept.Alive || get(t, c) != "" {
		t.Fatalf("after expiry: %v, %v", kept, err)
	}
}

func TestWatchAnswersOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, c := start(platform.Options{})
		answered := make(chan *pumiceyardv1.WatchResponse)
		go func() {
			answer, _ := c.Watch(t.Context(), &pumiceyardv1.WatchRequest{Key: "k", WaitMillis: 5000})
			answered <- answer
		}()
		synctest.Wait()
		if _, err := set(t, c, "a", 0, 0); err != nil {
			t.Fatal(err)
		}
		if answer := <-answered; !answer.GetChanged() || string(answer.Value) != "a" {
			t.Errorf("answer = %v", answer)
		}
		if n := service.Calls()[platform.MethodWatch]; n != 1 {
			t.Errorf("a waiting watch counted as %d calls", n)
		}
	})
}

func TestFaults(t *testing.T) {
	service, c := start(platform.Options{})
	first, err := set(t, c, "a", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	service.SetFaults(platform.Faults{LostReplies: 1})
	if _, err := set(t, c, "b", first.Version, 0); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("write whose reply is lost: %v, want code unavailable", err)
	}
	if got := get(t, c); got != "b" {
		t.Errorf("value after a write whose reply was lost = %q, want b", got)
	}
	service.SetFaults(platform.Faults{StaleReads: true})
	if got := get(t, c); got != "a" {
		t.Errorf("stale read = %q, want a", got)
	}
	service.SetFaults(platform.Faults{Outage: true})
	if _, err := c.ListVMs(t.Context()); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("during an outage: %v, want code unavailable", err)
	}
}

func TestRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	service, c := start(platform.Options{Now: func() time.Time { return now }, WritesPerSecond: 2})
	for range 5 {
		_, _ = set(t, c, "a", 99, 0)
	}
	if got := service.Refused(); got != 3 {
		t.Errorf("%d of 5 writes refused, want 3", got)
	}
}

func TestListLags(t *testing.T) {
	now := time.Unix(0, 0)
	service, c := start(platform.Options{Now: func() time.Time { return now }, ListLag: 10 * time.Second})
	service.SetVMs([]*pumiceyardv1.VM{{Id: "a", Incarnation: 1}})
	now = now.Add(10 * time.Second)
	service.SetVMs([]*pumiceyardv1.VM{{Id: "a", Incarnation: 1}, {Id: "b", Incarnation: 2}})
	list, err := c.ListVMs(t.Context())
	if err != nil || list.Version != 1 || len(list.Vms) != 1 {
		t.Fatalf("before the lag: %v, %v", list, err)
	}
	now = now.Add(10 * time.Second)
	list, err = c.ListVMs(t.Context())
	if err != nil || list.Version != 2 || list.Vms[0].SinceVersion != 1 || list.Vms[1].SinceVersion != 2 {
		t.Fatalf("after the lag: %v, %v", list, err)
	}
}
