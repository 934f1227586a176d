package vm

import (
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/kept/evacuation"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a submission that ends before all its tasks have completed: a shard has completed a part of it and
// is assigned another part, from an evacuated domain; the message is lost, the holder is asked for the state and
// reports that of the first part, which must not be taken for the second one's.
func TestReportAboutAnEarlierPartIsIgnored(t *testing.T) {
	testWorld(t, func(w *world) {
		v := w.vms["a1"]
		reply := make(chan submission.State, 1)
		v.post(engineFunc(func(e *engine) {
			rec := newOneStepRecord("job", 2, runhost.Work{Time: 50 * ms})
			rec.Serial = 9
			p := &part{record: rec, shard: "b/0", holderToken: e.loads["b/0"].token, holder: e.loads["b/0"].holder}
			sub := &transientSubmission{record: rec, parts: []*part{p}, state: submission.Queued}
			e.transients["job"] = sub
			e.applyPartReport(sub, p, stateReport{shard: "b/0", token: p.holderToken, state: submission.Done, serial: 5})
			reply <- sub.state
			delete(e.transients, "job")
		}))
		if state := <-reply; state.Final() {
			t.Errorf("the submission is %s after a report about an earlier part", state)
		}
	})
}

// Guards against a transient submission that its home has given up and that a late report makes a stored one, whose holder
// is then asked for it again and again.
func TestReportOfAnUnknownPartMakesNoStoredSubmission(t *testing.T) {
	testWorld(t, func(w *world) {
		tracked := make(chan bool, 1)
		w.vms["a1"].post(engineFunc(func(e *engine) {
			e.applyStateReport("job", stateReport{shard: "b/0", token: 1, state: submission.Running, serial: 5})
			tracked <- e.tracked["job"] != nil
		}))
		if <-tracked {
			t.Error("the submission counts as a stored one")
		}
	})
}

// engineFunc is an event that runs a function on the engine's goroutine, in the middle of a round.
type engineFunc func(*engine)

func (f engineFunc) apply(e *engine) { f(e) }

// Guards against a submission that ends before all its tasks have completed: after a restart of all VMs a shard
// rejects its part of the submission because it cannot be done in time, and tasks that another shard returned
// are assigned to the first shard. The rejected part was taken for completed and replaced, and its tasks were
// lost.
func TestRejectedPartIsNotReplaced(t *testing.T) {
	testWorld(t, func(w *world) {
		v := w.vms["a1"]
		reply := make(chan int, 1)
		v.post(engineFunc(func(e *engine) {
			whole := newOneStepRecord("job", 2, runhost.Work{Time: 50 * ms})
			rejected, returned := *whole, *whole
			rejected.TasksElsewhere = []submission.Task{{Index: 1}}
			returned.TasksElsewhere = []submission.Task{{Index: 0}, {Index: 1}}
			p := &part{record: &rejected, shard: "b/0", state: submission.Rejected}
			toAssign := unassignedTasks{record: &returned, tasks: []shard.ReturnedTask{{Task: submission.Task{Index: 1}}}}
			sub := &transientSubmission{record: whole, parts: []*part{p}, unassigned: []unassignedTasks{toAssign}}
			e.transients["job"] = sub
			e.evacuations.Apply(evacuation.Notice{Domain: "a", Revision: 1 << 40, Evacuated: true})
			e.placeUnassigned(sub)
			left := sub.assignedTaskCount()
			for _, u := range sub.unassigned {
				left += len(u.tasks)
			}
			delete(e.transients, "job")
			e.evacuations.Apply(evacuation.Notice{Domain: "a", Revision: 1<<40 + 1})
			reply <- left
		}))
		if left := <-reply; left != 2 {
			t.Errorf("%d of 2 tasks are assigned or still to be assigned, want all", left)
		}
	})
}

// Guards against a step that starts before the one that it depends on is done: a holder of an earlier build returns the
// tasks of the second step and goes on with those of the first.
func TestDependentTasksAreAssignedOnceTheirPartHasEnded(t *testing.T) {
	testWorld(t, func(w *world) {
		done := make(chan struct{})
		w.vms["a1"].post(engineFunc(func(e *engine) {
			defer close(done)
			rec := newOneStepRecord("job", 1, runhost.Work{Time: 50 * ms})
			rec.Steps = append(rec.Steps, rec.Steps[0])
			rec.Steps[1].DependsOn = []int{0}
			rec.Transient, rec.Serial = true, 9
			p := &part{record: rec, shard: "a/0", holderToken: e.loads["a/0"].token}
			sub := &transientSubmission{record: rec, parts: []*part{p}, state: submission.Queued}
			e.transients["job"] = sub
			defer delete(e.transients, "job")
			report := stateReport{shard: "a/0", token: p.holderToken, state: submission.Running, serial: 9,
				returned: []shard.ReturnedTask{{Task: submission.Task{Step: 1}}}, tasks: 1}
			e.applyPartReport(sub, p, report)
			if len(sub.parts) != 1 || len(sub.unassigned) != 0 {
				t.Errorf("%d parts and %d groups of unassigned tasks while the first step goes on", len(sub.parts), len(sub.unassigned))
			}
			report.state = submission.Returned
			e.applyPartReport(sub, p, report)
			if len(sub.parts) != 2 {
				t.Errorf("%d parts after the first one has ended, want 2", len(sub.parts))
			}
		}))
		<-done
	})
}
