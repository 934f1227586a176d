package workload

import (
	"encoding/json"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
)

// TaskInput is what the tools' worker stand-ins understand.
type TaskInput struct {
	RunMicros int64 `json:"run_micros"`
	Echo      int   `json:"echo"` // the task's number, which is its output
	// Fail is the report of a task that fails; empty: it succeeds.
	Fail string `json:"fail,omitempty"`
}

// Behaviour runs a task for the time its input names and returns its number, so
// that an answer with a wrong or missing part is noticed, or fails as it asks.
func Behaviour(_ string, input []byte) worker.Outcome {
	var in TaskInput
	if err := json.Unmarshal(input, &in); err != nil {
		return worker.Outcome{Failure: "not a task of the load"}
	}
	run := time.Duration(in.RunMicros) * time.Microsecond
	if in.Fail != "" {
		return worker.Outcome{Run: run, Failure: in.Fail}
	}
	out, _ := json.Marshal(in.Echo)
	return worker.Outcome{Run: run, Output: out}
}

// Tasks returns the inputs of the job's tasks.
func (a *Arrival) Tasks() []json.RawMessage {
	out := make([]json.RawMessage, len(a.Runs))
	for i, run := range a.Runs {
		out[i], _ = json.Marshal(TaskInput{RunMicros: run.Microseconds(), Echo: a.First + i})
	}
	return out
}

// Answered reports whether the outputs are exactly those of the job.
func (a *Arrival) Answered(outputs []json.RawMessage) bool {
	if len(outputs) != len(a.Runs) {
		return false
	}
	for i, o := range outputs {
		var n int
		if json.Unmarshal(o, &n) != nil || n != a.First+i {
			return false
		}
	}
	return true
}
