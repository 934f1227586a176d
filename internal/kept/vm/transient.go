package vm

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A transient submission lives at its home, where the caller waits for its end, and at
// the holders of one shard or several, which each have a part of its tasks. Nothing of
// it is stored: if its home is lost, so is the caller's connection, and the caller sends
// it again some time later. Two things keep a task from running twice at once:
//
//   - A holder that loses the home ends the submission's runs at once. The caller's
//     next try comes more than a second later.
//   - A home that loses a holder gives the part only to the next holder of the same
//     shard, which finds the runs at the workers. If there is none soon, the caller is
//     told to try again.

// Times of transient submissions.
const (
	// A holder that was killed is replaced within some 50 ms, one that fell silent
	// within a second.
	holderUnreachableTimeout = 1100 * time.Millisecond
	maxResends               = 5                // holders that a part is given to one after the other
	resultRetention          = 10 * time.Second // an end is kept for callers whose answer was lost
)

// transient is a submission at its home.
type transientSubmission struct {
	record         *submission.Record // the whole
	parts          []*part
	state          submission.State
	receivedAt     time.Duration
	endedAt        time.Duration
	outcomeWaiters []chan Outcome
	// recalledAt is when its parts were taken back, while that is not decided; 0: it is.
	recalledAt time.Duration
	started    bool // though no part here says so
	unassigned []unassignedTasks
}

// part is what one shard has of it.
type part struct {
	record           *submission.Record
	shard            string
	holderToken      uint64        // under which a holder was told of it; 0: none was
	holder           string        // that was told of it
	unreachableSince time.Duration // since when that holder cannot be reached; 0: it can
	resends          int
	updatedAt        time.Duration
	queriedAt        time.Duration
	state            submission.State
}

func (e *engine) submitTransient(ev submitEvent) {
	id := ev.record.ID
	if t := e.transients[id]; t != nil {
		if t.state.Final() {
			ev.reply <- Outcome{Kind: Ended, State: t.state} // its first answer was lost
			return
		}
		t.outcomeWaiters = append(t.outcomeWaiters, ev.reply)
		return
	}
	parts, refusal := e.splitIntoParts(ev.record, ev.receivedAt)
	if refusal != nil {
		e.vm.metrics.queue(ev.record.Queue).countEnd("refused", e.now-ev.receivedAt)
		klog.InfoS("kept: refused", "id", id, "queue", ev.record.Queue, "why", refusal.Reason, "after", e.now-ev.receivedAt, "retry_after", refusal.RetryAfter)
		ev.reply <- *refusal
		return
	}
	ev.record.Serial = e.nextSerial()
	for _, p := range parts {
		p.record.Serial = ev.record.Serial
	}
	t := &transientSubmission{
		record:         ev.record,
		parts:          parts,
		state:          submission.Queued,
		receivedAt:     ev.receivedAt,
		outcomeWaiters: []chan Outcome{ev.reply},
	}
	e.transients[id] = t
	e.vm.metrics.queue(ev.record.Queue).taken.Inc(1)
	for _, p := range parts {
		l := e.loads[p.shard]
		ahead, wait := l.QueuedAhead(ev.record.Terms.Priority, false)
		klog.InfoS("kept: taken", "id", id, "queue", ev.record.Queue, "shard", p.shard, "holder", l.holder, "token", l.token,
			"tasks", p.record.TaskCount(), "of", ev.record.TaskCount(), "objective", ev.record.Terms.Objective(ev.record.CriticalPath()), "free", l.FreeSlots(largestTaskMilli(p.record), ahead), "sent", l.sentMilli, "wait", wait, "load_age", e.now-l.receivedAt)
		l.sentMilli += int64(startableTasks(p.record)) * largestTaskMilli(p.record)
		e.sendPart(t, p, l)
	}
}

// nextSerial names a hand-in of a transient submission.
func (e *engine) nextSerial() uint64 {
	e.transientSerial++
	return e.vm.config.Incarnation + e.transientSerial
}

