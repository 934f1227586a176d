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

// queryOverdueStates asks holders about submissions that they have not told of for a
// while: a message may have been lost with a link.
func (e *engine) queryOverdueStates() {
	for _, h := range e.tracked {
		if h.stored && !h.state.Final() && e.now-max(h.queriedAt, h.updatedAt) > stateQueryInterval {
			e.queryHolder(h)
		}
	}
}

func (e *engine) queryHolder(h *trackedSubmission) {
	h.queriedAt = e.now
	if own := e.shards[h.shard]; own != nil {
		e.checkOwnShard(h.id, own)
		return
	}
	holding := e.site.Holding(h.shard)
	h.holderToken = holding.Token
	h.holder = holding.Holder
	if h.holder == "" {
		return
	}
	f := e.frame(h.holder)
	f.Queries = append(f.Queries, &pb.KeptRef{Id: string(h.id), Shard: h.shard})
}

// checkOwnShard takes the state of a submission from a shard that this VM holds itself.
func (e *engine) checkOwnShard(id submission.ID, own *heldShard) {
	state, known := own.core.State(id)
	if known {
		e.applyStateReport(id, stateReport{shard: own.holding.Shard, token: own.holding.Token, state: state})
		return
	}
	if own.scannedAt > 0 {
		e.lookUpInStore(id)
	}
}

