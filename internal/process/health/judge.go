package health

import (
	"math"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// rounding keeps sums of weights from falling just short of EjectAt.
const rounding = 1e-6

// succeeded takes a success as evidence for the worker and for the template,
// and so against other workers with an open charge for it. A task that started
// before the worker's last failure says nothing for the worker: what broke it
// may have come in between.
func (t *Table) succeeded(now time.Time, w *worker, tpl *template, started time.Time) {
	if w.doubt() < t.settings.SuspectAt {
		tpl.count(false)
	}
	tpl.succeed()
	if !started.Before(w.failedAt) {
		w.successes++
		w.lost = false
		w.score = max(w.score-tpl.relief(), 0)
	}
	t.confirm(now, w, tpl, started)
}

// confirm decides the charges of other workers for a template that the witness
// completed. A task that started before the failed one proves nothing: the
// template may have been changed or its back end may have gone in between.
func (t *Table) confirm(now time.Time, witness *worker, tpl *template, started time.Time) {
	for i := len(tpl.accused) - 1; i >= 0; i-- {
		w := tpl.accused[i]
		at := w.charge(tpl)
		if w == witness || started.Before(w.charges[at].started) {
			continue
		}
		w.score += w.charges[at].weight
		t.closeCharge(w, tpl)
		t.settle(now, w, Cleared)
	}
}

// failed charges a failure to the worker, unless the template is at fault.
// Tasks that ran side by side fail for one cause and count once, as their
// successes do not count either.
func (t *Table) failed(now time.Time, w *worker, tpl *template, started time.Time) {
	suspect := w.doubt() >= t.settings.SuspectAt
	weight := tpl.weight()
	tpl.successes = 0
	overlaps := started.Before(w.failedAt)
	w.failedAt = now
	if !suspect {
		tpl.count(true)
	}
	if len(tpl.accused) >= maxAccused && w.charge(tpl) < 0 {
		tpl.suspend()
	}
	if overlaps || w.ejected || tpl.suspended || weight == 0 {
		return
	}
	t.openCharge(now, w, tpl, weight, started)
}

// lost counts at once: that a worker forgets a task is no template's fault.
// One restart loses all tasks of a worker and counts once; a worker that
// restarts over and over is ejected.
func (t *Table) lost(now time.Time, w *worker, tpl *template) {
	if w.lost || w.ejected {
		return
	}
	w.lost = true
	w.failedAt = now
	w.score++
	w.lastTemplate = tpl.name
	t.suspect(now, w)
}

func (t *Table) suspect(now time.Time, w *worker) {
	w.suspectUntil = now.Add(t.settings.SuspectFor)
}

func (t *Table) openCharge(now time.Time, w *worker, tpl *template, weight float64, started time.Time) {
	w.lastTemplate = tpl.name
	t.suspect(now, w)
	if w.charge(tpl) >= 0 || len(w.charges) >= maxCharges {
		return
	}
	w.holdUntil = now.Add(t.settings.HoldFor)
	w.charges = append(w.charges, charge{template: tpl, weight: weight, started: started, opened: now})
	tpl.accused = append(tpl.accused, w)
}

func (t *Table) closeCharge(w *worker, tpl *template) {
	at := w.charge(tpl)
	w.charges = slices.Delete(w.charges, at, at+1)
	at = slices.Index(tpl.accused, w)
	tpl.accused = slices.Delete(tpl.accused, at, at+1)
}

// acquit drops every charge for the template.
func (t *Table) acquit(now time.Time, tpl *template) {
	for len(tpl.accused) > 0 {
		w := tpl.accused[len(tpl.accused)-1]
		t.closeCharge(w, tpl)
		t.settle(now, w, Cleared)
	}
}

func (t *Table) dropCharges(w *worker) {
	for len(w.charges) > 0 {
		t.closeCharge(w, w.charges[0].template)
	}
}

// tick does what is due for one worker.
func (t *Table) tick(now time.Time, w *worker) {
	why := Cleared
	for i := len(w.charges) - 1; i >= 0; i-- {
		if t.lapsed(now, &w.charges[i]) {
			t.closeCharge(w, w.charges[i].template)
		}
	}
	if w.ejected && !now.Before(w.until) {
		t.endEjection(w)
		why = EjectionOver
	}
	if w.reason == Failing && !now.Before(w.suspectUntil) && w.doubt() >= t.settings.SuspectAt {
		w.successes = 0
		why = SuspicionOver
	}
	if w.slow && !now.Before(w.slowTill) {
		w.slow, w.pace = false, average{}
	}
	w.stalled = w.stalled || t.stalls(now, w)
	t.settle(now, w, why)
}

// lapsed reports whether a charge is dropped for want of evidence. The charges
// of a template that stays suspended are dropped early: once the template
// works again, a success would confirm them by mistake.
func (t *Table) lapsed(now time.Time, c *charge) bool {
	age := now.Sub(c.opened)
	return age >= t.settings.ChargeFor || c.template.suspended && age >= t.settings.HoldFor
}

// stalls reports whether a busy worker ended nothing for far longer than its
// tasks should take.
func (t *Table) stalls(now time.Time, w *worker) bool {
	patience := time.Duration(t.settings.StallFactor * float64(w.longest))
	patience = max(patience, t.settings.StallMin)
	return w.running > 0 && now.Sub(w.progress) > patience
}

// settle gives w the tier that its record asks for and notes the change. The
// reason why is used for tiers that have no reason of their own.
func (t *Table) settle(now time.Time, w *worker, why Reason) {
	tier, reason := t.verdict(now, w)
	if reason == "" {
		reason = why
		if tier == placement.Healthy && w.tier == placement.Probation {
			reason = Proven
		}
	}
	if reason == OnTrial && why == EjectionOver {
		reason = why
	}
	if tier == w.tier && (reason == w.reason || tier == placement.Healthy || tier == placement.Probation) {
		return
	}
	c := Change{Worker: w.id, From: w.tier, To: tier, Reason: reason, Score: w.score}
	if w.ejected {
		c.Until = w.until
	}
	if reason == FailsAcross || reason == Failing || reason == AwaitingEvidence || reason == EjectionFloor {
		c.Template = w.lastTemplate
	}
	w.tier, w.reason = tier, reason
	t.changes = append(t.changes, c)
}

// verdict returns the tier that the record asks for, ejecting or holding the
// worker on the way.
func (t *Table) verdict(now time.Time, w *worker) (placement.Tier, Reason) {
	switch {
	case w.leaving:
		t.exclude(w, false)
		return placement.Ejected, WorkerLeaving
	case w.silent:
		t.exclude(w, false)
		return placement.Ejected, WorkerSilent
	case w.ejected && t.exclude(w, true):
		return placement.Ejected, FailsAcross
	case w.ejected:
		return placement.Suspect, EjectionFloor
	case w.score >= t.settings.EjectAt-rounding:
		return t.ejectIfAdmitted(now, w)
	}
	if len(w.charges) > 0 && w.doubt() >= t.settings.SuspectAt && now.Before(w.suspectUntil) {
		return t.suspicion(now, w)
	}
	t.exclude(w, false)
	switch {
	case w.stalled:
		return placement.Suspect, Stalled
	case w.score >= t.settings.SuspectAt:
		return placement.Probation, OnTrial
	case w.successes < t.settings.ProbationSuccesses:
		return placement.Probation, ""
	case w.slow:
		return placement.Slow, SlowerThanOthers
	}
	return placement.Healthy, ""
}

// suspicion holds a worker with an open charge. When the evidence takes too
// long, or too many are held, the worker is used last.
func (t *Table) suspicion(now time.Time, w *worker) (placement.Tier, Reason) {
	if now.Before(w.holdUntil) && t.exclude(w, true) {
		return placement.Ejected, AwaitingEvidence
	}
	t.exclude(w, false)
	return placement.Suspect, Failing
}

// ejectIfAdmitted ejects w unless too much of its domain is ejected already.
func (t *Table) ejectIfAdmitted(now time.Time, w *worker) (placement.Tier, Reason) {
	if !t.exclude(w, true) {
		return placement.Suspect, EjectionFloor
	}
	if now.Sub(w.until) > t.settings.ForgetAfter {
		w.ejections = 0
	}
	w.ejected = true
	w.until = now.Add(t.backoff(w.ejections))
	w.ejections++
	t.dropCharges(w)
	return placement.Ejected, FailsAcross
}

// onReturn is how far below EjectAt the score is after an ejection.
const onReturn = 0.5

// endEjection puts w on probation. One more confirmed failure ejects it again.
func (t *Table) endEjection(w *worker) {
	w.ejected = false
	w.successes = 0
	w.suspectUntil = time.Time{}
	w.score = max(t.settings.EjectAt-onReturn, 0)
}

// backoff returns the length of an ejection that follows earlier ones.
func (t *Table) backoff(earlier int) time.Duration {
	length := t.settings.EjectBase
	for range earlier {
		length = min(2*length, t.settings.EjectMax)
	}
	jitter := t.settings.EjectJitter * (2*t.rng.Float64() - 1)
	return time.Duration(float64(length) * (1 + jitter))
}

// exclude counts w as excluded from its domain or not, and reports whether it
// could: a domain admits a bounded share.
func (t *Table) exclude(w *worker, excluded bool) bool {
	if excluded == w.excluded {
		return true
	}
	if !excluded {
		w.excluded = false
		w.domain.excluded--
		return true
	}
	if !w.domain.admits(t.settings.MaxEjectedShare) {
		return false
	}
	w.excluded = true
	w.domain.excluded++
	return true
}

const (
	// paceSamples is how many run times are compared before a worker can be
	// found slow, or a template be the measure for others. Run times of one
	// template differ widely; with 32, one good worker in 500 was found slow.
	paceSamples = 128
	// paceLimit bounds the effect of one run time, as a log.
	paceLimit = 3
)

// measure compares a run time with the estimate, and the ratio with that of
// the same template on other workers. An estimate that is wrong for all, or a
// power throttle on all, moves the template's ratio and marks nobody.
func (t *Table) measure(now time.Time, w *worker, tpl *template, run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	ratio := math.Log(float64(run) / float64(expected))
	if tpl.pace.samples >= paceSamples {
		relative := ratio - tpl.pace.mean
		w.pace.add(min(max(relative, -paceLimit), paceLimit))
	}
	tpl.pace.add(ratio)
	if w.pace.samples < paceSamples {
		return
	}
	if !w.slow && w.pace.mean > math.Log(t.settings.SlowRatio) {
		w.slow = true
		w.slowTill = now.Add(t.settings.SlowFor)
	}
	if w.slow && w.pace.mean < math.Log(t.settings.SlowClear) {
		w.slow = false
	}
}
