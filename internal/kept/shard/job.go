package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// taskState is the state of a task at the holder of its shard.
type taskState uint8

const (
	taskWaiting           taskState = iota
	taskUnlocated                   // an earlier holder may have started it on a worker that has not answered yet
	taskStarting                    // a start order is in flight
	taskRunning                     // its worker has accepted or listed the newest run
	taskUnconfirmed                 // the start order had no answer; the worker is probed
	taskStoppingToRestart           // being stopped, to be started again
	taskStoppingForGood             // being stopped, not to be started again
	taskCompleted                   // a run has completed
	taskEnded                       // not running and not to be started again, though not completed
	taskElsewhere                   // another shard has it, or it was returned to its home VM
)

// task is a task of a job.
type task struct {
	job          *job
	ref          submission.TaskRef
	step         *submission.Step
	state        taskState
	newestRun    uint64          // number of its newest run; 0: none
	host         *host           // where it is starting, running, unconfirmed or being stopped
	stateSince   time.Duration   // when the state began, or its order or probe was last repeated
	startedAt    time.Duration   // when this holder ordered the newest run; 0: another holder did
	progress     policy.Progress // of the newest run
	duration     time.Duration   // of the run that completed; 0: not known
	moveCount    int             // runs that were stopped because their worker delayed them
	acceptClock  time.Duration   // the worker's clock when it accepted the run; 0: not known
	stopAckClock time.Duration   // the worker's clock when it acknowledged the stop; 0: it has not
	stopAckAt    time.Duration   // when that acknowledgement arrived
	failedRuns   []uint64        // numbers of the failed runs, as far as they are known
	startedRuns  []startedRun    // that this holder ordered
	failures     int             // failed runs, including those stored by earlier holders
	checkpoint   string
	avoidHost    *host                    // where it last failed, or was moved away from
	losses       []submission.Loss        // workers that were lost while they ran it
	lossLearntAt map[uint64]time.Duration // when this holder learnt of a loss, by its run
	resumed      bool                     // its newest run was started from a checkpoint
	wasOverdue   bool                     // its newest run was counted as much too long while it went on
	projected    time.Duration            // how long its newest run takes in all, by its latest progress; 0: not known
	markClock    time.Duration            // the worker's clock at the report from which the progress counts
	markPercent  int                      // the progress by then
	usual        policy.Reference         // what its completed run says about its siblings, if usualKnown
	usualKnown   bool
	hasBegun     bool // its newest run is known to have begun
	startedAlone bool // its newest run was started as a suspect, alone on its worker
	joinedLater  bool // its home VM added it to the part under this holder

	attempt         attemptState
	attemptAt       *host              // the worker of the attempt
	mayHaveVanished bool               // an earlier holder may have started a run that no worker lists
	earlierAttempt  submission.Attempt // that an earlier holder has stored, until its outcome is known
	earlierRunBase  uint64             // the runs of that attempt have higher numbers

	lastRelease lastRelease
}

// occupies reports whether the task occupies capacity of its worker.
func (t *task) occupies() bool {
	switch t.state {
	case taskStarting, taskRunning, taskUnconfirmed, taskStoppingToRestart, taskStoppingForGood:
		return t.host != nil
	default:
		return false
	}
}

// startedRun is a run that this holder has ordered.
type startedRun struct {
	run  uint64
	host *host
}

// job is a submission, or the part of one, that this shard has.
type job struct {
	rec           *submission.Record
	revision      uint64
	state         submission.State
	endReason     string
	tasks         []*task
	steps         []stepState
	criticalPath  time.Duration // by the caller's estimates
	tasksLeft     int           // tasks that this shard still has to complete
	submittedAt   time.Duration // when its home VM received it
	receivedAt    time.Duration // when this holder received it
	firstRunAt    time.Duration // when the first run was known to have begun; 0: none yet
	saving        bool          // its progress is being stored
	writeRetryAt  time.Duration // when a write that was not queued is tried again; 0: there is none
	unsavedSince  time.Duration // when the oldest ended run arrived that is not stored; 0: none
	endStored     bool          // its final state is stored, or need not be
	firstFailedOn *host         // the first worker on which a task of it failed
	runBase       uint64        // run numbers begin above it
	token         uint64        // fencing token of the holder
	resumed       bool          // its home VM handed it over after an earlier holder had it
	startSent     bool          // a start of one of its tasks was ordered
	returned      []ReturnedTask
	pastSerials   []uint64      // that the record had here before, of a transient submission
	tasksBefore   int           // tasks of the part that had ended here before those of this job joined it
	reassigning   bool          // its record is being stored under another shard
	reassignAt    time.Duration // earliest time of the next attempt at that
	strandedSince time.Duration // since when no worker here can run what is left of it; 0: one can
	strayCounts   strayCounts   // those of the shard
	confirmation  confirmation  // by the home VM, of a transient submission
}

