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

// finalState decodes a final state from the store; Unknown if that is not possible.
func finalState(it store.Item) submission.State {
	state, ok := submission.ParseState(string(it.Value))
	if !ok || !state.Final() {
		klog.InfoS("kept: cannot decode a stored final state", "key", it.Key, "value", string(it.Value))
		return submission.Unknown
	}
	return state
}

// queryOverdueStates asks holders for the states of submissions that they have not reported for a while: a
// message may have been lost with a link.
func (e *engine) queryOverdueStates() {
	for _, h := range e.tracked {
		if h.stored && !h.state.Final() && e.now-max(h.queriedAt, h.updatedAt) > stateQueryInterval {
			e.queryHolder(h)
		}
	}
}

// queryHolder asks the holder of a submission's shard for the state.
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

// checkOwnShard gets the state of a submission from a shard that this VM holds, or from the store if the
// shard does not know it.
func (e *engine) checkOwnShard(id submission.ID, own *heldShard) {
	state, known := own.core.State(id)
	if known {
		if !state.Final() {
			own.addAsker(id, e.vm.config.Name)
		}
		e.applyStateReport(id, stateReport{shard: own.holding.Shard, token: own.holding.Token, state: state})
		return
	}
	if own.scannedAt > 0 {
		if h := e.tracked[id]; h != nil {
			h.unknownUnder = own.holding.Token
		}
		e.lookUpInStore(id)
	}
}

// receiveQuery answers a peer that asks for the state of a submission.
func (e *engine) receiveQuery(from string, ref *pb.KeptRef) {
	id := submission.ID(ref.Id)
	report := stateReport{shard: ref.Shard}
	if h := e.shards[ref.Shard]; h != nil {
		if action, known := h.core.Report(id); known {
			e.sendState(from, id, h.report(action))
			if !action.State.Final() {
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
	// The state is Unknown, as this VM does not run the submission (any more): the peer reads the store.
	e.sendState(from, id, report)
}

// stateReport is a VM's report of the state of a submission, or of the part of it that a shard has.
type stateReport struct {
	shard  string
	token  uint64 // fencing token under which the reporting VM holds the shard; 0: it does not
	state  submission.State
	serial uint64 // of the attempt that the report is about
	// returned are tasks that the shard will not start any more.
	returned []shard.ReturnedTask
	tasks    int // number of tasks of the part as its holder has it, without the returned ones
}

// report makes the report of a shard's holder from an action of the shard.
func (h *heldShard) report(a shard.StateAction) stateReport {
	return stateReport{shard: h.holding.Shard, token: h.holding.Token, state: a.State, serial: a.Serial, returned: a.Returned, tasks: a.Tasks}
}

func (e *engine) sendState(peer string, id submission.ID, report stateReport) {
	f := e.frame(peer)
	f.States = append(f.States, &pb.KeptState{
		Id:       string(id),
		State:    uint32(report.state),
		Shard:    report.shard,
		Token:    report.token,
		Serial:   report.serial,
		Returned: encodeReturned(report.returned),
		Tasks:    uint32(report.tasks),
	})
}

// reportState tells a VM the state of a submission: its home VM or one that asked.
func (e *engine) reportState(id submission.ID, entryVM string, report stateReport) {
	if entryVM == e.vm.config.Name {
		e.applyStateReport(id, report)
		return
	}
	e.sendState(entryVM, id, report)
}

// applyStateReport applies a report of a submission's state. Unknown means that the queried peer does not run
// the submission.
func (e *engine) applyStateReport(id submission.ID, report stateReport) {
	if t := e.transients[id]; t != nil {
		t.checkAt = e.now
		if p := t.part(report.shard); p != nil {
			e.applyPartReport(t, p, report)
		}
		return
	}
	e.logUnwantedReport(id, report)
	e.noteCancelHeard(id, report)
	state := report.state
	h := e.tracked[id]
	if h == nil {
		if state == submission.Unknown || state == submission.Rejected || report.serial != 0 {
			return // a report with a serial is about a part of a transient submission
		}
		h = &trackedSubmission{id: id, shard: report.shard, stored: true, receivedAt: e.now}
		e.tracked[id] = h
	}
	if h.state.Final() {
		return
	}
	if state != submission.Unknown {
		e.replyOutcome(h, Outcome{Kind: Accepted}) // the holder knows it, so it is stored
	}
	if state == submission.Unknown {
		h.unknownUnder = report.token
		e.lookUpInStore(id)
		return
	}
	if state < h.state {
		return // an outdated report
	}
	h.state = state
	h.updatedAt = e.now
	h.stored = true
	if state.Final() && h.record != nil {
		e.vm.metrics.queue(h.record.Queue).countEnd(state.String(), e.now-h.receivedAt)
	}
	if state.Final() {
		h.record = nil // from now on only the state is needed
		for _, ended := range h.endWaiters {
			close(ended)
		}
		h.endWaiters = nil
	}
}

const maxUnwantedReportLines = 100 // a second

// logUnwantedReport logs that a holder goes on with a part of a transient submission that this VM does not know.
func (e *engine) logUnwantedReport(id submission.ID, report stateReport) {
	if report.serial == 0 || report.state.Final() || report.state == submission.Unknown {
		return
	}
	if omitted, allowed := e.unwantedReportLines.allow(e.now, maxUnwantedReportLines); allowed {
		klog.InfoS("kept: report of a part that this VM does not know", "id", id, "shard", report.shard, "token", report.token,
			"serial", report.serial, "state", report.state.String(), "omitted", omitted)
	}
}

// storeLookup is what the store has of a submission.
type storeLookup struct {
	state    submission.State // Unknown: there is no such submission
	record   *submission.Record
	revision uint64 // of the record, or of the mark that it is revoked
	revoked  bool   // it was cancelled before any record of it was stored, and no caller has submitted it since
}

// lookUpInStore starts to read a submission's state from the store.
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
		e.vm.deliver(lookupDoneEvent{id: id, found: found, err: err})
	})
}

