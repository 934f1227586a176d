package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

type taskState uint8

const (
	waiting  taskState = iota
	astray             // an earlier holder may have started it where it cannot be seen yet
	starting           // an order is on its way
	running
	unsure   // an order had no answer; the worker is asked
	voiding  // a stop is on its way, so that the task can start again
	ending   // a stop is on its way, and the task does not start again
	complete // has ended well
	over     // does not run, and will not
	absent   // not this shard's, or not any more
)

type task struct {
	job        *job
	ref        submission.TaskRef
	step       *submission.Step
	state      taskState
	run        uint64        // the newest
	host       *host         // in starting, running, unsure, voiding, ending
	since      time.Duration // of the state
	startedAt  time.Duration
	progress   policy.Progress     // of the run
	took       time.Duration       // of the run that completed; 0: not known
	moves      int                 // runs that were stopped as their worker held them up
	clock      time.Duration       // the worker's when it accepted the run; 0: not known
	stopClock  time.Duration       // the worker's when it acknowledged the stop
	stopAt     time.Duration       // when that acknowledgement came
	failed     map[uint64]struct{} // runs that ended as failed
	starts     []startedRun        // under this holder
	fails      int                 // of them, with those stored earlier
	checkpoint string
	avoid      *host             // where it last failed
	losses     []submission.Loss // workers that were lost while it ran there
	lostAt     time.Duration     // when that was last heard of
	ran        bool              // its newest run is known to have begun
	alone      bool              // its newest run was started alone on its worker
}

// occupies reports whether the task takes room at its host.
func (t *task) occupies() bool {
	switch t.state {
	case starting, running, unsure, voiding, ending:
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
	rec         *submission.Record
	revision    uint64
	state       submission.State
	why         string
	tasks       []*task
	steps       []stepState
	chain       time.Duration // by the caller's estimates
	left        int           // tasks that have not completed
	came        time.Duration // to its home
	here        time.Duration // when it came to this shard
	firstRun    time.Duration // 0: none yet
	saving      bool
	unsaved     time.Duration // when the oldest end that is not stored came; 0: none
	stored      bool          // its end is in the store, or need not be
	blamed      *host         // the first worker on which a task of it failed
	runBase     uint64        // run numbers begin above it
	resumed     bool          // an earlier holder had it
	offered     bool          // a start of it was sent
	returned    []ReturnedTask
	reassigning bool          // its record is being stored under another shard
	reassignAt  time.Duration // when that is tried again
}

type stepState struct {
	first int // index of its first task in job.tasks
	left  int // tasks that have not completed
}

func newJob(now time.Duration, r StoredRecord, runBase uint64) *job {
	j := &job{
		rec:      r.Record,
		revision: r.Revision,
		state:    submission.Queued,
		came:     now - r.Record.Age,
		here:     now,
		runBase:  max(runBase, r.Record.MaxRunElsewhere),
		chain:    r.Record.CriticalPath(),
	}
	for si := range r.Record.Steps {
		step := &r.Record.Steps[si]
		j.steps = append(j.steps, stepState{first: len(j.tasks), left: step.Count})
		for i := range step.Count {
			ref := submission.Task{Step: si, Index: step.FirstIndex + i}
			j.tasks = append(j.tasks, &task{
				job:   j,
				ref:   submission.TaskRef{ID: r.Record.ID, Task: ref},
				step:  step,
				fails: r.Record.Progress.Failed[ref],

				losses: slices.Clone(r.Record.Progress.Losses[ref]),
			})
		}
	}
	j.left = len(j.tasks)
	for _, e := range r.Record.TasksElsewhere {
		if t := j.task(e); t != nil {
			j.leave(t, absent)
		}
	}
	for _, d := range r.Record.Progress.Done {
		if t := j.task(d); t != nil && t.state == waiting {
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
	if t := j.tasks[j.steps[ref.Step].first+index]; t.state != absent {
		return t
	}
	return nil
}

// busy reports whether any of its tasks takes room at a worker.
func (j *job) busy() bool {
	for _, t := range j.tasks {
		if t.occupies() {
			return true
		}
	}
	return false
}

// begun reports whether any task was ever given to a worker.
func (j *job) begun() bool {
	if j.resumed {
		return true
	}
	for _, t := range j.tasks {
		if t.run > 0 || t.state == complete || t.state == astray {
			return true
		}
	}
	return false
}

func (j *job) complete(t *task) { j.leave(t, complete) }

// leave puts a task into a state in which nothing of it is left to do here.
func (j *job) leave(t *task, state taskState) {
	t.state = state
	t.host = nil
	j.left--
	j.steps[t.ref.Step].left--
}

// startedElse reports whether a run was not started by this holder, for a transient submission that it
// was given anew. Such a run is of an earlier hand-in, from before its home was lost, and its caller
// has asked for the whole again: if its end counted, the answer would come before all tasks of this
// hand-in have completed.
func (j *job) startedElse(t *task, h *host, run uint64) bool {
	return j.rec.Transient && !j.resumed && !slices.Contains(t.starts, startedRun{run, h})
}

// startable reports whether a task waits and the steps before its own are done.
func (j *job) startable(t *task) bool { return t.state == waiting && !j.reassigning && j.due(t) }

// due reports whether the steps before a task's step are done.
func (j *job) due(t *task) bool {
	for _, before := range t.step.DependsOn {
		if before >= 0 && before < len(j.steps) && j.steps[before].left > 0 {
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
		case t.state == complete:
			p.Done = append(p.Done, t.ref.Task)
		case t.fails > 0:
			p.Failed[t.ref.Task] = t.fails
		}
		if t.state != complete {
			p.RecordLosses(t.ref.Task, t.losses)
		}
	}
	return p
}
