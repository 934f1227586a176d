package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

type taskState uint8

const (
	taskWaiting   taskState = iota
	taskUnlocated           // an earlier holder may have started it where it cannot be seen yet
	taskStarting            // an order is on its way
	taskRunning
	taskUnconfirmed       // an order had no answer; the worker is asked
	taskStoppingToRestart // a stop is on its way, so that the task can start again
	taskStoppingForGood   // a stop is on its way, and the task does not start again
	taskCompleted         // has ended well
	taskEnded             // does not run, and will not
	taskElsewhere         // not this shard's, or not any more
)

type task struct {
	job             *job
	ref             submission.TaskRef
	step            *submission.Step
	state           taskState
	newestRun       uint64        // the newest
	host            *host         // in starting, running, unsure, voiding, ending
	stateSince      time.Duration // of the state
	startedAt       time.Duration
	progress        policy.Progress     // of the run
	duration        time.Duration       // of the run that completed; 0: not known
	moveCount       int                 // runs that were stopped as their worker held them up
	acceptClock     time.Duration       // the worker's when it accepted the run; 0: not known
	stopAckClock    time.Duration       // the worker's when it acknowledged the stop
	stopAckAt       time.Duration       // when that acknowledgement came
	countedFailures map[uint64]struct{} // runs that ended as failed
	startedRuns     []startedRun        // under this holder
	failures        int                 // of them, with those stored earlier
	checkpoint      string
	avoidHost       *host             // where it last failed
	losses          []submission.Loss // workers that were lost while it ran there
	lossChangedAt   time.Duration     // when that was last heard of
	hasBegun        bool              // its newest run is known to have begun
	startedAlone    bool              // its newest run was started alone on its worker
}

// occupies reports whether the task takes room at its host.
func (t *task) occupies() bool {
	switch t.state {
	case taskStarting, taskRunning, taskUnconfirmed, taskStoppingToRestart, taskStoppingForGood:
		return t.host != nil
	default:
		return false
	}
}

// startedRun is a run that this holder has started.
type startedRun struct {
	run  uint64
	host *host
}

type job struct {
	rec           *submission.Record
	revision      uint64
	state         submission.State
	endReason     string
	tasks         []*task
	steps         []stepState
	criticalPath  time.Duration // by the caller's estimates
	tasksLeft     int           // tasks that have not completed
	submittedAt   time.Duration // to its home
	receivedAt    time.Duration // when it came to this shard
	firstRunAt    time.Duration // 0: none yet
	saving        bool
	unsavedSince  time.Duration // when the oldest end that is not stored came; 0: none
	endStored     bool          // its end is in the store, or need not be
	firstFailedOn *host         // the first worker on which a task of it failed
	runBase       uint64        // run numbers begin above it
	resumed       bool          // an earlier holder had it
	startSent     bool          // a start of it was sent
	returned      []ReturnedTask
	reassigning   bool          // its record is being stored under another shard
	reassignAt    time.Duration // when that is tried again
}

type stepState struct {
	firstTask int // index of its first task in job.tasks
	tasksLeft int // tasks that have not completed
}

func newJob(now time.Duration, r StoredRecord, runBase uint64) *job {
	j := &job{
		rec:          r.Record,
		revision:     r.Revision,
		state:        submission.Queued,
		submittedAt:  now - r.Record.Age,
		receivedAt:   now,
		runBase:      max(runBase, r.Record.MaxRunElsewhere),
		criticalPath: r.Record.CriticalPath(),
	}
	for si := range r.Record.Steps {
		step := &r.Record.Steps[si]
		j.steps = append(j.steps, stepState{firstTask: len(j.tasks), tasksLeft: step.Count})
		for i := range step.Count {
			ref := submission.Task{Step: si, Index: step.FirstIndex + i}
			j.tasks = append(j.tasks, &task{
				job:      j,
				ref:      submission.TaskRef{ID: r.Record.ID, Task: ref},
				step:     step,
				failures: r.Record.Progress.Failed[ref],

				losses: slices.Clone(r.Record.Progress.Losses[ref]),
			})
		}
	}
	j.tasksLeft = len(j.tasks)
	for _, e := range r.Record.TasksElsewhere {
		if t := j.task(e); t != nil {
			j.removeTask(t, taskElsewhere)
		}
	}
	for _, d := range r.Record.Progress.Done {
		if t := j.task(d); t != nil && t.state == taskWaiting {
			j.complete(t)
		}
	}
	if runBase > 0 {
		j.state = submission.Running // some of it may have run under an earlier holder
	}
	return j
}

// task finds a task by its name; nil if this shard does not have it. What is said of a task that
// another shard has must not count here: the part would pass for complete with a task to go.
func (j *job) task(ref submission.Task) *task {
	if ref.Step < 0 || ref.Step >= len(j.steps) {
		return nil
	}
	step := &j.rec.Steps[ref.Step]
	index := ref.Index - step.FirstIndex
	if index < 0 || index >= step.Count {
		return nil
	}
	if t := j.tasks[j.steps[ref.Step].firstTask+index]; t.state != taskElsewhere {
		return t
	}
	return nil
}

// busy reports whether any of its tasks takes room at a worker.
func (j *job) hasRunsOnWorkers() bool {
	for _, t := range j.tasks {
		if t.occupies() {
			return true
		}
	}
	return false
}

// begun reports whether any task was ever given to a worker.
func (j *job) hasBegun() bool {
	if j.resumed {
		return true
	}
	for _, t := range j.tasks {
		if t.newestRun > 0 || t.state == taskCompleted || t.state == taskUnlocated {
			return true
		}
	}
	return false
}

func (j *job) complete(t *task) { j.removeTask(t, taskCompleted) }

// leave puts a task into a state in which nothing of it is left to do here.
func (j *job) removeTask(t *task, state taskState) {
	t.state = state
	t.host = nil
	j.tasksLeft--
	j.steps[t.ref.Step].tasksLeft--
}

// startedByOther reports whether a run was not started by this holder, for a transient submission that it
// was given anew. Such a run is of an earlier hand-in, from before its home was lost, and its caller
// has asked for the whole again: if its end counted, the answer would come before all tasks of this
// hand-in have completed.
func (j *job) startedByOther(t *task, h *host, run uint64) bool {
	return j.rec.Transient && !j.resumed && !slices.Contains(t.startedRuns, startedRun{run, h})
}

// startable reports whether a task waits and the steps before its own are done.
func (j *job) isStartable(t *task) bool {
	return t.state == taskWaiting && !j.reassigning && j.isDue(t)
}

// due reports whether the steps before a task's step are done.
func (j *job) isDue(t *task) bool {
	for _, before := range t.step.DependsOn {
		if before >= 0 && before < len(j.steps) && j.steps[before].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// progress is what has happened to the tasks, to be stored.
func (j *job) progress() submission.Progress {
	p := submission.Progress{Failed: make(map[submission.Task]int)}
	for _, t := range j.tasks {
		switch {
		case t.state == taskCompleted:
			p.Done = append(p.Done, t.ref.Task)
		case t.failures > 0:
			p.Failed[t.ref.Task] = t.failures
		}
		if t.state != taskCompleted {
			p.RecordLosses(t.ref.Task, t.losses)
		}
	}
	return p
}
