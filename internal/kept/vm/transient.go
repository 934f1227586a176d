package vm

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A transient submission is kept at its home VM, where the caller waits for the result, and at the holders of
// one or more shards, each of which has a part of its tasks. Nothing of it is stored: if the home VM is lost,
// so is the caller's connection, and the caller submits again some time later. Two rules keep a task from
// running twice at once:
//
//   - A holder that loses its link to the home VM ends the submission's runs at once. The caller's next
//     attempt comes more than a second later.
//   - A home VM that loses a holder sends the part only to the next holder of the same shard, which finds the
//     runs at the workers. If there is no next holder soon, the caller is told to submit again.

// Limits of transient submissions.
const (
	// A holder that was killed is replaced within some 50 ms, one that stops answering within a second.
	holderUnreachableTimeout = 1100 * time.Millisecond
	maxResends               = 5                // times that a part is sent again, to its holder or the next one
	resultRetention          = 10 * time.Second // a result is kept for callers whose answer was lost
	// checkInterval is between two looks at the time limits of a submission, which are hundreds of milliseconds.
	checkInterval = 10 * time.Millisecond
)

// transientSubmission is a transient submission at its home VM.
type transientSubmission struct {
	record         *submission.Record // with the tasks of all parts
	parts          []*part
	state          submission.State
	receivedAt     time.Duration
	endedAt        time.Duration
	outcomeWaiters []chan Outcome    // callers of Submit
	recalledAt     time.Duration     // when its parts were recalled; 0: no recall is in progress
	mayHaveRun     bool              // a task may have started that none of the parts accounts for
	unassigned     []unassignedTasks // tasks that no shard has
	bindsLate      bool              // its unassigned tasks wait for grants of pools
	demand         demand            // at the pools, while tasks wait for grants
	checkAt        time.Duration     // when its time limits are looked at next, unless something happens to it before
}

// part is the tasks of a transient submission that one shard has.
type part struct {
	record           *submission.Record
	shard            string
	holderToken      uint64        // fencing token of the holder that the part was sent to; 0: it was not sent
	holder           string        // that the part was sent to
	unreachableSince time.Duration // since when the holder cannot be reached; 0: it can
	notHeldSince     time.Duration // since when the holder says that it does not hold the shard; 0: it does
	resends          int           // how often the part was sent again
	updatedAt        time.Duration // when the holder last reported
	queriedAt        time.Duration // when the holder was last sent the part or queried
	state            submission.State
	confirmed        uint64             // serial under which the holder has reported the part; 0: it has not yet
	joins            uint64             // serial of the part that the tasks of joining are added to; 0: none are
	joining          *submission.Record // of tasks that the holder has not reported yet, if joins is set
	joinSentAt       time.Duration
}

// submitTransient accepts or refuses a transient submission. If the submission is known already, the caller
// gets its result, or waits for it together with the earlier callers.
func (e *engine) submitTransient(ev submitEvent) {
	id := ev.record.ID
	if t := e.transients[id]; t != nil {
		if t.state.Final() {
			ev.reply <- Outcome{Kind: Ended, State: t.state} // the answer to the first request was lost
			return
		}
		t.outcomeWaiters = append(t.outcomeWaiters, ev.reply)
		return
	}
	e.logReceived(&ev)
	parts, waiting, refusal := e.splitIntoParts(ev.record, ev.receivedAt)
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
		bindsLate:      e.bindsLate(ev.record),
	}
	e.transients[id] = t
	e.open[id] = t
	e.vm.metrics.queue(ev.record.Queue).accepted.Inc(1)
	for _, p := range parts {
		l := e.loads[p.shard]
		ahead, wait := l.QueuedAhead(ev.record.Terms.Priority, false)
		klog.InfoS("kept: accepted transient", "id", id, "queue", ev.record.Queue, "shard", p.shard, "holder", l.holder, "token", l.token,
			"tasks", p.record.TaskCount(), "of", ev.record.TaskCount(), "objective", ev.record.Terms.Objective(ev.record.CriticalPath()), "free", l.FreeSlots(largestTaskMilli(p.record), ahead), "sent", l.sentMilli, "wait", wait, "load_age", e.now-l.receivedAt)
		l.sentMilli += int64(startableTasks(p.record)) * largestTaskMilli(p.record)
		e.sendPart(t, p, l)
	}
	if len(waiting) > 0 {
		t.unassigned = []unassignedTasks{{record: ev.record, tasks: waiting}}
		e.awaitGrants(t)
	}
	if len(parts) == 0 {
		klog.InfoS("kept: accepted transient", "id", id, "queue", ev.record.Queue, "tasks", 0, "of", ev.record.TaskCount(),
			"objective", ev.record.Terms.Objective(ev.record.CriticalPath()))
	}
}

