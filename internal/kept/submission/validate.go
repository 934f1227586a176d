package submission

import (
	"fmt"
	"time"
)

// Most that a submission may ask for. Sums over a site stay far below what an int64 holds.
const (
	maxIDBytes  = 64 // bytes
	maxSteps    = 1024
	maxTasks    = 4096
	maxCPUMilli = 1 << 31 // thousandths of a core
	maxMemMB    = 1 << 40 // megabytes
	maxGPU      = 1 << 31
	maxEstimate = 30 * 24 * time.Hour
)

// InvalidError says what of a submission cannot be as it is.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return e.Field + ": " + e.Reason }

// Validate reports the first thing in a record that no caller may ask for: counts that do not fit into an
// entry VM, room below zero, which would count as free, or steps that wait for themselves.
func (r *Record) Validate() error {
	if !validID(r.ID) {
		return &InvalidError{"id", fmt.Sprintf("1 to %d letters, digits, - or _", maxIDBytes)}
	}
	if len(r.Steps) == 0 || len(r.Steps) > maxSteps {
		return &InvalidError{"steps", fmt.Sprintf("%d of them, 1 to %d are allowed", len(r.Steps), maxSteps)}
	}
	tasks := 0
	for i := range r.Steps {
		s := &r.Steps[i]
		if err := s.validate(i); err != nil {
			return err
		}
		if tasks += s.Count; tasks > maxTasks {
			return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", maxTasks)}
		}
	}
	if tasks == 0 {
		return &InvalidError{"steps", "no tasks"}
	}
	return nil
}

// validate reports the first fault of the step at a place.
func (s *Step) validate(at int) error {
	bounds := []struct {
		field string
		value int64
		most  int64
	}{
		{"count", int64(s.Count), maxTasks},
		{"first task", int64(s.FirstIndex), maxTasks},
		{"processor", s.CPUMilli, maxCPUMilli},
		{"memory", s.MemMB, maxMemMB},
		{"accelerators", s.GPU, maxGPU},
		{"estimate", int64(s.Estimate), int64(maxEstimate)},
		{"most per worker", int64(s.MaxPerWorker), maxTasks},
	}
	for _, b := range bounds {
		if b.value < 0 || b.value > b.most {
			return &InvalidError{fmt.Sprintf("step %d: %s", at, b.field), fmt.Sprintf("%d is not between 0 and %d", b.value, b.most)}
		}
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= at {
			return &InvalidError{fmt.Sprintf("step %d: steps before it", at), fmt.Sprintf("%d is not an earlier step", a)}
		}
	}
	return nil
}

func validID(id ID) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
