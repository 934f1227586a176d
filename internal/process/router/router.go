// Package router decides where a caller's request is driven: here, at the home
// its ticket names, or here in place of a home that is gone.
//
// It never answers "not run" for a request that may have been taken elsewhere.
package router

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/home"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Peers reaches other entry VMs.
type Peers interface {
	// Find returns the address of the entry VM with this name and incarnation,
	// while it can be reached.
	Find(name string, incarnation uint64) (address string, ok bool)
	// FindAuthor is Find by incarnation alone.
	FindAuthor(incarnation uint64) (address string, ok bool)
	// Addresses are those of all entry VMs that can be reached.
	Addresses() []string
	// Submit forwards a request and waits for the final answer.
	Submit(ctx context.Context, address string, m *pb.SubmitRequest) (*pb.Answer, error)
	// Cancel forwards a cancellation.
	Cancel(ctx context.Context, address string, m *pb.CancelRequest) (*pb.CancelResponse, error)
}

// Config wires a Router.
type Config struct {
	Name        string
	Domain      string
	Incarnation uint64
	Key         []byte // of tickets
	TicketTTL   time.Duration
	MaxForwards int // attempts to reach a home before it counts as gone
	Home        *home.Home
	Fleet       *fleet.Fleet
	Peers       Peers
	Document    func() *document.Document
	Timelines   *timeline.Store
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	cfg      Config
	mint     *ticket.Minter
	leaving  atomic.Bool
	draining atomic.Bool
}

// New returns a Router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, mint: ticket.NewMinter(cfg.Key, cfg.Name, cfg.Domain, cfg.Incarnation)}
}

// Drain refuses new submissions from now on.
func (r *Router) Drain() { r.draining.Store(true) }

// StopTickets says that no more tickets should be minted: submissions under them
// would be refused once the router drains.
func (r *Router) StopTickets() { r.leaving.Store(true) }

// Leaving reports whether StopTickets was called.
func (r *Router) Leaving() bool { return r.leaving.Load() }

// Request is a caller's submission after its form was checked.
type Request struct {
	Token    string
	Ticket   ticket.Ticket
	Template string
	Inputs   [][]byte
	Deadline time.Time // zero: the template's
	First    bool      // the caller never sent this ticket before
	Forward  bool      // came from another entry VM, must not be forwarded again
}

// Mint returns a ticket for an account.
func (r *Router) Mint(account string) (ticket.Ticket, string) {
	id := r.mint.NextID()
	s := r.cfg.Fleet.Latest()
	_, digest := s.Choose(id, r.cfg.Domain)
	return r.mint.Sign(ticket.Ticket{
		ID:          id,
		Expiry:      time.Now().Add(r.cfg.TicketTTL),
		ListVersion: s.Version,
		Digest:      digest,
		Home:        r.cfg.Name,
		Domain:      r.cfg.Domain,
		Account:     account,
	})
}

// Parse checks a token for an account.
func (r *Router) Parse(token, account string) (ticket.Ticket, *ticket.Error) {
	t, err := ticket.Parse(r.cfg.Key, token)
	if err != nil {
		return t, err
	}
	if t.Account != account {
		return t, &ticket.Error{Code: reason.ForeignTicket, Detail: "the ticket was minted for another client account"}
	}
	return t, nil
}

func notRun(code reason.Code, retry time.Duration, format string, args ...any) *job.Answer {
	return &job.Answer{Outcome: reason.NotRun, Reason: code, Detail: fmt.Sprintf(format, args...), RetryAfter: retry}
}

func (r *Router) isHome(t *ticket.Ticket) bool {
	return t.Home == r.cfg.Name && t.ID.Incarnation == r.cfg.Incarnation
}

// Submit drives or forwards a submission and waits for its final answer. When
// ctx ends first the answer is nil; the submission goes on.
func (r *Router) Submit(ctx context.Context, req Request) *job.Answer {
	if r.isHome(&req.Ticket) {
		return r.drive(ctx, req, false)
	}
	if req.Forward {
		return r.recover(ctx, req)
	}
	for range r.cfg.MaxForwards {
		address, ok := r.cfg.Peers.Find(req.Ticket.Home, req.Ticket.ID.Incarnation)
		if !ok {
			break
		}
		a, err := r.cfg.Peers.Submit(ctx, address, r.forward(req))
		if err == nil {
			return r.elsewhere(ctx, req, fromWire(a))
		}
		// The home may have taken it.
		req.First = false
		if ctx.Err() != nil {
			return nil
		}
	}
	return r.recover(ctx, req)
}

