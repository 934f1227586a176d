package home

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/spill"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// owner is an entry VM that holds worker leases, as its adverts describe it.
type owner struct {
	name        string
	incarnation uint64
	domain      string
	version     uint64 // of workers, counted by the owner
	stamp       uint64 // of workers, unique over all owners and links
	workers     []string
	slots       int
	free        int
	queued      int
	sent        uint64 // tasks sent on the present link
	taken       uint64 // of these, counted in free and queued
	draining    bool
	up          bool
	heard       time.Time // last advert
	largest     *pb.Resources
}

// underway is the tasks sent that the owner's advert does not show yet.
func (o *owner) underway() int { return int(o.sent - o.taken) }

// load is the work at an owner per slot.
func (o *owner) load() float64 {
	return float64(o.queued+o.underway()+o.slots-o.free) / float64(max(o.slots, 1))
}

// ownerSet orders owners: this entry VM first, then its failure domain, then
// the others.
type ownerSet struct {
	self, domain string
	all          []*owner
	byName       map[string]*owner
}

func newOwnerSet(self, domain string) *ownerSet {
	return &ownerSet{self: self, domain: domain, byName: make(map[string]*owner)}
}

func (s *ownerSet) get(name string) *owner {
	o := s.byName[name]
	if o == nil {
		o = &owner{name: name}
		s.byName[name] = o
		s.all = append(s.all, o)
	}
	return o
}

// distance ranks an owner: moving a task further costs a longer round trip.
func (s *ownerSet) distance(o *owner) int {
	switch {
	case o.name == s.self:
		return 0
	case o.domain == s.domain:
		return 1
	}
	return 2
}

