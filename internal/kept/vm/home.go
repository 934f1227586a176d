package vm

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// home is a submission that came, or was asked for, at this VM.
type home struct {
	record   *submission.Record // nil: only its state is known here
	revision uint64
	created  bool // its record is in the store
	state    submission.State
	shard    string
	token    uint64 // under which a holder was told of it; 0: none was
	holder   string // that was told of it
	changed  time.Duration
	asked    time.Duration
	came     time.Duration
	tries    int
	waiters  []chan Outcome
	askers   []chan StateAnswer
	looking  bool
}

// Bounds of the intake.
const (
	intakeWithin = 1200 * time.Millisecond // callers wait 1.5 s for their answer
	intakeTries  = 4                       // as shards change their holder
	lookupWithin = 1500 * time.Millisecond
	retryAfter   = time.Second // for callers that are refused while nothing can be taken
)

func (ev submitEvent) apply(e *engine) {
	id := ev.record.ID
	if ev.record.Transient {
		e.submitTransient(ev)
		return
	}
	if h := e.homes[id]; h != nil {
		if h.created || h.state != submission.Unknown {
			ev.reply <- Outcome{Kind: Taken}
			return
		}
		if len(h.waiters) > 0 {
			h.waiters = append(h.waiters, ev.reply)
			return
		}
	}
	h := e.homes[id]
	if h == nil {
		h = &home{}
		e.homes[id] = h
	}
	h.record = ev.record
	h.came = e.at
	h.changed = e.at
	h.waiters = append(h.waiters, ev.reply)
	e.create(h)
}

// create picks a shard and stores the record.
func (e *engine) create(h *home) {
	rec := h.record
	shards, refusal := e.candidates(rec)
	if refusal == nil && e.vm.router.Down() {
		refusal = &Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "the store does not answer"}
	}
	if refusal != nil {
		e.refuse(h, *refusal)
		return
	}
	need := demand(rec)
	name := split(shards, need, false, longestEstimate(rec))[0].shard
	holding := e.site.Holding(name)
	rec.Shard = name
	rec.Token = holding.Token
	rec.Home = e.vm.config.Name
	h.shard = name
	h.tries++
	if l := e.loads[name]; l != nil {
		l.sent += int64(need) * largestTask(rec)
	}
	value := rec.Encode()
	id := rec.ID
	added := e.vm.intake.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: submission.OpenKey(id)}, {Key: submission.FinalKey(id)}},
			Put:    []store.Put{{Key: submission.OpenKey(id), Value: value}},
		},
		Guard:  &store.Condition{Key: site.ShardKey(name), Revision: holding.Revision},
		Within: intakeWithin,
		Done:   func(r journal.Result) { e.vm.post(createdEvent{record: rec, result: r}) },
	})
	if !added {
		e.refuse(h, Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "too many submissions wait for the store"})
	}
}

func (e *engine) refuse(h *home, o Outcome) {
	if !h.looking {
		delete(e.homes, h.record.ID)
	}
	e.vm.figures.queue(h.record.Queue).ended("refused", e.at-h.came)
	klog.InfoS("kept: refused", "id", h.record.ID, "queue", h.record.Queue, "why", o.Why, "tries", h.tries, "waited", e.at-h.came)
	e.answer(h, o)
}

func (e *engine) answer(h *home, o Outcome) {
	for _, w := range h.waiters {
		w <- o
	}
	h.waiters = nil
}

// demand is the number of tasks that could start at once.
func demand(r *submission.Record) int {
	sum := 0
	for i := range r.Steps {
		if len(r.Steps[i].After) == 0 {
			sum += r.Steps[i].Count
		}
	}
	return sum
}

func (ev createdEvent) apply(e *engine) {
	h := e.homes[ev.record.ID]
	if h == nil || h.created || h.record != ev.record {
		return
	}
	switch ev.result.Outcome {
	case journal.Stored:
		h.created = true
		h.revision = ev.result.Revision
		h.state = submission.Queued
		h.changed = e.at
		q := e.vm.figures.queue(ev.record.Queue)
		q.taken.Inc(1)
		q.stored.RecordDuration(e.at - h.came)
		klog.InfoS("kept: accepted", "id", ev.record.ID, "queue", ev.record.Queue, "shard", h.shard, "token", ev.record.Token,
			"revision", h.revision, "tasks", ev.record.Tasks(), "took", e.at-h.came, "tries", ev.result.Tries)
		e.answer(h, Outcome{Kind: Taken})
		e.assign(h)
	case journal.Conflict:
		e.createAgain(h, ev.result)
	case journal.Refused:
		e.refuse(h, Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "the store takes nothing"})
	case journal.Unsure:
		klog.InfoS("kept: not known whether accepted", "id", ev.record.ID, "took", e.at-h.came)
		delete(e.homes, ev.record.ID)
		e.answer(h, Outcome{Kind: Unsure, Why: "the store did not answer"})
	}
}

