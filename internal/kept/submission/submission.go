// Package submission holds the type of submissions, their form in the store and
// the validation of what callers may request.
package submission

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// ID identifies a submission. The caller chooses it; sending a request with the
// same ID again refers to the same submission.
type ID string

// State is the state of a submission.
type State uint8

// The states of a submission. Those from Done on are final.
const (
	Unknown State = iota
	Queued
	Running
	Done
	Failed
	Cancelled
	Rejected // has not run and will not run
	Returned // its unfinished tasks were returned to its home VM, for another shard
	// Revoked is stored in place of a final state when a submission was cancelled before it was stored. Callers are shown
	// none until it is submitted; then it is Cancelled.
	Revoked
)

var stateNames = [...]string{"unknown", "queued", "running", "done", "failed", "cancelled", "rejected", "returned", "revoked"}

func (s State) String() string { return stateNames[s] }

// Final reports whether no task of the submission runs or will run.
func (s State) Final() bool { return s >= Done }

// ParseState returns the state with the given name; ok is false if there is none.
func ParseState(name string) (s State, ok bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Unknown, false
}

// MilliPerCore is one core in the unit of CPUMilli.
const MilliPerCore = 1000

// Step is a group of tasks with the same requirements.
type Step struct {
	Count         int           `json:"n"`
	FirstIndex    int           `json:"f,omitempty"` // index of its first task; above 0 if this is a part of a divided step
	CPUMilli      int64         `json:"c,omitempty"` // of each task, in thousandths of a core
	MemMB         int64         `json:"m,omitempty"`
	GPU           int64         `json:"g,omitempty"`
	Estimate      time.Duration `json:"e,omitempty"` // of the duration of one task, by the caller; often far off
	DependsOn     []int         `json:"a,omitempty"` // indexes of steps whose tasks must all be done first
	Checkpointing bool          `json:"k,omitempty"`
	RequiredLabel string        `json:"l,omitempty"` // label that the worker must have
	DataRack      string        `json:"d,omitempty"` // rack with the data; a task takes longer elsewhere
	MaxPerWorker  int           `json:"p,omitempty"` // maximum of the step's tasks on one worker; 0: no limit
}

// SizeMilli returns the processor of a task in thousandths of a core, at least 1: sizes are divided by.
func (s *Step) SizeMilli() int64 { return max(s.CPUMilli, 1) }

// Terms are the rules of the queue at the time of the submission. They are stored
// with it, as the queue may be removed from the configuration before it ends.
type Terms struct {
	Service  string        `json:"s"`           // service whose workers run it
	Priority int           `json:"p,omitempty"` // lower values are served first
	Attempts int           `json:"a"`           // failed runs of one task after which the submission has failed
	Stretch  float64       `json:"x"`           // the objective is Stretch times the critical path, plus Target
	Target   time.Duration `json:"t"`
}

// LateFactor is how many times its objective a submission may take and still be of use
// to its caller.
const LateFactor = 3

// Objective returns the time within which a submission with the given critical path should be
// done.
func (t *Terms) Objective(criticalPath time.Duration) time.Duration {
	return timespan.Add(timespan.Times(criticalPath, t.Stretch), t.Target)
}

// Progress is the stored progress of an unfinished submission.
type Progress struct {
	Done   []Task       `json:"d,omitempty"` // completed tasks
	Failed map[Task]int `json:"f,omitempty"` // number of failed runs, of tasks that are not done
	// FailedRuns are the numbers of these runs. Runs that an earlier release counted are missing.
	FailedRuns map[Task][]uint64 `json:"i,omitempty"`
	// Attempts are starts that a holder was about to order, of tasks whose losses the next holder
	// must not miss.
	Attempts map[Task]Attempt `json:"m,omitempty"`
	Losses   map[Task][]Loss  `json:"l,omitempty"` // losses of workers that ran them, of tasks that are not done
}

// Record is a submission as it is stored.
type Record struct {
	ID    ID     `json:"-"` // the key
	Queue string `json:"q"`
	Spec  string `json:"b"` // opaque to the system
	Steps []Step `json:"s"`
	Terms Terms  `json:"t"`
	Shard string `json:"h"` // the shard whose workers may run its tasks
	Token uint64 `json:"k"` // fencing token of the shard when this was stored
	Home  string `json:"v"` // the entry VM that accepted it
	// Transient submissions are not stored. Their caller waits for the end and sends
	// them again if it gets no answer. They may then run again from the start, but
	// never twice at the same time.
	Transient bool `json:"r,omitempty"`
	Partial   bool `json:"u,omitempty"` // the submission is divided, and other shards have its other tasks
	// Serial distinguishes the attempts at a transient submission. It is new when the caller
	// sends the submission again, and when the home VM assigns a rejected part again; it
	// stays when the home VM only resends the record to a shard's holder.
	Serial uint64 `json:"z,omitempty"`
	// CallerTimeout is how long the caller of a transient submission waits; 0: not known.
	CallerTimeout time.Duration `json:"w,omitempty"`
	// Age is how long ago the home VM received a transient submission when it sent it to the
	// shard's holder. Its objective counts from when it was received.
	Age time.Duration `json:"y,omitempty"`
	// HomeAnswers says that the home VM of a transient submission answers holders that ask whether it still waits for
	// their parts. Records of earlier releases lack it.
	HomeAnswers bool `json:"j,omitempty"`

	Progress Progress `json:"p,omitzero"`
	// TasksElsewhere are tasks within the steps that do not belong to this part: they have completed, or
	// another shard has them.
	TasksElsewhere []Task `json:"o,omitempty"`
	// MaxRunElsewhere is the highest run number that was used at other shards.
	MaxRunElsewhere uint64 `json:"n,omitempty"`
	// Moves is how often a stored submission was moved to another shard, as no worker of its own could run it.
	Moves uint32 `json:"x,omitempty"`
}

