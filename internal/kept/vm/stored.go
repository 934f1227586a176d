package vm

import (
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// trackedSubmission is a stored submission that this VM accepted or was asked about.
type trackedSubmission struct {
	id             submission.ID
	record         *submission.Record // nil: only the state is known here
	revision       uint64             // of the record in the store
	stored         bool               // the record is in the store
	state          submission.State
	shard          string
	holderToken    uint64             // fencing token of the holder that was last told or asked; 0: none yet
	holder         string             // the peer that was last asked for the state
	updatedAt      time.Duration      // when the state was last reported
	queriedAt      time.Duration      // when the holder was last asked for the state
	receivedAt     time.Duration      // when the submission, or the first question about it, came
	storeAttempts  int                // writes of the record that were tried
	outcomeWaiters []chan Outcome     // callers of Submit
	stateWaiters   []chan StateAnswer // callers that wait for a lookup in the store
	endWaiters     []chan struct{}    // closed when the submission ends
	lookupInFlight bool               // the state is being read from the store
	unknownUnder   uint64             // fencing token of a holder that does not know it; 0: none has said so
}

// Limits for accepting and looking up submissions.
const (
	intakeTimeout     = 1200 * time.Millisecond // to store a submission; callers wait 1.5 s for their answer
	maxIntakeAttempts = 4                       // writes of a record, each refused because its shard got a new holder
	lookupTimeout     = 1500 * time.Millisecond // to read a submission from the store
	defaultRetryAfter = time.Second             // told to callers while no submission can be accepted
)

// apply accepts or refuses a submission, or defers it while this VM starts.
func (ev submitEvent) apply(e *engine) {
	ev.receivedAt = e.now
	if !e.deferSubmission(ev) {
		e.admit(ev)
	}
}

// admit accepts or refuses a submission.
func (e *engine) admit(ev submitEvent) {
	id := ev.record.ID
	if ev.record.Transient {
		e.submitTransient(ev)
		return
	}
	if h := e.tracked[id]; h != nil {
		if h.stored || h.state != submission.Unknown {
			ev.reply <- Outcome{Kind: Accepted}
			return
		}
		if len(h.outcomeWaiters) > 0 {
			h.outcomeWaiters = append(h.outcomeWaiters, ev.reply)
			return
		}
	}
	h := e.tracked[id]
	if h == nil {
		h = &trackedSubmission{id: id}
		e.tracked[id] = h
	}
	h.record = ev.record
	h.receivedAt = ev.receivedAt
	h.updatedAt = e.now
	h.outcomeWaiters = append(h.outcomeWaiters, ev.reply)
	e.placeAndStore(h)
}

// placeAndStore chooses a shard and writes the record to the store.
func (e *engine) placeAndStore(h *trackedSubmission) {
	rec := h.record
	shards, refusal := e.candidates(rec, h.receivedAt)
	if refusal == nil && e.vm.router.Down() {
		refusal = &Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: "the store does not answer"}
	}
	if refusal != nil {
		e.refuseUnlessStored(h, *refusal)
		return
	}
	need := startableTasks(rec)
	name := e.vm.config.Policy.Split(shards, need, false, longestEstimate(rec))[0].Shard
	holding := e.site.Holding(name)
	rec.Shard = name
	rec.Token = holding.Token
	rec.Home = e.vm.config.Name
	h.shard = name
	h.storeAttempts++
	if l := e.loads[name]; l != nil {
		l.sentMilli += int64(need) * largestTaskMilli(rec)
	}
	value := rec.Encode()
	id := rec.ID
	added := e.vm.intake.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: submission.OpenKey(id)}, {Key: submission.FinalKey(id)}},
			Put:    []store.Put{{Key: submission.OpenKey(id), Value: value}},
		},
		Guards:      []store.Condition{{Key: site.ShardKey(name), Revision: holding.Revision}},
		GiveUpAfter: intakeTimeout,
		Done:        func(r journal.Result) { e.vm.deliver(recordStoredEvent{record: rec, result: r}) },
	})
	if !added {
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: "too many submissions wait for the store"})
	}
}

