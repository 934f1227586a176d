// Package caller serves the HTTP/JSON interface for callers.
//
//	POST   /v1/tickets                        issue a batch of tickets
//	PUT    /v1/submissions/{ticket}           submit, or attach to a known submission
//	POST   /v1/submissions                    submit under a new ticket, or under the
//	                                          caller's own Idempotency-Key
//	GET    /v1/submissions/{ticket}           attach and wait for the answer
//	DELETE /v1/submissions/{ticket}           cancel
//	GET    /v1/submissions/{ticket}/timeline  list the steps of a submission and their reasons
//
// A caller authenticates with its client account's key as a bearer token.
//
// A caller that sends the header Pumiceyard-Heartbeat gets a 102 (Processing)
// response at a fixed interval while it waits, so that it can tell a dead
// connection from a long job. Heartbeats are opt-in because some HTTP clients
// take any 1xx response other than 100 for the final one.
//
// Refusals and failures are RFC 9457 problem details with the members outcome
// (not_run, failed, unknown), reason (a stable code) and, if a retry makes
// sense, retry_after_millis.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/claims"
	"github.com/pumiceyard/pumiceyard/internal/process/router"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Settings limit the size and duration of callers' requests.
type Settings struct {
	MaxBodyBytes int64
	MaxTasks     int // per submission, for every template
	MaxDepth     int // nesting depth of the JSON of a task
	MaxTickets   int // per batch
	// BodyTimeout limits how long a request's body may take to arrive.
	BodyTimeout time.Duration
	// WriteTimeout limits how long a caller may take to read an answer.
	WriteTimeout time.Duration
	// AttachTimeout limits how long one GET waits for the answer. The caller
	// then sends the GET again.
	AttachTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats to callers that request
	// them.
	HeartbeatInterval time.Duration
}

// Defaults returns limits that admit a job of 920 tasks of a few KB each.
func Defaults() Settings {
	return Settings{
		MaxBodyBytes:      16 << 20,
		MaxTasks:          4096,
		MaxDepth:          32,
		MaxTickets:        256,
		BodyTimeout:       10 * time.Second,
		WriteTimeout:      30 * time.Second,
		AttachTimeout:     25 * time.Second,
		HeartbeatInterval: time.Second,
	}
}

// Router runs submissions and finds the entry VM that runs a known one.
type Router interface {
	Mint(account string) (ticket.Ticket, string)
	// Leaving reports whether this entry VM is shutting down, so that its tickets
	// would soon be refused.
	Leaving() bool
	Parse(token, account string) (ticket.Ticket, *ticket.Error)
	Submit(ctx context.Context, req router.Request) *job.Answer
	Attach(ctx context.Context, token string, t ticket.Ticket, forwarded bool) *job.Answer
	Cancel(ctx context.Context, token string, t ticket.Ticket, forwarded bool) bool
}

// Timelines collects the steps of a submission from all entry VMs.
type Timelines interface {
	Collect(ctx context.Context, id ticket.ID) []NamedStep
}

// NamedStep is a timeline step with the name of the entry VM that recorded it.
type NamedStep struct {
	EntryVM string
	timeline.Step
}

// SubmitBody is the request body of a submission.
type SubmitBody struct {
	Template       string            `json:"template"`
	Tasks          []json.RawMessage `json:"tasks"`
	DeadlineMillis uint32            `json:"deadline_millis,omitempty"`
	// First asserts that the caller has never sent this ticket or key before. A
	// refusal can then say "not run" without asking any worker.
	First bool `json:"first,omitempty"`
}

// TicketsBody is the request body for a batch of tickets.
type TicketsBody struct {
	Count int `json:"count"`
}

// Tickets is a batch of tickets.
type Tickets struct {
	Tickets []IssuedTicket `json:"tickets"`
}

// IssuedTicket is one ticket.
type IssuedTicket struct {
	Ticket           string `json:"ticket"`
	ID               string `json:"id"`
	ExpiryUnixMillis int64  `json:"expiry_unix_millis"`
}

// Result is the response body of a submission that completed.
type Result struct {
	Ticket   string            `json:"ticket"`
	Outcome  reason.Outcome    `json:"outcome"`
	Outputs  []json.RawMessage `json:"outputs"`
	Revision uint64            `json:"revision"`
}

// Problem is the RFC 9457 response body if a submission did not complete or a
// request was refused.
type Problem struct {
	Type             string         `json:"type"`
	Title            string         `json:"title"`
	Status           int            `json:"status"`
	Detail           string         `json:"detail,omitempty"`
	Outcome          reason.Outcome `json:"outcome"`
	Reason           reason.Code    `json:"reason"`
	RetryAfterMillis int64          `json:"retry_after_millis,omitempty"`
	Task             *uint32        `json:"task,omitempty"`
	Ticket           string         `json:"ticket,omitempty"`
}

// TimelineBody is the response body of a timeline.
type TimelineBody struct {
	ID    string         `json:"id"`
	Steps []TimelineStep `json:"steps"`
}

// TimelineStep is one step of a timeline. Steps are in order of time.
type TimelineStep struct {
	UnixMicros int64       `json:"unix_micros"`
	EntryVM    string      `json:"entry_vm"`
	Step       string      `json:"step"`
	Reason     reason.Code `json:"reason,omitempty"`
	Detail     string      `json:"detail,omitempty"`
}

// statusOf maps a reason, and else an outcome, to an HTTP status.
func statusOf(code reason.Code, outcome reason.Outcome) int {
	switch code {
	case reason.MalformedRequest, reason.BadTicket, reason.TooManyTasks, reason.TicketExpired:
		return http.StatusBadRequest
	case reason.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason.BodyTooSlow:
		return http.StatusRequestTimeout
	case reason.WrongKey:
		return http.StatusUnauthorized
	case reason.ForeignTicket:
		return http.StatusForbidden
	case reason.UnknownTemplate, reason.UnknownAccount, reason.NoSuchSubmission:
		return http.StatusNotFound
	case reason.NeverFits, reason.TicketRequired, reason.DeadlineTooShort:
		return http.StatusUnprocessableEntity
	case reason.PayloadMismatch, reason.Cancelled:
		return http.StatusConflict
	case reason.QuotaExceeded, reason.QueueFull, reason.BrownOut, reason.ClaimRateExceeded, admission.RetryBudgetSpent:
		return http.StatusTooManyRequests
	case reason.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	if outcome == reason.Failed {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Claims binds callers' idempotency keys to tickets.
type Claims interface {
	// Claim binds the account's key to the ticket token unless an earlier request
	// has bound it, and returns the token that the key is bound to.
	Claim(ctx context.Context, account, key, token string) (bound string, refusal *claims.Refusal)
}

// Documents returns the configuration document in force, or nil before the first
// one is known.
type Documents func() *document.Document
