package entry

import (
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/process/power"
)

// Guards against a site that exceeds its power cap while the division of the cap
// changes. A configuration lowers one failure domain's part and raises another's; the
// second domain's plan is made first, or the first domain is partitioned. Power must
// not be reassigned before every worker of the first domain has given it up.
func TestPartIsRaisedAfterAnotherGaveUp(t *testing.T) {
	const siteCap = 100
	var s storedSite
	for _, c := range []struct {
		domain       string
		revision     uint64
		wanted, want power.Milliwatts
	}{
		{"a", 1, 60, 60},
		{"b", 1, 40, 40},
		{"b", 2, 70, 40}, // a's plan still gives 60
		{"a", 2, 30, 30},
		{"b", 3, 70, 40}, // workers of a may be under its first plan
	} {
		got := s.allowed(c.domain, c.wanted, siteCap)
		if got != c.want {
			t.Fatalf("%s may divide %d, want %d: %+v", c.domain, got, c.want, s)
		}
		s.reserve(c.domain, c.revision, got)
	}
	if s.confirm("a", 1) {
		t.Fatal("an earlier plan's completion gave watts up")
	}
	if !s.confirm("a", 2) {
		t.Fatal("nothing was given up")
	}
	if got := s.allowed("b", 70, siteCap); got != 70 {
		t.Fatalf("b may divide %d, want 70", got)
	}
}

// Checks that a lowered cap does not by itself reduce what a domain holds. Only the
// domain's own next plan does, and until then no other part is raised.
func TestLoweredCapRaisesNothing(t *testing.T) {
	s := storedSite{Domains: map[string]domainPart{"a": {1, 60, 60}, "b": {1, 40, 40}}}
	if got := s.allowed("b", 50, 80); got != 40 {
		t.Fatalf("b may divide %d, want 40", got)
	}
}