func (s *ownerSet) sort() {
	slices.SortFunc(s.all, func(a, b *owner) int {
		if c := cmp.Compare(s.distance(a), s.distance(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
}

// maxClosers bounds the candidates that are tried to record an end.
const maxClosers = 4

// closers picks candidates to record an end at, those held here first: their
// connections work.
func (s *ownerSet) closers(candidates []string) []string {
	var out []string
	self := s.byName[s.self]
	for _, c := range candidates {
		if len(out) == maxClosers {
			return out
		}
		if self != nil && slices.Contains(self.workers, c) {
			out = append(out, c)
		}
	}
	for _, c := range candidates {
		if len(out) == maxClosers {
			break
		}
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// schedule hands out what may be handed out, and asks for attention when the
// next thing of the entry is due.
func (h *Home) schedule(e *entry) {
	if e.job.Answer() != nil {
		h.due.push(e, h.now)
		return
	}
	if e.job.Unassigned() > 0 {
		if h.now.Before(e.holdUntil) {
			h.due.push(e, e.holdUntil)
		} else if !h.assign(e) {
			h.due.push(e, h.now.Add(h.cfg.Settings.HoldBack))
		}
	}
	next := e.job.NextTick()
	if !h.now.Before(next) {
		next = h.now.Add(h.cfg.Settings.Tick)
	}
	h.due.push(e, next)
}

// assign hands out all tasks that may be handed out and reports whether none is
// left.
func (h *Home) assign(e *entry) bool {
	own := h.owners.get(h.cfg.Name)
	each := max(1, int(e.sub.Each.GetSlots()))
	load := spill.Load{
		Name:      own.name,
		Domain:    h.cfg.Domain,
		FreeSlots: own.free / each,
		Queued:    own.queued + own.underway(),
		Workers:   len(own.workers),
		Draining:  own.draining,
		Away:      h.away,
	}
	moves := spill.Plan(h.cfg.Settings.Spill, load, h.peerLoads(each), e.job.Unassigned(), func(peer string) bool {
		return len(e.allowed(h.owners.get(peer))) > 0
	})
	away := false
	for _, m := range moves {
		if m.Peer == spill.Here {
			h.giveHere(e, own, m)
			continue
		}
		h.give(e, h.owners.get(m.Peer), m.Count, reason.Code(m.Reason))
		away = away || m.Reason == spill.FreeAway
	}
	h.away = away
	if e.job.Unassigned() > 0 && (!own.usable() || len(e.allowed(own)) == 0) {
		h.giveAnywhere(e)
	}
	return e.job.Unassigned() == 0
}

// giveHere hands tasks to this VM's own holder. Once handed out they can not go
// anywhere else, so of those that find no free slot only as many as keep the
// slots busy until the next plan are handed out; the others stay free to go
// where slots turn free first.
func (h *Home) giveHere(e *entry, own *owner, m spill.Move) {
	n := m.Count
	if m.Reason != spill.FreeHere {
		room := h.cfg.Settings.Backlog*own.slots - own.queued - own.underway()
		if !e.represented {
			room = max(room, minBacklog)
		}
		n = min(n, room)
	}
	if h.give(e, own, n, reason.Code(m.Reason)) > 0 {
		e.represented = true
	}
}

// minBacklog is how many tasks of a job are handed to the own holder at least,
// once: the order between jobs is decided there, so each has to be represented.
const minBacklog = 8

// peerLoads describes the other owners to the plan, for tasks of that many slots.
func (h *Home) peerLoads(each int) []spill.Peer {
	h.peers = h.peers[:0]
	for _, o := range h.owners.all {
		if o.name == h.cfg.Name || !o.usable() {
			continue
		}
		h.peers = append(h.peers, spill.Peer{
			Name:      o.name,
			Domain:    o.domain,
			FreeSlots: o.free / each,
			Queued:    o.queued,
			Workers:   len(o.workers),
			Draining:  o.draining,
			Age:       h.now.Sub(o.heard),
			Sent:      o.underway(),
		})
	}
	return h.peers
}

// giveAnywhere hands tasks to the least loaded owner, when this entry VM holds
// no workers that may run them: it just started, or its workers are all gone or
// restarted. One would otherwise see the tasks wait here until their deadline.
func (h *Home) giveAnywhere(e *entry) {
	var best *owner
	for _, o := range h.owners.all {
		if o.usable() && len(e.allowed(o)) > 0 && (best == nil || o.load() < best.load()) {
			best = o
		}
	}
	if best != nil {
		h.give(e, best, e.job.Unassigned(), "no_workers_here")
	}
}

func (o *owner) usable() bool { return o.up && !o.draining && len(o.workers) > 0 }

// allowed returns the owner's workers that are candidates of the submission and
// were not restarted since.
func (e *entry) allowed(o *owner) []string {
	held := e.candidates.heldBy(o)
	if len(e.restarted) == 0 {
		return held
	}
	return slices.DeleteFunc(slices.Clone(held), func(w string) bool { return e.restarted[w] })
}

// give hands up to n tasks of an entry to an owner, and returns how many.
func (h *Home) give(e *entry, o *owner, n int, why reason.Code) int {
	if !o.usable() {
		return 0
	}
	allowed := e.allowed(o)
	given := 0
	for given < n {
		indexes := e.job.Assign(o.name, allowed, min(n-given, h.cfg.Settings.GroupTasks))
		if len(indexes) == 0 {
			break
		}
		m := h.message(o.name)
		m.Groups = append(m.Groups, h.group(e, indexes, allowed))
		given += len(indexes)
	}
	if given > 0 {
		o.sent += uint64(given)
		h.step(e, "handed out", why, fmt.Sprintf("%d tasks to %s", given, o.name))
	}
	return given
}

func (h *Home) group(e *entry, indexes []uint32, workers []string) *pb.RunGroup {
	inputs := make([][]byte, len(indexes))
	for i, index := range indexes {
		inputs[i] = e.sub.Inputs[index]
	}
	t := &e.sub.Ticket
	return &pb.RunGroup{
		Submission:       wire.IDMessage(t.ID),
		Generation:       wire.GenerationMessage(e.job.Generation()),
		ExpiryUnixMillis: uint64(t.Expiry.UnixMilli()),
		Account:          t.Account,
		Template:         e.sub.Template,
		Each:             e.sub.Each,
		ExpectedMicros:   uint32(e.sub.Expected.Microseconds()),
		JobRemaining:     uint32(e.job.Remaining()),
		DeadlineMillis:   uint32(max(0, e.sub.Deadline.Sub(h.now)/time.Millisecond)),
		Index:            indexes,
		Input:            inputs,
		Workers:          workers,

		WorkerIncarnation: e.incarnations(workers),
	}
}

// incarnations returns those that the ticket's candidates had.
func (e *entry) incarnations(workers []string) []uint64 {
	out := make([]uint64, len(workers))
	for i, w := range workers {
		out[i] = e.candidates.incarnations[w]
	}
	return out
}

// advertEvent describes an owner.
type advertEvent struct {
	owner string
	m     *pb.Advert
	up    bool
}

// OwnerUp takes the news that the link to an owner works.
func (h *Home) OwnerUp(name string, incarnation uint64) {
	h.events.Push(advertEvent{name, &pb.Advert{Incarnation: incarnation}, true})
}

// Advert takes an owner's description of itself.
func (h *Home) Advert(name string, m *pb.Advert) {
	h.events.Push(advertEvent{name, m, false})
}

func (ev advertEvent) apply(h *Home) {
	o := h.owners.get(ev.owner)
	o.incarnation = ev.m.Incarnation
	if ev.up {
		*o = owner{name: ev.owner, incarnation: ev.m.Incarnation, up: true}
		return
	}
	o.free = int(ev.m.FreeSlots)
	o.queued = int(ev.m.QueuedTasks)
	o.taken = ev.m.TakenTasks
	o.slots = int(ev.m.Slots)
	o.draining = ev.m.Draining
	o.heard = h.now
	o.largest = ev.m.Largest
	if o.domain != ev.m.Domain {
		o.domain = ev.m.Domain
		h.owners.sort()
	}
	if o.version == ev.m.WorkersVersion {
		return
	}
	o.version = ev.m.WorkersVersion
	h.stamps++
	o.stamp = h.stamps
	o.workers = make([]string, len(ev.m.Workers))
	for i, w := range ev.m.Workers {
		o.workers[i] = w.Id
	}
}

// ownerLostEvent is the end of the link to an owner.
type ownerLostEvent struct{ owner, why string }

// OwnerLost takes the news that an owner can not be heard any more.
func (h *Home) OwnerLost(name, why string) {
	h.events.Push(ownerLostEvent{name, why})
}

func (ev ownerLostEvent) apply(h *Home) {
	o := h.owners.get(ev.owner)
	o.up = false
	for _, e := range h.jobs {
		if e.job.Answer() != nil {
			continue
		}
		a := e.job.OwnerLost(ev.owner)
		if len(a.Seal) > 0 {
			h.step(e, "owner lost", "", fmt.Sprintf("%s %s: asking %d workers", ev.owner, ev.why, len(a.Seal)))
		}
		h.act(e, a)
		h.schedule(e)
	}
}
