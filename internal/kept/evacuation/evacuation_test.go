package evacuation

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against using a domain while it is evacuated. A peer that does not know of the evacuation yet
// forwards the withdrawal of the previous one. The newest revision must count, not the newest arrival.
func TestOlderNoticeChangesNothing(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 7, Evacuated: true})
	if s.Apply(Notice{Domain: "a", Revision: 5}) || !s.Evacuated("a") {
		t.Error("an older notice withdrew the evacuation")
	}
}

// Guards against a domain that is never used again. The evacuation is withdrawn while the store's history
// is lost, and the list is read anew. A domain that is missing from the list must count as withdrawn.
func TestListWithoutTheDomainWithdrawsItsEvacuation(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 7, Evacuated: true})
	changed := s.ApplyList(9, nil)
	if s.Evacuated("a") || !slices.Equal(changed, []string{"a"}) {
		t.Errorf("the domain is still evacuated after a newer list without it; changed: %v", changed)
	}
}

// Guards against missing an evacuation. A list that was read before the evacuation arrives after its
// event. The list must not apply, as its revision is lower.
func TestOlderListDoesNotWithdraw(t *testing.T) {
	var s Set
	s.Apply(Notice{Domain: "a", Revision: 9, Evacuated: true})
	if changed := s.ApplyList(8, nil); len(changed) > 0 || !s.Evacuated("a") {
		t.Errorf("a list from before the evacuation withdrew it; changed: %v", changed)
	}
}

// However notices are delayed, duplicated and reordered, a VM that has received the newest notice about a
// domain has the state of the store.
func TestStateDoesNotDependOnTheOrderOfNotices(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("the newest revision decides", prop.ForAll(func(order []int) bool {
		// Revisions alternately evacuate a domain and withdraw the evacuation.
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