func (r *Router) forward(req Request) *pb.SubmitRequest {
	m := &pb.SubmitRequest{
		Ticket:   req.Token,
		Account:  req.Ticket.Account,
		Template: req.Template,
		Input:    req.Inputs,
		First:    req.First,
	}
	if !req.Deadline.IsZero() {
		m.DeadlineMillis = uint32(max(1, time.Until(req.Deadline).Milliseconds()))
	}
	return m
}

// elsewhere follows an answer that points to another driver.
func (r *Router) elsewhere(ctx context.Context, req Request, a *job.Answer) *job.Answer {
	if a.Reason != reason.RecoveredElsewhere {
		return a
	}
	address, ok := r.cfg.Peers.FindAuthor(a.Driver)
	if a.Driver == r.cfg.Incarnation || !ok {
		return r.recover(ctx, req)
	}
	moved, err := r.cfg.Peers.Submit(ctx, address, r.forward(req))
	if err != nil {
		return a
	}
	return fromWire(moved)
}

// recover drives a submission in place of its home.
func (r *Router) recover(ctx context.Context, req Request) *job.Answer {
	a := r.drive(ctx, req, true)
	if a == nil || a.Reason != reason.RecoveredElsewhere || req.Forward {
		return a
	}
	if address, ok := r.cfg.Peers.FindAuthor(a.Driver); ok && a.Driver != r.cfg.Incarnation {
		if moved, err := r.cfg.Peers.Submit(ctx, address, r.forward(req)); err == nil {
			return fromWire(moved)
		}
	}
	return a
}

// drive hands the submission to this entry VM's Home.
func (r *Router) drive(ctx context.Context, req Request, recovery bool) *job.Answer {
	sub, refusal := r.prepare(req, recovery)
	if refusal != nil {
		return r.refuse(ctx, req, refusal)
	}
	answer := make(chan *job.Answer, 1)
	if !r.cfg.Home.Submit(*sub, func(a *job.Answer) { answer <- a }) {
		return r.refuse(ctx, req, notRun(reason.QueueFull, time.Second, "the entry VM is overloaded"))
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return nil
	}
}

// refuse answers a request that is not taken. A submission that is driven here
// already is attached to instead: it was taken before the cause of the refusal.
// Away from its home, and when it was sent before, it may have run: "not run"
// would be a guess.
func (r *Router) refuse(ctx context.Context, req Request, refusal *job.Answer) *job.Answer {
	if a, known := r.attached(ctx, req); known {
		return a
	}
	if !r.isHome(&req.Ticket) || !req.First {
		refusal.Outcome = reason.Unknown
	}
	r.cfg.Timelines.Add(req.Ticket.ID, timeline.Step{At: time.Now(), Event: "refused", Reason: refusal.Reason, Detail: refusal.Detail})
	return refusal
}

// prepare turns a request into a submission under the configuration in force.
func (r *Router) prepare(req Request, recovery bool) (*home.Submission, *job.Answer) {
	doc := r.cfg.Document()
	if doc == nil {
		return nil, notRun(reason.NoConfiguration, time.Second, "no configuration revision is known yet")
	}
	t := doc.Template(req.Template)
	if t == nil {
		return nil, notRun(reason.UnknownTemplate, 0, "template %q is not in configuration revision %d", req.Template, doc.Revision)
	}
	if len(req.Inputs) > int(t.MaxTasks) {
		return nil, notRun(reason.TooManyTasks, 0, "%d tasks, template %q allows %d", len(req.Inputs), t.Name, t.MaxTasks)
	}
	now := time.Now()
	if now.After(req.Ticket.Expiry) {
		return nil, notRun(reason.TicketExpired, 0, "the ticket expired %s ago", now.Sub(req.Ticket.Expiry).Round(time.Second))
	}
	if r.draining.Load() && !recovery {
		return nil, notRun(reason.Draining, 100*time.Millisecond, "the entry VM is stopping: take a new ticket")
	}
	refs, complete := r.cfg.Fleet.Candidates(&req.Ticket)
	if !complete && !recovery {
		return nil, notRun(reason.ListTooOld, 500*time.Millisecond, "the ticket's workers are not known any more: take a new ticket")
	}
	account := doc.Account(req.Ticket.Account)
	if account == nil {
		return nil, notRun(reason.UnknownAccount, 0, "client account %q is not in configuration revision %d", req.Ticket.Account, doc.Revision)
	}
	return &home.Submission{
		Ticket:     req.Ticket,
		Class:      classes[t.Class],
		Weight:     account.Weight,
		QuotaSlots: account.QuotaSlots,
		First:      req.First && !recovery,
		Template:   t.Name,
		Inputs:     req.Inputs,
		Deadline:   deadline(now, req, t),
		Each:       each(&t.Declared),
		Expected:   time.Duration(t.Declared.RunMillis) * time.Millisecond,
		Revision:   doc.Revision,
		Candidates: fleet.Narrow(refs, req.Ticket.Domain, len(req.Inputs)),
		Incomplete: !complete,
		Recover:    recovery,
	}, nil
}

