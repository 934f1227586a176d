package verdict

import (
	"errors"
	"testing"
)

// Each broken promise alone turns the verdict; a run at the bounds passes.
func TestCheck(t *testing.T) {
	if err := (Counts{HighestStarts: 1, PeakOverCap: 1}).Check(); err != nil {
		t.Errorf("a run that kept its promises: %v", err)
	}
	for _, c := range []Counts{
		{HighestStarts: 2},
		{Wrong: 1},
		{FalseNotRun: 1},
		{Contradicted: 1},
		{Unresolved: 1},
		{PeakOverCap: 1.001},
	} {
		var broken *BrokenError
		if err := c.Check(); !errors.As(err, &broken) || len(broken.Promises) != 1 {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