// divide makes the parts of a submission. Steps that wait for each other stay together.
func (e *engine) splitIntoParts(r *submission.Record, came time.Duration) ([]*part, *Outcome) {
	r.Home = e.vm.config.Name
	shards, refusal := e.candidates(r, came)
	if refusal != nil {
		return nil, refusal
	}
	portions := e.vm.config.Policy.Split(shards, startableTasks(r), isDivisible(r), longestEstimate(r))
	if len(portions) == 1 {
		r.Shard = portions[0].Shard
		return []*part{{record: r, shard: r.Shard, updatedAt: e.now}}, nil
	}
	var parts []*part
	first := r.Steps[0].FirstIndex
	for _, portion := range portions {
		piece := *r
		piece.Shard = portion.Shard
		piece.Steps = slices.Clone(r.Steps)
		piece.Steps[0].FirstIndex = first
		piece.Steps[0].Count = portion.Tasks
		piece.Partial = true
		first += portion.Tasks
		parts = append(parts, &part{record: &piece, shard: piece.Shard, updatedAt: e.now})
	}
	return parts, nil
}

// divisible reports whether several shards can have parts of a submission.
func isDivisible(r *submission.Record) bool { return len(r.Steps) == 1 && r.Steps[0].MaxPerWorker == 0 }

// give hands a part to the holder of its shard.
func (e *engine) sendPart(t *transientSubmission, p *part, l *knownLoad) {
	p.record.Age = e.now - t.receivedAt
	if p.holderToken == 0 {
		p.record.Token = l.token
	}
	// Whoever is not the first holder has to look for runs of the first one, also when
	// it is told for the second time as the first message was lost.
	resumed := p.record.Token != l.token
	p.holderToken = l.token
	p.holder = l.holder
	p.queriedAt = e.now
	p.unreachableSince = 0
	if own := e.shards[p.shard]; own != nil {
		if resumed {
			own.core.Resume(e.now, p.record)
		} else {
			own.core.Assign(e.now, shard.StoredRecord{Record: p.record})
		}
		return
	}
	f := e.frame(l.holder)
	f.Assign = append(f.Assign, &pb.KeptAssign{Id: string(p.record.ID), Record: p.record.Encode(), Resumed: resumed})
}

// receiveTransient takes a part that its home hands over.
func (e *engine) receiveTransient(from string, r *submission.Record, resumed bool) {
	h := e.shards[r.Shard]
	switch {
	case h == nil:
		e.sendState(from, r.ID, stateReport{shard: r.Shard, token: r.Token})
	case resumed:
		e.vm.metrics.resumed.Inc(1)
		klog.InfoS("kept: resumed", "id", r.ID, "home", from, "shard", r.Shard, "token", h.holding.Token)
		h.core.Resume(e.now, r)
	default:
		h.core.Assign(e.now, shard.StoredRecord{Record: r})
	}
}

// driveTransients gives parts whose shard has a new holder to that one, and gives up
// submissions of which a holder is away for too long.
func (e *engine) driveTransients() {
	for _, t := range e.transients {
		for _, p := range t.parts {
			if t.state.Final() || p.state.Final() {
				continue
			}
			l := e.loads[p.shard]
			if l.token > p.holderToken && e.reachable(p.shard) {
				e.resendPart(t, p, l)
				continue
			}
			e.checkHolder(t, p)
		}
		e.placeUnassigned(t)
		e.recallOrReassign(t)
		if t.state.Final() && e.now-t.endedAt > resultRetention {
			delete(e.transients, t.record.ID)
		}
	}
}

func (e *engine) resendPart(t *transientSubmission, p *part, l *knownLoad) {
	p.resends++
	if p.resends > maxResends {
		e.giveUp(t, "a shard of it changes hands again and again")
		return
	}
	klog.InfoS("kept: given to a new holder", "id", t.record.ID, "shard", p.shard, "holder", l.holder, "token", l.token, "from", p.holder)
	e.sendPart(t, p, l)
}

// checkHolder asks a holder that has said nothing for a while, and gives up on one that
// cannot be reached.
func (e *engine) checkHolder(t *transientSubmission, p *part) {
	if p.holder != e.vm.config.Name && !e.linkUp[p.holder] {
		if p.unreachableSince == 0 {
			p.unreachableSince = e.now
		}
		if e.now-p.unreachableSince > holderUnreachableTimeout {
			e.giveUp(t, "the holder of a shard is away")
		}
		return
	}
	p.unreachableSince = 0
	if e.now-max(p.queriedAt, p.updatedAt) > stateQueryInterval {
		e.queryPart(t, p)
	}
}

