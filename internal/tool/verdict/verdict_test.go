package verdict

import (
	"errors"
	"testing"
)

// A single violated guarantee fails the check; a run at the limits passes.
func TestCheck(t *testing.T) {
	if err := (Counts{MaxStartsPerTask: 1, PeakToCapRatio: 1}).Check(); err != nil {
		t.Errorf("a run that kept its guarantees: %v", err)
	}
	for _, c := range []Counts{
		{MaxStartsPerTask: 2},
		{WrongAnswers: 1},
		{FalseNotRun: 1},
		{ConflictingAnswers: 1},
		{Unanswered: 1},
		{PeakToCapRatio: 1.001},
	} {
		var violation *ViolationError
		if err := c.Check(); !errors.As(err, &violation) || len(violation.Guarantees) != 1 {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