// createAgain handles a record that was not written: either the submission is
// known already, or its shard has another holder.
func (e *engine) createAgain(h *home, r journal.Result) {
	for _, it := range r.Items {
		switch {
		case it.Revision == 0:
			continue
		case it.Key == submission.OpenKey(h.record.ID):
			e.takenBefore(h, it)
			return
		case it.Key == submission.FinalKey(h.record.ID):
			h.created = true
			h.state = finalState(it)
			h.changed = e.at
			e.answer(h, Outcome{Kind: Taken})
			return
		}
	}
	if h.tries >= intakeTries || e.at-h.came > intakeWithin {
		e.refuse(h, Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "its shard changes hands"})
		return
	}
	e.create(h)
}

// takenBefore adopts a submission that another VM, or this one before it started
// again, has stored.
func (e *engine) takenBefore(h *home, it store.Item) {
	h.created = true
	h.revision = it.Revision
	h.state = submission.Queued
	h.changed = e.at
	if r, err := submission.DecodeRecord(h.record.ID, it.Value); err == nil {
		h.record = r
		h.shard = r.Shard
	} else {
		klog.ErrorS(err, "kept: a stored submission cannot be read")
	}
	klog.InfoS("kept: accepted before", "id", h.record.ID, "home", h.record.Home, "shard", h.shard, "revision", it.Revision)
	e.answer(h, Outcome{Kind: Taken})
	e.askHolder(h)
}

func finalState(it store.Item) submission.State {
	state, ok := submission.ParseState(string(it.Value))
	if !ok || !state.Final() {
		klog.InfoS("kept: a stored state cannot be read", "key", it.Key, "value", string(it.Value))
		return submission.Unknown
	}
	return state
}

// assign hands a stored submission to the holder of its shard.
func (e *engine) assign(h *home) {
	holding := e.site.Holding(h.shard)
	h.token = holding.Token
	h.asked = e.at
	if holding.Token != h.record.Token {
		return // its holder has read it from the store
	}
	if own := e.shards[h.shard]; own != nil {
		if own.holding.Token == holding.Token {
			own.core.Assign(e.at, shard.Stored{Record: h.record, Revision: h.revision})
		}
		return
	}
	f := e.frame(holding.Holder)
	f.Assign = append(f.Assign, &pb.KeptAssign{
		Id:       string(h.record.ID),
		Record:   h.record.Encode(),
		Revision: h.revision,
	})
}

// takeAssigned takes a submission that a peer hands over.
func (e *engine) takeAssigned(from string, a *pb.KeptAssign) {
	id := submission.ID(a.Id)
	r, err := submission.DecodeRecord(id, a.Record)
	if err != nil {
		klog.ErrorS(err, "kept: a peer's submission cannot be read", "peer", from)
		return
	}
	if r.Transient {
		e.takeTransient(from, r, a.Resumed)
		return
	}
	h := e.shards[r.Shard]
	if h == nil || h.holding.Token != r.Token {
		klog.InfoS("kept: a submission for another holder", "id", id, "peer", from, "shard", r.Shard, "token", r.Token)
		return // its home asks again, and the holder finds it in the store
	}
	h.core.Assign(e.at, shard.Stored{Record: r, Revision: a.Revision})
}

// rehome asks the new holders about submissions that were given to earlier ones.
func (e *engine) rehome() {
	for _, h := range e.homes {
		if h.created && !h.state.Final() && h.token != e.site.Holding(h.shard).Token {
			h.asked = 0
		}
	}
}

// askForStates asks holders about submissions that they have not told of for a
// while: a message may have been lost with a link.
func (e *engine) askForStates() {
	for _, h := range e.homes {
		if h.created && !h.state.Final() && e.at-max(h.asked, h.changed) > askAgain {
			e.askHolder(h)
		}
	}
}

