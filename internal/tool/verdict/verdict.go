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
	// HighestStarts is how often the task with the most starts was started, by
	// the workers' own records.
	HighestStarts int
	// Wrong counts complete answers that were partial or another job's.
	Wrong int
	// FalseNotRun counts jobs that were answered "not run" while a worker's
	// record shows a start.
	FalseNotRun int
	// Contradicted counts jobs that got two different final answers.
	Contradicted int
	// Unresolved counts jobs that got no answer in time.
	Unresolved int
	// PeakOverCap is the site's highest draw over its power cap.
	PeakOverCap float64
}

// BrokenError names the promises that did not hold.
type BrokenError struct{ Promises []string }

func (e *BrokenError) Error() string { return "broken: " + strings.Join(e.Promises, "; ") }

// Check returns a *BrokenError when a promise did not hold.
func (c Counts) Check() error {
	var broken []string
	note := func(bad bool, format string, args ...any) {
		if bad {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	note(c.HighestStarts > 1, "a task was started %d times", c.HighestStarts)
	note(c.Wrong > 0, "%d answers were wrong or partial", c.Wrong)
	note(c.FalseNotRun > 0, "%d jobs were answered not run and had run", c.FalseNotRun)
	note(c.Contradicted > 0, "%d jobs got two different answers", c.Contradicted)
	note(c.Unresolved > 0, "%d jobs got no answer", c.Unresolved)
	note(c.PeakOverCap > 1, "the site drew %.3f times its power cap", c.PeakOverCap)
	if broken != nil {
		return &BrokenError{broken}
	}
	return nil
}
