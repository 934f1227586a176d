// Package client is the Go SDK for callers of pumiceyard.
//
// Submit sends each job under a ticket that was prefetched, so that the ticket
// costs no round trip. When the connection breaks, Submit sends the same ticket on
// another one, which attaches to the running job or fetches its answer. A job that
// may have been accepted is never submitted under a new ticket. Submit returns one
// Answer with a typed Outcome, or an error that says that the outcome is not known.
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

const (
	// Complete: every task ran, and the answer has all outputs.
	Complete Outcome = "complete"
	// Failed: the job ended, and some of its tasks may have run.
	Failed Outcome = "failed"
	// NotRun: no task of the job has run or will run. The job may be submitted again
	// under a new ticket.
	NotRun Outcome = "not_run"
	// Unknown: some task may have run; the site could not find out.
	Unknown Outcome = "unknown"
)

// Job is what to run.
type Job struct {
	Template string
	Tasks    []json.RawMessage
	Deadline time.Duration // time limit of the job; 0: the template's
	// OnTicket, if set, is called by Submit before it sends the job, with the job's
	// ticket and the endpoint that the job is sent to first. Another goroutine may use
	// the ticket to Cancel or Resume the job while Submit waits. When a job that was
	// not run is submitted again, OnTicket is called with the new ticket.
	OnTicket func(ticket, endpoint string)
}

// Answer is the final answer to a job.
type Answer struct {
	Outcome    Outcome
	Outputs    []json.RawMessage // one per task if Complete, else nil
	Reason     string            // stable reason code, unless Complete
	Detail     string            // explanation for humans
	RetryAfter time.Duration     // how long to wait before a retry; 0: do not retry
	Ticket     string
	Revision   uint64 // configuration revision that the job ran under
	Sent       int    // requests sent to get this answer; 1 if nothing went wrong
}

// UnresolvedError says that no final answer came before the context ended. The job
// may be running or may have run. Resume with the ticket asks again.
type UnresolvedError struct {
	Ticket string
	Cause  error
}

func (e *UnresolvedError) Error() string {
	return "no final answer before the context ended, the outcome is not known: " + e.Cause.Error()
}

func (e *UnresolvedError) Unwrap() error { return e.Cause }

// Options configure a Client.
type Options struct {
	// Endpoints are the base URLs of the entry VMs' caller listeners, or of a load balancer in front of them.
	Endpoints []string
	// Key is the client account's key.
	Key string
	// Prefetch is the number of tickets fetched at a time, per endpoint; 0: 32.
	Prefetch int
	// NotRunRetries is how many times a job that was not run is submitted again, each
	// time after the delay that the site asks for; 0: never.
	NotRunRetries int
	// Silence is how long an entry VM may send nothing, not even a heartbeat, while a
	// job runs. After that the client asks for the job on another connection. 0: 5 s.
	Silence time.Duration
	// HTTP is the HTTP client to use; nil: one that keeps enough idle connections for many
	// short jobs at once.
	HTTP *http.Client
}

const (
	defaultPrefetch     = 32
	defaultSilence      = 5 * time.Second
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxIdleConnsPerHost = 512
	attachTimeout       = 60 * time.Second // of one request for a job; the job may run longer
)

// Client submits jobs for one client account. It is safe for concurrent use.
type Client struct {
	opt      Options
	http     *http.Client
	pools    atomic.Pointer[[]*pool]
	nextTurn atomic.Uint64 // selects endpoints round-robin
}

// New returns a Client. No connection is opened before the first call.
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
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			MaxIdleConns:        maxIdleConnsPerHost * len(opt.Endpoints),
			IdleConnTimeout:     time.Minute,
		}}
	}
	return c, c.SetEndpoints(opt.Endpoints)
}

var errSilent = errors.New("client: nothing was received on the connection for too long")

var errNoEndpoints = errors.New("client: no endpoints")