func (e *engine) askHolder(h *home) {
	h.asked = e.at
	if own := e.shards[h.shard]; own != nil {
		e.tellOwn(h.record.ID, own)
		return
	}
	holding := e.site.Holding(h.shard)
	h.token = holding.Token
	h.holder = holding.Holder
	if h.holder == "" {
		return
	}
	f := e.frame(h.holder)
	f.Queries = append(f.Queries, &pb.KeptRef{Id: string(h.record.ID), Shard: h.shard})
}

// tellOwn takes the state of a submission from a shard that this VM holds itself.
func (e *engine) tellOwn(id submission.ID, own *held) {
	state, known := own.core.Knows(id)
	if known {
		e.learnState(id, own.holding.Shard, state)
		return
	}
	if own.scannedAt > 0 {
		e.lookUp(id)
	}
}

// takeQuery answers a peer that asks how far a submission is.
func (e *engine) takeQuery(from string, ref *pb.KeptRef) {
	id := submission.ID(ref.Id)
	if h := e.shards[ref.Shard]; h != nil {
		if state, known := h.core.Knows(id); known {
			e.tellPeer(from, id, ref.Shard, state)
			return
		}
	}
	if h := e.homes[id]; h != nil && h.state.Final() {
		e.tellPeer(from, id, ref.Shard, h.state)
		return
	}
	// The peer finds the answer in the store: this VM does not drive it (any more).
	e.tellPeer(from, id, ref.Shard, submission.Unknown)
}

func (e *engine) tellPeer(peer string, id submission.ID, shard string, state submission.State) {
	f := e.frame(peer)
	f.States = append(f.States, &pb.KeptState{Id: string(id), State: uint32(state), Shard: shard})
}

// tellState tells a submission's home how far it is.
func (e *engine) tellState(id submission.ID, shard, homeVM string, state submission.State) {
	if homeVM == e.vm.config.Name {
		e.learnState(id, shard, state)
		return
	}
	e.tellPeer(homeVM, id, shard, state)
}

// learnState takes a word about a submission. Unknown says that the peer that was
// asked does not drive it.
func (e *engine) learnState(id submission.ID, shard string, state submission.State) {
	if t := e.transients[id]; t != nil {
		if p := t.part(shard); p != nil {
			e.learnPart(t, p, state)
		}
		return
	}
	h := e.homes[id]
	if h == nil {
		if state == submission.Unknown || state == submission.Rejected {
			return
		}
		h = &home{created: true, came: e.at}
		e.homes[id] = h
	}
	if h.state.Final() {
		return
	}
	if state != submission.Unknown {
		e.answer(h, Outcome{Kind: Taken}) // its holder can only know it from the store
	}
	if state == submission.Unknown {
		e.lookUp(id)
		return
	}
	if state < h.state {
		return // an older word that was overtaken
	}
	h.state = state
	h.changed = e.at
	h.created = true
	if state.Final() && h.record != nil {
		e.vm.figures.queue(h.record.Queue).ended(state.String(), e.at-h.came)
	}
	if state.Final() {
		h.record = nil // only its state is asked for from now on
	}
}

// lookup is what the store says of a submission.
type lookup struct {
	state    submission.State // Unknown: there is no such submission
	record   *submission.Record
	revision uint64
}

// lookUp reads a submission's state from the store.
func (e *engine) lookUp(id submission.ID) {
	h := e.homes[id]
	if h != nil {
		if h.looking {
			return
		}
		h.looking = true
	}
	e.vm.duty(func() {
		found, err := e.vm.readSubmission(e.ctx, id)
		e.vm.post(lookedUpEvent{id: id, found: found, failed: err})
	})
}

// readSubmission reads the record first: it is replaced by the final state in one
// transaction, so one of the two is there at any time.
func (v *VM) readSubmission(ctx context.Context, id submission.ID) (lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupWithin)
	defer cancel()
	open, err := v.store.Get(ctx, submission.OpenKey(id))
	if err != nil {
		return lookup{}, err
	}
	if open.Revision > 0 {
		r, err := submission.DecodeRecord(id, open.Value)
		if err != nil {
			return lookup{}, err
		}
		return lookup{state: submission.Queued, record: r, revision: open.Revision}, nil
	}
	final, err := v.store.Get(ctx, submission.FinalKey(id))
	if err != nil {
		return lookup{}, err
	}
	if final.Revision > 0 {
		return lookup{state: finalState(final)}, nil
	}
	return lookup{}, nil
}