// queryPart asks a holder how far a part is.
func (e *engine) queryPart(t *transientSubmission, p *part) {
	p.queriedAt = e.now
	if own := e.shards[p.shard]; own != nil {
		said, _ := own.core.Report(t.record.ID)
		e.applyPartReport(t, p, own.report(said))
		return
	}
	f := e.frame(p.holder)
	f.Queries = append(f.Queries, &pb.KeptRef{Id: string(t.record.ID), Shard: p.shard})
}

// endExpired tells the callers to send the submission again.
func (e *engine) giveUp(t *transientSubmission, why string) {
	e.vm.metrics.queue(t.record.Queue).countEnd("given_up", e.now-t.receivedAt)
	klog.InfoS("kept: given up", "id", t.record.ID, "why", why, "after", e.now-t.receivedAt, "parts", len(t.parts))
	e.dropTransient(t, Outcome{Kind: Indeterminate, Reason: why})
}

// dropTransient ends all parts, answers the callers, and keeps nothing.
func (e *engine) dropTransient(t *transientSubmission, o Outcome) {
	e.cancelParts(t)
	t.replyOutcome(o)
	delete(e.transients, t.record.ID)
}

func (t *transientSubmission) replyOutcome(o Outcome) {
	for _, w := range t.outcomeWaiters {
		w <- o
	}
	t.outcomeWaiters = nil
}

// withdraw tells the holders of unfinished parts that nobody waits for them.
func (e *engine) cancelParts(t *transientSubmission) {
	e.notifyPartHolders(t,
		func(own *shard.Shard) { own.Cancel(e.now, t.record.ID) },
		func(f *pb.KeptFrame, part *pb.KeptRef) { f.Cancelled = append(f.Cancelled, part) })
}

// notifyPartHolders says something of each unfinished part to the shard that has it, if it is one
// of this VM's, or else to its holder.
func (e *engine) notifyPartHolders(t *transientSubmission, here func(*shard.Shard), there func(*pb.KeptFrame, *pb.KeptRef)) {
	for _, p := range t.parts {
		if p.state.Final() {
			continue
		}
		if own := e.shards[p.shard]; own != nil {
			here(own.core)
			continue
		}
		if p.holder != "" && p.holder != e.vm.config.Name {
			there(e.frame(p.holder), &pb.KeptRef{Id: string(t.record.ID), Shard: p.shard})
		}
	}
}

// all reports whether each part is in a state.
func (t *transientSubmission) allPartsIn(state submission.State) bool {
	return !slices.ContainsFunc(t.parts, func(p *part) bool { return p.state != state })
}

func (t *transientSubmission) part(shard string) *part {
	for _, p := range t.parts {
		if p.shard == shard {
			return p
		}
	}
	return nil
}

// applyPartReport takes a holder's word about a part.
//
// An earlier holder that does not know yet that it was replaced may reject what it has in
// its queue, while the next one, which has been given the part, starts it: the caller
// would be told that it has not run. What such a holder says counts only if it says that
// the part has ended.
//
// A holder remembers what has ended. Asked before the next hand-in of the part has come, or
// before another part that it is given later, it answers of the one before: the caller would be
// told that it has not run while it does, or that it is done while a part of it is not. Such an
// answer says that the holder does not have the part.
func (e *engine) applyPartReport(t *transientSubmission, p *part, w stateReport) {
	if t.state.Final() || p.state.Final() {
		return
	}
	state := w.state
	own := w.serial == p.record.Serial
	if state.Final() && !own {
		state = submission.Unknown
	}
	if w.token != p.holderToken && state != submission.Done && state != submission.Failed {
		return
	}
	p.updatedAt = e.now
	if own {
		e.reassignReturned(t, p, w.returned)
	}
	if e.transients[t.record.ID] != t {
		return // nobody could take what was given back
	}
	switch state {
	case submission.Returned:
		e.completeReturned(t, p)
	case submission.Unknown:
		// The holder never got it, or it is the holder no more. In the first case it
		// can be given once more; in the second the next holder comes by itself.
		if l := e.loads[p.shard]; l.token == p.holderToken && e.reachable(p.shard) {
			e.resendPart(t, p, l)
		}
	case submission.Cancelled:
		p.state = state
		e.giveUp(t, "a holder has ended it")
	case submission.Rejected:
		p.state = state
		if t.allPartsIn(submission.Rejected) && len(t.unassigned) == 0 {
			e.endRejected(t)
		}
	case submission.Failed:
		p.state = state
		e.cancelParts(t)
		e.endTransient(t, state)
	case submission.Done:
		p.state = state
		e.completeIfDone(t)
	default:
		p.state = max(p.state, state)
	}
}

