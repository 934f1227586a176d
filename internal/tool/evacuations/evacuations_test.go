package evacuations

import (
	"errors"
	"slices"
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
)

func TestEvacuationHoldsUntilCancelled(t *testing.T) {
	r := Requests{Store: kvstore.New()}
	ctx := t.Context()
	for _, domain := range []string{"b", "a", "a"} {
		if err := r.Evacuate(ctx, domain); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(r.CancelEvacuation(ctx, "b"), r.CancelEvacuation(ctx, "b")); err != nil {
		t.Fatal(err)
	}
	got, err := r.List(ctx)
	if err != nil || !slices.Equal(got, []string{"a"}) {
		t.Errorf("evacuated: %v, %v; want a", got, err)
	}
}

func TestInvalidDomainNameIsRejected(t *testing.T) {
	r := Requests{Store: kvstore.New()}
	for _, domain := range []string{"", "a/b"} {
		var wrong *NameError
		if err := r.Evacuate(t.Context(), domain); !errors.As(err, &wrong) {
			t.Errorf("%q: %v, want a NameError", domain, err)
		}
	}
}
