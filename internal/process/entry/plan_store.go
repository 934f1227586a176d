package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
)

// Keys of the power cap in the platform's store.
const (
	// siteKey is the key of the storedSite.
	siteKey = "pumiceyard/power/site"
	// planKeyPrefix with the name of a failure domain is the key of its plan.
	planKeyPrefix = "pumiceyard/power/plan/"
)

// storedSite is the division of the power cap between failure domains. A plan is
// published only after its revision and part have been reserved here, so that the
// plans of two domains cannot use the same power twice.
type storedSite struct {
	Domains map[string]domainPart `json:"domains"`
}

// domainPart is one failure domain's entry of a storedSite.
type domainPart struct {
	Revision uint64           `json:"revision"`        // of the last reserved plan
	Part     power.Milliwatts `json:"part_milliwatts"` // of that plan
	// Held is the greatest part of any plan that workers of the domain may still
	// follow. It is lowered to Part only when every present worker is known to
	// follow the plan of Revision.
	Held power.Milliwatts `json:"held_milliwatts"`
}

// allowed returns the part of the cap that a domain's next plan may distribute: the
// configured part, or less while other domains still hold power that they have to
// give up. The domain may always use what it already holds.
func (s *storedSite) allowed(domain string, wanted, siteCap power.Milliwatts) power.Milliwatts {
	held := s.Domains[domain].Held
	if wanted <= held {
		return wanted
	}
	free := siteCap
	for name, d := range s.Domains {
		if name != domain {
			free -= d.Held
		}
	}
	return min(wanted, max(held, free))
}

// reserve records the next plan of a domain.
func (s *storedSite) reserve(domain string, revision uint64, part power.Milliwatts) {
	if s.Domains == nil {
		s.Domains = make(map[string]domainPart)
	}
	held := max(s.Domains[domain].Held, part)
	s.Domains[domain] = domainPart{Revision: revision, Part: part, Held: held}
}

// confirm records that every present worker of the domain follows a plan, and
// reports whether this frees any power.
func (s *storedSite) confirm(domain string, revision uint64) bool {
	entry := s.Domains[domain]
	if entry.Revision != revision || entry.Held <= entry.Part {
		return false
	}
	entry.Held = entry.Part
	s.Domains[domain] = entry
	return true
}

// siteTries is the maximum number of attempts to change the division of the cap when
// other domains change it at the same time, as they do at a cold start.
const siteTries = 8

// changeSite applies a change by compare-and-set. It reports false if every attempt
// conflicted with another change; the caller retries later.
func changeSite(ctx context.Context, store *storeclient.Client, apply func(*storedSite) bool) (bool, error) {
	for range siteTries {
		found, err := store.Get(ctx, storeclient.ForPower, siteKey, 0)
		if err != nil {
			return false, err
		}
		var site storedSite
		if found.Found {
			if err := json.Unmarshal(found.Value, &site); err != nil {
				return false, fmt.Errorf("%s: %w", siteKey, err)
			}
		}
		if !apply(&site) {
			return true, nil
		}
		swapped, err := swap(ctx, store, siteKey, site, found.Version)
		if swapped || err != nil {
			return swapped, err
		}
	}
	return false, nil
}

// swap writes a value as JSON if the key has the expected version. A write whose
// reply was lost counts as successful only if the same value is read back.
func swap(ctx context.Context, store *storeclient.Client, key string, value any, expected uint64) (bool, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return false, err
	}
	result, err := store.CompareAndSet(ctx, storeclient.ForPower, storeclient.Write{
		Key:      key,
		Value:    text,
		Expected: expected,
		Mine:     func(found []byte) bool { return bytes.Equal(found, text) },
	})
	return result.Swapped, err
}

// readPlan reads a domain's plan and the version of its key.
func readPlan(ctx context.Context, store *storeclient.Client, domain string) (power.Plan, uint64, error) {
	found, err := store.Get(ctx, storeclient.ForPower, planKeyPrefix+domain, 0)
	if err != nil || !found.Found {
		return power.Plan{}, found.GetVersion(), err
	}
	plan, err := decodePlan(found.Value)
	return plan, found.Version, err
}

func decodePlan(text []byte) (power.Plan, error) {
	var plan power.Plan
	if err := json.Unmarshal(text, &plan); err != nil {
		return power.Plan{}, err
	}
	return plan, plan.Validate()
}
