package health

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// Table judges the workers whose lease is held here.
type Table struct {
	settings  Settings
	rng       *rand.Rand
	workers   map[string]*worker
	templates map[string]*template
	domains   map[string]*domain
	changes   []Change // of the current call
}

// New returns an empty Table. The settings must be valid.
func New(settings Settings) *Table {
	if err := settings.Validate(); err != nil {
		panic(err)
	}
	return &Table{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(settings.Seed, 0)),
		workers:   make(map[string]*worker),
		templates: make(map[string]*template),
		domains:   make(map[string]*domain),
	}
}

// Joined adds a worker of a failure domain, on probation. A worker that is
// known is taken as reconnected.
func (t *Table) Joined(now time.Time, id, domainName string) []Change {
	if t.workers[id] != nil {
		return t.Reconnected(now, id)
	}
	d := t.domains[domainName]
	if d == nil {
		d = &domain{name: domainName}
		t.domains[domainName] = d
	}
	d.workers++
	w := &worker{id: id, domain: d, tier: placement.Ejected, progress: now}
	t.workers[id] = w
	t.settle(now, w, NewWorker)
	return t.take()
}

// Removed forgets a worker, when its lease is given up or lost.
func (t *Table) Removed(id string) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.dropCharges(w)
	t.setAway(w, false, false)
	t.exclude(w, false)
	w.domain.workers--
	if w.domain.workers == 0 {
		delete(t.domains, w.domain.name)
	}
	delete(t.workers, id)
}

// Started notes that a task was sent to a worker. The expected run time is the
// estimate for the template, 0 when there is none.
func (t *Table) Started(now time.Time, id, _ string, expected time.Duration) {
	if w := t.workers[id]; w != nil {
		w.begin(now, expected)
	}
}

// Ended judges the outcome of a task that ran for the given time.
func (t *Table) Ended(now time.Time, id, name string, outcome Outcome, run, expected time.Duration) []Change {
	w := t.workers[id]
	if w == nil {
		return nil
	}
	w.end(now)
	tpl := t.template(now, name)
	started := now.Add(-run)
	switch outcome {
	case OK:
		t.succeeded(now, w, tpl, started)
		t.measure(now, w, tpl, run, expected)
	case Failed:
		t.failed(now, w, tpl, started)
	case Lost:
		t.lost(now, w, tpl)
	}
	t.settle(now, w, Cleared)
	return t.take()
}

// Silent takes a worker out of use because nothing is heard from it.
func (t *Table) Silent(now time.Time, id string) []Change {
	return t.setConnection(now, id, func(w *worker) { t.setAway(w, true, w.leaving) })
}

// Leaving takes a worker out of use because it is about to stop.
func (t *Table) Leaving(now time.Time, id string) []Change {
	return t.setConnection(now, id, func(w *worker) { t.setAway(w, w.silent, true) })
}

// Reconnected puts a worker that answers again on probation. Ejections by
// failures go on.
func (t *Table) Reconnected(now time.Time, id string) []Change {
	return t.setConnection(now, id, func(w *worker) {
		t.setAway(w, false, false)
		w.reconnect(now)
	})
}

// Tick does what is due by time: ends ejections and suspicions, drops old
// charges, and finds workers on which nothing ends. Call it about once a
// second; what is due waits for the next call.
func (t *Table) Tick(now time.Time) []Change {
	for _, id := range t.sortedIDs() {
		t.tick(now, t.workers[id])
	}
	return t.take()
}

// Tier returns the tier of a worker, Ejected when it is not known.
func (t *Table) Tier(id string) placement.Tier {
	if w := t.workers[id]; w != nil {
		return w.tier
	}
	return placement.Ejected
}

// Status returns what is known of every worker, ordered by ID.
func (t *Table) Status() []WorkerStatus {
	all := make([]WorkerStatus, 0, len(t.workers))
	for _, id := range t.sortedIDs() {
		w := t.workers[id]
		all = append(all, WorkerStatus{
			Worker: id, Domain: w.domain.name, Tier: w.tier, Reason: w.reason,
			Score: w.score, Charges: len(w.charges), Ejections: w.ejections, Until: w.until,
			Pace: math.Exp(w.pace.mean), Running: w.running,
		})
	}
	return all
}

// Templates returns what is known of every template, ordered by name.
func (t *Table) Templates() []TemplateStatus {
	all := make([]TemplateStatus, 0, len(t.templates))
	for name, tpl := range t.templates {
		all = append(all, TemplateStatus{Template: name, FailRate: tpl.rate(), Suspended: tpl.suspended})
	}
	slices.SortFunc(all, func(a, b TemplateStatus) int { return cmp.Compare(a.Template, b.Template) })
	return all
}

func (t *Table) setConnection(now time.Time, id string, apply func(*worker)) []Change {
	w := t.workers[id]
	if w == nil {
		return nil
	}
	apply(w)
	t.settle(now, w, NewWorker)
	return t.take()
}

// setAway keeps the domain's count of workers that are out of reach.
func (t *Table) setAway(w *worker, silent, leaving bool) {
	if w.silent || w.leaving {
		w.domain.away--
	}
	w.silent, w.leaving = silent, leaving
	if w.silent || w.leaving {
		w.domain.away++
	}
}

// sortedIDs makes the order of changes independent of the map.
func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.workers))
	for id := range t.workers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// take returns the changes of the current call.
func (t *Table) take() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// template returns the record of a template. When there are too many, the one
// that was used least lately is forgotten.
func (t *Table) template(now time.Time, name string) *template {
	tpl := t.templates[name]
	if tpl == nil {
		if len(t.templates) >= t.settings.MaxTemplates {
			t.forgetTemplate(now)
		}
		tpl = &template{name: name}
		t.templates[name] = tpl
	}
	tpl.used = now
	return tpl
}

func (t *Table) forgetTemplate(now time.Time) {
	var oldest *template
	for _, tpl := range t.templates {
		if oldest == nil || tpl.used.Before(oldest.used) || tpl.used.Equal(oldest.used) && tpl.name < oldest.name {
			oldest = tpl
		}
	}
	t.acquit(now, oldest)
	delete(t.templates, oldest.name)
}
