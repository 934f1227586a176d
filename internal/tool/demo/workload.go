package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Deployment is a sample site: its configuration and its callers' habits.
type Deployment struct {
	Name     string
	Document *document.Document
	Domains  []string
	PerRack  int
	Streams  []Stream
}

// Stream is one kind of job that callers submit at a steady rate.
type Stream struct {
	Account   string
	Key       string
	Template  string
	PerSecond float64
	Tasks     int
	Run       time.Duration // mean of one task
	After     time.Duration // start of the load
}

// warmUp is when wide jobs begin: at a cold start every worker is on probation,
// with one task at a time, until it has completed a few.
const warmUp = time.Second

// deployments are the habits of the two users at their present size.
var deployments = map[string]struct {
	perRack int
	streams []Stream
}{
	"tsagaan-shavar": {6, []Stream{
		{"foremen", "demo-foremen-key", "availability-check", 120, 2, 50 * time.Millisecond, 0},
		{"site-managers", "demo-site-managers-key", "availability-check", 60, 4, 60 * time.Millisecond, 0},
		{"desk", "demo-desk-key", "crew-assignment", 20, 1, 150 * time.Millisecond, 0},
		{"homeowners", "demo-homeowners-key", "price-quote", 8, 8, 300 * time.Millisecond, 0},
		{"planning", "demo-planning-key", "week-plan", 0.4, 60, time.Second, warmUp},
	}},
	"ventilsvaz": {8, []Stream{
		{"distributors", "demo-distributors-key", "fit-check", 100, 2, 50 * time.Millisecond, 0},
		{"members", "demo-members-key", "part-lookup", 120, 1, 30 * time.Millisecond, 0},
		{"members", "demo-members-key", "manifold-build", 0.3, 400, 300 * time.Millisecond, warmUp},
		{"workshop-zlin", "demo-workshop-zlin-key", "order", 20, 1, 100 * time.Millisecond, 0},
		{"workshop-brno", "demo-workshop-brno-key", "fit-check", 20, 6, 60 * time.Millisecond, 0},
	}},
}

// Names lists the deployments.
func Names() []string { return []string{"tsagaan-shavar", "ventilsvaz"} }

// Load returns a sample deployment.
func Load(name string) (*Deployment, error) {
	habits, ok := deployments[name]
	if !ok {
		return nil, fmt.Errorf("no deployment %q: there are %v", name, Names())
	}
	text, err := deploy.Files.ReadFile(name + "/document.json")
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Name: name, Document: doc, PerRack: habits.perRack, Streams: habits.streams}
	for domain := range doc.Site.Domains {
		d.Domains = append(d.Domains, domain)
	}
	return d, nil
}

// taskInput is what the demo's workers understand.
type taskInput struct {
	RunMicros int64 `json:"run_micros"`
	Echo      int   `json:"echo"`
	// Fail makes the task fail after its run time, with this text.
	Fail string `json:"fail,omitempty"`
}

// Behaviour runs a task for the time its input names and returns its number, so
// that an answer with a wrong or missing part is noticed.
func Behaviour(_ string, input []byte) worker.Outcome {
	var in taskInput
	if err := json.Unmarshal(input, &in); err != nil {
		return worker.Outcome{Failure: "not a demo task"}
	}
	out, _ := json.Marshal(in.Echo)
	return worker.Outcome{Run: time.Duration(in.RunMicros) * time.Microsecond, Output: out, Failure: in.Fail}
}

// tasks draws the tasks of one job and returns the run time of the longest.
func (s *Stream) tasks(rng *rand.Rand, base int) ([]json.RawMessage, time.Duration) {
	out := make([]json.RawMessage, s.Tasks)
	var longest time.Duration
	for i := range out {
		run := time.Duration(float64(s.Run) * (0.6 + 0.8*rng.Float64()))
		longest = max(longest, run)
		out[i], _ = json.Marshal(taskInput{RunMicros: run.Microseconds(), Echo: base + i})
	}
	return out, longest
}

// checkEcho reports whether an answer holds exactly the outputs of its own job.
func checkEcho(outputs []json.RawMessage, tasks, base int) bool {
	if len(outputs) != tasks {
		return false
	}
	for i, o := range outputs {
		var n int
		if json.Unmarshal(o, &n) != nil || n != base+i {
			return false
		}
	}
	return true
}
