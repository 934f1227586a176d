package verdict

import (
	"errors"
	"testing"
)

// Each broken promise alone turns the verdict; a run at the bounds passes.
func TestCheck(t *testing.T) {
	if err := (Counts{MaxStartsPerTask: 1, PeakToCapRatio: 1}).Check(); err != nil {
		t.Errorf("a run that kept its promises: %v", err)
	}
	for _, c := range []Counts{
		{MaxStartsPerTask: 2},
		{WrongAnswers: 1},
		{FalseNotRun: 1},
		{ConflictingAnswers: 1},
		{Unanswered: 1},
		{PeakToCapRatio: 1.001},
	} {
		var broken *ViolationError
		if err := c.Check(); !errors.As(err, &broken) || len(broken.Guarantees) != 1 {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
