package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/platform"
	standin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
)

func TestOverHTTP(t *testing.T) {
	server := httptest.NewServer(platform.Handler(standin.New(standin.Options{})))
	defer server.Close()
	client := platform.Dial(platform.NewHTTPClient(nil), server.URL)
	ctx := context.Background()
	set, err := client.CompareAndSet(ctx, &pumiceyardv1.CompareAndSetRequest{Key: "k", Value: []byte("v")})
	if err != nil || !set.Swapped {
		t.Fatalf("compare-and-set: %v, %v", set, err)
	}
	got, err := client.Get(ctx, &pumiceyardv1.GetRequest{Key: "k"})
	if err != nil || string(got.Value) != "v" || got.Version != set.Version {
		t.Fatalf("get: %v, %v", got, err)
	}
}

// Guards against an entry VM that misses changes of the configuration: a device
// between the two ends drops the connection's state while the VM waits in a watch,
// and no answer arrives. The watch must end with an error.
func TestSilentWatchEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		service.SetFaults(standin.Faults{SilentWatch: true})
		started := time.Now()
		_, err := platform.New(service).Watch(t.Context(), &pumiceyardv1.WatchRequest{Key: "k", WaitMillis: 3000})
		if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
			t.Errorf("error %v, want a deadline exceeded", err)
		}
		if waited := time.Since(started); waited != 3*time.Second+platform.WatchReplyTimeout {
			t.Errorf("the watch ended after %v, want the wait of 3 s plus the reply timeout", waited)
		}
	})
}
