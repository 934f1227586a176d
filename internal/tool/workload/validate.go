package workload

import (
	"errors"
	"fmt"
	"math"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Limits of a profile.
const (
	maxDurationMillis = 24 * 3600 * 1000
	maxTimeoutMillis  = 10 * 60 * 1000
	maxUnderWay       = 100_000
	maxRoundTrip      = 1_000_000 // microseconds
	maxEntryVMs       = 64
	maxWorkers        = 1000
	maxRate           = 100_000 // jobs per second of one stream
	maxRunMillis      = 600_000
	maxFactor         = 1000
	maxStreams        = 200
	maxFaults         = 200
)

// FieldError names a field of a profile that can not be used.
type FieldError struct {
	Path    string
	Value   any
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("profile: %s is %v: allowed is %s", e.Path, e.Value, e.Allowed)
}

// checker collects the fields that can not be used.
type checker struct{ faults []error }

func (c *checker) refuse(path string, value any, allowed string) {
	c.faults = append(c.faults, &FieldError{Path: path, Value: value, Allowed: allowed})
}

// within refuses a value outside of [low, high].
func (c *checker) within(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.refuse(path, value, fmt.Sprintf("%v to %v", low, high))
	}
}

// validate reports all fields that can not be used under the document.
func (p *Profile) validate(doc *document.Document) error {
	var c checker
	if p.Name == "" {
		c.refuse("name", `""`, "a name for the report")
	}
	c.within("duration_millis", float64(p.DurationMillis), 1, maxDurationMillis)
	c.within("max_under_way", float64(p.MaxUnderWay), 1, maxUnderWay)
	c.within("answer_timeout_millis", float64(p.AnswerTimeoutMillis), 1, maxTimeoutMillis)
	c.within("round_trip_micros", float64(p.RoundTripMicros), 1, maxRoundTrip)
	c.within("site.entry_vms", float64(p.Site.EntryVMs), float64(len(doc.Site.Domains)), maxEntryVMs)
	c.within("site.workers", float64(p.Site.Workers), float64(len(doc.Site.Domains)), maxWorkers)
	c.within("site.per_rack", float64(p.Site.PerRack), 1, maxWorkers)
	c.within("streams: their number", float64(len(p.Streams)), 1, maxStreams)
	c.within("faults: their number", float64(len(p.Faults)), 0, maxFaults)
	for i := range p.Streams {
		p.Streams[i].validate(&c, fmt.Sprintf("streams[%d]", i), p, doc)
	}
	for i := range p.Faults {
		p.Faults[i].validate(&c, fmt.Sprintf("faults[%d]", i), p)
	}
	return errors.Join(c.faults...)
}

func (s *Stream) validate(c *checker, path string, p *Profile, doc *document.Document) {
	s.validateKey(c, path, doc)
	most := 1.0
	if t := doc.Template(s.Template); t != nil {
		most = float64(t.MaxTasks)
	} else {
		c.refuse(path+".template", s.Template, "a template of the document")
	}
	c.within(path+".jobs_per_second", s.JobsPerSecond, math.SmallestNonzeroFloat64, maxRate)
	c.within(path+".tasks.min", float64(s.Tasks.Min), 1, most)
	c.within(path+".tasks.max", float64(s.Tasks.Max), float64(max(s.Tasks.Min, 1)), most)
	c.within(path+".run_millis", s.RunMillis, 0, maxRunMillis)
	c.within(path+".start_millis", float64(s.StartMillis), 0, float64(p.DurationMillis))
	c.within(path+".resubmit_share", s.ResubmitShare, 0, 1)
	c.within(path+".cancel_share", s.CancelShare, 0, 1-s.ResubmitShare)
	for i, b := range s.Bursts {
		at := fmt.Sprintf("%s.bursts[%d]", path, i)
		c.within(at+".at_millis", float64(b.AtMillis), 0, float64(p.DurationMillis))
		c.within(at+".for_millis", float64(b.ForMillis), 1, float64(p.DurationMillis))
		c.within(at+".factor", b.Factor, 0, maxFactor)
	}
}

func (s *Stream) validateKey(c *checker, path string, doc *document.Document) {
	if doc.Account(s.Account) == nil {
		c.refuse(path+".account", s.Account, "an account of the document")
		return
	}
	if owner := doc.AccountOfKey(s.Key); owner == nil || owner.Name != s.Account {
		c.refuse(path+".key", s.Key, "a key of account "+s.Account)
	}
}

func (f *Fault) validate(c *checker, path string, p *Profile) {
	number, lasting := p.Site.Workers, true
	switch f.Kind {
	case KillEntryVM:
		number, lasting = p.Site.EntryVMs, false
	case KillWorker:
		lasting = false
	case FailEverything, SilentWorker:
	default:
		c.refuse(path+".kind", f.Kind, fmt.Sprintf("one of %v", []FaultKind{KillEntryVM, KillWorker, FailEverything, SilentWorker}))
	}
	c.within(path+".at_millis", float64(f.AtMillis), 0, float64(p.DurationMillis))
	c.within(path+".index", float64(f.Index), 0, float64(number)-1)
	if !lasting && f.ForMillis != 0 {
		c.refuse(path+".for_millis", f.ForMillis, "0: a kill has no end")
	}
}
