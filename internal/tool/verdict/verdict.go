// Package verdict says whether a run of a site kept the promises that must
// always hold.
package verdict

import (
	"fmt"
	"strings"
)

// Counts are what a run is judged by. Zero values of figures that could not be
// had, for a site that runs elsewhere, break no promise.
type Counts struct {
	// MaxStartsPerTask is how often the task with the most starts was started, by
	// the workers' own records.
	MaxStartsPerTask int
	// Wrong counts complete answers that were partial or another job's.
	WrongAnswers int
	// FalseNotRun counts jobs that were answered "not run" while a worker's
	// record shows a start.
	FalseNotRun int
	// Contradicted counts jobs that got two different final answers.
	ConflictingAnswers int
	// Unresolved counts jobs that got no answer in time.
	Unanswered int
	// PeakToCapRatio is the site's highest draw over its power cap.
	PeakToCapRatio float64
}

// ViolationError names the promises that did not hold.
type ViolationError struct{ Guarantees []string }

func (e *ViolationError) Error() string { return "broken: " + strings.Join(e.Guarantees, "; ") }

// Check returns a *ViolationError when a promise did not hold.
func (c Counts) Check() error {
	var violated []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			violated = append(violated, fmt.Sprintf(format, args...))
		}
	}
	check(c.MaxStartsPerTask > 1, "a task was started %d times", c.MaxStartsPerTask)
	check(c.WrongAnswers > 0, "%d answers were wrong or partial", c.WrongAnswers)
	check(c.FalseNotRun > 0, "%d jobs were answered not run and had run", c.FalseNotRun)
	check(c.ConflictingAnswers > 0, "%d jobs got two different answers", c.ConflictingAnswers)
	check(c.Unanswered > 0, "%d jobs got no answer", c.Unanswered)
	check(c.PeakToCapRatio > 1, "the site drew %.3f times its power cap", c.PeakToCapRatio)
	if violated != nil {
		return &ViolationError{violated}
	}
	return nil
}
