// Package verdict decides whether a test run of a site kept the guarantees that
// must always hold, and samples the site's power draw for it.
package verdict

import (
	"fmt"
	"strings"
)

// Counts are the figures by which a run is judged. A figure that cannot be
// obtained, since the site runs elsewhere, stays zero and counts as no violation.
type Counts struct {
	// MaxStartsPerTask is the highest number of starts of any task, by the
	// workers' own records.
	MaxStartsPerTask int
	// WrongAnswers counts "complete" answers with partial output or with the
	// output of another job.
	WrongAnswers int
	// FalseNotRun counts jobs that were answered "not run" while a worker's
	// record shows a start.
	FalseNotRun int
	// ConflictingAnswers counts jobs that got two different final answers.
	ConflictingAnswers int
	// Unanswered counts jobs that got no answer in time.
	Unanswered int
	// PeakToCapRatio is the site's highest power draw divided by its power cap.
	PeakToCapRatio float64
}

// ViolationError lists the guarantees that did not hold.
type ViolationError struct{ Guarantees []string }

func (e *ViolationError) Error() string {
	return "guarantees violated: " + strings.Join(e.Guarantees, "; ")
}

// Check returns a *ViolationError if any guarantee did not hold.
func (c Counts) Check() error {
	var violated []string
	check := func(isViolated bool, format string, args ...any) {
		if isViolated {
			violated = append(violated, fmt.Sprintf(format, args...))
		}
	}
	check(c.MaxStartsPerTask > 1, "a task was started %d times", c.MaxStartsPerTask)
	check(c.WrongAnswers > 0, "%d answers were wrong or partial", c.WrongAnswers)
	check(c.FalseNotRun > 0, "%d jobs were answered \"not run\" but had run", c.FalseNotRun)
	check(c.ConflictingAnswers > 0, "%d jobs got two different answers", c.ConflictingAnswers)
	check(c.Unanswered > 0, "%d jobs got no answer", c.Unanswered)
	check(c.PeakToCapRatio > 1, "the site drew %.3f times its power cap", c.PeakToCapRatio)
	if violated != nil {
		return &ViolationError{violated}
	}
	return nil
}
