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
}

// Behaviour runs a task for the time its input names and returns its number, so
// that an answer with a wrong or missing part is noticed.
func Behaviour(_ string, input []byte) worker.Outcome {
	var in TaskInput
	if err := json.Unmarshal(input, &in); err != nil {
		return worker.Outcome{Failure: "not a task of the load"}
	}
	out, _ := json.Marshal(in.Echo)
	return worker.Outcome{Run: time.Duration(in.RunMicros) * time.Microsecond, Output: out}
}

// Tasks returns the inputs of the job's tasks.
func (a *Arrival) Tasks() []json.RawMessage {
	out := make([]json.RawMessage, len(a.Runs))
	for i, run := range a.Runs {
		out[i], _ = json.Marshal(TaskInput{run.Microseconds(), a.First + i})
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
