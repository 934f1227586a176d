// Package caller is the HTTP/JSON interface to callers.
//
//	POST   /v1/tickets                        tickets, in batches
//	PUT    /v1/submissions/{ticket}           submit, or attach when known
//	POST   /v1/submissions                    submit under a ticket minted on arrival, or
//	                                          under the caller's own Idempotency-Key
//	GET    /v1/submissions/{ticket}           attach, waits for the answer
//	DELETE /v1/submissions/{ticket}           cancel
//	GET    /v1/submissions/{ticket}/timeline  what happened and why
//
// A caller authenticates with its client account's key as a bearer token.
// While a caller that sent the header Pumiceyard-Heartbeat waits for an answer, it
// gets a 102 (Processing) at each beat, and can tell a connection that went
// silent from a job that takes its time. It is on request only, since some HTTP
// clients take any 1xx but 100 for the answer.
//
// Refusals and failures are RFC 9457 problem details with the members outcome
// (not_run, failed, unknown), reason (a stable code) and, where it makes sense
// to ask again, retry_after_millis.
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

// Settings bound what a caller may send.
type Settings struct {
	MaxBodyBytes int64
	MaxTasks     int // over all templates
	MaxDepth     int // of nested JSON in a task
	MaxTickets   int // in one batch
	// BodyTimeout bounds the time for which one request's body may take to come.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time for which a caller may take to read an answer.
	WriteTimeout time.Duration
	// Wait bounds one GET; the caller asks again afterwards.
	AttachTimeout time.Duration
	// Beat is the time between heartbeats to callers that ask for them.
	HeartbeatInterval time.Duration
}

// Defaults returns bounds that fit a job of 920 tasks of some KB each.
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

// Router drives submissions.
type Router interface {
	Mint(account string) (ticket.Ticket, string)
	// Leaving reports that tickets of this entry VM would soon be refused.
	Leaving() bool
	Parse(token, account string) (ticket.Ticket, *ticket.Error)
	Submit(ctx context.Context, req router.Request) *job.Answer
	Attach(ctx context.Context, token string, t ticket.Ticket, forwarded bool) *job.Answer
	Cancel(ctx context.Context, token string, t ticket.Ticket, forwarded bool) bool
}

// Timelines collects the steps of a submission over the entry VMs.
type Timelines interface {
	Collect(ctx context.Context, id ticket.ID) []NamedStep
}

// NamedStep is a step with the entry VM that noted it.
type NamedStep struct {
	EntryVM string
	timeline.Step
}

// SubmitBody is the body of a submission.
type SubmitBody struct {
	Template       string            `json:"template"`
	Tasks          []json.RawMessage `json:"tasks"`
	DeadlineMillis uint32            `json:"deadline_millis,omitempty"`
	// First says that the caller never sent this ticket before. A refusal can
	// then say "not run" without asking any worker.
	First bool `json:"first,omitempty"`
}

// TicketsBody asks for tickets.
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

// Result is a complete answer.
type Result struct {
	Ticket   string            `json:"ticket"`
	Outcome  reason.Outcome    `json:"outcome"`
	Outputs  []json.RawMessage `json:"outputs"`
	Revision uint64            `json:"revision"`
}

// Problem tells why there is no complete answer (RFC 9457).
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

// TimelineBody lists what happened to a submission.
type TimelineBody struct {
	ID    string         `json:"id"`
	Steps []TimelineStep `json:"steps"`
}

// TimelineStep is one step, in the order of time.
type TimelineStep struct {
	UnixMicros int64       `json:"unix_micros"`
	EntryVM    string      `json:"entry_vm"`
	Step       string      `json:"step"`
	Reason     reason.Code `json:"reason,omitempty"`
	Detail     string      `json:"detail,omitempty"`
}

// statusOf maps a reason to an HTTP status.
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

// Claims binds callers' own idempotency keys to tickets.
type Claims interface {
	// Claim returns the ticket that the account's key is bound to: the given
	// one, or that of an earlier request.
	Claim(ctx context.Context, account, key, token string) (bound string, refusal *claims.Refusal)
}

// Documents gives the configuration in force, nil before there is one.
type Documents func() *document.Document