var classes = map[document.Class]admission.Class{
	document.Urgent: admission.Urgent,
	document.Normal: admission.Normal,
	document.Bulk:   admission.Bulk,
}

// attached waits for a submission that is driven here already.
func (r *Router) attached(ctx context.Context, req Request) (*job.Answer, bool) {
	answer := make(chan *job.Answer, 1)
	if !r.cfg.Home.AttachWork(req.Ticket.ID, req.Template, req.Inputs, func(a *job.Answer) { answer <- a }) {
		return nil, false
	}
	select {
	case a := <-answer:
		return a, a != nil
	case <-ctx.Done():
		return nil, true
	}
}

func deadline(now time.Time, req Request, t *document.Template) time.Time {
	limit := now.Add(time.Duration(t.DeadlineMillis) * time.Millisecond)
	if !req.Deadline.IsZero() && req.Deadline.Before(limit) {
		return req.Deadline
	}
	return limit
}

func each(d *document.Declared) *pb.Resources {
	return &pb.Resources{
		Slots:        d.Slots,
		Millicpu:     d.MilliCPU,
		MemoryMib:    d.MemoryMiB,
		Accelerators: d.Accelerators,
		Milliwatts:   d.Milliwatts,
	}
}

// Attach waits for the answer of a submission without starting anything.
func (r *Router) Attach(ctx context.Context, token string, t ticket.Ticket, forwarded bool) *job.Answer {
	answer := make(chan *job.Answer, 1)
	if r.cfg.Home.Attach(t.ID, func(a *job.Answer) { answer <- a }) {
		select {
		case a := <-answer:
			if a != nil {
				return a
			}
		case <-ctx.Done():
			return nil
		}
	}
	if r.isHome(&t) {
		// Another entry VM may have driven it while this one was cut off.
		return &job.Answer{Outcome: reason.Unknown, Reason: reason.NoSuchSubmission,
			Detail: "the ticket was not used here: submit under it, which runs its tasks once at most"}
	}
	unknown := &job.Answer{Outcome: reason.Unknown, Reason: reason.HomeUnreachable, RetryAfter: time.Second,
		Detail: "the entry VM that drives the submission can not be reached: submit again under the same ticket"}
	if forwarded {
		return unknown
	}
	address, ok := r.cfg.Peers.Find(t.Home, t.ID.Incarnation)
	if !ok {
		return unknown
	}
	a, err := r.cfg.Peers.Submit(ctx, address, &pb.SubmitRequest{Ticket: token, Account: t.Account, AttachOnly: true})
	if err != nil {
		return unknown
	}
	return fromWire(a)
}

// Cancel gives a submission up wherever it is driven: here, at its home, or at
// an entry VM that has recovered it. It reports whether a driver was told.
func (r *Router) Cancel(ctx context.Context, token string, t ticket.Ticket, forwarded bool) bool {
	known := make(chan bool, 1)
	if r.cfg.Home.Cancel(t.ID, func(k bool) { known <- k }) && <-known {
		return true
	}
	if forwarded {
		return false
	}
	if address, ok := r.cfg.Peers.Find(t.Home, t.ID.Incarnation); ok && r.cancelAt(ctx, address, token, &t) {
		return true
	}
	// The home is gone, or has left the submission to another driver. Which one
	// took it up is known to that one only.
	for _, address := range r.cfg.Peers.Addresses() {
		if r.cancelAt(ctx, address, token, &t) {
			return true
		}
	}
	return false
}

// cancelAt asks one entry VM to give a submission up.
func (r *Router) cancelAt(ctx context.Context, address, token string, t *ticket.Ticket) bool {
	m, err := r.cfg.Peers.Cancel(ctx, address, &pb.CancelRequest{Ticket: token, Account: t.Account})
	return err == nil && m.Outcome == cancelTold
}

const cancelTold = "told"
