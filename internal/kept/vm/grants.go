package vm

import (
	"slices"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// receiveGrant takes in a grant of a pool. As many waiting tasks as were granted are assigned to its shard, and the
// reply says how many; the room for the others is free again.
func (e *engine) receiveGrant(from string, g pool.Grant) {
	t := e.transients[g.ID]
	declined := e.declineGrant(from, t, &g)
	waited, bound := 0, 0
	if declined == "" {
		waited = t.unassignedCount()
		bound = e.bind(t, g.Shard, g.Tasks)
		e.vm.metrics.grantsUsed.Inc(1)
		klog.InfoS("kept: grant used", "id", g.ID, "shard", g.Shard, "holder", from, "token", g.Token, "granted", g.Tasks, "bound", bound,
			"waited", waited, "after", e.now-t.receivedAt, "load_age", e.now-e.loads[g.Shard].receivedAt)
	} else {
		e.vm.metrics.grantsDeclined.Inc(1)
		klog.V(2).InfoS("kept: grant declined", "id", g.ID, "shard", g.Shard, "holder", from, "token", g.Token, "granted", g.Tasks, "why", declined)
	}
	reply := pool.Reply{Home: e.vm.config.Name, ID: g.ID, Number: g.Number, Tasks: bound}
	if from == e.vm.config.Name {
		e.receiveGrantReply(from, g.Shard, reply)
		return
	}
	f := e.frame(from)
	f.GrantReplies = append(f.GrantReplies, &pb.KeptGrantReply{Id: string(g.ID), Shard: g.Shard, Number: g.Number, Tasks: uint32(bound)})
}

// declineGrant returns why a grant is not used, or "".
func (e *engine) declineGrant(from string, t *transientSubmission, g *pool.Grant) string {
	l := e.loads[g.Shard]
	switch {
	case t == nil || t.state.Final():
		return "the submission has ended"
	case len(t.unassigned) == 0:
		return "no task waits"
	case l == nil || l.holder != from || l.token != g.Token || !e.reachable(g.Shard):
		return "the shard has another holder or token"
	case e.evacuations.Evacuated(site.DomainOf(g.Shard)):
		return "the domain is evacuated"
	case !t.part(g.Shard).takesMore():
		return "the part that the shard has takes no more tasks now"
	default:
		return ""
	}
}

// takesMore reports whether tasks can be assigned to the shard of a part; nil: the shard has none.
//
// Tasks join an unfinished part only if its holder has reported it under its present serial: a holder that had missed
// the part, or tasks that joined before, would take the new ones for all that it has.
func (p *part) takesMore() bool {
	return p == nil || p.state == submission.Done || p.state == submission.Running && p.confirmed == p.record.Serial && p.joins == 0
}

// bind assigns up to limit waiting tasks to a shard, and returns how many.
func (e *engine) bind(t *transientSubmission, shard string, limit int) int {
	tasks, maxRun := t.takeUnassigned(limit)
	t.demand.since = e.now
	l := e.loads[shard]
	rec := partialRecord(t.record, tasks)
	rec.MaxRunElsewhere = max(rec.MaxRunElsewhere, maxRun)
	rec.Shard = shard
	rec.Serial = e.nextSerial()
	l.sentMilli += int64(len(tasks)) * largestTaskMilli(rec)
	if p := t.part(shard); p != nil && !p.state.Final() {
		rec.Token = p.record.Token
		p.startJoin(t.record, rec)
		e.sendPart(t, p, l)
		return len(tasks)
	}
	p := &part{record: rec, shard: shard, updatedAt: e.now, state: submission.Queued}
	t.addPart(p)
	e.sendPart(t, p, l)
	return len(tasks)
}

// takeUnassigned removes up to limit tasks from the unassigned ones. maxRun is the highest run number that was used for
// tasks of their parts.
func (t *transientSubmission) takeUnassigned(limit int) (tasks []shard.ReturnedTask, maxRun uint64) {
	for len(t.unassigned) > 0 && len(tasks) < limit {
		group := &t.unassigned[0]
		n := min(limit-len(tasks), len(group.tasks))
		tasks = append(tasks, group.tasks[:n]...)
		maxRun = max(maxRun, group.record.MaxRunElsewhere)
		group.tasks = group.tasks[n:]
		if len(group.tasks) == 0 {
			t.unassigned = t.unassigned[1:]
		}
	}
	return tasks, maxRun
}

// takeRejected makes the tasks of a rejected part wait at this VM.
func (e *engine) takeRejected(t *transientSubmission, p *part) {
	progress := &p.record.Progress
	var tasks []shard.ReturnedTask
	for _, task := range p.record.AllTasks() {
		tasks = append(tasks, shard.ReturnedTask{Task: task, Failures: progress.Failed[task], FailedRuns: progress.FailedRuns[task], Losses: progress.Losses[task]})
	}
	// A copy, as a caller may be iterating over the parts.
	t.parts = slices.DeleteFunc(slices.Clone(t.parts), func(other *part) bool { return other == p })
	t.unassigned = append(t.unassigned, unassignedTasks{record: p.record, tasks: tasks})
	e.awaitGrants(t)
}
