package home

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/process/spill"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// Config wires a Home.
type Config struct {
	Settings    Settings
	Name        string // of this entry VM
	Domain      string
	Incarnation uint64
	Owners      Owners
	Workers     Workers
	Peers       Peers
	Timelines   *timeline.Store
	Observer    Observer
}

// Observer is told of ends, for metrics.
type Observer interface {
	// Answered: a submission of an account ended after the given time.
	Answered(account, template string, a *job.Answer, tasks int, took time.Duration)
}

// Home is the set of submissions that this entry VM drives.
type Home struct {
	cfg    Config
	events *ring.Ring[event]
	jobs   map[ticket.ID]*entry
	open   int
	owners *ownerSet
	sets   map[uint64]*candidateSet // by digest
	due    dueQueue                 // entries by the time they want attention
	kept   retention
	out    map[string]*pb.RunRequest // messages of this round, by owner
	now    time.Time

	admission *admission.Controller
	refusals  refusals
	load      load
	peers     []spill.Peer // reused
	stamps    uint64       // of owners' workers
	away      bool         // the last plan sent tasks to other failure domains
}

// entry is one submission.
type entry struct {
	job        *job.Job
	sub        Submission
	hash       uint64          // of the template and the inputs
	candidates *candidateSet   // nil once answered
	restarted  map[string]bool // candidates that refused because of a new incarnation
	waiters    []Reply
	accepted   time.Time
	holdUntil  time.Time
	dueAt      time.Time
	tasks      int
	bytes      int // retained, once answered
	// represented: tasks of it were handed to the own holder.
	represented bool
}

// event is one thing for the loop to handle.
type event interface{ apply(h *Home) }

// New returns a Home; Run starts it.
func New(cfg Config) *Home {
	return &Home{
		cfg:    cfg,
		events: ring.New[event](cfg.Settings.Ring),
		jobs:   make(map[ticket.ID]*entry),
		owners: newOwnerSet(cfg.Name, cfg.Domain),
		sets:   make(map[uint64]*candidateSet),
		kept:   retention{limit: cfg.Settings.RetainBytes},
		out:    make(map[string]*pb.RunRequest),

		admission: admission.New(cfg.Settings.Admission, cfg.Incarnation),
		load:      newLoad(),
	}
}

// Run is the loop's goroutine. It returns when ctx ends.
func (h *Home) Run(ctx context.Context) { ring.Loop(ctx, h.events, h.pace, h.round) }

// pace is the time to the next round without an event: longer while no submission
// is open, since an idle loop that ticks is most of what control costs a VM.
func (h *Home) pace() time.Duration {
	if h.open > 0 {
		return h.cfg.Settings.Tick
	}
	return idleFactor * h.cfg.Settings.Tick
}

// idleFactor is how many times slower an idle loop ticks.
const idleFactor = 10

// round handles everything that waits, then sends what came of it: one message
// per owner, however many submissions it carries.
func (h *Home) round(now time.Time) {
	h.now = now
	for _, e := range h.events.Drain() {
		e.apply(h)
	}
	h.attend()
	h.flush()
}

// flush sends the messages of this round.
func (h *Home) flush() {
	for owner, m := range h.out {
		delete(h.out, owner)
		if h.cfg.Owners.Send(owner, m) {
			continue
		}
		// The ring to the owner is full: nothing was sent, so the tasks are as
		// if the owner had refused them.
		for _, g := range m.Groups {
			h.refused(owner, g)
		}
	}
}

func (h *Home) refused(owner string, g *pb.RunGroup) {
	e := h.jobs[wire.ID(g.Submission)]
	if e == nil {
		return
	}
	gen := wire.Generation(g.Generation)
	for _, index := range g.Index {
		h.act(e, e.job.TaskNotStarted(owner, gen, index, reason.QueueFull, ""))
	}
	h.holdBack(e)
}

// submitEvent takes a new submission or attaches to a known one.
type submitEvent struct {
	sub   Submission
	reply Reply
}

// Submit takes a submission. The reply comes once, from the loop. A submission
// that is known already is attached to: nothing of it starts again. It reports
// false when the loop is overloaded or ended; nothing was taken then.
func (h *Home) Submit(sub Submission, reply Reply) bool {
	return h.events.TryPush(submitEvent{sub, reply})
}

func (ev submitEvent) apply(h *Home) {
	id := ev.sub.Ticket.ID
	hash := hashWork(ev.sub.Template, ev.sub.Inputs)
	if e := h.jobs[id]; e != nil && !h.abandoned(e) {
		h.attach(e, hash, ev.reply)
		return
	}
	if a := h.refusals.answer(h.now, id); a != nil {
		ev.reply(a)
		return
	}
	if h.open >= h.cfg.Settings.MaxJobs {
		h.refuse(&ev, &job.Answer{Outcome: h.refusedOutcome(&ev.sub), Reason: reason.QueueFull, Detail: "too many submissions are open", RetryAfter: time.Second})
		return
	}
	refusal := h.admit(&ev.sub)
	if refusal != nil && ev.sub.First {
		h.refuse(&ev, &job.Answer{Outcome: reason.NotRun, Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter})
		return
	}
	h.accept(ev.sub, hash, ev.reply, refusal)
}

// refuse answers a submission that is not taken in.
func (h *Home) refuse(ev *submitEvent, a *job.Answer) {
	id := ev.sub.Ticket.ID
	if a.Outcome == reason.NotRun {
		h.refusals.add(h.now, id, a)
	}
	h.cfg.Timelines.Add(id, timeline.Step{At: h.now, Event: "refused", Reason: a.Reason, Detail: a.Detail})
	ev.reply(a)
}