// stepState is the state of one step of a job.
type stepState struct {
	firstTask int // index of its first task in job.tasks
	tasksLeft int // tasks that this shard still has to complete
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
	j.recordHomeSent(now)
	for si := range r.Record.Steps {
		step := &r.Record.Steps[si]
		j.steps = append(j.steps, stepState{firstTask: len(j.tasks), tasksLeft: step.Count})
		for i := range step.Count {
			ref := submission.Task{Step: si, Index: step.FirstIndex + i}
			j.tasks = append(j.tasks, newTask(j, r.Record, ref, step))
		}
	}
	j.tasksLeft = len(j.tasks)
	for _, e := range r.Record.TasksElsewhere {
		if t := j.task(e); t != nil {
			j.closeTask(t, taskElsewhere)
		}
	}
	for _, d := range r.Record.Progress.Done {
		if t := j.task(d); t != nil && t.state == taskWaiting {
			j.complete(t)
		}
	}
	if runBase > 0 {
		j.state = submission.Running // it may have run under an earlier holder
	}
	return j
}

// newTask returns a waiting task of a record.
func newTask(j *job, rec *submission.Record, ref submission.Task, step *submission.Step) *task {
	return &task{
		job:        j,
		ref:        submission.TaskRef{ID: rec.ID, Task: ref},
		step:       step,
		failures:   rec.Progress.Failed[ref],
		failedRuns: slices.Clone(rec.Progress.FailedRuns[ref]),
		losses:     slices.Clone(rec.Progress.Losses[ref]),
	}
}

// task returns a task of the job, or nil if this shard does not have it. News of a task that another shard
// has must not count here, or this part would be taken for complete while one of its own tasks is left.
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

// hasRunsOnWorkers reports whether any of its tasks occupies a worker.
func (j *job) hasRunsOnWorkers() bool {
	for _, t := range j.tasks {
		if t.occupies() {
			return true
		}
	}
	return false
}

// hasBegun reports whether any of its tasks has, or may have, been sent to a worker, also before others joined them.
func (j *job) hasBegun() bool {
	if j.resumed || j.tasksBefore > 0 {
		return true
	}
	for _, t := range j.tasks {
		if t.newestRun > 0 || t.state == taskCompleted || t.state == taskUnlocated {
			return true
		}
	}
	return false
}

func (j *job) complete(t *task) { j.closeTask(t, taskCompleted) }

// closeTask puts a task into a state in which this shard has nothing left to do for it.
func (j *job) closeTask(t *task, state taskState) {
	t.state = state
	t.host = nil
	j.tasksLeft--
	j.steps[t.ref.Step].tasksLeft--
}

// startedByOther reports whether a run of a transient submission that was newly assigned here was not
// started by this holder. Such a run belongs to an earlier submission attempt, from before its home VM was
// lost, and the caller has submitted all of it again. If its end counted, the answer would be sent before
// all tasks of the present attempt have completed.
func (j *job) startedByOther(t *task, h *host, run uint64) bool {
	return j.rec.Transient && (!j.resumed || t.joinedLater) && !slices.Contains(t.startedRuns, startedRun{run, h})
}

// isStartable reports whether a task waits, no worker lists a run of it, its home VM waits for it if it is transient, and
// the steps that its step depends on are done.
func (j *job) isStartable(t *task) bool {
	return t.state == taskWaiting && !j.reassigning && j.confirmation.overdueAt == 0 && !j.hasStrayRun(t) && j.isDue(t)
}

// isDue reports whether the steps that a task's step depends on are done.
func (j *job) isDue(t *task) bool {
	for _, before := range t.step.DependsOn {
		if before >= 0 && before < len(j.steps) && j.steps[before].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// progress returns the progress of the job in the form in which it is stored.
func (j *job) progress() submission.Progress {
	var p submission.Progress
	for _, t := range j.tasks {
		switch {
		case t.state == taskCompleted:
			p.Done = append(p.Done, t.ref.Task)
		case t.failures > 0:
			p.RecordOutcome(t.ref.Task, t.failures, t.failedRuns...)
		}
		if t.state != taskCompleted {
			p.RecordLosses(t.ref.Task, t.losses)
			switch {
			case t.attempt != noAttempt:
				p.RecordAttempt(t.ref.Task, submission.Attempt{Token: j.token, Worker: t.attemptAt.incarnation, Address: t.attemptAt.info.Address})
			case t.earlierAttempt != submission.Attempt{}:
				p.RecordAttempt(t.ref.Task, t.earlierAttempt)
			}
		}
	}
	return p
}
