// Package workload describes the jobs that callers of a site submit, for the
// tools that drive one: a profile read from JSON, the seeded schedule of
// arrivals drawn from it, the tasks of each job and the check of its answer.
package workload

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Profile is a load: who submits what, how often, and what goes wrong.
type Profile struct {
	Name string `json:"name"`
	// Document names the folder of the sample deployment whose document.json is
	// in force.
	Document string `json:"document"`
	// Seed fixes every arrival and the size of every task.
	Seed uint64 `json:"seed"`
	// DurationMillis is how long jobs arrive, in milliseconds.
	DurationMillis uint32 `json:"duration_millis"`
	// MaxUnderWay bounds the jobs that wait for their answer at a time.
	MaxUnderWay uint32 `json:"max_under_way"`
	// AnswerTimeoutMillis bounds one job with its repeats, from its submission.
	AnswerTimeoutMillis uint32 `json:"answer_timeout_millis"`
	// RoundTripMicros is a caller's own round trip, part of the ideal response,
	// in microseconds.
	RoundTripMicros uint32   `json:"round_trip_micros"`
	Site            Site     `json:"site"`
	Streams         []Stream `json:"streams"`
	// Faults are injected into an in-process site only.
	Faults []Fault `json:"faults,omitempty"`
}

// Site is the size of the in-process site.
type Site struct {
	EntryVMs uint32 `json:"entry_vms"`
	Workers  uint32 `json:"workers"`
	PerRack  uint32 `json:"per_rack"` // workers
}

// Stream is one kind of job that one client account submits.
type Stream struct {
	Account       string  `json:"account"`
	Key           string  `json:"key"`
	Template      string  `json:"template"`
	JobsPerSecond float64 `json:"jobs_per_second"` // mean of Poisson arrivals
	Tasks         Range   `json:"tasks"`           // per job, each count as likely
	RunMillis     float64 `json:"run_millis"`      // mean of one task
	// StartMillis is when the stream's load begins, in milliseconds. At a cold
	// start every worker is on probation, with one task at a time, until it has
	// completed a few.
	StartMillis uint32  `json:"start_millis,omitempty"`
	Bursts      []Burst `json:"bursts,omitempty"`
	// ResubmitShare is the part of the jobs that is submitted again under the
	// same ticket on another endpoint while it runs.
	ResubmitShare float64 `json:"resubmit_share,omitempty"`
	// CancelShare is the part of the jobs that is cancelled while it runs.
	CancelShare float64 `json:"cancel_share,omitempty"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min uint32 `json:"min"`
	Max uint32 `json:"max"`
}

// Burst multiplies the rate of a stream for a while.
type Burst struct {
	AtMillis  uint32  `json:"at_millis"`
	ForMillis uint32  `json:"for_millis"`
	Factor    float64 `json:"factor"`
}

// FaultKind is what a Fault does.
type FaultKind string

// The kinds of faults.
const (
	KillEntryVM    FaultKind = "kill_entry_vm"
	KillWorker     FaultKind = "kill_worker"
	FailEverything FaultKind = "fail_everything" // a worker fails each task at once
	SilentWorker   FaultKind = "silent_worker"   // a worker takes messages and answers none
)

// Fault is one fault of the in-process site.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	AtMillis uint32    `json:"at_millis"`
	// Index is the entry VM's or the worker's number in the order of its start.
	Index uint32 `json:"index"`
	// ForMillis is how long the fault lasts; 0: to the end. Kills have no end.
	ForMillis uint32 `json:"for_millis,omitempty"`
}

func millis[T uint32 | float64](n T) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}

// Duration is how long jobs arrive.
func (p *Profile) Duration() time.Duration { return millis(p.DurationMillis) }

// SetDuration replaces how long jobs arrive. What the profile has planned for
// later does not come about.
func (p *Profile) SetDuration(d time.Duration) error {
	if d < time.Millisecond || d > maxDurationMillis*time.Millisecond {
		return &FieldError{Path: "duration", Value: d, Allowed: "1ms to 24h"}
	}
	p.DurationMillis = uint32(d.Milliseconds())
	return nil
}

// AnswerTimeout bounds one job with its repeats.
func (p *Profile) AnswerTimeout() time.Duration { return millis(p.AnswerTimeoutMillis) }

// RoundTrip is a caller's own round trip.
func (p *Profile) RoundTrip() time.Duration {
	return time.Duration(p.RoundTripMicros) * time.Microsecond
}

// At is when the fault begins, after the start of the load.
func (f *Fault) At() time.Duration { return millis(f.AtMillis) }

// For is how long the fault lasts.
func (f *Fault) For() time.Duration { return millis(f.ForMillis) }

// At is when the burst begins, after the start of the load.
func (b *Burst) At() time.Duration { return millis(b.AtMillis) }

// End is when the burst ends, after the start of the load.
func (b *Burst) End() time.Duration { return millis(b.AtMillis) + millis(b.ForMillis) }

// Steady returns the profile without bursts, repeats, cancellations and faults.
func (p *Profile) Steady() *Profile {
	steady := *p
	steady.Faults = nil
	steady.Streams = slices.Clone(p.Streams)
	for i := range steady.Streams {
		s := &steady.Streams[i]
		s.Bursts, s.ResubmitShare, s.CancelShare = nil, 0, 0
	}
	return &steady
}

// Parse reads a profile. Unknown fields are refused: a misspelt one would
// otherwise be dropped, and the run would not be the one that was asked for.
func Parse(text []byte) (*Profile, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	p := new(Profile)
	if err := d.Decode(p); err != nil {
		return nil, fmt.Errorf("profile: byte %d: %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("profile: byte %d: text after the profile", d.InputOffset())
	}
	doc, err := documentOf(p.Document)
	if err != nil {
		return nil, err
	}
	return p, p.validate(doc)
}

// sampleFolders are the folders of package deploy that hold a document.
var sampleFolders = []string{"tsagaan-shavar", "ventilsvaz"}

// samples are the profiles in package deploy, by name.
var samples = map[string]string{
	"tsagaan-shavar": "tsagaan-shavar/load.json",
	"ventilsvaz":     "ventilsvaz/load.json",
	"burst":          "burst.json",
}

// Load reads the sample profile of that name, or else the file.
func Load(nameOrPath string) (*Profile, error) {
	path, sample := samples[nameOrPath]
	read := os.ReadFile
	if sample {
		read = deploy.Files.ReadFile
	} else {
		path = nameOrPath
	}
	text, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("profile: neither a sample (tsagaan-shavar, ventilsvaz, burst) nor a file: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Configuration returns the document that is in force under the load.
func (p *Profile) Configuration() (*document.Document, error) { return documentOf(p.Document) }

func documentOf(folder string) (*document.Document, error) {
	if !slices.Contains(sampleFolders, folder) {
		return nil, &FieldError{Path: "document", Value: folder, Allowed: fmt.Sprintf("one of %v", sampleFolders)}
	}
	text, err := deploy.Files.ReadFile(folder + "/document.json")
	if err != nil {
		return nil, err
	}
	return document.Parse(text)
}

// Domains lists the failure domains of a document, by name.
func Domains(d *document.Document) []string {
	var out []string
	for domain := range d.Site.Domains {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}

// Scale multiplies how often every stream submits jobs.
func (p *Profile) Scale(factor float64) {
	for i := range p.Streams {
		p.Streams[i].JobsPerSecond *= factor
	}
}
