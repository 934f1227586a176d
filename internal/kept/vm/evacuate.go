package vm

import (
	"context"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/evacuation"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// An operator evacuates a failure domain by a key in the store, for as long as the key is there.
// A VM learns it three ways, of which the newest revision counts: its watch of the configuration,
// its peers, who pass on each change, and a question of its own before the first start at a shard
// that it has taken. A watch that is silent, or a VM that the store turns away, leaves the peers; a
// VM that has just started has neither, and would start work where an evacuation has long been
// acknowledged.

// evacuatedDomain is the domain whose evacuation a key asks for.
func (v *VM) evacuatedDomain(key string) (domain string, ok bool) {
	prefix := v.config.StoreLayout.EvacuationPrefix
	domain, ok = strings.CutPrefix(key, prefix)
	return domain, ok && prefix != "" && domain != ""
}

func (v *VM) evacuationsIn(items []store.Item) []evacuation.Notice {
	var out []evacuation.Notice
	for _, it := range items {
		if domain, ok := v.evacuatedDomain(it.Key); ok {
			out = append(out, evacuation.Notice{Domain: domain, Revision: it.Revision, Evacuated: true})
		}
	}
	return out
}

func (v *VM) evacuationChanges(events []store.Event) []evacuation.Notice {
	var out []evacuation.Notice
	for _, ev := range events {
		if domain, ok := v.evacuatedDomain(ev.Key); ok {
			out = append(out, evacuation.Notice{Domain: domain, Revision: ev.Revision, Evacuated: !ev.Deleted})
		}
	}
	return out
}

// readEvacuations asks the store for all evacuations; nil if the site has none by its settings.
func (v *VM) readEvacuations(ctx context.Context) (*evacuationsEvent, error) {
	if v.config.StoreLayout.EvacuationPrefix == "" {
		return nil, nil
	}
	sent := v.now()
	items, revision, err := v.readAll(ctx, v.config.StoreLayout.EvacuationPrefix, false)
	if err != nil {
		return nil, err
	}
	return &evacuationsEvent{sent: sent, whole: true, revision: revision, notices: v.evacuationsIn(items)}, nil
}

func (ev evacuationsEvent) apply(e *engine) {
	var changed []string
	if ev.whole {
		changed = e.evacuations.ApplyList(ev.revision, ev.notices)
	} else {
		changed = e.evacuations.ApplyAll(ev.notices)
	}
	e.evacuations.RecordRead(ev.sent)
	e.applyEvacuations(changed, "the store")
}

// receiveEvacuations takes what a peer passes on.
func (e *engine) receiveEvacuations(from string, told []*pb.KeptEvacuation) {
	notices := make([]evacuation.Notice, len(told))
	for i, w := range told {
		notices[i] = evacuation.Notice{Domain: w.Domain, Revision: w.Revision, Evacuated: w.Evacuated}
	}
	e.applyEvacuations(e.evacuations.ApplyAll(notices), from)
}

// applyEvacuations puts changes in force at the shards of this VM, and passes them on.
func (e *engine) applyEvacuations(domains []string, from string) {
	if len(domains) == 0 {
		return
	}
	for _, domain := range domains {
		klog.InfoS("kept: evacuation", "domain", domain, "evacuated", e.evacuations.Evacuated(domain),
			"revision", e.evacuations.Revision(domain), "from", from, "asked_before", e.evacuations.Age(e.now))
		e.vm.metrics.setEvacuated(domain, e.evacuations.Evacuated(domain))
	}
	for _, h := range e.shards {
		e.setEvacuated(h)
	}
	for peer := range e.links {
		e.sendEvacuations(peer)
	}
}

// setEvacuated has a shard start nothing while its domain is evacuated.
func (e *engine) setEvacuated(h *heldShard) {
	h.core.SetEvacuated(e.now, e.evacuations.Evacuated(site.DomainOf(h.holding.Shard)))
}

// sendEvacuations tells a peer the newest notice about each domain.
func (e *engine) sendEvacuations(peer string) {
	notices := e.evacuations.Notices()
	if len(notices) == 0 {
		return
	}
	f := e.frame(peer)
	f.Evacuations = f.Evacuations[:0]
	for _, n := range notices {
		f.Evacuations = append(f.Evacuations, &pb.KeptEvacuation{Domain: n.Domain, Revision: n.Revision, Evacuated: n.Evacuated})
	}
}

func encodeReturned(tasks []shard.ReturnedTask) []*pb.KeptReturned {
	var out []*pb.KeptReturned
	for _, r := range tasks {
		out = append(out, &pb.KeptReturned{
			Step:  uint32(r.Task.Step),
			Index: uint32(r.Task.Index),
			Run:   r.Run,
			Fails: uint32(r.FailedRuns),

			Losses: encodeLosses(r.Losses),
		})
	}
	return out
}

func decodeReturned(in []*pb.KeptReturned) []shard.ReturnedTask {
	var out []shard.ReturnedTask
	for _, r := range in {
		out = append(out, shard.ReturnedTask{
			Task:       submission.Task{Step: int(r.Step), Index: int(r.Index)},
			Run:        r.Run,
			FailedRuns: int(r.Fails),

			Losses: decodeLosses(r.Losses),
		})
	}
	return out
}

// reassignReturned gives tasks that a holder has given back to other shards. They keep their place in
// the order: their objective runs from when the submission came.
func (e *engine) reassignReturned(t *transientSubmission, p *part, told []shard.ReturnedTask) {
	var back []shard.ReturnedTask
	for _, r := range told {
		if p.record.HasTask(r.Task) { // else it was given to another shard before
			back = append(back, r)
			t.started = t.started || r.Run > 0
		}
	}
	if len(back) == 0 {
		return
	}
	e.vm.metrics.sentAway.Inc(int64(len(back)))
	left := *p.record // the holder may be this VM, with the same record
	left.TasksElsewhere = slices.Clone(left.TasksElsewhere)
	for _, r := range back {
		left.TasksElsewhere = append(left.TasksElsewhere, r.Task)
	}
	p.record = &left
	t.unassigned = append(t.unassigned, unassignedTasks{record: p.record, tasks: back})
	e.placeUnassigned(t)
}

// unassignedTasks are tasks of a transient submission that no shard has.
type unassignedTasks struct {
	record *submission.Record // of the part that they were of
	tasks  []shard.ReturnedTask
}

// placeUnassigned gives tasks that no shard has to those that may start them. A shard has one
// unfinished part of a submission at most, so some may have to wait for the end of another part.
// Where no shard may start anything, the callers are told at once: that it has not run only if
// that is certain.
func (e *engine) placeUnassigned(t *transientSubmission) {
	for len(t.unassigned) > 0 {
		all := e.eligibleShards(t.record)
		if len(all) == 0 {
			e.endUnassigned(t)
			return
		}
		shards := slices.DeleteFunc(all, func(c policy.Candidate) bool { return t.hasUnfinishedPart(c.Shard) })
		if len(shards) == 0 {
			return // until another part has ended
		}
		lost := t.unassigned[0]
		t.unassigned = t.unassigned[1:]
		e.placeTasks(t, lost, shards)
	}
}

// hasUnfinishedPart reports whether a shard has a part of which tasks are to be done, there or, as it was
// rejected, elsewhere: that part must not be replaced.
func (t *transientSubmission) hasUnfinishedPart(shard string) bool {
	p := t.part(shard)
	return p != nil && p.state != submission.Done
}

// endUnassigned ends a submission of which nobody may start what is left.
func (e *engine) endUnassigned(t *transientSubmission) {
	switch {
	case t.anyStarted():
		e.giveUp(t, "its failure domains are evacuated")
	case t.assignedTaskCount() == 0:
		e.refuseTransient(t, policy.AllDomainsEvacuated)
	default: // what another shard has of it begins, or comes back
	}
}

// assignedTaskCount is the number of tasks that shards have.
func (t *transientSubmission) assignedTaskCount() int {
	n := 0
	for _, p := range t.parts {
		n += p.record.TaskCount()
	}
	return n
}

func (e *engine) placeTasks(t *transientSubmission, lost unassignedTasks, shards []policy.Candidate) {
	tasks := lost.tasks
	for _, portion := range e.vm.config.Policy.Split(shards, len(tasks), isDivisible(lost.record), longestEstimate(lost.record)) {
		rec := partialRecord(lost.record, tasks[:portion.Tasks])
		tasks = tasks[portion.Tasks:]
		rec.Shard = portion.Shard
		rec.Serial = e.nextSerial()
		p := &part{record: rec, shard: portion.Shard, updatedAt: e.now}
		t.addPart(p)
		l := e.loads[p.shard]
		l.sentMilli += int64(portion.Tasks) * largestTaskMilli(rec)
		klog.InfoS("kept: given to another shard", "id", t.record.ID, "from", lost.record.Shard, "shard", p.shard,
			"holder", l.holder, "token", l.token, "tasks", portion.Tasks, "after", e.now-t.receivedAt)
		e.sendPart(t, p, l)
	}
}

// replace adds a part, in the place of one that its shard has completed.
func (t *transientSubmission) addPart(p *part) {
	// Others may be going through the parts now.
	parts := slices.DeleteFunc(slices.Clone(t.parts), func(old *part) bool { return old.shard == p.shard })
	t.started = t.started || len(parts) < len(t.parts)
	t.parts = append(parts, p)
}

// partialRecord makes the record of a part of returned tasks.
func partialRecord(from *submission.Record, mine []shard.ReturnedTask) *submission.Record {
	rec := *from
	rec.TasksElsewhere = nil
	rec.Token = 0
	rec.Partial = true
	rec.Progress = submission.Progress{}
	names := make([]submission.Task, len(mine))
	for i, r := range mine {
		names[i] = r.Task
		rec.MaxRunElsewhere = max(rec.MaxRunElsewhere, r.Run)
		if r.FailedRuns > 0 {
			rec.Progress.RecordOutcome(r.Task, r.FailedRuns)
		}
		rec.Progress.RecordLosses(r.Task, r.Losses)
	}
	for _, task := range rec.AllTasks() {
		if !slices.Contains(names, task) {
			rec.TasksElsewhere = append(rec.TasksElsewhere, task)
		}
	}
	return &rec
}

// completeReturned takes that a holder has nothing left of a part: what it kept has completed.
func (e *engine) completeReturned(t *transientSubmission, p *part) {
	p.state = submission.Done
	if p.record.TaskCount() == 0 {
		// The shard may be given another part later. Others may be going through the parts now.
		t.parts = slices.DeleteFunc(slices.Clone(t.parts), func(other *part) bool { return other == p })
	}
	e.completeIfDone(t)
}

// storeReassign writes a stored submission, of which nothing runs, under a shard that may start it. The
// write demands that its record is unchanged and that neither shard has changed hands: the next
// holder of the old one could have started it.
func (e *engine) storeReassign(name string, h *heldShard, m shard.ReassignAction) {
	rec := m.Record
	shards := e.eligibleShards(rec)
	if len(shards) == 0 {
		h.core.ReassignFailed(e.now, rec.ID)
		return
	}
	rec.Shard = e.vm.config.Policy.Split(shards, startableTasks(rec), false, longestEstimate(rec))[0].Shard
	to := e.site.Holding(rec.Shard)
	rec.Token = to.Token
	token := h.holding.Token
	key := submission.OpenKey(rec.ID)
	added := e.vm.ends.Add(&journal.Row{
		Txn: store.Txn{
			Expect: []store.Condition{{Key: key, Revision: m.Revision}},
			Put:    []store.Put{{Key: key, Value: rec.Encode()}},
		},
		Guards:      []store.Condition{h.guard(), {Key: site.ShardKey(rec.Shard), Revision: to.Revision}},
		GiveUpAfter: endsWriteTimeout,
		Done: func(r journal.Result) {
			e.vm.post(reassignStoredEvent{shard: name, token: token, oldRevision: m.Revision, record: rec, result: r})
		},
	})
	if !added {
		h.core.ReassignFailed(e.now, rec.ID)
	}
}

func (ev reassignStoredEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return // the next holder finds it in the store, under one shard or the other
	}
	rec := ev.record
	switch {
	case ev.result.Outcome == journal.Stored:
		h.core.Reassigned(e.now, rec.ID, ev.result.Revision)
		e.vm.metrics.sentAway.Inc(1)
		klog.InfoS("kept: sent away from an evacuated domain", "id", rec.ID, "from", ev.shard, "shard", rec.Shard,
			"token", rec.Token, "revision", ev.result.Revision, "tasks", rec.TaskCount())
		if own := e.tracked[rec.ID]; own != nil {
			own.shard = rec.Shard
		}
		e.assignToHolder(&trackedSubmission{id: rec.ID, record: rec, revision: ev.result.Revision, shard: rec.Shard})
	case ev.result.Outcome == journal.Conflict && ev.recordChanged():
		h.core.RecordConflict(e.now, rec.ID)
	default:
		h.core.ReassignFailed(e.now, rec.ID)
	}
}

// recordChanged reports whether the write failed as the submission was cancelled or ended.
func (ev reassignStoredEvent) recordChanged() bool {
	return slices.ContainsFunc(ev.result.Items, func(it store.Item) bool {
		return it.Key == submission.OpenKey(ev.record.ID) && it.Revision != ev.oldRevision
	})
}
