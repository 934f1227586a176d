package demo

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

// callers are the SDK clients that reach the same entry VMs, one per client
// account.
type callers struct {
	clients   map[string]*client.Client
	transport *countingTransport
}

const connectionsPerEntryVM = 512

// newCallers makes one client per account of the profile.
func newCallers(p *workload.Profile, endpoints []string) (callers, error) {
	t := &countingTransport{next: &http.Transport{
		MaxIdleConnsPerHost: connectionsPerEntryVM,
		IdleConnTimeout:     time.Minute,
	}}
	c := callers{clients: make(map[string]*client.Client), transport: t}
	for _, s := range p.Streams {
		if c.clients[s.Account] != nil {
			continue
		}
		one, err := client.New(client.Options{
			Endpoints:     endpoints,
			Key:           s.Key,
			NotRunRetries: 2,
			HTTP:          &http.Client{Transport: t},
		})
		if err != nil {
			return c, err
		}
		c.clients[s.Account] = one
	}
	return c, nil
}

// setEndpoints tells the clients which entry VMs there are. The platform's
// balancer does that for callers that reach the site through it.
func (c callers) setEndpoints(endpoints []string) error {
	for _, one := range c.clients {
		if err := one.SetEndpoints(endpoints); err != nil {
			return err
		}
	}
	return nil
}

// cutOff is how many requests ended without an HTTP answer.
func (c callers) cutOff() uint64 { return c.transport.broken.Load() }

// countingTransport counts requests whose connection failed.
type countingTransport struct {
	next   http.RoundTripper
	broken atomic.Uint64
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil && req.Context().Err() == nil {
		t.broken.Add(1)
	}
	return resp, err
}