// refuse answers the callers of a submission that was not stored and forgets it, unless a lookup still needs it.
func (e *engine) refuse(h *trackedSubmission, o Outcome) {
	if !h.lookupInFlight {
		delete(e.tracked, h.record.ID)
	}
	e.vm.metrics.queue(h.record.Queue).countEnd("refused", e.now-h.receivedAt)
	klog.InfoS("kept: refused", "id", h.record.ID, "queue", h.record.Queue, "why", o.Reason, "tries", h.storeAttempts, "waited", e.now-h.receivedAt)
	e.replyOutcome(h, o)
}

func (e *engine) replyOutcome(h *trackedSubmission, o Outcome) {
	for _, w := range h.outcomeWaiters {
		w <- o
	}
	h.outcomeWaiters = nil
}

// startableTasks counts the tasks that depend on no other step and so can start immediately.
func startableTasks(r *submission.Record) int {
	sum := 0
	for i := range r.Steps {
		if len(r.Steps[i].DependsOn) == 0 {
			sum += r.Steps[i].Count
		}
	}
	for _, t := range r.TasksElsewhere {
		if len(r.Steps[t.Step].DependsOn) == 0 {
			sum--
		}
	}
	return sum
}

// apply answers the callers of a submission once its write has succeeded or failed, and passes a stored one
// to the holder of its shard.
func (ev recordStoredEvent) apply(e *engine) {
	h := e.tracked[ev.record.ID]
	if h == nil || h.stored || h.record != ev.record {
		return
	}
	switch ev.result.Outcome {
	case journal.Stored:
		h.stored = true
		h.revision = ev.result.Revision
		h.state = submission.Queued
		h.updatedAt = e.now
		q := e.vm.metrics.queue(ev.record.Queue)
		q.accepted.Inc(1)
		q.stored.RecordDuration(e.now - h.receivedAt)
		klog.InfoS("kept: accepted", "id", ev.record.ID, "queue", ev.record.Queue, "shard", h.shard, "token", ev.record.Token,
			"revision", h.revision, "tasks", ev.record.TaskCount(), "took", e.now-h.receivedAt, "tries", ev.result.Attempts)
		e.replyOutcome(h, Outcome{Kind: Accepted})
		e.assignToHolder(h)
	case journal.Conflict:
		e.handleStoreConflict(h, ev.result)
	case journal.Refused:
		// The store refused each write, so the record is certainly not stored.
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: "the store takes nothing"})
	case journal.Unknown:
		e.answerIndeterminate(h, "the store did not answer")
	}
}

// handleStoreConflict handles a record that was not written because a condition failed: either the
// submission was stored before, or its shard has a new holder.
func (e *engine) handleStoreConflict(h *trackedSubmission, r journal.Result) {
	for _, it := range r.Items {
		switch {
		case it.Revision == 0:
			continue
		case it.Key == submission.OpenKey(h.record.ID):
			e.adoptStored(h, it)
			return
		case it.Key == submission.FinalKey(h.record.ID) && finalState(it) == submission.Revoked:
			e.storeRevoked(h, it.Revision)
			return
		case it.Key == submission.FinalKey(h.record.ID):
			h.stored = true
			h.state = finalState(it)
			h.updatedAt = e.now
			e.replyOutcome(h, Outcome{Kind: Accepted})
			return
		}
	}
	if h.storeAttempts >= maxIntakeAttempts || e.now-h.receivedAt > intakeTimeout {
		// No write succeeded, as the shard got a new holder each time before the record reached the store.
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: "its shard changes hands"})
		return
	}
	e.placeAndStore(h)
}

// storeRevoked has a submission that was cancelled before it was stored shown as cancelled, and accepts it then: callers
// that are refused would come back.
func (e *engine) storeRevoked(h *trackedSubmission, revision uint64) {
	rec := h.record
	klog.InfoS("kept: submitted after it was cancelled", "id", rec.ID, "queue", rec.Queue, "revision", revision)
	added := e.vm.intake.Add(&journal.Row{
		Txn:         cancelRevokedTxn(rec.ID, revision),
		GiveUpAfter: max(h.receivedAt+intakeTimeout-e.now, 0),
		Done:        func(r journal.Result) { e.vm.deliver(revokedStoredEvent{record: rec, result: r}) },
	})
	if !added {
		e.answerIndeterminate(h, "too many submissions wait for the store")
	}
}

