package power

import (
	"fmt"
	"sort"
)

// Plan divides one failure domain's part of the cap among its workers. It is
// part of the configuration: published with compare-and-set, its revision only
// grows.
type Plan struct {
	Revision uint64
	Part     Milliwatts // the domain's part of the site's cap
	Workers  []WorkerPart
}

// WorkerPart is what a plan says about one worker.
type WorkerPart struct {
	Name string
	// Incarnation is the worker's run when the plan was made, 0 for a worker
	// that could not be asked. What a restarted worker had given away under
	// the plan is forgotten with its record, so a worker of another
	// incarnation gets nothing above its idle draw until the next plan.
	Incarnation uint64
	// Share is what the worker gets under this plan, idle included; 0 for a
	// worker that could not be asked.
	Share Milliwatts
	// Ceiling is the most the worker can draw, a property of the machine. It
	// is set aside for a worker that could not be asked, since nobody can
	// tell what allotment is in force there.
	Ceiling Milliwatts
}

// present reports whether the plan reaches the worker.
func (w WorkerPart) present() bool { return w.Incarnation != 0 }

// PlanError says why a plan or a set of domain parts is invalid.
type PlanError struct {
	Path string // field at fault
	Text string
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Text) }

// Candidate is a worker as the maker of a plan knows it.
type Candidate struct {
	Name        string
	Incarnation uint64 // 0: leased by no live entry VM
	Idle        Milliwatts
	Ceiling     Milliwatts
}

// Build makes the plan with the given revision: the ceilings of workers that
// cannot be asked are set aside, the rest is divided in proportion to the
// ceilings, and no share is below idle or above the ceiling.
func Build(revision uint64, part Milliwatts, workers []Candidate) (Plan, error) {
	plan := Plan{Revision: revision, Part: part}
	rest := part
	var spread Milliwatts
	for _, w := range workers {
		if w.Incarnation == 0 {
			rest -= w.Ceiling
			continue
		}
		rest -= w.Idle
		spread += w.Ceiling - w.Idle
	}
	if rest < 0 {
		return Plan{}, &PlanError{"part", "does not cover idle draw and unreachable workers"}
	}
	rest = min(rest, spread)
	for _, w := range workers {
		plan.Workers = append(plan.Workers, partOf(w, rest, spread))
	}
	sort.Slice(plan.Workers, func(i, j int) bool { return plan.Workers[i].Name < plan.Workers[j].Name })
	return plan, nil
}

// partialRecord gives a worker its idle draw and its part of the rest.
func partOf(w Candidate, rest, spread Milliwatts) WorkerPart {
	part := WorkerPart{Name: w.Name, Incarnation: w.Incarnation, Ceiling: w.Ceiling}
	if w.Incarnation == 0 {
		return part
	}
	part.Share = w.Idle
	if spread > 0 {
		part.Share += (w.Ceiling - w.Idle) * rest / spread
	}
	return part
}

// Validate checks that shares and set-aside ceilings fit the part.
func (p Plan) Validate() error {
	if p.Revision == 0 {
		return &PlanError{"revision", "must not be 0"}
	}
	var sum Milliwatts
	for i, w := range p.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		if i > 0 && p.Workers[i-1].Name >= w.Name {
			return &PlanError{path, "not in order of name"}
		}
		if w.Share < 0 || w.Share > w.Ceiling {
			return &PlanError{path, "share is not between 0 and the ceiling"}
		}
		if !w.present() && w.Share != 0 {
			return &PlanError{path, "share for a worker that could not be asked"}
		}
		sum += w.reserved()
	}
	if sum > p.Part {
		return &PlanError{"part", "is less than shares and ceilings set aside"}
	}
	return nil
}

// reserved is what the plan counts for the worker.
func (w WorkerPart) reserved() Milliwatts {
	if w.present() {
		return w.Share
	}
	return w.Ceiling
}

// index finds a worker's position, or -1.
func (p Plan) index(name string) int {
	i := sort.Search(len(p.Workers), func(i int) bool { return p.Workers[i].Name >= name })
	if i < len(p.Workers) && p.Workers[i].Name == name {
		return i
	}
	return -1
}

// DomainPart is one failure domain's part of the site's cap.
type DomainPart struct {
	Domain string
	// Part is what the domain's current plan may divide.
	Part Milliwatts
	// Held is the highest part of any plan that workers of the domain may
	// still be under: it is lowered to Part only when the domain has reported
	// that every worker is under the current plan.
	Held Milliwatts
}

// Site is the division of the cap among failure domains. It is configuration,
// changed with compare-and-set.
type Site struct {
	Cap     Milliwatts
	Domains []DomainPart
}

// Validate checks that what the domains may hold fits the cap.
func (s Site) Validate() error {
	var sum Milliwatts
	for i, d := range s.Domains {
		if d.Held < d.Part {
			return &PlanError{fmt.Sprintf("domains[%d].held", i), "is below the part"}
		}
		sum += d.Held
	}
	if sum > s.Cap {
		return &PlanError{"cap", "is less than what the domains may hold"}
	}
	return nil
}

// SetPart changes one domain's part. Lowering it does not free anything yet:
// another domain can be raised only after [Site.Confirm].
func (s Site) SetPart(domain string, part Milliwatts) (Site, error) {
	return s.change(domain, func(d *DomainPart) {
		d.Part = part
		d.Held = max(d.Held, part)
	})
}

// Confirm records that every worker of the domain is under a plan of at most
// its current part, so that the difference can be given to another domain.
func (s Site) Confirm(domain string) (Site, error) {
	return s.change(domain, func(d *DomainPart) { d.Held = d.Part })
}

// change applies a change to a copy and validates it.
func (s Site) change(domain string, apply func(*DomainPart)) (Site, error) {
	domains := append([]DomainPart(nil), s.Domains...)
	for i := range domains {
		if domains[i].Domain == domain {
			apply(&domains[i])
			next := Site{Cap: s.Cap, Domains: domains}
			return next, next.Validate()
		}
	}
	return s, &PlanError{"domains", "unknown domain " + domain}
}
