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

// An operator evacuates a failure domain by writing a key to the store; the domain stays evacuated for as
// long as the key exists. A VM learns of evacuations in three ways, and the newest revision of the key counts:
//
//   - its watch of the configuration;
//   - its peers, which pass on each change: they reach a VM whose watch is silent or which cannot use the store;
//   - a read of its own before the first start at a shard that it has just taken over: a VM that has just
//     started has heard nothing by the other two ways, and would start tasks in a domain whose evacuation was
//     acknowledged long ago.

// evacuatedDomain returns the domain that a key of the store evacuates.
func (v *VM) evacuatedDomain(key string) (domain string, ok bool) {
	prefix := v.config.StoreLayout.EvacuationPrefix
	domain, ok = strings.CutPrefix(key, prefix)
	return domain, ok && prefix != "" && domain != ""
}

// evacuationsIn returns the evacuations among the keys of a complete read.
func (v *VM) evacuationsIn(items []store.Item) []evacuation.Notice {
	var out []evacuation.Notice
	for _, it := range items {
		if domain, ok := v.evacuatedDomain(it.Key); ok {
			out = append(out, evacuation.Notice{Domain: domain, Revision: it.Revision, Evacuated: true})
		}
	}
	return out
}

// evacuationChanges returns the beginnings and ends of evacuations among the events of a watch.
func (v *VM) evacuationChanges(events []store.Event) []evacuation.Notice {
	var out []evacuation.Notice
	for _, ev := range events {
		if domain, ok := v.evacuatedDomain(ev.Key); ok {
			out = append(out, evacuation.Notice{Domain: domain, Revision: ev.Revision, Evacuated: !ev.Deleted})
		}
	}
	return out
}

// readEvacuations reads all evacuations from the store; nil if the settings name no prefix for them.
func (v *VM) readEvacuations(ctx context.Context) (*evacuationsEvent, error) {
	if v.config.StoreLayout.EvacuationPrefix == "" {
		return nil, nil
	}
	requestedAt := v.now()
	items, revision, err := v.readAll(ctx, v.config.StoreLayout.EvacuationPrefix, false)
	if err != nil {
		return nil, err
	}
	return &evacuationsEvent{requestedAt: requestedAt, complete: true, revision: revision, notices: v.evacuationsIn(items)}, nil
}

func (ev evacuationsEvent) apply(e *engine) {
	var changed []string
	if ev.complete {
		changed = e.evacuations.ApplyList(ev.revision, ev.notices)
	} else {
		changed = e.evacuations.ApplyAll(ev.notices)
	}
	e.evacuations.RecordRead(ev.requestedAt)
	e.applyEvacuations(changed, "the store")
}

// receiveEvacuations applies evacuations that a peer passes on.
func (e *engine) receiveEvacuations(from string, received []*pb.KeptEvacuation) {
	notices := make([]evacuation.Notice, len(received))
	for i, n := range received {
		notices[i] = evacuation.Notice{Domain: n.Domain, Revision: n.Revision, Evacuated: n.Evacuated}
	}
	e.applyEvacuations(e.evacuations.ApplyAll(notices), from)
}

// applyEvacuations enforces changed evacuations at the shards of this VM, and passes them on to the peers.
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

// setEvacuated tells a shard whether its domain is evacuated. While it is, the shard starts nothing.
func (e *engine) setEvacuated(h *heldShard) {
	h.core.SetEvacuated(e.now, e.evacuations.Evacuated(site.DomainOf(h.holding.Shard)))
}

// sendEvacuations sends a peer the newest notice about each domain.
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
			Fails: uint32(r.Failures),

			FailedRuns: r.FailedRuns,
			Losses:     encodeLosses(r.Losses),
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
			Failures:   int(r.Fails),
			FailedRuns: r.FailedRuns,
			Losses:     decodeLosses(r.Losses),
		})
	}
	return out
}