// refusedOutcome is what can be said of a submission without asking any worker.
func (h *Home) refusedOutcome(s *Submission) reason.Outcome {
	if s.First {
		return reason.NotRun
	}
	return reason.Unknown
}

// abandoned reports whether the submission was left to another driver that does
// not live any more, so that it has to be recovered once again.
func (h *Home) abandoned(e *entry) bool {
	author := e.job.Superseded()
	return author != 0 && !h.cfg.Peers.Lives(author)
}

func (h *Home) attach(e *entry, hash uint64, reply Reply) {
	if hash != e.hash {
		reply(&job.Answer{Outcome: reason.Unknown, Reason: reason.PayloadMismatch, Detail: "the ticket was used before with another template or other tasks: this request was not run, the earlier one is not affected"})
		return
	}
	if a := e.job.Answer(); a != nil {
		reply(a)
		return
	}
	e.waiters = append(e.waiters, reply)
}

// accept drives a submission, until its ticket expires at the latest: workers
// forget their records soon after, and an unanswered start could not be told
// from one that never came. One that is refused although its caller may have
// sent it before is driven to its end at once: another entry VM may have
// recovered it, and "not run" has to be true.
func (h *Home) accept(sub Submission, hash uint64, reply Reply, refusal *admission.Refusal) {
	if sub.Ticket.Expiry.Before(sub.Deadline) {
		sub.Deadline = sub.Ticket.Expiry
	}
	set := h.candidates(&sub)
	spec := job.Spec{
		ID:              sub.Ticket.ID,
		Account:         sub.Ticket.Account,
		Template:        sub.Template,
		Inputs:          sub.Inputs,
		TicketExpiry:    sub.Ticket.Expiry,
		Deadline:        sub.Deadline,
		Revision:        sub.Revision,
		CloseCandidates: h.owners.closers(set.ids),
		SettleTimeout:   h.cfg.Settings.SettleFor,
	}
	e := &entry{
		sub:        sub,
		hash:       hash,
		candidates: set,
		waiters:    []Reply{reply},
		accepted:   h.now,
		tasks:      len(sub.Inputs),
	}
	var used ticket.Generation
	if old := h.jobs[sub.Ticket.ID]; old != nil {
		used = old.job.Generation()
		h.kept.forget(old)
	}
	h.jobs[sub.Ticket.ID] = e
	h.open++
	h.load.opened(e)
	if !sub.Recover && used == (ticket.Generation{}) {
		e.job = job.New(spec, h.cfg.Incarnation)
		if refusal != nil {
			h.step(e, "refused", refusal.Reason, refusal.Detail)
			h.act(e, e.job.GiveUp(h.now, refusal.Reason, refusal.Detail, refusal.RetryAfter))
		} else {
			h.step(e, "accepted", "", "")
		}
		h.schedule(e)
		return
	}
	var a job.Actions
	e.job, a = job.Recover(spec, h.cfg.Incarnation, e.candidates.ids, sub.Incomplete, used)
	h.step(e, "recovering", reason.HomeUnreachable, "asking all candidates what has started")
	h.act(e, a)
	h.schedule(e)
}

// hashWork tells submissions of different work apart: the same tasks under
// another template are other work.
func hashWork(template string, inputs [][]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(template)
	for _, in := range inputs {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(in)
	}
	return d.Sum64()
}

// cancelEvent gives a submission up.
type cancelEvent struct {
	id    ticket.ID
	reply func(known bool)
}

// Cancel gives a submission up. The waiters get the final answer.
func (h *Home) Cancel(id ticket.ID, reply func(known bool)) bool {
	return h.events.TryPush(cancelEvent{id, reply})
}

func (ev cancelEvent) apply(h *Home) {
	e := h.jobs[ev.id]
	known := e != nil && e.job.Superseded() == 0
	ev.reply(known)
	if known {
		h.act(e, e.job.Cancel(h.now))
		h.schedule(e)
	}
}

// attachEvent waits for the answer of a known submission.
type attachEvent struct {
	id    ticket.ID
	hash  uint64 // 0: whatever its work
	reply Reply
}

// Attach waits for a submission's answer without being able to start it. The
// reply is nil when the submission is not known here.
func (h *Home) Attach(id ticket.ID, reply Reply) bool {
	return h.events.TryPush(attachEvent{id: id, reply: reply})
}

// AttachWork is Attach for a caller that names the work. Other work under the
// same ticket is told so, and never given the answer.
func (h *Home) AttachWork(id ticket.ID, template string, inputs [][]byte, reply Reply) bool {
	return h.events.TryPush(attachEvent{id, hashWork(template, inputs), reply})
}

func (ev attachEvent) apply(h *Home) {
	e := h.jobs[ev.id]
	if e == nil {
		ev.reply(nil)
		return
	}
	hash := ev.hash
	if hash == 0 {
		hash = e.hash
	}
	h.attach(e, hash, ev.reply)
}

type busyEvent struct{ answer chan bool }

// Busy reports whether a submission has no answer yet.
func (h *Home) Busy() bool {
	answer := make(chan bool, 1)
	if !h.events.Push(busyEvent{answer}) {
		return false
	}
	return <-answer
}

func (ev busyEvent) apply(h *Home) { ev.answer <- h.open > 0 }

// step notes what happened to a submission and why.
func (h *Home) step(e *entry, what string, code reason.Code, detail string) {
	h.cfg.Timelines.Add(e.sub.Ticket.ID, timeline.Step{At: h.now, Event: what, Reason: code, Detail: detail})
}