// nextSerial returns the number of an attempt to run a transient submission or some of its tasks. A part
// that is resent keeps its number.
func (e *engine) nextSerial() uint64 {
	e.lastSerial++
	return e.lastSerial
}

// serialBase returns the number above which the serials of a home begin. It is a hash, as the incarnations of VMs that
// start together are so close that the serials of two homes could meet: a holder would take one's submission for an
// attempt of the other's.
func serialBase(c *Config) uint64 {
	return xxhash.Sum64String(c.Name + "@" + strconv.FormatUint(c.Incarnation, 10))
}

// splitIntoParts chooses shards for a submission and makes a part for each. Submissions that isDivisible
// excludes get one shard: steps that depend on each other stay together. waiting are tasks that wait for grants of
// pools.
func (e *engine) splitIntoParts(r *submission.Record, receivedAt time.Duration) (parts []*part, waiting []shard.ReturnedTask, refusal *Outcome) {
	r.Home, r.HomeAnswers = e.vm.config.Name, true
	shards, refusal := e.candidates(r, receivedAt)
	if refusal != nil {
		return nil, nil, refusal
	}
	var allocations []policy.Allocation
	if e.bindsLate(r) {
		allocations = e.vm.config.Policy.Fit(shards, startableTasks(r))
	} else {
		allocations = e.vm.config.Policy.Split(shards, startableTasks(r), isDivisible(r), longestEstimate(r))
	}
	if len(allocations) == 1 && allocations[0].Tasks == startableTasks(r) || !isDivisible(r) {
		r.Shard = allocations[0].Shard
		return []*part{{record: r, shard: r.Shard, updatedAt: e.now}}, nil, nil
	}
	first := r.Steps[0].FirstIndex
	for _, allocation := range allocations {
		piece := *r
		piece.Shard = allocation.Shard
		piece.Steps = slices.Clone(r.Steps)
		piece.Steps[0].FirstIndex = first
		piece.Steps[0].Count = allocation.Tasks
		piece.Partial = true
		first += allocation.Tasks
		parts = append(parts, &part{record: &piece, shard: piece.Shard, updatedAt: e.now})
	}
	for ; first < r.Steps[0].FirstIndex+r.Steps[0].Count; first++ {
		waiting = append(waiting, shard.ReturnedTask{Task: submission.Task{Index: first}})
	}
	return parts, waiting, nil
}

// isDivisible reports whether the tasks of a submission may be split over several shards. It must have a single
// step, without a limit of tasks per worker.
func isDivisible(r *submission.Record) bool { return len(r.Steps) == 1 && r.Steps[0].MaxPerWorker == 0 }

