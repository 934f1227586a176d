package vm

import (
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A transient submission lives at its home, where the caller waits for its end, and
// at the holder of one shard. Nothing of it is stored: if its home is lost, so is the
// caller's connection, and the caller sends it again some time later. Two things keep
// a task from running twice at once:
//
//   - A holder that loses the home ends the submission's runs at once. The caller's
//     next try comes more than a second later.
//   - A home that loses the holder gives the submission only to the next holder of the
//     same shard, which finds the runs at the workers. If there is none soon, the
//     caller is told to try again.

// Times of transient submissions.
const (
	// A holder that was killed is replaced within some 50 ms, one that fell silent
	// within a second.
	holderAway = 1100 * time.Millisecond
	movesMost  = 5 // holders that a submission is given to one after the other
)

func (e *engine) submitTransient(ev submitEvent) {
	id := ev.record.ID
	h := e.homes[id]
	switch {
	case h != nil && h.state.Final() && h.transient && h.state != submission.Cancelled && h.state != submission.Rejected:
		ev.reply <- Outcome{Kind: Ended, State: h.state} // its first answer was lost
		return
	case h != nil && !h.state.Final() && h.transient:
		h.waiters = append(h.waiters, ev.reply)
		return
	}
	name, refusal := e.chooseShard(ev.record)
	if refusal != nil {
		klog.InfoS("kept: refused", "id", id, "queue", ev.record.Queue, "why", refusal.Why)
		ev.reply <- *refusal
		return
	}
	ev.record.Home = e.vm.config.Name
	ev.record.Shard = name
	h = &home{
		record:    ev.record,
		transient: true,
		created:   true,
		state:     submission.Queued,
		shard:     name,
		came:      e.at,
		changed:   e.at,
		waiters:   []chan Outcome{ev.reply},
	}
	e.homes[id] = h
	l := e.loads[name]
	l.sent += demand(ev.record)
	klog.InfoS("kept: taken", "id", id, "queue", ev.record.Queue, "shard", name, "holder", l.holder, "token", l.token,
		"tasks", ev.record.Tasks(), "free", l.FreeMilli, "backlog", l.Backlog, "load_age", e.at-l.at)
	e.give(h, l)
}

// give hands a transient submission to the holder of its shard.
func (e *engine) give(h *home, l *loadView) {
	resumed := h.token != 0 && h.token != l.token
	if h.token == 0 {
		h.record.Token = l.token
	}
	h.token = l.token
	h.holder = l.holder
	h.asked = e.at
	h.lostAt = 0
	if own := e.shards[h.shard]; own != nil {
		if resumed {
			own.core.Resume(e.at, h.record)
		} else {
			own.core.Assign(e.at, shard.Stored{Record: h.record})
		}
		return
	}
	f := e.frame(l.holder)
	f.Assign = append(f.Assign, &pb.KeptAssign{Id: string(h.record.ID), Record: h.record.Encode(), Resumed: resumed})
}

// takeTransient takes a transient submission that its home hands over.
func (e *engine) takeTransient(from string, r *submission.Record, resumed bool) {
	h := e.shards[r.Shard]
	switch {
	case h == nil:
		e.tellPeer(from, r.ID, submission.Unknown)
	case resumed:
		klog.InfoS("kept: resumed", "id", r.ID, "home", from, "shard", r.Shard, "token", h.holding.Token)
		h.core.Resume(e.at, r)
	default:
		h.core.Assign(e.at, shard.Stored{Record: r})
	}
}

// moveTransients gives submissions whose shard has a new holder to that one, and gives
// up those whose holder is away for too long.
func (e *engine) moveTransients() {
	for _, h := range e.homes {
		if !h.transient || h.state.Final() {
			continue
		}
		l := e.loads[h.shard]
		if l.token > h.token && e.reachable(h.shard) {
			e.moveTransient(h, l)
			continue
		}
		e.watchHolder(h)
	}
}

func (e *engine) moveTransient(h *home, l *loadView) {
	h.moves++
	if h.moves > movesMost {
		e.giveUp(h, "its shard changes hands again and again")
		return
	}
	klog.InfoS("kept: given to a new holder", "id", h.record.ID, "shard", h.shard, "holder", l.holder, "token", l.token, "from", h.holder)
	e.give(h, l)
}

// watchHolder asks a holder that has said nothing for a while, and gives up one that
// cannot be reached.
func (e *engine) watchHolder(h *home) {
	if h.holder != e.vm.config.Name && !e.up[h.holder] {
		if h.lostAt == 0 {
			h.lostAt = e.at
		}
		if e.at-h.lostAt > holderAway {
			e.giveUp(h, "the holder of its shard is away")
		}
		return
	}
	h.lostAt = 0
	if e.at-max(h.asked, h.changed) > askAgain {
		e.askHolder(h)
	}
}

// giveUp tells the callers to send the submission again.
func (e *engine) giveUp(h *home, why string) {
	klog.InfoS("kept: given up", "id", h.record.ID, "shard", h.shard, "holder", h.holder, "why", why, "after", e.at-h.came)
	e.withdraw(h)
	e.answer(h, Outcome{Kind: Unsure, Why: why})
	delete(e.homes, h.record.ID)
}

// withdraw tells the holder that nobody waits for a submission.
func (e *engine) withdraw(h *home) {
	if own := e.shards[h.shard]; own != nil {
		own.core.Cancel(e.at, h.record.ID)
		return
	}
	if h.holder != "" && h.holder != e.vm.config.Name {
		f := e.frame(h.holder)
		f.Cancelled = append(f.Cancelled, string(h.record.ID))
	}
}

// learnTransient takes the holder's word about a transient submission.
func (e *engine) learnTransient(h *home, state submission.State) {
	h.changed = e.at
	switch state {
	case submission.Unknown:
		// The holder never got it, or it is the holder no more. In the first case it
		// can be given once more; in the second the next holder comes by itself.
		if l := e.loads[h.shard]; l.token == h.token && e.reachable(h.shard) {
			e.moveTransient(h, l)
		}
	case submission.Cancelled:
		e.giveUp(h, "its holder has ended it")
	case submission.Rejected:
		l := e.loads[h.shard]
		klog.InfoS("kept: refused", "id", h.record.ID, "queue", h.record.Queue, "why", "it cannot be done in time", "after", e.at-h.came, "backlog", l.Backlog)
		e.answer(h, Outcome{Kind: Busy, RetryAfter: max(retryAfter, l.Backlog), Why: "it cannot be done in time"})
		delete(e.homes, h.record.ID)
	case submission.Done, submission.Failed:
		h.state = state
		klog.InfoS("kept: answered", "id", h.record.ID, "queue", h.record.Queue, "state", state.String(), "after", e.at-h.came)
		e.answer(h, Outcome{Kind: Ended, State: state})
	default:
		h.state = max(h.state, state)
	}
}

// tellNote tells a submission's home what has become of a task.
func (e *engine) tellNote(n shard.NoteAction) {
	if n.Home == e.vm.config.Name {
		e.learnNote(n.Task, n.Fails)
		return
	}
	f := e.frame(n.Home)
	f.Notes = append(f.Notes, &pb.KeptNote{
		Id:    string(n.Task.ID),
		Step:  uint32(n.Task.Step),
		Index: uint32(n.Task.Index),
		Fails: uint32(n.Fails),
	})
}

// learnNote keeps what has become of a task, for the next holder.
func (e *engine) learnNote(ref submission.TaskRef, fails int) {
	h := e.homes[ref.ID]
	if h == nil || !h.transient || h.state.Final() {
		return
	}
	h.changed = e.at
	p := &h.record.Progress
	if fails == 0 {
		p.Done = append(p.Done, ref.Task)
		return
	}
	if p.Failed == nil {
		p.Failed = make(map[submission.Task]int)
	}
	p.Failed[ref.Task] = max(p.Failed[ref.Task], fails)
}

// apply ends a transient submission that no caller waits for any more.
func (ev abandonEvent) apply(e *engine) {
	h := e.homes[ev.id]
	if h == nil {
		return
	}
	for i, w := range h.waiters {
		if w == ev.reply {
			h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
			break
		}
	}
	if !h.transient || h.state.Final() || len(h.waiters) > 0 {
		return
	}
	klog.InfoS("kept: abandoned", "id", ev.id, "shard", h.shard, "after", e.at-h.came, "why", "its caller has gone")
	e.withdraw(h)
	delete(e.homes, ev.id)
}
