// Package client is the Go SDK for callers of pumiceyard.
//
// Submit gives each job a ticket that was fetched ahead, so a ticket costs no
// round trip. A broken connection is followed by the same ticket on another one,
// which attaches to the running job or fetches its answer: no job is submitted
// anew after it may have been taken. The end is always one Answer with a typed
// Outcome, or an error that says the outcome is not known.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes.
const (
	// Complete: every task ran, all outputs are there.
	Complete Outcome = "complete"
	// Failed: the job ended and something of it may have run.
	Failed Outcome = "failed"
	// NotRun: nothing of the job has run or will run. It may be submitted anew.
	NotRun Outcome = "not_run"
	// Unknown: it could not be proven whether some task ran.
	Unknown Outcome = "unknown"
)

// Job is what to run.
type Job struct {
	Template string
	Tasks    []json.RawMessage
	Deadline time.Duration // 0: the template's
	// OnTicket is called by Submit with the ticket that the job is about to be
	// sent under, and the endpoint it is sent to. With the ticket another
	// goroutine may Cancel or Resume the job while Submit waits. It is called
	// once more for each time that a job which was not run is submitted anew.
	OnTicket func(ticket, endpoint string)
}

// Answer is the end of a job.
type Answer struct {
	Outcome    Outcome
	Outputs    []json.RawMessage // one per task when Complete, else nil
	Reason     string            // stable code when not Complete
	Detail     string
	RetryAfter time.Duration // when it makes sense to ask again, 0: never
	Ticket     string
	Revision   uint64 // configuration revision the job ran under
	Sent       int    // requests this answer took, 1 when nothing went wrong
}

// UnresolvedError says that no answer could be had before the context ended.
// The job may run or have run; Resume with the ticket asks again.
type UnresolvedError struct {
	Ticket string
	Cause  error
}

func (e *UnresolvedError) Error() string {
	return "no answer yet, the outcome is not known: " + e.Cause.Error()
}

func (e *UnresolvedError) Unwrap() error { return e.Cause }

// Options set up a Client.
type Options struct {
	// Endpoints are base URLs of entry VMs, or of a balancer before them.
	Endpoints []string
	// Key is the client account's key.
	Key string
	// Prefetch is how many tickets are kept ready per endpoint; 0: 32.
	Prefetch int
	// NotRunRetries is how often a job that was not run is submitted anew, after
	// the time the site asks for; 0: never.
	NotRunRetries int
	// Silence is how long an entry VM may send nothing while a job runs, not even
	// a heartbeat; the job is then asked for on another connection. 0: 5 s.
	Silence time.Duration
	// HTTP is the client to use; nil: one with bounds suited to short jobs.
	HTTP *http.Client
}

const (
	defaultPrefetch = 32
	defaultSilence  = 5 * time.Second
	firstBackoff    = 20 * time.Millisecond
	lastBackoff     = time.Second
	maxConnsPerHost = 512
	attachTimeout   = 60 * time.Second
)

// Client submits jobs for one client account. It is safe for concurrent use.
type Client struct {
	opt   Options
	http  *http.Client
	pools atomic.Pointer[[]*pool]
	turn  atomic.Uint64
}

// New returns a Client. It opens no connection until the first call.
func New(opt Options) (*Client, error) {
	if len(opt.Endpoints) == 0 {
		return nil, errNoEndpoints
	}
	if opt.Prefetch == 0 {
		opt.Prefetch = defaultPrefetch
	}
	if opt.Silence == 0 {
		opt.Silence = defaultSilence
	}
	c := &Client{opt: opt, http: opt.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxConnsPerHost,
			MaxIdleConns:        maxConnsPerHost * len(opt.Endpoints),
			IdleConnTimeout:     time.Minute,
		}}
	}
	return c, c.SetEndpoints(opt.Endpoints)
}

var errSilent = errors.New("client: the connection is silent")

var errNoEndpoints = errors.New("client: no endpoints")

// SetEndpoints replaces the base URLs, for callers that learn of entry VMs that
// come and go. Jobs under way go on: their next request uses the new ones.
func (c *Client) SetEndpoints(endpoints []string) error {
	if len(endpoints) == 0 {
		return errNoEndpoints
	}
	known := make(map[string]*pool)
	if old := c.pools.Load(); old != nil {
		for _, p := range *old {
			known[p.endpoint] = p
		}
	}
	pools := make([]*pool, 0, len(endpoints))
	for _, endpoint := range endpoints {
		p := known[endpoint]
		if p == nil {
			p = newPool(c, endpoint)
		}
		pools = append(pools, p)
	}
	c.pools.Store(&pools)
	return nil
}