// sendPart sends a part to the holder of its shard.
func (e *engine) sendPart(t *transientSubmission, p *part, l *knownLoad) {
	if p.joins != 0 && p.holderToken == l.token {
		e.sendJoin(t, p)
		return
	}
	p.joins, p.joining = 0, nil // another holder gets the part with all its tasks
	if p.holderToken != l.token {
		p.confirmed = 0
	}
	p.record.Age = e.now - t.receivedAt
	if p.holderToken == 0 {
		p.record.Token = l.token
	}
	// Any holder but the first has to look for runs that an earlier one started, also when the part is sent
	// to it again because the first message was lost.
	resumed := p.record.Token != l.token
	p.holderToken = l.token
	p.holder = l.holder
	p.queriedAt = e.now
	p.unreachableSince = 0
	p.notHeldSince = 0
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

// receiveTransient adds a part that its home VM assigns to a shard of this VM, or further tasks of the part that
// was assigned under the serial joins.
func (e *engine) receiveTransient(from string, r *submission.Record, resumed bool, joins uint64) {
	h := e.shards[r.Shard]
	switch {
	case h == nil:
		e.sendState(from, r.ID, stateReport{shard: r.Shard, serial: r.Serial})
	case resumed:
		e.vm.metrics.resumedSubmissions.Inc(1)
		klog.InfoS("kept: part resumed", "id", r.ID, "home", from, "shard", r.Shard, "token", h.holding.Token)
		h.core.Resume(e.now, r)
	case joins != 0:
		h.core.Join(e.now, r, joins)
	default:
		h.core.Assign(e.now, shard.StoredRecord{Record: r})
	}
}

// driveTransients sends parts to the new holders of their shards, gives up submissions whose holders are
// unreachable for too long, assigns tasks that no shard has, and recalls parts or reassigns rejected ones. It looks at
// each submission when a report of it has arrived, when holders or links have changed, and every checkInterval.
func (e *engine) driveTransients() {
	checkAll := e.checkAll
	e.checkAll = false
	for id, t := range e.open {
		if e.now < t.checkAt && !checkAll {
			continue
		}
		t.checkAt = e.now + checkInterval
		for _, p := range t.parts {
			if p.state.Final() || e.open[id] != t {
				continue // it was given up for another part
			}
			l := e.loads[p.shard]
			if l.token > p.holderToken && e.reachable(p.shard) {
				e.resendPart(t, p, l)
				continue
			}
			e.checkHolder(t, p)
		}
		if e.open[id] == t {
			e.placeUnassigned(t)
		}
		if e.open[id] == t {
			e.endBeforeStop(t)
		}
		if e.open[id] == t {
			e.recallOrReassign(t)
		}
	}
	e.dropResults()
	e.tellNewHolders(checkAll)
	e.driveUnbound(checkAll)
}

// dropResults drops results that were kept for resultRetention.
func (e *engine) dropResults() {
	for len(e.ended) > 0 && e.now-e.ended[0].endedAt > resultRetention {
		t := e.ended[0]
		e.ended = e.ended[1:]
		if id := t.record.ID; e.transients[id] == t {
			delete(e.transients, id)
		}
	}
}

// resendPart sends a part once more: to the new holder of its shard, or to the same one that did not get it.
func (e *engine) resendPart(t *transientSubmission, p *part, l *knownLoad) {
	p.resends++
	// The part, which says so too, is dropped once its tasks have moved to other shards.
	t.mayHaveRun = true
	if p.resends > maxResends {
		// The shard's holder changed, or did not get the part, more than maxResends times.
		e.giveUp(t, "a shard of it changes hands again and again")
		return
	}
	klog.InfoS("kept: part sent again, to the same or a new holder", "id", t.record.ID, "shard", p.shard, "holder", l.holder, "token", l.token, "from", p.holder)
	e.sendPart(t, p, l)
}

// checkHolder queries a holder that has not reported for a while, and gives the submission up if the shard has had
// no holder that can be reached for too long.
func (e *engine) checkHolder(t *transientSubmission, p *part) {
	if e.shards[p.shard] == nil && !e.linkUp[p.holder] {
		if p.unreachableSince == 0 {
			p.unreachableSince = e.now
		}
		if e.now-p.unreachableSince > holderUnreachableTimeout {
			e.giveUp(t, "the holder of a shard is away")
		}
		return
	}
	p.unreachableSince = 0
	if p.notHeldSince > 0 && e.now > min(p.notHeldSince+holderUnreachableTimeout, e.uselessAt(t)) {
		e.giveUp(t, "a shard of it has no new holder")
		return
	}
	if e.now-max(p.queriedAt, p.updatedAt) > stateQueryInterval {
		e.queryPart(t, p)
	}
}

// uselessAt returns when an answer to a submission is of no more use to its callers.
func (e *engine) uselessAt(t *transientSubmission) time.Duration {
	return t.receivedAt + submission.LateFactor*e.policyWork(t.record, t.receivedAt).Objective
}

// queryPart asks a holder for the state of a part.
func (e *engine) queryPart(t *transientSubmission, p *part) {
	p.queriedAt = e.now
	if own := e.shards[p.shard]; own != nil {
		action, _ := own.core.Report(t.record.ID)
		e.applyPartReport(t, p, own.report(action))
		return
	}
	f := e.frame(p.holder)
	f.Queries = append(f.Queries, &pb.KeptRef{Id: string(t.record.ID), Shard: p.shard})
}

// giveUp cancels all unfinished parts of a submission and tells the callers that it may have run.
func (e *engine) giveUp(t *transientSubmission, reason string) {
	e.vm.metrics.queue(t.record.Queue).countEnd("given_up", e.now-t.receivedAt)
	klog.InfoS("kept: given up", "id", t.record.ID, "why", reason, "after", e.now-t.receivedAt, "parts", len(t.parts))
	e.dropTransient(t, Outcome{Kind: Indeterminate, Reason: reason})
}

// dropTransient cancels all unfinished parts, answers the callers, and keeps no result.
func (e *engine) dropTransient(t *transientSubmission, o Outcome) {
	e.cancelParts(t)
	t.replyOutcome(o)
	delete(e.transients, t.record.ID)
	delete(e.open, t.record.ID)
}

func (t *transientSubmission) replyOutcome(o Outcome) {
	for _, w := range t.outcomeWaiters {
		w <- o
	}
	t.outcomeWaiters = nil
}

// cancelParts tells the holders of unfinished parts to cancel them.
func (e *engine) cancelParts(t *transientSubmission) {
	for _, p := range t.parts {
		if !p.state.Final() {
			e.revoke(t, p)
			klog.InfoS("kept: part cancelled", "id", t.record.ID, "shard", p.shard, "holder", p.holder, "token", p.holderToken, "serial", p.record.Serial,
				"link_up", p.holder == e.vm.config.Name || e.linkUp[p.holder], "state", p.state.String(), "reported", ageString(e.now-p.updatedAt))
		}
	}
	e.notifyPartHolders(t,
		func(own *shard.Shard) { own.Cancel(e.now, t.record.ID) },
		func(f *pb.KeptFrame, p *part) { f.Cancelled = append(f.Cancelled, p.cancellations(t.record.ID)...) })
}

// ref names the part as its holder has it, or is to have it.
func (p *part) ref(id submission.ID) *pb.KeptRef {
	return &pb.KeptRef{Id: string(id), Shard: p.shard, Serial: p.record.Serial}
}

// cancellations returns the cancellations of the part, one for each attempt that its holder may have.
func (p *part) cancellations(id submission.ID) []*pb.KeptRef {
	refs := []*pb.KeptRef{p.ref(id)}
	if p.joins != 0 { // the holder may not have heard of the tasks that join the part
		refs = append(refs, &pb.KeptRef{Id: string(id), Shard: p.shard, Serial: p.joins})
	}
	return refs
}

// notifyPartHolders calls ownShard for each unfinished part whose shard this VM holds, and peer with the frame
// to the holder of each other unfinished part.
func (e *engine) notifyPartHolders(t *transientSubmission, ownShard func(*shard.Shard), peer func(*pb.KeptFrame, *part)) {
	for _, p := range t.parts {
		if p.state.Final() {
			continue
		}
		if own := e.shards[p.shard]; own != nil {
			ownShard(own.core)
			continue
		}
		if p.holder != "" && p.holder != e.vm.config.Name {
			peer(e.frame(p.holder), p)
		}
	}
}

// allPartsIn reports whether all parts are in a state.
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

// endRejected ends a submission whose parts were all rejected. If a task of it may have run before, the callers
// are told so.
func (e *engine) endRejected(t *transientSubmission) {
	if t.mayHaveRun {
		e.giveUp(t, "what is left of it cannot be done in time")
		return
	}
	e.refuseTransient(t, policy.TooLateByNow)
}

// refuseTransient refuses a submission of which no task has started, and tells the callers when to retry.
func (e *engine) refuseTransient(t *transientSubmission, reason policy.Reason) {
	after := e.retryDelay(t.record, e.eligibleShards(t.record))
	e.vm.metrics.queue(t.record.Queue).countEnd("refused", e.now-t.receivedAt)
	klog.InfoS("kept: refused", "id", t.record.ID, "queue", t.record.Queue, "why", reason, "after", e.now-t.receivedAt, "retry_after", after, "parts", len(t.parts))
	e.dropTransient(t, Outcome{Kind: Refused, RetryAfter: after, Reason: string(reason)})
}

// completeIfDone ends a submission whose tasks have all completed. Unassigned tasks that waited for the end
// of a part are placed first.
func (e *engine) completeIfDone(t *transientSubmission) {
	if len(t.unassigned) > 0 {
		e.placeUnassigned(t)
		return
	}
	if t.allPartsIn(submission.Done) {
		e.endTransient(t, submission.Done)
	}
}

// endTransient ends a submission, answers the callers, and keeps the result for resultRetention.
func (e *engine) endTransient(t *transientSubmission, state submission.State) {
	t.state = state
	t.endedAt = e.now
	delete(e.open, t.record.ID)
	e.ended = append(e.ended, t)
	e.vm.metrics.queue(t.record.Queue).countEnd(state.String(), e.now-t.receivedAt)
	klog.InfoS("kept: answered", "id", t.record.ID, "queue", t.record.Queue, "state", state.String(), "after", e.now-t.receivedAt, "parts", len(t.parts))
	t.replyOutcome(Outcome{Kind: Ended, State: state})
}

// reportTaskOutcome tells the home VM of a submission that a task has completed, or how many of its runs
// have failed.
func (e *engine) reportTaskOutcome(n shard.OutcomeAction) {
	if n.Home == e.vm.config.Name {
		e.applyTaskOutcome(n.Task, n.Failures, n.FailedRuns)
		return
	}
	f := e.frame(n.Home)
	f.Notes = append(f.Notes, &pb.KeptNote{
		Id:    string(n.Task.ID),
		Step:  uint32(n.Task.Step),
		Index: uint32(n.Task.Index),
		Fails: uint32(n.Failures),

		FailedRuns: n.FailedRuns,
	})
}

// applyTaskOutcome records a task's completion or failed runs, for the next holder.
func (e *engine) applyTaskOutcome(ref submission.TaskRef, failures int, failedRuns []uint64) {
	e.updateProgress(ref, func(p *submission.Progress) { p.RecordOutcome(ref.Task, failures, failedRuns...) })
}

// updateProgress changes the progress in the record of the part that has a task.
func (e *engine) updateProgress(ref submission.TaskRef, change func(*submission.Progress)) {
	t := e.transients[ref.ID]
	if t == nil || t.state.Final() {
		return
	}
	for _, p := range t.parts {
		if p.record.HasTask(ref.Task) {
			p.updatedAt = e.now
			change(&p.record.Progress)
		}
	}
}

// apply cancels a transient submission when its last waiting caller has gone.
func (ev abandonEvent) apply(e *engine) {
	if e.dropDeferred(ev.reply) {
		klog.InfoS("kept: abandoned", "id", ev.id, "why", "its caller left while the submission was deferred")
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
	klog.InfoS("kept: abandoned", "id", ev.id, "after", e.now-t.receivedAt, "why", "its caller left")
	e.cancelParts(t)
	delete(e.transients, ev.id)
	delete(e.open, ev.id)
}