// TaskCount is the number of the record's tasks in all steps.
func (r *Record) TaskCount() int {
	n := -len(r.TasksElsewhere)
	for _, s := range r.Steps {
		n += s.Count
	}
	return n
}

// CriticalPath is the largest sum of estimates along a chain of dependent steps.
func (r *Record) CriticalPath() time.Duration {
	longest := make([]time.Duration, len(r.Steps))
	var longestPath time.Duration
	for i := range r.Steps {
		step := &r.Steps[i]
		var before time.Duration
		for _, a := range step.DependsOn {
			if a >= 0 && a < i {
				before = max(before, longest[a])
			}
		}
		longest[i] = before + step.Estimate
		longestPath = max(longestPath, longest[i])
	}
	return longestPath
}

// HasTask reports whether a task belongs to the record.
func (r *Record) HasTask(t Task) bool {
	if t.Step < 0 || t.Step >= len(r.Steps) {
		return false
	}
	s := &r.Steps[t.Step]
	return t.Index >= s.FirstIndex && t.Index < s.FirstIndex+s.Count && !slices.Contains(r.TasksElsewhere, t)
}

// AllTasks returns the record's tasks.
func (r *Record) AllTasks() []Task {
	var out []Task
	for step := range r.Steps {
		s := &r.Steps[step]
		for i := range s.Count {
			if t := (Task{Step: step, Index: s.FirstIndex + i}); !slices.Contains(r.TasksElsewhere, t) {
				out = append(out, t)
			}
		}
	}
	return out
}

// RecordOutcome records that a task has completed (failedRuns is 0), or how many of its runs have
// failed, with their numbers as far as they are known. Workers may list the end of a run again, so
// a run must not be counted twice.
func (p *Progress) RecordOutcome(t Task, failedRuns int, runs ...uint64) {
	if failedRuns == 0 {
		p.Done = append(p.Done, t)
		return
	}
	if p.Failed == nil {
		p.Failed = make(map[Task]int)
	}
	if p.FailedRuns == nil {
		p.FailedRuns = make(map[Task][]uint64)
	}
	for _, run := range runs {
		if !slices.Contains(p.FailedRuns[t], run) {
			p.FailedRuns[t] = append(p.FailedRuns[t], run)
		}
	}
	p.Failed[t] = max(p.Failed[t], failedRuns, len(p.FailedRuns[t]))
}

// Encode returns the stored form of a record.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("submission: cannot encode a record: " + err.Error())
	}
	return b
}

// DecodeError reports a stored record that cannot be decoded.
type DecodeError struct {
	ID  ID
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("record of submission %s: %v", e.ID, e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeRecord decodes and validates a stored record.
func DecodeRecord(id ID, value []byte) (*Record, error) {
	r := &Record{ID: id}
	err := json.Unmarshal(value, r)
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		return nil, &DecodeError{ID: id, Err: err}
	}
	return r, nil
}

// Task names one task of a submission.
type Task struct {
	Step, Index int
}

// MarshalText encodes a task as "step.index", which allows tasks as keys of JSON objects.
func (t Task) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, int64(t.Step), 10)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(t.Index), 10), nil
}

// UnmarshalText decodes "step.index".
func (t *Task) UnmarshalText(text []byte) error {
	step, index, ok := strings.Cut(string(text), ".")
	if !ok {
		return fmt.Errorf("task %q is not of the form step.index", text)
	}
	var err error
	if t.Step, err = strconv.Atoi(step); err != nil {
		return err
	}
	t.Index, err = strconv.Atoi(index)
	return err
}

// TaskRef names a task within the site.
type TaskRef struct {
	ID ID
	Task
}

// Compare orders tasks by submission, step and index.
func (r TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(r.ID, o.ID), cmp.Compare(r.Step, o.Step), cmp.Compare(r.Index, o.Index))
}

// Key prefixes of submissions in the store. Unfinished and ended ones are separate, so
// that an entry VM that starts reads only the unfinished ones.
const (
	OpenPrefix  = "pumiceyard/open/"
	FinalPrefix = "pumiceyard/final/"
)

// OpenKey is the key of an unfinished submission's record.
func OpenKey(id ID) string { return OpenPrefix + string(id) }

// FinalKey is the key of an ended submission's state.
func FinalKey(id ID) string { return FinalPrefix + string(id) }