// receiveQuery answers a peer that asks how far a submission is.
func (e *engine) receiveQuery(from string, ref *pb.KeptRef) {
	id := submission.ID(ref.Id)
	report := stateReport{shard: ref.Shard}
	if h := e.shards[ref.Shard]; h != nil {
		if said, known := h.core.Report(id); known {
			e.sendState(from, id, h.report(said))
			if !said.State.Final() {
				h.addAsker(id, from)
			}
			return
		}
		report.token = h.holding.Token
	}
	if h := e.tracked[id]; h != nil && h.state.Final() {
		report.state = h.state
		e.sendState(from, id, report)
		return
	}
	// The peer finds the answer in the store: this VM does not drive it (any more).
	e.sendState(from, id, report)
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

func (e *engine) sendState(peer string, id submission.ID, w stateReport) {
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

// reportState tells a submission's home how far it is.
func (e *engine) reportState(id submission.ID, homeVM string, w stateReport) {
	if homeVM == e.vm.config.Name {
		e.applyStateReport(id, w)
		return
	}
	e.sendState(homeVM, id, w)
}

// applyStateReport takes a word about a submission. Unknown says that the peer that was
// asked does not drive it.
func (e *engine) applyStateReport(id submission.ID, w stateReport) {
	if t := e.transients[id]; t != nil {
		if p := t.part(w.shard); p != nil {
			e.applyPartReport(t, p, w)
		}
		return
	}
	state := w.state
	h := e.tracked[id]
	if h == nil {
		if state == submission.Unknown || state == submission.Rejected {
			return
		}
		h = &trackedSubmission{id: id, shard: w.shard, stored: true, receivedAt: e.now}
		e.tracked[id] = h
	}
	if h.state.Final() {
		return
	}
	if state != submission.Unknown {
		e.replyOutcome(h, Outcome{Kind: Accepted}) // its holder can only know it from the store
	}
	if state == submission.Unknown {
		e.lookUpInStore(id)
		return
	}
	if state < h.state {
		return // an older word that was overtaken
	}
	h.state = state
	h.updatedAt = e.now
	h.stored = true
	if state.Final() && h.record != nil {
		e.vm.metrics.queue(h.record.Queue).countEnd(state.String(), e.now-h.receivedAt)
	}
	if state.Final() {
		h.record = nil // only its state is asked for from now on
		for _, ended := range h.endWaiters {
			close(ended)
		}
		h.endWaiters = nil
	}
}

// lookup is what the store says of a submission.
type storeLookup struct {
	state    submission.State // Unknown: there is no such submission
	record   *submission.Record
	revision uint64
}

// lookUpInStore reads a submission's state from the store.
func (e *engine) lookUpInStore(id submission.ID) {
	h := e.tracked[id]
	if h != nil {
		if h.lookupInFlight {
			return
		}
		h.lookupInFlight = true
	}
	e.vm.spawn(func() {
		found, err := e.vm.readSubmission(e.ctx, id)
		e.vm.post(lookupDoneEvent{id: id, found: found, err: err})
	})
}

// readSubmission reads the record first: it is replaced by the final state in one
// transaction, so one of the two is there at any time.
func (v *VM) readSubmission(ctx context.Context, id submission.ID) (storeLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	open, err := v.store.Get(ctx, submission.OpenKey(id))
	if err != nil {
		return storeLookup{}, err
	}
	if open.Revision > 0 {
		r, err := submission.DecodeRecord(id, open.Value)
		if err != nil {
			return storeLookup{}, err
		}
		return storeLookup{state: submission.Queued, record: r, revision: open.Revision}, nil
	}
	final, err := v.store.Get(ctx, submission.FinalKey(id))
	if err != nil {
		return storeLookup{}, err
	}
	if final.Revision > 0 {
		return storeLookup{state: finalState(final)}, nil
	}
	return storeLookup{}, nil
}

func (ev lookupDoneEvent) apply(e *engine) {
	h := e.tracked[ev.id]
	if h == nil {
		return
	}
	h.lookupInFlight = false
	askers := h.stateWaiters
	h.stateWaiters = nil
	switch {
	case ev.err != nil:
		klog.InfoS("kept: a submission's state could not be read", "id", ev.id, "why", ev.err)
		replyAll(askers, StateAnswer{Err: ErrUnavailable})
		if !h.stored && len(h.outcomeWaiters) == 0 {
			delete(e.tracked, ev.id)
		}
	case ev.found.state.Final():
		e.applyStateReport(ev.id, stateReport{shard: h.shard, state: ev.found.state})
		replyAll(askers, StateAnswer{State: h.state})
	case ev.found.record != nil:
		if h.record == nil {
			h.record = ev.found.record
		}
		h.shard = ev.found.record.Shard
		h.revision = ev.found.revision
		h.stored = true
		h.state = max(h.state, submission.Queued)
		h.updatedAt = e.now
		e.queryHolder(h)
		replyAll(askers, StateAnswer{State: h.state})
	default:
		if h.stored {
			klog.ErrorS(nil, "kept: a submission that was stored is not in the store", "id", ev.id, "shard", h.shard)
		}
		if len(h.outcomeWaiters) == 0 {
			delete(e.tracked, ev.id)
		}
		replyAll(askers, StateAnswer{State: submission.Unknown})
	}
}

func replyAll(askers []chan StateAnswer, a StateAnswer) {
	for _, c := range askers {
		c <- a
	}
}

// watchOwnShard keeps a caller that waits for the end of a submission whose home is another
// VM, and that a shard of this one has.
func (e *engine) watchOwnShard(ev stateEvent, own *heldShard, state submission.State) {
	if state.Final() {
		return
	}
	h := &trackedSubmission{id: ev.id, shard: own.holding.Shard, holderToken: own.holding.Token, stored: true, state: state, receivedAt: e.now, updatedAt: e.now}
	h.addEndWaiter(ev.ended)
	e.tracked[ev.id] = h
	own.addAsker(ev.id, e.vm.config.Name)
}

// asks notes a VM that asked for a submission which has not ended: it is told of the end
// as the home is, since callers ask at other VMs than the one that they handed it in at.
func (h *heldShard) addAsker(id submission.ID, entryVM string) {
	if asked := h.askers[id]; len(asked) < maxEndWaiters && !slices.Contains(asked, entryVM) {
		h.askers[id] = append(asked, entryVM)
	}
}

// notifyAskers tells the VMs that asked for a submission of its end.
func (e *engine) notifyAskers(h *heldShard, s shard.StateAction, w stateReport) {
	if !s.State.Final() {
		return
	}
	for _, entryVM := range h.askers[s.ID] {
		if entryVM != s.Home {
			e.reportState(s.ID, entryVM, w)
		}
	}
	delete(h.askers, s.ID)
}

// pruneAskers drops what no end will be told of any more.
func (h *heldShard) pruneAskers() {
	maps.DeleteFunc(h.askers, func(id submission.ID, _ []string) bool {
		state, known := h.core.State(id)
		return !known || state.Final()
	})
}

// watch keeps a caller that waits for the end. Beyond maxEndWaiters the oldest waits in
// vain until its time is over, and is answered with the state as it was.
func (h *trackedSubmission) addEndWaiter(ended chan struct{}) {
	if ended == nil || h.state.Final() {
		return
	}
	if len(h.endWaiters) == maxEndWaiters {
		h.endWaiters = h.endWaiters[1:]
	}
	h.endWaiters = append(h.endWaiters, ended)
}

// maxEndWaiters bounds the callers that wait for the end of one submission, and the VMs that
// are told of it. A caller asks a few times a second at most; one that has gone is not
// taken off the list before the end.
const maxEndWaiters = 8

func (ev stateEvent) apply(e *engine) {
	h := e.tracked[ev.id]
	if h != nil && h.state != submission.Unknown {
		h.addEndWaiter(ev.ended)
		ev.reply <- StateAnswer{State: h.state}
		return
	}
	for _, own := range e.shards {
		if state, known := own.core.State(ev.id); known && state != submission.Unknown {
			e.watchOwnShard(ev, own, state)
			ev.reply <- StateAnswer{State: state}
			return
		}
	}
	if h == nil {
		h = &trackedSubmission{id: ev.id, receivedAt: e.now, updatedAt: e.now}
		e.tracked[ev.id] = h
	}
	h.addEndWaiter(ev.ended)
	h.stateWaiters = append(h.stateWaiters, ev.reply)
	e.lookUpInStore(ev.id)
}
