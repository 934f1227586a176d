package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Join adds further tasks to the part of a transient submission that its home VM assigned here under the
// serial joins. The part then has the record's serial, and is reported with all its tasks. If it has ended
// in the meantime with all of its tasks completed or returned, it goes on with the new ones. If it has
// failed, or was cancelled or rejected, so are the new tasks: none of them starts.
//
// If nothing is known of such a part, as the message with it was lost, the record is a part of its own, and
// its number of tasks tells the home VM so. A record that was overtaken by a later one, or whose predecessor
// was lost while an earlier one has arrived, changes nothing: the report of the state names the serial up to
// which the holder has the part.
func (s *Shard) Join(now time.Duration, rec *submission.Record, joins uint64) {
	j, open := s.jobs[rec.ID]
	past, ended := s.recentlyEnded[rec.ID]
	switch {
	case open && (j.rec.Serial == rec.Serial || j.rec.Serial != joins):
		s.reportState(j) // repeated, overtaken, or an earlier one is missing
	case open && j.state.Final():
		s.joinEnded(j, rec)
	case open && !canJoin(j.rec, rec):
		s.endSubmission(now, j, submission.Cancelled, "tasks of another form were to join it")
	case open:
		j.addTasks(rec)
		j.recordHomeSent(now)
		s.stopStrayRuns(now, j)
		s.hasLosses = s.hasLosses || len(rec.Progress.Losses) > 0
		s.placementDue = true
		s.reportState(j)
	case ended && past.serial == joins && past.reassignedRevision == 0:
		s.joinPast(now, past, rec)
	default:
		s.Assign(now, StoredRecord{Record: rec})
	}
}

// canJoin reports whether the tasks of two records are of the same single step.
func canJoin(a, b *submission.Record) bool { return len(a.Steps) == 1 && len(b.Steps) == 1 }

// joinEnded answers for tasks that were to join a part whose end is known, and some of whose runs are still
// being stopped.
func (s *Shard) joinEnded(j *job, rec *submission.Record) {
	past := s.recentlyEnded[rec.ID]
	past.state = j.state
	s.endWithPast(past, rec)
	joined := *j.rec
	joined.Serial = rec.Serial
	j.pastSerials = appendSerial(j.pastSerials, j.rec.Serial)
	j.rec = &joined
	j.tasksBefore += rec.TaskCount()
}

// joinPast adds tasks to a part that has ended here and of which no run is left.
func (s *Shard) joinPast(now time.Duration, past endedJob, rec *submission.Record) {
	if past.state != submission.Done && past.state != submission.Returned {
		s.endWithPast(past, rec)
		return
	}
	j := newJob(now, StoredRecord{Record: rec}, 0)
	j.tasksBefore = past.tasks
	j.returned = withoutTasksOf(past.returned, rec)
	j.pastSerials = past.allSerials()
	s.add(j)
	s.stopStrayRuns(now, j)
	s.placementDue = true
	s.reportState(j)
}

// endWithPast gives tasks that have not started the end of the part that they were to join.
func (s *Shard) endWithPast(past endedJob, rec *submission.Record) {
	if past.state == submission.Done || past.state == submission.Returned {
		past.state = submission.Cancelled // not expected: runs of a part that has ended so are over
	}
	past.pastSerials = past.allSerials()
	past.serial = rec.Serial
	past.tasks += rec.TaskCount()
	s.recentlyEnded[rec.ID] = past
	s.actions.States = append(s.actions.States, StateAction{ID: rec.ID, Home: rec.Home, State: past.state, Serial: past.serial, Returned: past.returned, Tasks: past.tasks})
}

// withoutTasksOf returns the returned tasks that the record does not have. A task that came back must not be
// reported as returned again.
func withoutTasksOf(returned []ReturnedTask, rec *submission.Record) []ReturnedTask {
	return slices.DeleteFunc(slices.Clone(returned), func(r ReturnedTask) bool { return rec.HasTask(r.Task) })
}

// addTasks adds the tasks of a record that the job does not have. Its record is replaced by a copy, as the
// home VM may be this one and use it.
func (j *job) addTasks(rec *submission.Record) {
	merged := *j.rec
	first := min(merged.Steps[0].FirstIndex, rec.Steps[0].FirstIndex)
	end := max(merged.Steps[0].FirstIndex+merged.Steps[0].Count, rec.Steps[0].FirstIndex+rec.Steps[0].Count)
	merged.Steps = slices.Clone(merged.Steps)
	merged.Steps[0].FirstIndex, merged.Steps[0].Count = first, end-first
	merged.Serial, merged.Partial, merged.TasksElsewhere = rec.Serial, true, nil
	merged.MaxRunElsewhere = max(merged.MaxRunElsewhere, rec.MaxRunElsewhere)
	step := &merged.Steps[0]
	tasks := make([]*task, 0, step.Count)
	for index := first; index < end; index++ {
		ref := submission.Task{Index: index}
		t := j.task(ref)
		switch {
		case t != nil:
			t.step = step
		case rec.HasTask(ref):
			t = newTask(j, rec, ref, step)
			t.joinedLater = true
			j.tasksLeft++
			j.steps[0].tasksLeft++
		default:
			t = newTask(j, rec, ref, step)
			t.state = taskElsewhere
			merged.TasksElsewhere = append(merged.TasksElsewhere, ref)
		}
		tasks = append(tasks, t)
	}
	j.tasks = tasks
	j.pastSerials = appendSerial(j.pastSerials, j.rec.Serial)
	j.rec = &merged
	j.runBase = max(j.runBase, rec.MaxRunElsewhere)
	j.returned = withoutTasksOf(j.returned, rec)
}

// partSize returns the number of tasks of the part, without those that were returned.
func (j *job) partSize() int {
	n := j.tasksBefore
	for _, t := range j.tasks {
		if t.state != taskElsewhere {
			n++
		}
	}
	return n
}