func (ev lookedUpEvent) apply(e *engine) {
	h := e.homes[ev.id]
	if h == nil {
		return
	}
	h.looking = false
	askers := h.askers
	h.askers = nil
	switch {
	case ev.failed != nil:
		klog.InfoS("kept: a submission's state could not be read", "id", ev.id, "why", ev.failed)
		answerAll(askers, StateAnswer{Err: ErrUnavailable})
		if !h.created && len(h.waiters) == 0 {
			delete(e.homes, ev.id)
		}
	case ev.found.state.Final():
		e.learnState(ev.id, h.shard, ev.found.state)
		answerAll(askers, StateAnswer{State: h.state})
	case ev.found.record != nil:
		if h.record == nil {
			h.record = ev.found.record
		}
		h.shard = ev.found.record.Shard
		h.revision = ev.found.revision
		h.created = true
		h.state = max(h.state, submission.Queued)
		h.changed = e.at
		e.askHolder(h)
		answerAll(askers, StateAnswer{State: h.state})
	default:
		if h.created {
			klog.ErrorS(nil, "kept: a submission that was stored is not in the store", "id", ev.id, "shard", h.shard)
		}
		if len(h.waiters) == 0 {
			delete(e.homes, ev.id)
		}
		answerAll(askers, StateAnswer{State: submission.Unknown})
	}
}

func answerAll(askers []chan StateAnswer, a StateAnswer) {
	for _, c := range askers {
		c <- a
	}
}

func (ev stateEvent) apply(e *engine) {
	h := e.homes[ev.id]
	if h != nil && h.state != submission.Unknown {
		ev.reply <- StateAnswer{State: h.state}
		return
	}
	for _, own := range e.shards {
		if state, known := own.core.Knows(ev.id); known && state != submission.Unknown {
			ev.reply <- StateAnswer{State: state}
			return
		}
	}
	if h == nil {
		h = &home{came: e.at, changed: e.at}
		e.homes[ev.id] = h
	}
	h.askers = append(h.askers, ev.reply)
	e.lookUp(ev.id)
}

func (ev cancelEvent) apply(e *engine) {
	e.vm.duty(func() {
		state, err := e.vm.storeCancel(e.ctx, ev.id)
		e.vm.post(cancelledEvent{id: ev.id, state: state, err: err, reply: ev.reply})
	})
}

// storeCancel replaces the record of an unfinished submission by its cancellation.
// It returns the final state, or Unknown if there is no such submission.
func (v *VM) storeCancel(ctx context.Context, id submission.ID) (submission.State, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelWithin)
	defer cancel()
	for {
		found, err := v.readSubmission(ctx, id)
		if err == nil && found.record == nil {
			return found.state, nil
		}
		if err == nil {
			_, err = v.store.Commit(ctx, finalTxn(id, found.revision, submission.Cancelled))
			if err == nil {
				return submission.Cancelled, nil
			}
		}
		if ctx.Err() != nil {
			return submission.Unknown, err
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			sleep(ctx, watchPause)
		}
	}
}

const cancelWithin = 1400 * time.Millisecond

type cancelledEvent struct {
	id    submission.ID
	state submission.State
	err   error
	reply chan CancelAnswer
}

func (ev cancelledEvent) apply(e *engine) {
	if ev.err != nil {
		klog.InfoS("kept: cancellation not stored", "id", ev.id, "why", ev.err)
		ev.reply <- CancelAnswer{Err: ErrUnavailable}
		return
	}
	klog.InfoS("kept: cancelled", "id", ev.id, "state", ev.state.String())
	ev.reply <- CancelAnswer{State: ev.state}
	if ev.state != submission.Cancelled {
		return
	}
	e.learnState(ev.id, "", submission.Cancelled)
	ref := &pb.KeptRef{Id: string(ev.id)}
	e.stopCancelled(ref)
	for name := range e.links {
		f := e.frame(name)
		f.Cancelled = append(f.Cancelled, ref)
	}
}

// stopCancelled ends what shards of this VM have of a submission.
func (e *engine) stopCancelled(ref *pb.KeptRef) {
	for name, h := range e.shards {
		if ref.Shard == "" || ref.Shard == name {
			h.core.Cancel(e.at, submission.ID(ref.Id))
		}
	}
}
