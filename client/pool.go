package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// pool holds the prefetched tickets of one endpoint.
type pool struct {
	client   *Client
	endpoint string

	mu          sync.Mutex
	tickets     []Ticket
	refilling   bool      // a refill is running in the background
	brokenUntil time.Time // no tickets are fetched before
}

const (
	// askAgainFor is how long it should be possible to ask again for a job under its
	// ticket. A ticket that expires within half of it is not used any more.
	askAgainFor = 30 * time.Second
	// brokenPeriod is how long no tickets are fetched from an endpoint after it issued none
	// or a request to it failed.
	brokenPeriod = time.Second
	fetchTimeout = 2 * time.Second
)

func newPool(c *Client, endpoint string) *pool {
	return &pool{client: c, endpoint: endpoint}
}

// ticket returns a ticket and the pool that it comes from: the next in turn that has any.
func (c *Client) ticket(ctx context.Context) (string, *pool, error) {
	var last error
	for _, p := range c.poolsInTurn() {
		token, err := p.take(ctx)
		if err == nil {
			return token, p, nil
		}
		last = err
	}
	return "", nil, last
}

var errNoTickets = errors.New("the endpoint is skipped for a second: a request to it failed, or it issued no usable ticket")

// take returns a ticket, and fetches a batch first if none is left.
func (p *pool) take(ctx context.Context) (string, error) {
	if token, ok := p.pop(); ok {
		return token, nil
	}
	p.mu.Lock()
	broken := time.Now().Before(p.brokenUntil)
	p.mu.Unlock()
	if broken {
		return "", errNoTickets
	}
	if err := p.fill(ctx); err != nil {
		return "", err
	}
	if token, ok := p.pop(); ok {
		return token, nil
	}
	return "", errNoTickets
}

// pop removes and returns a prefetched ticket, and starts a refill when fewer than a
// quarter of a batch are left.
func (p *pool) pop() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.tickets) > 0 {
		t := p.tickets[len(p.tickets)-1]
		p.tickets = p.tickets[:len(p.tickets)-1]
		if t.Expiry.Sub(now) < askAgainFor/2 {
			continue
		}
		if len(p.tickets) < p.client.opt.Prefetch/4 && !p.refilling {
			p.refilling = true
			go p.refill()
		}
		return t.Token, true
	}
	return "", false
}

func (p *pool) refill() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_ = p.fill(ctx)
	p.mu.Lock()
	p.refilling = false
	p.mu.Unlock()
}

type ticketsBody struct {
	Count int `json:"count"`
}

type issuedBody struct {
	Tickets []struct {
		Ticket           string `json:"ticket"`
		ExpiryUnixMillis int64  `json:"expiry_unix_millis"`
	} `json:"tickets"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// fill fetches a batch. An endpoint that issues none is skipped for brokenPeriod.
func (p *pool) fill(ctx context.Context) error {
	tickets, err := p.fetch(ctx, p.client.opt.Prefetch)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.brokenUntil = time.Now().Add(brokenPeriod)
		return err
	}
	p.tickets = append(p.tickets, tickets...)
	return nil
}

// fetch requests new tickets from the endpoint.
func (p *pool) fetch(ctx context.Context, count int) ([]Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	body, err := json.Marshal(ticketsBody{count})
	if err != nil {
		return nil, err
	}
	text, err := p.client.call(ctx, http.MethodPost, p.endpoint+"/v1/tickets", body)
	if err != nil {
		return nil, err
	}
	var got issuedBody
	if err := json.Unmarshal(text, &got); err != nil {
		return nil, err
	}
	if len(got.Tickets) == 0 {
		return nil, &RefusedError{Reason: got.Reason, Detail: got.Detail}
	}
	tickets := make([]Ticket, 0, len(got.Tickets))
	for _, t := range got.Tickets {
		tickets = append(tickets, Ticket{t.Ticket, time.UnixMilli(t.ExpiryUnixMillis)})
	}
	return tickets, nil
}

// discard drops the prefetched tickets of an endpoint that does not serve any more: jobs
// under them would have to be recovered by another entry VM right away. New ones are
// fetched after brokenPeriod at the earliest.
func (p *pool) discard() {
	p.mu.Lock()
	p.tickets = nil
	p.brokenUntil = time.Now().Add(brokenPeriod)
	p.mu.Unlock()
}
