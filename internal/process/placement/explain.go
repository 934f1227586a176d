package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Count is how many workers refused a task for one reason.
type Count struct {
	Reason  reason.Code
	Workers int
}

// Explanation says what each worker would answer to a task now.
type Explanation struct {
	Workers  int     // looked at
	Fit      int     // would take the task
	Refusals []Count // the commonest first
}

// Explain runs every filter over every worker. It reserves nothing, and it is
// for people: unlike Place it costs one step for each worker.
func (p *Placer) Explain(each Resources) Explanation {
	each.Slots = max(each.Slots, 1)
	var t tally
	for _, w := range p.workers {
		t[w.verdict(&each)]++
	}
	e := Explanation{Workers: len(p.workers), Fit: int(t[noMisfit])}
	for verdict := shortOfSlots; verdict < misfits; verdict++ {
		if t[verdict] > 0 {
			e.Refusals = append(e.Refusals, Count{refusals[verdict].Reason, int(t[verdict])})
		}
	}
	slices.SortStableFunc(e.Refusals, func(a, b Count) int { return cmp.Compare(b.Workers, a.Workers) })
	return e
}

// String returns one line, such as "2 of 50 workers fit: 47 no_free_slot, 1 worker_ejected".
func (e Explanation) String() string {
	parts := make([]string, 0, len(e.Refusals))
	for _, r := range e.Refusals {
		parts = append(parts, fmt.Sprintf("%d %s", r.Workers, r.Reason))
	}
	return fmt.Sprintf("%d of %d workers fit: %s", e.Fit, e.Workers, strings.Join(parts, ", "))
}
