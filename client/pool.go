package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// pool keeps tickets of one endpoint ready.
type pool struct {
	client   *Client
	endpoint string

	mu        sync.Mutex
	tickets   []Ticket
	filling   bool
	brokenTil time.Time
}

const (
	// answerValidity is the rest of its life that a ticket must have to be used: a job
	// has to be asked for again for that long.
	freshFor = 30 * time.Second
	// brokenFor is how long an endpoint that gave no tickets is passed over.
	brokenFor   = time.Second
	fillTimeout = 2 * time.Second
)

func newPool(c *Client, endpoint string) *pool {
	return &pool{client: c, endpoint: endpoint}
}

// ticket takes one from the next endpoint that has any, and returns which.
func (c *Client) ticket(ctx context.Context) (string, *pool, error) {
	var last error
	for _, p := range c.inTurn() {
		token, err := p.take(ctx)
		if err == nil {
			return token, p, nil
		}
		last = err
	}
	return "", nil, last
}

var errBroken = errors.New("the endpoint gave no tickets just now")

// take returns a ticket, fetching a batch when none is left.
func (p *pool) take(ctx context.Context) (string, error) {
	if token, ok := p.pop(); ok {
		return token, nil
	}
	p.mu.Lock()
	broken := time.Now().Before(p.brokenTil)
	p.mu.Unlock()
	if broken {
		return "", errBroken
	}
	if err := p.fill(ctx); err != nil {
		return "", err
	}
	if token, ok := p.pop(); ok {
		return token, nil
	}
	return "", errBroken
}

// pop takes a ready ticket and starts a refill when few are left.
func (p *pool) pop() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.tickets) > 0 {
		t := p.tickets[len(p.tickets)-1]
		p.tickets = p.tickets[:len(p.tickets)-1]
		if t.Expiry.Sub(now) < freshFor/2 {
			continue
		}
		if len(p.tickets) < p.client.opt.Prefetch/4 && !p.filling {
			p.filling = true
			go p.refill()
		}
		return t.Token, true
	}
	return "", false
}

func (p *pool) refill() {
	ctx, cancel := context.WithTimeout(context.Background(), fillTimeout)
	defer cancel()
	_ = p.fill(ctx)
	p.mu.Lock()
	p.filling = false
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

// fill fetches a batch. An endpoint that gives none is passed over for a while.
func (p *pool) fill(ctx context.Context) error {
	tickets, err := p.fetch(ctx, p.client.opt.Prefetch)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.brokenTil = time.Now().Add(brokenFor)
		return err
	}
	p.tickets = append(p.tickets, tickets...)
	return nil
}

// fetch asks the endpoint for tickets.
func (p *pool) fetch(ctx context.Context, count int) ([]Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
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

// discard drops the tickets that are kept ready for an endpoint, after it was
// found to be gone: their jobs would have to be recovered at once.
func (p *pool) discard() {
	p.mu.Lock()
	p.tickets = nil
	p.brokenTil = time.Now().Add(brokenFor)
	p.mu.Unlock()
}