// reassignReturned assigns tasks that a holder has returned to other shards. They do not lose their place in
// the order, as their objective counts from when the submission was received.
func (e *engine) reassignReturned(t *transientSubmission, p *part, reported []shard.ReturnedTask) {
	var returned []shard.ReturnedTask
	for _, r := range reported {
		if p.record.HasTask(r.Task) { // otherwise it was reassigned before
			returned = append(returned, r)
			t.mayHaveRun = t.mayHaveRun || r.Run > 0
		}
	}
	if len(returned) == 0 {
		return
	}
	e.vm.metrics.reassigned.Inc(int64(len(returned)))
	remaining := *p.record // a copy, as the holder may be this VM and use the same record
	remaining.TasksElsewhere = slices.Clone(remaining.TasksElsewhere)
	for _, r := range returned {
		remaining.TasksElsewhere = append(remaining.TasksElsewhere, r.Task)
	}
	p.record = &remaining
	t.unassigned = append(t.unassigned, unassignedTasks{record: p.record, tasks: returned})
	e.placeUnassigned(t)
}

// unassignedTasks are tasks of a transient submission that no shard has.
type unassignedTasks struct {
	record *submission.Record // of the part that they belonged to
	tasks  []shard.ReturnedTask
}

// placeUnassigned assigns unassigned tasks to shards that may start them. A shard has at most one unfinished
// part of a submission, so some tasks may have to wait for the end of another part. If no shard may start
// them, the callers are answered at once; they are told that the submission has not run only if that is
// certain.
func (e *engine) placeUnassigned(t *transientSubmission) {
	if t.bindsLate && len(t.unassigned) > 0 {
		e.awaitGrants(t)
		return
	}
	for len(t.unassigned) > 0 {
		all := e.eligibleShards(t.record)
		if len(all) == 0 {
			e.endUnassigned(t)
			return
		}
		shards := slices.DeleteFunc(all, func(c policy.Candidate) bool { return t.hasUnfinishedPart(c.Shard) })
		if len(shards) == 0 {
			return // try again when another part has ended
		}
		group := t.unassigned[0]
		t.unassigned = t.unassigned[1:]
		e.placeTasks(t, group, shards)
	}
}

// hasUnfinishedPart reports whether a shard has a part that is not done. Such a part must not be replaced,
// even if it was rejected: its tasks are still to be assigned to another shard.
func (t *transientSubmission) hasUnfinishedPart(shard string) bool {
	p := t.part(shard)
	return p != nil && p.state != submission.Done
}

// endUnassigned ends a submission if no shard may start its unassigned tasks.
func (e *engine) endUnassigned(t *transientSubmission) {
	switch {
	case t.anyStarted():
		// No reachable shard may start its remaining tasks.
		e.giveUp(t, "its failure domains are evacuated")
	case t.assignedTaskCount() == 0:
		e.refuseTransient(t, policy.AllDomainsEvacuated)
	default: // another shard has a part, which will start or be returned
	}
}

// assignedTaskCount counts the tasks that are assigned to shards.
func (t *transientSubmission) assignedTaskCount() int {
	n := 0
	for _, p := range t.parts {
		n += p.record.TaskCount()
	}
	return n
}

// placeTasks splits a group of unassigned tasks over shards and sends each shard its part.
func (e *engine) placeTasks(t *transientSubmission, group unassignedTasks, shards []policy.Candidate) {
	tasks := group.tasks
	for _, allocation := range e.vm.config.Policy.Split(shards, len(tasks), isDivisible(group.record), longestEstimate(group.record)) {
		rec := partialRecord(group.record, tasks[:allocation.Tasks])
		tasks = tasks[allocation.Tasks:]
		rec.Shard = allocation.Shard
		rec.Serial = e.nextSerial()
		p := &part{record: rec, shard: allocation.Shard, updatedAt: e.now}
		t.addPart(p)
		l := e.loads[p.shard]
		l.sentMilli += int64(allocation.Tasks) * largestTaskMilli(rec)
		klog.InfoS("kept: returned tasks assigned to another shard", "id", t.record.ID, "from", group.record.Shard, "shard", p.shard,
			"holder", l.holder, "token", l.token, "tasks", allocation.Tasks, "after", e.now-t.receivedAt)
		e.sendPart(t, p, l)
	}
}