// readSubmission reads a submission's record, or else its final state. The order matters: one transaction
// replaces the record by the final state, so a submission without a record has a final state or does not
// exist.
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
	if final.Revision == 0 {
		return storeLookup{}, nil
	}
	if state := finalState(final); state != submission.Revoked {
		return storeLookup{state: state}, nil
	}
	return storeLookup{revoked: true, revision: final.Revision}, nil
}

func (ev lookupDoneEvent) apply(e *engine) {
	h := e.tracked[ev.id]
	if h == nil {
		return
	}
	h.lookupInFlight = false
	waiters := h.stateWaiters
	h.stateWaiters = nil
	switch {
	case ev.err != nil:
		klog.InfoS("kept: could not read a submission's state from the store", "id", ev.id, "why", ev.err)
		replyAll(waiters, StateAnswer{Err: ErrUnavailable})
		if !h.stored && len(h.outcomeWaiters) == 0 {
			delete(e.tracked, ev.id)
		}
	case ev.found.state.Final():
		e.applyStateReport(ev.id, stateReport{shard: h.shard, state: ev.found.state})
		replyAll(waiters, StateAnswer{State: h.state})
	case ev.found.record != nil:
		if h.record == nil {
			h.record = ev.found.record
		}
		h.shard = ev.found.record.Shard
		h.revision = ev.found.revision
		h.stored = true
		h.state = max(h.state, submission.Queued)
		h.updatedAt = e.now
		e.assignAgain(h, ev.found)
		e.queryHolder(h)
		replyAll(waiters, StateAnswer{State: h.state})
	default:
		if h.stored {
			klog.ErrorS(nil, "kept: an accepted submission is missing in the store", "id", ev.id, "shard", h.shard)
		}
		if len(h.outcomeWaiters) == 0 {
			delete(e.tracked, ev.id)
		}
		replyAll(waiters, StateAnswer{State: submission.Unknown})
	}
}

// assignAgain passes a submission to its holder once more if the holder does not know it: the first message may be lost, and
// the holder's search may show it only seconds later.
func (e *engine) assignAgain(h *trackedSubmission, found storeLookup) {
	if h.unknownUnder == 0 || h.unknownUnder != e.site.Holding(found.record.Shard).Token {
		return
	}
	h.unknownUnder = 0
	klog.InfoS("kept: submission assigned again, its holder does not know it", "id", h.id, "shard", found.record.Shard, "revision", found.revision)
	e.assignToHolder(&trackedSubmission{id: h.id, record: found.record, revision: found.revision, shard: found.record.Shard})
}

func replyAll(waiters []chan StateAnswer, a StateAnswer) {
	for _, c := range waiters {
		c <- a
	}
}

// watchOwnShard registers a caller that waits for the end of a submission whose home VM is another one and
// which a shard of this VM runs.
func (e *engine) watchOwnShard(ev stateEvent, own *heldShard, state submission.State) {
	if state.Final() {
		return
	}
	h := &trackedSubmission{id: ev.id, shard: own.holding.Shard, holderToken: own.holding.Token, stored: true, state: state, receivedAt: e.now, updatedAt: e.now}
	h.addEndWaiter(ev.ended)
	e.tracked[ev.id] = h
	own.addAsker(ev.id, e.vm.config.Name)
}

// addAsker registers an entry VM that asked for an unfinished submission. It is told of the end like the home
// VM, since callers may ask any entry VM and not only the one that they submitted to.
func (h *heldShard) addAsker(id submission.ID, entryVM string) {
	if asked := h.askers[id]; len(asked) < maxEndWaiters && !slices.Contains(asked, entryVM) {
		h.askers[id] = append(asked, entryVM)
	}
}

// notifyAskers reports the end of a submission to the VMs that asked for it.
func (e *engine) notifyAskers(h *heldShard, s shard.StateAction, report stateReport) {
	if !s.State.Final() {
		return
	}
	for _, entryVM := range h.askers[s.ID] {
		if entryVM != s.Home {
			e.reportState(s.ID, entryVM, report)
		}
	}
	delete(h.askers, s.ID)
}

// pruneAskers forgets the askers of submissions that have ended or are not known to the shard any more.
func (h *heldShard) pruneAskers() {
	maps.DeleteFunc(h.askers, func(id submission.ID, _ []string) bool {
		state, known := h.core.State(id)
		return !known || state.Final()
	})
}

// addEndWaiter registers a caller that waits for the end. Beyond maxEndWaiters the oldest one is dropped: it
// waits for its whole time and then gets the state of that moment.
func (h *trackedSubmission) addEndWaiter(ended chan struct{}) {
	if ended == nil || h.state.Final() {
		return
	}
	if len(h.endWaiters) == maxEndWaiters {
		h.endWaiters = h.endWaiters[1:]
	}
	h.endWaiters = append(h.endWaiters, ended)
}

// maxEndWaiters limits, per submission, the callers that wait for its end and the VMs that are told of it. A
// caller asks at most a few times a second; one that has gone stays registered until the end.
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
