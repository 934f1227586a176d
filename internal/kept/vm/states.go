package vm

import (
	"context"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

func finalState(it store.Item) submission.State {
	state, ok := submission.ParseState(string(it.Value))
	if !ok || !state.Final() {
		klog.InfoS("kept: a stored state cannot be read", "key", it.Key, "value", string(it.Value))
		return submission.Unknown
	}
	return state
}

// askForStates asks holders about submissions that they have not told of for a
// while: a message may have been lost with a link.
func (e *engine) askForStates() {
	for _, h := range e.homes {
		if h.created && !h.state.Final() && e.now-max(h.asked, h.changed) > stateQueryInterval {
			e.askHolder(h)
		}
	}
}

func (e *engine) askHolder(h *home) {
	h.asked = e.now
	if own := e.shards[h.shard]; own != nil {
		e.tellOwn(h.id, own)
		return
	}
	holding := e.site.Holding(h.shard)
	h.token = holding.Token
	h.holder = holding.Holder
	if h.holder == "" {
		return
	}
	f := e.frame(h.holder)
	f.Queries = append(f.Queries, &pb.KeptRef{Id: string(h.id), Shard: h.shard})
}

// tellOwn takes the state of a submission from a shard that this VM holds itself.
func (e *engine) tellOwn(id submission.ID, own *heldShard) {
	state, known := own.core.State(id)
	if known {
		e.learnState(id, stateReport{shard: own.holding.Shard, token: own.holding.Token, state: state})
		return
	}
	if own.scannedAt > 0 {
		e.lookUp(id)
	}
}

// takeQuery answers a peer that asks how far a submission is.
func (e *engine) takeQuery(from string, ref *pb.KeptRef) {
	id := submission.ID(ref.Id)
	report := stateReport{shard: ref.Shard}
	if h := e.shards[ref.Shard]; h != nil {
		if said, known := h.core.Report(id); known {
			e.tellPeer(from, id, h.report(said))
			if !said.State.Final() {
				h.asks(id, from)
			}
			return
		}
		report.token = h.holding.Token
	}
	if h := e.homes[id]; h != nil && h.state.Final() {
		report.state = h.state
		e.tellPeer(from, id, report)
		return
	}
	// The peer finds the answer in the store: this VM does not drive it (any more).
	e.tellPeer(from, id, report)
}

// stateReport is what a VM says of a submission, or of the part of it that a shard has.
type stateReport struct {
	shard  string
	token  uint64 // under which the speaker holds the shard; 0: it does not
	state  submission.State
	serial uint64 // of the hand-in that a rejection is of
	// returned are tasks that the speaker does not start any more.
	returned []shard.ReturnedTask
}

// report is what the holder of a shard says of a submission.
func (h *heldShard) report(a shard.StateAction) stateReport {
	return stateReport{shard: h.holding.Shard, token: h.holding.Token, state: a.State, serial: a.Serial, returned: a.Returned}
}

func (e *engine) tellPeer(peer string, id submission.ID, w stateReport) {
	f := e.frame(peer)
	f.States = append(f.States, &pb.KeptState{
		Id:       string(id),
		State:    uint32(w.state),
		Shard:    w.shard,
		Token:    w.token,
		Serial:   w.serial,
		Returned: encodeReturned(w.returned),
	})
}

// tellState tells a submission's home how far it is.
func (e *engine) tellState(id submission.ID, homeVM string, w stateReport) {
	if homeVM == e.vm.config.Name {
		e.learnState(id, w)
		return
	}
	e.tellPeer(homeVM, id, w)
}

// learnState takes a word about a submission. Unknown says that the peer that was
// asked does not drive it.
func (e *engine) learnState(id submission.ID, w stateReport) {
	if t := e.transients[id]; t != nil {
		if p := t.part(w.shard); p != nil {
			e.applyPartReport(t, p, w)
		}
		return
	}
	state := w.state
	h := e.homes[id]
	if h == nil {
		if state == submission.Unknown || state == submission.Rejected {
			return
		}
		h = &home{id: id, shard: w.shard, created: true, came: e.now}
		e.homes[id] = h
	}
	if h.state.Final() {
		return
	}
	if state != submission.Unknown {
		e.answer(h, Outcome{Kind: Accepted}) // its holder can only know it from the store
	}
	if state == submission.Unknown {
		e.lookUp(id)
		return
	}
	if state < h.state {
		return // an older word that was overtaken
	}
	h.state = state
	h.changed = e.now
	h.created = true
	if state.Final() && h.record != nil {
		e.vm.metrics.queue(h.record.Queue).countEnd(state.String(), e.now-h.came)
	}
	if state.Final() {
		h.record = nil // only its state is asked for from now on
		for _, ended := range h.watchers {
			close(ended)
		}
		h.watchers = nil
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
	e.vm.spawn(func() {
		found, err := e.vm.readSubmission(e.ctx, id)
		e.vm.post(lookupDoneEvent{id: id, found: found, err: err})
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

func (ev lookupDoneEvent) apply(e *engine) {
	h := e.homes[ev.id]
	if h == nil {
		return
	}
	h.looking = false
	askers := h.askers
	h.askers = nil
	switch {
	case ev.err != nil:
		klog.InfoS("kept: a submission's state could not be read", "id", ev.id, "why", ev.err)
		answerAll(askers, StateAnswer{Err: ErrUnavailable})
		if !h.created && len(h.waiters) == 0 {
			delete(e.homes, ev.id)
		}
	case ev.found.state.Final():
		e.learnState(ev.id, stateReport{shard: h.shard, state: ev.found.state})
		answerAll(askers, StateAnswer{State: h.state})
	case ev.found.record != nil:
		if h.record == nil {
			h.record = ev.found.record
		}
		h.shard = ev.found.record.Shard
		h.revision = ev.found.revision
		h.created = true
		h.state = max(h.state, submission.Queued)
		h.changed = e.now
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

// watchOwn keeps a caller that waits for the end of a submission whose home is another
// VM, and that a shard of this one has.
func (e *engine) watchOwn(ev stateEvent, own *heldShard, state submission.State) {
	if state.Final() {
		return
	}
	h := &home{id: ev.id, shard: own.holding.Shard, token: own.holding.Token, created: true, state: state, came: e.now, changed: e.now}
	h.watch(ev.ended)
	e.homes[ev.id] = h
	own.asks(ev.id, e.vm.config.Name)
}

// asks notes a VM that asked for a submission which has not ended: it is told of the end
// as the home is, since callers ask at other VMs than the one that they handed it in at.
func (h *heldShard) asks(id submission.ID, entryVM string) {
	if asked := h.askers[id]; len(asked) < watchersMost && !slices.Contains(asked, entryVM) {
		h.askers[id] = append(asked, entryVM)
	}
}

// tellAskers tells the VMs that asked for a submission of its end.
func (e *engine) tellAskers(h *heldShard, s shard.StateAction, w stateReport) {
	if !s.State.Final() {
		return
	}
	for _, entryVM := range h.askers[s.ID] {
		if entryVM != s.Home {
			e.tellState(s.ID, entryVM, w)
		}
	}
	delete(h.askers, s.ID)
}

// forgetAskers drops what no end will be told of any more.
func (h *heldShard) forgetAskers() {
	maps.DeleteFunc(h.askers, func(id submission.ID, _ []string) bool {
		state, known := h.core.State(id)
		return !known || state.Final()
	})
}

// watch keeps a caller that waits for the end. Beyond watchersMost the oldest waits in
// vain until its time is over, and is answered with the state as it was.
func (h *home) watch(ended chan struct{}) {
	if ended == nil || h.state.Final() {
		return
	}
	if len(h.watchers) == watchersMost {
		h.watchers = h.watchers[1:]
	}
	h.watchers = append(h.watchers, ended)
}

// watchersMost bounds the callers that wait for the end of one submission, and the VMs that
// are told of it. A caller asks a few times a second at most; one that has gone is not
// taken off the list before the end.
const watchersMost = 8

func (ev stateEvent) apply(e *engine) {
	h := e.homes[ev.id]
	if h != nil && h.state != submission.Unknown {
		h.watch(ev.ended)
		ev.reply <- StateAnswer{State: h.state}
		return
	}
	for _, own := range e.shards {
		if state, known := own.core.State(ev.id); known && state != submission.Unknown {
			e.watchOwn(ev, own, state)
			ev.reply <- StateAnswer{State: state}
			return
		}
	}
	if h == nil {
		h = &home{id: ev.id, came: e.now, changed: e.now}
		e.homes[ev.id] = h
	}
	h.watch(ev.ended)
	h.askers = append(h.askers, ev.reply)
	e.lookUp(ev.id)
}