// Submit runs a job and waits for its end.
func (c *Client) Submit(ctx context.Context, j Job) (*Answer, error) {
	sent, moves := 0, 0
	var last *Answer
	for retry := 0; ; retry++ {
		ticket, home, err := c.ticket(ctx)
		if err != nil && last != nil {
			return last, nil // it was not run, and can not be submitted anew
		}
		if err != nil {
			// Without a ticket nothing was submitted.
			return nil, &NoTicketError{Cause: err}
		}
		if j.OnTicket != nil {
			j.OnTicket(ticket, home.endpoint)
		}
		a, err := c.drive(ctx, ticket, home, j, true)
		if err != nil {
			return nil, err
		}
		sent += a.Sent
		a.Sent, last = sent, a
		if a.Outcome == NotRun && a.Reason == draining && moves < len(*c.pools.Load()) {
			// A planned stop is no reason to fail: another entry VM takes it.
			moves++
			retry--
			continue
		}
		if a.Outcome != NotRun || retry >= c.opt.NotRunRetries || a.RetryAfter == 0 {
			return a, nil
		}
		if !pause.For(ctx, jitter(a.RetryAfter)) {
			return a, nil
		}
	}
}

// NoTicketError says that no entry VM gave a ticket. Nothing was run.
type NoTicketError struct{ Cause error }

func (e *NoTicketError) Error() string { return "no ticket, nothing was run: " + e.Cause.Error() }

func (e *NoTicketError) Unwrap() error { return e.Cause }

// Resume asks again for the job of a ticket, with the same tasks.
func (c *Client) Resume(ctx context.Context, ticket string, j Job) (*Answer, error) {
	return c.drive(ctx, ticket, c.next(nil), j, false)
}

// drive puts the job under its ticket until there is a final answer. Every
// attempt after the first goes to another endpoint.
func (c *Client) drive(ctx context.Context, ticket string, at *pool, j Job, first bool) (*Answer, error) {
	body, err := json.Marshal(submitBody{j.Template, j.Tasks, uint32(j.Deadline.Milliseconds()), first})
	if err != nil {
		return nil, err
	}
	backoff := firstBackoff
	for sent := 1; ; sent++ {
		a, err := c.put(ctx, at.endpoint, ticket, body)
		if err == nil && a.Outcome == Complete && len(a.Outputs) != len(j.Tasks) {
			err = &partialError{outputs: len(a.Outputs), tasks: len(j.Tasks)}
		}
		if err == nil && a.Reason == draining {
			// The other tickets of this endpoint would be refused as well.
			at.discard()
		}
		if err == nil && !a.passing() {
			a.Sent = sent
			return a, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: %s", a.Reason, a.Detail)
		} else {
			at.discard()
		}
		if first {
			first = false
			body, _ = json.Marshal(submitBody{j.Template, j.Tasks, uint32(j.Deadline.Milliseconds()), false})
		}
		if !pause.For(ctx, jitter(backoff)) {
			return nil, &UnresolvedError{Ticket: ticket, Cause: err}
		}
		backoff = min(2*backoff, lastBackoff)
		at = c.next(at)
	}
}

// partialError says that an answer claims to be complete and is not.
type partialError struct{ outputs, tasks int }

func (e *partialError) Error() string {
	return fmt.Sprintf("client: a complete answer with %d outputs for %d tasks", e.outputs, e.tasks)
}

// draining is the reason of an entry VM that stops.
const draining = "draining"

// passing reports whether asking again under the same ticket may tell more.
func (a *Answer) passing() bool {
	switch a.Reason {
	case "recovered_elsewhere", "home_unreachable", "no_configuration", "queue_full", draining:
		return a.Outcome == Unknown
	}
	return false
}

type submitBody struct {
	Template       string            `json:"template"`
	Tasks          []json.RawMessage `json:"tasks"`
	DeadlineMillis uint32            `json:"deadline_millis,omitempty"`
	First          bool              `json:"first,omitempty"`
}