// SetEndpoints replaces the base URLs, for callers that are told when entry VMs
// start and stop. Jobs in flight continue: their next request uses the new URLs.
// Endpoints that stay keep their prefetched tickets.
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

// Submit runs a job and waits for its final answer.
func (c *Client) Submit(ctx context.Context, j Job) (*Answer, error) {
	sent, redirects := 0, 0
	var last *Answer
	for retry := 0; ; retry++ {
		ticket, p, err := c.ticket(ctx)
		if err != nil && last != nil {
			return last, nil // the job was not run, and there is no ticket to submit it again
		}
		if err != nil {
			// Without a ticket nothing was submitted.
			return nil, &NoTicketError{Cause: err}
		}
		if j.OnTicket != nil {
			j.OnTicket(ticket, p.endpoint)
		}
		a, err := c.askUntilFinal(ctx, ticket, p, j, true)
		if err != nil {
			return nil, err
		}
		sent += a.Sent
		a.Sent, last = sent, a
		if a.Outcome == NotRun && a.Reason == reasonDraining && redirects < len(*c.pools.Load()) {
			// The entry VM is shutting down; another one can accept the job. This
			// does not count as one of the NotRunRetries.
			redirects++
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

// NoTicketError says that no entry VM issued a ticket. Nothing was submitted.
type NoTicketError struct{ Cause error }

func (e *NoTicketError) Error() string {
	return "no entry VM issued a ticket, nothing was run: " + e.Cause.Error()
}

func (e *NoTicketError) Unwrap() error { return e.Cause }

// Resume asks again for the answer to the job that was submitted under ticket. j must
// be that job.
func (c *Client) Resume(ctx context.Context, ticket string, j Job) (*Answer, error) {
	return c.askUntilFinal(ctx, ticket, c.nextPool(nil), j, false)
}

// askUntilFinal sends the job under its ticket, again and again, until there is a final
// answer or ctx ends. The first request goes to the endpoint of p, each later one to
// another endpoint than the one before, if there is one. first says that the ticket was
// never sent.
func (c *Client) askUntilFinal(ctx context.Context, ticket string, p *pool, j Job, first bool) (*Answer, error) {
	body, err := json.Marshal(submitBody{j.Template, j.Tasks, uint32(j.Deadline.Milliseconds()), first})
	if err != nil {
		return nil, err
	}
	backoff := minBackoff
	for sent := 1; ; sent++ {
		a, err := c.putJob(ctx, p.endpoint, ticket, body)
		if err == nil && a.Outcome == Complete && len(a.Outputs) != len(j.Tasks) {
			err = &incompleteError{outputs: len(a.Outputs), tasks: len(j.Tasks)}
		}
		if err == nil && a.Reason == reasonDraining {
			// Jobs under the other tickets of this endpoint would be refused as well.
			p.discard()
		}
		if err == nil && !a.isTemporary() {
			a.Sent = sent
			return a, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: %s", a.Reason, a.Detail)
		} else {
			p.discard()
		}
		if first {
			first = false
			body, _ = json.Marshal(submitBody{j.Template, j.Tasks, uint32(j.Deadline.Milliseconds()), false})
		}
		if !pause.For(ctx, jitter(backoff)) {
			return nil, &UnresolvedError{Ticket: ticket, Cause: err}
		}
		backoff = min(2*backoff, maxBackoff)
		p = c.nextPool(p)
	}
}

// incompleteError says that an answer with the outcome complete lacks outputs.
type incompleteError struct{ outputs, tasks int }

func (e *incompleteError) Error() string {
	return fmt.Sprintf("client: answer with outcome complete has %d outputs for %d tasks", e.outputs, e.tasks)
}

// reasonDraining is the reason code of an entry VM that is shutting down.
const reasonDraining = "draining"

// isTemporary reports whether asking again under the same ticket may give another answer.
func (a *Answer) isTemporary() bool {
	switch a.Reason {
	case "recovered_elsewhere", "home_unreachable", "no_configuration", "queue_full", reasonDraining:
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
	Outcome          Outcome           `json:"outcome"`
	Outputs          []json.RawMessage `json:"outputs"`
	Revision         uint64            `json:"revision"`
	Reason           string            `json:"reason"`
	Detail           string            `json:"detail"`
	RetryAfterMillis int64             `json:"retry_after_millis"`
}

// putJob makes one request for a job and waits for its answer.
func (c *Client) putJob(ctx context.Context, endpoint, ticket string, body []byte) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	ctx, watch := watchSilence(ctx, c.opt.Silence)
	defer watch.Stop()
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
		return nil, fmt.Errorf("client: answer without an outcome")
	}
	return &Answer{
		Outcome:    r.Outcome,
		Outputs:    r.Outputs,
		Reason:     r.Reason,
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
		Ticket:     ticket,
		Revision:   r.Revision,
	}, nil
}

// call makes one request and returns the body of the response, whatever its status.
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

// Step is an event in the life of a job, as recorded by an entry VM.
type Step struct {
	UnixMicros int64  `json:"unix_micros"`
	EntryVM    string `json:"entry_vm"`
	Step       string `json:"step"`
	Reason     string `json:"reason"`
	Detail     string `json:"detail"`
}

// Timeline returns the events that all reachable entry VMs have recorded for the job of
// a ticket, in the order of time.
func (c *Client) Timeline(ctx context.Context, ticket string) ([]Step, error) {
	text, err := c.call(ctx, http.MethodGet, c.nextPool(nil).endpoint+"/v1/submissions/"+ticket+"/timeline", nil)
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

// RefusedError says that a request other than a submission was refused and had no effect.
type RefusedError struct {
	Reason string // stable reason code
	Detail string
}

func (e *RefusedError) Error() string { return e.Reason + ": " + e.Detail }

// Cancel cancels a job. Its submitter gets the final answer. The error is a
// *RefusedError if none of the reachable entry VMs is in charge of the job.
func (c *Client) Cancel(ctx context.Context, ticket string) error {
	text, err := c.call(ctx, http.MethodDelete, c.nextPool(nil).endpoint+"/v1/submissions/"+ticket, nil)
	if err != nil || len(text) == 0 {
		return err
	}
	var r resultBody
	if err := json.Unmarshal(text, &r); err != nil {
		return err
	}
	return &RefusedError{Reason: r.Reason, Detail: r.Detail}
}

// Ticket identifies one job. A job that is submitted twice under a ticket runs once.
type Ticket struct {
	Token  string
	Expiry time.Time
}

// Tickets fetches new tickets, from the first endpoint that issues any.
func (c *Client) Tickets(ctx context.Context, count int) ([]Ticket, error) {
	var last error
	for _, p := range c.poolsInTurn() {
		tickets, err := p.fetch(ctx, count)
		if err == nil {
			return tickets, nil
		}
		last = err
	}
	return nil, &NoTicketError{Cause: last}
}

// poolsInTurn returns the pools of all endpoints once, beginning with the next in turn.
// Calling nextPool for each attempt instead could give a caller the same broken endpoint
// every time, as concurrent callers advance the turn in between.
func (c *Client) poolsInTurn() []*pool {
	pools := *c.pools.Load()
	start := int(c.nextTurn.Add(1) % uint64(len(pools)))
	return append(slices.Clone(pools[start:]), pools[:start]...)
}

// nextPool returns the pools round-robin. It skips except, unless there is no other one or
// concurrent callers advance the turn in between.
func (c *Client) nextPool(except *pool) *pool {
	pools := *c.pools.Load()
	p := pools[c.nextTurn.Add(1)%uint64(len(pools))]
	if p == except {
		p = pools[c.nextTurn.Add(1)%uint64(len(pools))]
	}
	return p
}

// jitter returns a random duration from half to one and a half times d, so that callers
// that failed at the same time do not all retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
