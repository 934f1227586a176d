// Package submission holds what a caller hands in to be kept, and the record of
// it in the store.
package submission

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ID identifies a submission. The caller chooses it; submitting under it again
// is the same submission.
type ID string

// State is how far a submission is.
type State uint8

// The states of a submission. Those from Done on are final.
const (
	Unknown State = iota
	Queued
	Running
	Done
	Failed
	Cancelled
	Rejected // has not run, and will not
	Returned // what is left of it was given back to its home, for another shard
)

var stateNames = [...]string{"unknown", "queued", "running", "done", "failed", "cancelled", "rejected", "returned"}

func (s State) String() string { return stateNames[s] }

// Final reports whether nothing of the submission runs or will run.
func (s State) Final() bool { return s >= Done }

// ParseState reads the name of a state; ok is false for any other text.
func ParseState(name string) (s State, ok bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Unknown, false
}

// MilliPerCore is a core in the unit of CPUMilli.
const MilliPerCore = 1000

// Step is a group of equal tasks.
type Step struct {
	Count         int           `json:"n"`
	FirstIndex    int           `json:"f,omitempty"` // index of its first task: a part of a step begins above 0
	CPUMilli      int64         `json:"c,omitempty"` // of each task, in thousandths of a core
	MemMB         int64         `json:"m,omitempty"`
	GPU           int64         `json:"g,omitempty"`
	Estimate      time.Duration `json:"e,omitempty"` // of one task; the caller's, often far off
	DependsOn     []int         `json:"a,omitempty"` // steps whose tasks must all be done first
	Checkpointing bool          `json:"k,omitempty"`
	RequiredLabel string        `json:"l,omitempty"` // that the worker must have
	DataRack      string        `json:"d,omitempty"` // rack with the data; elsewhere a task takes longer
	MaxPerWorker  int           `json:"p,omitempty"` // 0: any number on one worker
}

// Terms are the queue's rules at the time of the submission. They are kept with
// it, as the queue may be removed from the configuration before it ends.
type Terms struct {
	Service  string        `json:"s"`           // whose workers run it
	Priority int           `json:"p,omitempty"` // 0 comes first
	Attempts int           `json:"a"`           // runs of a task that may fail before the submission has failed
	Stretch  float64       `json:"x"`           // objective: Stretch times the longest chain, plus Target
	Target   time.Duration `json:"t"`
}

// LateFactor is how many times its objective a submission may take and still be of use
// to its caller.
const LateFactor = 3

// Objective is the time in which a submission should be done whose longest chain of steps
// takes so long.
func (t *Terms) Objective(chain time.Duration) time.Duration {
	return time.Duration(t.Stretch*float64(chain)) + t.Target
}

// Progress is what has been stored of an unfinished submission's runs.
type Progress struct {
	Done   []Task          `json:"d,omitempty"` // tasks that have ended well
	Failed map[Task]int    `json:"f,omitempty"` // failed runs of the others
	Losses map[Task][]Loss `json:"l,omitempty"` // workers that were lost under the others
}

// Record is a submission as the store keeps it.
type Record struct {
	ID    ID     `json:"-"` // the key
	Queue string `json:"q"`
	Spec  string `json:"b"` // opaque to the system
	Steps []Step `json:"s"`
	Terms Terms  `json:"t"`
	Shard string `json:"h"` // the shard whose workers may run its tasks
	Token uint64 `json:"k"` // the shard's token when this was stored
	Home  string `json:"v"` // the entry VM that took it
	// Transient submissions are not stored. Their caller waits for the end and sends
	// them again if it gets no answer; they may then run again from the start, but
	// never twice at the same time.
	Transient bool `json:"r,omitempty"`
	Partial   bool `json:"u,omitempty"` // other shards have the other tasks
	// Serial tells the hand-ins of a transient submission apart: a caller that sends it
	// again makes a new one, a home that hands it over again does not.
	Serial uint64 `json:"z,omitempty"`
	// Patience is how long the caller of a transient submission waits; 0: not known.
	CallerTimeout time.Duration `json:"w,omitempty"`
	// Age is for how long a transient submission had been at its home when it was handed to
	// the holder: its objective runs from when it came.
	Age      time.Duration `json:"y,omitempty"`
	Progress Progress      `json:"p,omitzero"`
	// Elsewhere are tasks of the steps that are not this part's: they have completed, or another
	// shard has them.
	TasksElsewhere []Task `json:"o,omitempty"`
	// MaxRunElsewhere is the highest number that runs at other shards had.
	MaxRunElsewhere uint64 `json:"n,omitempty"`
}

// Tasks is the number of the record's tasks, of all steps.
func (r *Record) TaskCount() int {
	n := -len(r.TasksElsewhere)
	for _, s := range r.Steps {
		n += s.Count
	}
	return n
}

// Chain is the longest run of estimates along the steps that depend on each other.
func (r *Record) CriticalPath() time.Duration {
	longest := make([]time.Duration, len(r.Steps))
	var most time.Duration
	for i := range r.Steps {
		step := &r.Steps[i]
		var before time.Duration
		for _, a := range step.DependsOn {
			if a >= 0 && a < i {
				before = max(before, longest[a])
			}
		}
		longest[i] = before + step.Estimate
		most = max(most, longest[i])
	}
	return most
}

// Has reports whether a task is one of the record's.
func (r *Record) HasTask(t Task) bool {
	if t.Step < 0 || t.Step >= len(r.Steps) {
		return false
	}
	s := &r.Steps[t.Step]
	return t.Index >= s.FirstIndex && t.Index < s.FirstIndex+s.Count && !slices.Contains(r.TasksElsewhere, t)
}

// All returns the record's tasks.
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

// Note takes what has become of a task: the number of its runs that have failed, or 0
// if it has completed.
func (p *Progress) RecordOutcome(t Task, fails int) {
	if fails == 0 {
		p.Done = append(p.Done, t)
		return
	}
	if p.Failed == nil {
		p.Failed = make(map[Task]int)
	}
	p.Failed[t] = max(p.Failed[t], fails)
}

// Encode returns the value of a record in the store.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("submission: a record has no JSON form: " + err.Error())
	}
	return b
}

// DecodeError says that a stored record cannot be read.
type DecodeError struct {
	ID  ID
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("record of submission %s: %v", e.ID, e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeRecord reads a record from its value in the store.
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

// MarshalText makes tasks keys of JSON objects: "step.index".
func (t Task) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, int64(t.Step), 10)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(t.Index), 10), nil
}

// UnmarshalText reads "step.index".
func (t *Task) UnmarshalText(text []byte) error {
	step, index, ok := strings.Cut(string(text), ".")
	if !ok {
		return fmt.Errorf("task %q is not step.index", text)
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

// Keys of submissions in the store. Unfinished and final ones lie apart, so that
// an entry VM that starts reads the unfinished ones only.
const (
	OpenPrefix  = "pumiceyard/open/"
	FinalPrefix = "pumiceyard/final/"
)

// OpenKey is the key of an unfinished submission's record.
func OpenKey(id ID) string { return OpenPrefix + string(id) }

// FinalKey is the key of an ended submission's state.
func FinalKey(id ID) string { return FinalPrefix + string(id) }
