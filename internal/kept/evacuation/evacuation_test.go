package evacuation

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Symptom: a domain is used again while it is evacuated. Sequence: a peer that has not heard of
// the evacuation yet passes the withdrawal of the one before on. Cause would be: the newest arrival
// counts, not the newest revision.
func TestOlderNoticeChangesNothing(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 7, Evacuated: true})
	if s.Apply(Notice{Domain: "a", Revision: 5}) || !s.Evacuated("a") {
		t.Error("an older notice took the evacuation back")
	}
}

// Symptom: a domain is left alone for ever. Sequence: the evacuation is withdrawn while the store's
// history is lost, and the list is read anew. Cause would be: only what the list names is taken.
func TestListWithoutTheDomainWithdrawsItsEvacuation(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 7, Evacuated: true})
	changed := s.ApplyList(9, nil)
	if s.Evacuated("a") || !slices.Equal(changed, []string{"a"}) {
		t.Errorf("the evacuation stands after a newer list without it; changed: %v", changed)
	}
}

// Symptom: an evacuation is overlooked. Sequence: a list that was read before it comes after its
// event. Cause would be: the list counts as the newest word though its revision is lower.
func TestOlderListDoesNotWithdraw(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 9, Evacuated: true})
	if changed := s.ApplyList(8, nil); len(changed) > 0 || !s.Evacuated("a") {
		t.Errorf("a list from before the evacuation withdrew it; changed: %v", changed)
	}
}

// However notices are delayed, doubled and reordered, a VM that has heard the newest one of a
// domain knows what the store says.
func TestAnyOrderOfNoticesEndsTheSame(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("the newest revision decides", prop.ForAll(func(order []int) bool {
		// Revision r evacuates or returns a domain by turns.
		notice := func(r int) Notice {
			return Notice{Domain: []string{"a", "b"}[r%2], Revision: uint64(r), Evacuated: r/2%2 == 1}
		}
		var s Set
		newest := make(map[string]int)
		for _, r := range order {
			n := notice(r)
			s.Apply(n)
			newest[n.Domain] = max(newest[n.Domain], r)
		}
		for domain, r := range newest {
			if s.Evacuated(domain) != notice(r).Evacuated {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(1, 40))))
	properties.TestingRun(t)
}