// revokedStoredEvent brings the result of storing that a revoked submission is cancelled.
type revokedStoredEvent struct {
	record *submission.Record
	result journal.Result
}

func (ev revokedStoredEvent) apply(e *engine) {
	h := e.tracked[ev.record.ID]
	if h == nil || h.stored || h.record != ev.record {
		return
	}
	switch ev.result.Outcome {
	case journal.Stored:
		e.applyStateReport(ev.record.ID, stateReport{state: submission.Cancelled})
	case journal.Conflict:
		e.handleStoreConflict(h, ev.result)
	default:
		e.answerIndeterminate(h, "the store did not answer")
	}
}

// answerIndeterminate answers the callers of a submission that may have been stored, and forgets it.
func (e *engine) answerIndeterminate(h *trackedSubmission, reason string) {
	klog.InfoS("kept: the submission may have been stored", "id", h.id, "why", reason, "waited", e.now-h.receivedAt)
	delete(e.tracked, h.id)
	e.replyOutcome(h, Outcome{Kind: Indeterminate, Reason: reason})
}

// adoptStored tracks a submission that another VM, or this VM before a restart, has stored.
func (e *engine) adoptStored(h *trackedSubmission, it store.Item) {
	if r, err := submission.DecodeRecord(h.record.ID, it.Value); err == nil {
		h.record = r
		h.shard = r.Shard
	} else {
		klog.ErrorS(err, "kept: cannot decode a stored submission")
	}
	e.acceptStored(h, it.Revision)
}

// acceptStored accepts a submission whose record was stored before.
func (e *engine) acceptStored(h *trackedSubmission, revision uint64) {
	h.stored = true
	h.revision = revision
	h.state = submission.Queued
	h.updatedAt = e.now
	klog.InfoS("kept: accepted before", "id", h.record.ID, "home", h.record.Home, "shard", h.shard, "revision", revision)
	e.replyOutcome(h, Outcome{Kind: Accepted})
	e.queryHolder(h)
}

// assignToHolder passes a stored submission to the holder of its shard.
func (e *engine) assignToHolder(h *trackedSubmission) {
	holding := e.site.Holding(h.shard)
	h.holderToken = holding.Token
	h.queriedAt = e.now
	if holding.Token != h.record.Token {
		return // the shard has a newer holder, which reads the record from the store
	}
	if own := e.shards[h.shard]; own != nil {
		if own.holding.Token == holding.Token {
			own.core.Assign(e.now, shard.StoredRecord{Record: h.record, Revision: h.revision})
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

// receiveAssign adds a submission that a peer assigns to a shard of this VM.
func (e *engine) receiveAssign(from string, a *pb.KeptAssign) {
	id := submission.ID(a.Id)
	r, err := submission.DecodeRecord(id, a.Record)
	if err != nil {
		klog.ErrorS(err, "kept: cannot decode a submission assigned by a peer", "peer", from)
		return
	}
	if r.Transient {
		e.receiveTransient(from, r, a.Resumed, a.Joins)
		return
	}
	h := e.shards[r.Shard]
	if h == nil || h.holding.Token != r.Token {
		klog.InfoS("kept: submission ignored, its shard is not held here under its token", "id", id, "peer", from, "shard", r.Shard, "token", r.Token)
		return // its home VM asks the holder again, which finds the record in the store
	}
	h.core.Assign(e.now, shard.StoredRecord{Record: r, Revision: a.Revision})
}

// requeryNewHolders forgets when the previous holders of shards were asked for submissions, so that the new
// holders are asked sooner.
func (e *engine) requeryNewHolders() {
	for _, h := range e.tracked {
		if h.stored && !h.state.Final() && h.holderToken != e.site.Holding(h.shard).Token {
			h.queriedAt = 0
		}
	}
}
