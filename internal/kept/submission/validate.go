package submission

import (
	"fmt"
	"time"
)

// Limits of what a submission may request. Sums over a site stay far below the range of an int64.
const (
	maxIDBytes  = 64 // bytes
	maxSteps    = 1024
	maxTasks    = 4096
	maxCPUMilli = 1 << 31 // thousandths of a core
	maxMemMB    = 1 << 40 // megabytes
	maxGPU      = 1 << 31
	maxEstimate = 30 * 24 * time.Hour
)

// InvalidError reports an invalid field of a submission. Its text is sent to callers.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns an error for the first field that no caller may request: more tasks than an entry VM
// can hold, negative resources, which would count as free capacity, or steps that depend on themselves.
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

// validate returns an error for the first invalid field of the step with the index at.
func (s *Step) validate(at int) error {
	bounds := []struct {
		field string
		value int64
		limit int64
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
		if b.value < 0 || b.value > b.limit {
			return &InvalidError{fmt.Sprintf("step %d: %s", at, b.field), fmt.Sprintf("%d is not between 0 and %d", b.value, b.limit)}
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
