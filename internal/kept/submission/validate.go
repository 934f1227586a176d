package submission

import (
	"fmt"
	"time"
)

// Most that a submission may ask for. Sums over a site stay far below what an int64 holds.
const (
	idMost       = 64 // bytes
	stepsMost    = 1024
	tasksMost    = 4096
	cpuMost      = 1 << 31 // thousandths of a core
	memMost      = 1 << 40 // megabytes
	gpuMost      = 1 << 31
	estimateMost = 30 * 24 * time.Hour
)

// InvalidError says what of a submission cannot be as it is.
type InvalidError struct {
	Field string
	Why   string
}

func (e *InvalidError) Error() string { return e.Field + ": " + e.Why }

// Validate reports the first thing in a record that no caller may ask for: counts that do not fit into an
// entry VM, room below zero, which would count as free, or steps that wait for themselves.
func (r *Record) Validate() error {
	if !validID(r.ID) {
		return &InvalidError{"id", fmt.Sprintf("1 to %d letters, digits, - or _", idMost)}
	}
	if len(r.Steps) == 0 || len(r.Steps) > stepsMost {
		return &InvalidError{"steps", fmt.Sprintf("%d of them, 1 to %d are allowed", len(r.Steps), stepsMost)}
	}
	tasks := 0
	for i := range r.Steps {
		s := &r.Steps[i]
		if err := s.validate(i); err != nil {
			return err
		}
		if tasks += s.Count; tasks > tasksMost {
			return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", tasksMost)}
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
		{"count", int64(s.Count), tasksMost},
		{"first task", int64(s.First), tasksMost},
		{"processor", s.CPUMilli, cpuMost},
		{"memory", s.MemMB, memMost},
		{"accelerators", s.GPU, gpuMost},
		{"estimate", int64(s.Estimate), int64(estimateMost)},
		{"most per worker", int64(s.MaxPerWorker), tasksMost},
	}
	for _, b := range bounds {
		if b.value < 0 || b.value > b.most {
			return &InvalidError{fmt.Sprintf("step %d: %s", at, b.field), fmt.Sprintf("%d is not between 0 and %d", b.value, b.most)}
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= at {
			return &InvalidError{fmt.Sprintf("step %d: steps before it", at), fmt.Sprintf("%d is not an earlier step", a)}
		}
	}
	return nil
}

func validID(id ID) bool {
	if id == "" || len(id) > idMost {
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