// addPart adds a part. It replaces the part that the same shard has completed, if any.
func (t *transientSubmission) addPart(p *part) {
	// A copy, as a caller may be iterating over the parts.
	parts := slices.DeleteFunc(slices.Clone(t.parts), func(old *part) bool { return old.shard == p.shard })
	t.mayHaveRun = t.mayHaveRun || len(parts) < len(t.parts)
	t.parts = append(parts, p)
}

// partialRecord makes the record of a part that consists of some returned tasks.
func partialRecord(from *submission.Record, returned []shard.ReturnedTask) *submission.Record {
	rec := *from
	rec.TasksElsewhere = nil
	rec.Token = 0
	rec.Partial = true
	rec.Progress = submission.Progress{}
	included := make([]submission.Task, len(returned))
	for i, r := range returned {
		included[i] = r.Task
		rec.MaxRunElsewhere = max(rec.MaxRunElsewhere, r.Run)
		if r.Failures > 0 {
			rec.Progress.RecordOutcome(r.Task, r.Failures, r.FailedRuns...)
		}
		rec.Progress.RecordLosses(r.Task, r.Losses)
	}
	for _, task := range rec.AllTasks() {
		if !slices.Contains(included, task) {
			rec.TasksElsewhere = append(rec.TasksElsewhere, task)
		}
	}
	return &rec
}

// completeReturned handles a part whose holder has returned some tasks and completed the others.
func (e *engine) completeReturned(t *transientSubmission, p *part) {
	p.state = submission.Done
	if p.record.TaskCount() == 0 {
		// Without tasks the part is dropped, so that the shard can get another part. A copy, as a caller may
		// be iterating over the parts.
		t.parts = slices.DeleteFunc(slices.Clone(t.parts), func(other *part) bool { return other == p })
	}
	e.completeIfDone(t)
}

// storeReassign has a stored submission, of which nothing runs, stored under a shard that may start it.
func (e *engine) storeReassign(name string, h *heldShard, m shard.ReassignAction) {
	if len(m.Stranded) > 0 {
		e.moveStranded(strandedMove{shard: name, token: h.holding.Token, action: m})
		return
	}
	e.storeUnder(name, h, m, e.eligibleShards(m.Record))
}

// storeUnder writes the record of a stored submission, of which nothing runs, under one of some shards. The write
// requires that the record is unchanged and that both shards still have the same holders: a new holder of the
// old shard could have started the submission.
func (e *engine) storeUnder(name string, h *heldShard, m shard.ReassignAction, shards []policy.Candidate) {
	rec := m.Record
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
			e.vm.deliver(reassignStoredEvent{shard: name, token: token, oldRevision: m.Revision, record: rec, result: r})
		},
	})
	if !added {
		h.core.ReassignFailed(e.now, rec.ID)
	}
}

func (ev reassignStoredEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return // the new holder finds the record in the store, under the old shard or the new one
	}
	rec := ev.record
	switch {
	case ev.result.Outcome == journal.Stored:
		h.core.Reassigned(e.now, rec.ID, ev.result.Revision)
		e.vm.metrics.reassigned.Inc(1)
		klog.InfoS("kept: submission reassigned", "id", rec.ID, "from", ev.shard, "shard", rec.Shard, "moves", rec.Moves,
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

// recordChanged reports whether the write failed because the submission was cancelled or had ended.
func (ev reassignStoredEvent) recordChanged() bool {
	return slices.ContainsFunc(ev.result.Items, func(it store.Item) bool {
		return it.Key == submission.OpenKey(ev.record.ID) && it.Revision != ev.oldRevision
	})
}