// endRejected ends a submission of which all that is left was rejected. A task that was given back
// may have run, and failed.
func (e *engine) endRejected(t *transientSubmission) {
	if t.started {
		e.giveUp(t, "what is left of it cannot be done in time")
		return
	}
	e.refuseTransient(t, policy.TooLateByNow)
}

// refuseTransient tells the callers of a submission, of which nothing has begun, when to come
// again.
func (e *engine) refuseTransient(t *transientSubmission, why policy.Reason) {
	after := e.retryDelay(t.record, e.eligibleShards(t.record))
	e.vm.metrics.queue(t.record.Queue).countEnd("refused", e.now-t.receivedAt)
	klog.InfoS("kept: refused", "id", t.record.ID, "queue", t.record.Queue, "why", why, "after", e.now-t.receivedAt, "retry_after", after, "parts", len(t.parts))
	e.dropTransient(t, Outcome{Kind: Refused, RetryAfter: after, Reason: string(why)})
}

// completeIfDone ends a submission of which each task has completed, and gives out what waited for the
// end of a part.
func (e *engine) completeIfDone(t *transientSubmission) {
	if len(t.unassigned) > 0 {
		e.placeUnassigned(t)
		return
	}
	if t.allPartsIn(submission.Done) {
		e.endTransient(t, submission.Done)
	}
}

func (e *engine) endTransient(t *transientSubmission, state submission.State) {
	t.state = state
	t.endedAt = e.now
	e.vm.metrics.queue(t.record.Queue).countEnd(state.String(), e.now-t.receivedAt)
	klog.InfoS("kept: answered", "id", t.record.ID, "queue", t.record.Queue, "state", state.String(), "after", e.now-t.receivedAt, "parts", len(t.parts))
	t.replyOutcome(Outcome{Kind: Ended, State: state})
}

// reportTaskOutcome tells a submission's home what has become of a task.
func (e *engine) reportTaskOutcome(n shard.OutcomeAction) {
	if n.Home == e.vm.config.Name {
		e.applyTaskOutcome(n.Task, n.FailedRuns)
		return
	}
	f := e.frame(n.Home)
	f.Notes = append(f.Notes, &pb.KeptNote{
		Id:    string(n.Task.ID),
		Step:  uint32(n.Task.Step),
		Index: uint32(n.Task.Index),
		Fails: uint32(n.FailedRuns),
	})
}

// applyTaskOutcome keeps what has become of a task, for the next holder.
func (e *engine) applyTaskOutcome(ref submission.TaskRef, fails int) {
	e.updateProgress(ref, func(p *submission.Progress) { p.RecordOutcome(ref.Task, fails) })
}

// updateProgress takes a holder's word of a task into the record of the part that has it.
func (e *engine) updateProgress(ref submission.TaskRef, note func(*submission.Progress)) {
	t := e.transients[ref.ID]
	if t == nil || t.state.Final() {
		return
	}
	for _, p := range t.parts {
		if p.record.Has(ref.Task) {
			p.updatedAt = e.now
			note(&p.record.Progress)
		}
	}
}

// apply ends a transient submission that no caller waits for any more.
func (ev abandonEvent) apply(e *engine) {
	if e.dropDeferred(ev.reply) {
		klog.InfoS("kept: abandoned", "id", ev.id, "why", "its caller has gone before a shard was known")
		return
	}
	t := e.transients[ev.id]
	if t == nil {
		return
	}
	t.outcomeWaiters = slices.DeleteFunc(t.outcomeWaiters, func(w chan Outcome) bool { return w == ev.reply })
	if t.state.Final() || len(t.outcomeWaiters) > 0 {
		return
	}
	e.vm.metrics.queue(t.record.Queue).countEnd("abandoned", e.now-t.receivedAt)
	klog.InfoS("kept: abandoned", "id", ev.id, "after", e.now-t.receivedAt, "why", "its caller has gone")
	e.cancelParts(t)
	delete(e.transients, ev.id)
}
