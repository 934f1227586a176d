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

// home is a submission that came, or was asked for, at this VM.
type home struct {
	id       submission.ID
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
	watchers []chan struct{} // closed at the end: callers that wait for it
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
	ev.receivedAt = e.now
	if !e.holdEarly(ev) {
		e.decide(ev)
	}
}

// decide takes a submission, or refuses it.
func (e *engine) decide(ev submitEvent) {
	id := ev.record.ID
	if ev.record.Transient {
		e.submitTransient(ev)
		return
	}
	if h := e.homes[id]; h != nil {
		if h.created || h.state != submission.Unknown {
			ev.reply <- Outcome{Kind: Accepted}
			return
		}
		if len(h.waiters) > 0 {
			h.waiters = append(h.waiters, ev.reply)
			return
		}
	}
	h := e.homes[id]
	if h == nil {
		h = &home{id: id}
		e.homes[id] = h
	}
	h.record = ev.record
	h.came = ev.receivedAt
	h.changed = e.now
	h.waiters = append(h.waiters, ev.reply)
	e.create(h)
}

// create picks a shard and stores the record.
func (e *engine) create(h *home) {
	rec := h.record
	shards, refusal := e.candidates(rec, h.came)
	if refusal == nil && e.vm.router.Down() {
		refusal = &Outcome{Kind: Refused, RetryAfter: retryAfter, Why: "the store does not answer"}
	}
	if refusal != nil {
		e.refuse(h, *refusal)
		return
	}
	need := demand(rec)
	name := e.vm.config.Policy.Split(shards, need, false, longestEstimate(rec))[0].Shard
	holding := e.site.Holding(name)
	rec.Shard = name
	rec.Token = holding.Token
	rec.Home = e.vm.config.Name
	h.shard = name
	h.tries++
	if l := e.loads[name]; l != nil {
		l.sentMilli += int64(need) * largestTask(rec)
	}
	value := rec.Encode()
	id := rec.ID
	added := e.vm.intake.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: submission.OpenKey(id)}, {Key: submission.FinalKey(id)}},
			Put:    []store.Put{{Key: submission.OpenKey(id), Value: value}},
		},
		Guards:      []store.Condition{{Key: site.ShardKey(name), Revision: holding.Revision}},
		GiveUpAfter: intakeWithin,
		Done:        func(r journal.Result) { e.vm.post(recordStoredEvent{record: rec, result: r}) },
	})
	if !added {
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: retryAfter, Why: "too many submissions wait for the store"})
	}
}

func (e *engine) refuse(h *home, o Outcome) {
	if !h.looking {
		delete(e.homes, h.record.ID)
	}
	e.vm.metrics.queue(h.record.Queue).countEnd("refused", e.now-h.came)
	klog.InfoS("kept: refused", "id", h.record.ID, "queue", h.record.Queue, "why", o.Why, "tries", h.tries, "waited", e.now-h.came)
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

func (ev recordStoredEvent) apply(e *engine) {
	h := e.homes[ev.record.ID]
	if h == nil || h.created || h.record != ev.record {
		return
	}
	switch ev.result.Outcome {
	case journal.Stored:
		h.created = true
		h.revision = ev.result.Revision
		h.state = submission.Queued
		h.changed = e.now
		q := e.vm.metrics.queue(ev.record.Queue)
		q.taken.Inc(1)
		q.stored.RecordDuration(e.now - h.came)
		klog.InfoS("kept: accepted", "id", ev.record.ID, "queue", ev.record.Queue, "shard", h.shard, "token", ev.record.Token,
			"revision", h.revision, "tasks", ev.record.TaskCount(), "took", e.now-h.came, "tries", ev.result.Attempts)
		e.answer(h, Outcome{Kind: Accepted})
		e.assign(h)
	case journal.Conflict:
		e.createAgain(h, ev.result)
	case journal.Refused:
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: retryAfter, Why: "the store takes nothing"})
	case journal.Unknown:
		klog.InfoS("kept: not known whether accepted", "id", ev.record.ID, "took", e.now-h.came)
		delete(e.homes, ev.record.ID)
		e.answer(h, Outcome{Kind: Indeterminate, Why: "the store did not answer"})
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
			h.changed = e.now
			e.answer(h, Outcome{Kind: Accepted})
			return
		}
	}
	if h.tries >= intakeTries || e.now-h.came > intakeWithin {
		e.refuse(h, Outcome{Kind: Refused, RetryAfter: retryAfter, Why: "its shard changes hands"})
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
	h.changed = e.now
	if r, err := submission.DecodeRecord(h.record.ID, it.Value); err == nil {
		h.record = r
		h.shard = r.Shard
	} else {
		klog.ErrorS(err, "kept: a stored submission cannot be read")
	}
	klog.InfoS("kept: accepted before", "id", h.record.ID, "home", h.record.Home, "shard", h.shard, "revision", it.Revision)
	e.answer(h, Outcome{Kind: Accepted})
	e.askHolder(h)
}

// assign hands a stored submission to the holder of its shard.
func (e *engine) assign(h *home) {
	holding := e.site.Holding(h.shard)
	h.token = holding.Token
	h.asked = e.now
	if holding.Token != h.record.Token {
		return // its holder has read it from the store
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

// takeAssigned takes a submission that a peer hands over.
func (e *engine) takeAssigned(from string, a *pb.KeptAssign) {
	id := submission.ID(a.Id)
	r, err := submission.DecodeRecord(id, a.Record)
	if err != nil {
		klog.ErrorS(err, "kept: a peer's submission cannot be read", "peer", from)
		return
	}
	if r.Transient {
		e.handleTransientAssign(from, r, a.Resumed)
		return
	}
	h := e.shards[r.Shard]
	if h == nil || h.holding.Token != r.Token {
		klog.InfoS("kept: a submission for another holder", "id", id, "peer", from, "shard", r.Shard, "token", r.Token)
		return // its home asks again, and the holder finds it in the store
	}
	h.core.Assign(e.now, shard.StoredRecord{Record: r, Revision: a.Revision})
}

// rehome asks the new holders about submissions that were given to earlier ones.
func (e *engine) rehome() {
	for _, h := range e.homes {
		if h.created && !h.state.Final() && h.token != e.site.Holding(h.shard).Token {
			h.asked = 0
		}
	}
}