type resultBody struct {
	Outcome  Outcome           `json:"outcome"`
	Outputs  []json.RawMessage `json:"outputs"`
	Revision uint64            `json:"revision"`
	Reason   string            `json:"reason"`
	Detail   string            `json:"detail"`
	Retry    int64             `json:"retry_after_millis"`
}

func (c *Client) put(ctx context.Context, endpoint, ticket string, body []byte) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	ctx, heard := watchSilence(ctx, c.opt.Silence)
	defer heard.Stop()
	text, err := c.call(ctx, http.MethodPut, endpoint+"/v1/submissions/"+ticket, body)
	if err != nil {
		return nil, err
	}
	return decode(text, ticket)
}

func decode(text []byte, ticket string) (*Answer, error) {
	var r resultBody
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, err
	}
	if r.Outcome == "" {
		return nil, fmt.Errorf("client: an answer without an outcome")
	}
	return &Answer{
		Outcome:    r.Outcome,
		Outputs:    r.Outputs,
		Reason:     r.Reason,
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.Retry) * time.Millisecond,
		Ticket:     ticket,
		Revision:   r.Revision,
	}, nil
}

// call makes one request and returns the whole body.
func (c *Client) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.opt.Key)
	req.Header.Set("Content-Type", "application/json")
	if method == http.MethodPut {
		req.Header.Set(heartbeatHeader, "1")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// Step is one thing that happened to a job, as an entry VM noted it.
type Step struct {
	UnixMicros int64  `json:"unix_micros"`
	EntryVM    string `json:"entry_vm"`
	Step       string `json:"step"`
	Reason     string `json:"reason"`
	Detail     string `json:"detail"`
}

// Timeline returns what happened to the job of a ticket, over all entry VMs that
// can be reached, in the order of time.
func (c *Client) Timeline(ctx context.Context, ticket string) ([]Step, error) {
	text, err := c.call(ctx, http.MethodGet, c.next(nil).endpoint+"/v1/submissions/"+ticket+"/timeline", nil)
	if err != nil {
		return nil, err
	}
	var body struct {
		Steps  []Step `json:"steps"`
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, err
	}
	if body.Steps == nil {
		return nil, &RefusedError{Reason: body.Reason, Detail: body.Detail}
	}
	return body.Steps, nil
}

// RefusedError says that a request other than a submission had no effect.
type RefusedError struct {
	Reason string // stable code
	Detail string
}

func (e *RefusedError) Error() string { return e.Reason + ": " + e.Detail }

// Cancel gives a job up. Its submitter gets the final answer. The error is a
// *RefusedError when no entry VM that can be reached drives the job.
func (c *Client) Cancel(ctx context.Context, ticket string) error {
	text, err := c.call(ctx, http.MethodDelete, c.next(nil).endpoint+"/v1/submissions/"+ticket, nil)
	if err != nil || len(text) == 0 {
		return err
	}
	var r resultBody
	if err := json.Unmarshal(text, &r); err != nil {
		return err
	}
	return &RefusedError{Reason: r.Reason, Detail: r.Detail}
}

// Ticket is the identity of one job. A job put under it twice runs once.
type Ticket struct {
	Token  string
	Expiry time.Time
}

// Tickets fetches new tickets from the first endpoint that gives any.
func (c *Client) Tickets(ctx context.Context, count int) ([]Ticket, error) {
	var last error
	for _, p := range c.inTurn() {
		tickets, err := p.fetch(ctx, count)
		if err == nil {
			return tickets, nil
		}
		last = err
	}
	return nil, &NoTicketError{Cause: last}
}

// inTurn returns all endpoints once, beginning with the next in turn. Taking
// turns one by one instead could give a caller the same broken endpoint each
// time, when others take turns in between.
func (c *Client) inTurn() []*pool {
	pools := *c.pools.Load()
	start := int(c.turn.Add(1) % uint64(len(pools)))
	return append(slices.Clone(pools[start:]), pools[:start]...)
}

// next takes turns over the endpoints, passing over the one that is given.
func (c *Client) next(but *pool) *pool {
	pools := *c.pools.Load()
	p := pools[c.turn.Add(1)%uint64(len(pools))]
	if p == but {
		p = pools[c.turn.Add(1)%uint64(len(pools))]
	}
	return p
}

// jitter spreads waits over half to one and a half times d, so that callers
// that failed together do not come back together.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
