package vm

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Bounds that users were promised for evacuations.
const (
	maxEvacuationDelayAfterFault = 5 * time.Second // whatever the fault, except for VMs that are cut off
	faultSettleTime              = 4 * time.Second // how long after a fault a VM may still be without connections
)

// span is a period of time; its end is zero while it lasts.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// evacuationRun is one run of random evacuations and worker announcements during random faults.
type evacuationRun struct {
	*world
	log          *startLog
	evacuated    map[string][]span // evacuations by domain, each from its acknowledgement
	cuts         map[string][]span // partitions by domain
	faults       []time.Time
	storeOutage  span                 // the last period in which the store did not serve some VM
	leavingSince map[string]time.Time // by worker: when it announced that it leaves
	lastID       int                  // number of the last submission
	callers      []*caller            // of the transient submissions
	tasks        map[submission.ID]int
	stored       []submission.ID // that were accepted
}

// randomEvacuationEvent is one random event: Op selects what happens, N with which domain, VM, fault or amount.
type randomEvacuationEvent struct{ Op, N int }

var vmNames = []string{"a1", "a2", "b1", "b2"}

func (p *evacuationRun) do(ev randomEvacuationEvent) {
	domain := []string{"a", "b"}[ev.N%2]
	name := vmNames[ev.N%len(vmNames)]
	switch ev.Op {
	case 0, 1:
		p.startEvacuation(domain)
	case 2:
		p.stopEvacuation(domain)
	case 3:
		p.killVM(name)
		p.boot(name)
	case 4:
		p.toggleCut(domain)
	case 5:
		p.recordFault()
		p.beginStoreOutage()
		p.storeDoors[name].SetFault([]kvstore.Fault{kvstore.Unavailable, kvstore.NoReply, kvstore.ReplyLost}[ev.N%3])
	case 6:
		p.recordFault()
		p.endStoreOutage()
		for _, d := range p.storeDoors {
			d.SetFault(kvstore.NoFault)
		}
	case 7:
		p.fleet.DelayStarts(func(s worker.Start) time.Duration { return time.Duration((s.Task.Index+ev.N)%3) * 250 * ms })
	case 8:
		p.fleet.DelayStarts(nil)
	case 9:
		p.store.Compact()
	case 10:
		if ev.N%3 == 0 {
			p.restartAll()
		}
	case 11:
		p.letLeave("w-" + domain + "0")
	default:
		p.submitSome(ev.N)
	}
	time.Sleep(time.Duration(ev.N%5) * 150 * ms)
	p.pollCallers()
}

func (p *evacuationRun) recordFault() { p.faults = append(p.faults, time.Now()) }

// beginStoreOutage records that the store does not serve some VM.
func (p *evacuationRun) beginStoreOutage() {
	if p.storeOutage.from.IsZero() || !p.storeOutage.to.IsZero() {
		p.storeOutage = span{from: time.Now()}
	}
}

// endStoreOutage records that the store serves all VMs again. Starts during the outage and soon after it are not
// checked against worker announcements.
func (p *evacuationRun) endStoreOutage() {
	if !p.storeOutage.from.IsZero() && p.storeOutage.to.IsZero() {
		p.storeOutage.to = time.Now()
	}
}

// letLeave makes a worker announce that it leaves. It keeps serving.
func (p *evacuationRun) letLeave(id string) {
	if p.leavingSince[id].IsZero() {
		p.announceLeaving(id)
		p.leavingSince[id] = time.Now()
	}
}

// checkLeaveNotice returns an error if a start came too long after its worker had announced that it leaves.
func (p *evacuationRun) checkLeaveNotice(s observedStart) error {
	since, leaving := p.leavingSince[s.worker]
	if !leaving || s.at.Sub(since) <= maxLeaveNoticeDelay || p.isUnsettled(s) {
		return nil
	}
	return fmt.Errorf("%v starts on %s %v after the worker announced that it leaves", s.task, s.worker, s.at.Sub(since))
}

// isUnsettled reports whether, at the time of a start or within faultSettleTime before it, the store did not
// serve some VM or the start's domain was cut off.
func (p *evacuationRun) isUnsettled(s observedStart) bool {
	spans := append(slices.Clone(p.cuts[s.domain]), p.storeOutage)
	return slices.ContainsFunc(spans, func(c span) bool {
		return !c.from.IsZero() && s.at.After(c.from) && (c.to.IsZero() || s.at.Sub(c.to) < faultSettleTime)
	})
}

func (p *evacuationRun) startEvacuation(domain string) {
	p.evacuate(domain)
	if s := p.evacuated[domain]; len(s) == 0 || !s[len(s)-1].to.IsZero() {
		p.evacuated[domain] = append(s, span{from: time.Now()})
	}
}

func (p *evacuationRun) stopEvacuation(domain string) {
	p.endEvacuation(domain)
	if s := p.evacuated[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
		s[len(s)-1].to = time.Now()
	}
}

func (p *evacuationRun) toggleCut(domain string) {
	p.recordFault()
	if s := p.cuts[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
		p.cut(domain, false)
		s[len(s)-1].to = time.Now()
		return
	}
	p.cut(domain, true)
	p.cuts[domain] = append(p.cuts[domain], span{from: time.Now()})
}

// submitSome sends a few submissions, every third of them a stored one.
func (p *evacuationRun) submitSome(n int) {
	for range 1 + n%4 {
		p.lastID++
		id := submission.ID(fmt.Sprintf("s%d", p.lastID))
		transient := p.lastID%3 > 0
		work := runhost.Work{Time: time.Duration(30+n%6*40) * ms}
		at := (n + p.lastID) % len(vmNames)
		p.tasks[id] = 1 + n%5
		if transient {
			p.submitWithRetries(at, id, work)
			continue
		}
		out := p.submit(vmNames[at], id, p.tasks[id], work, false)
		if o := <-out; o.Kind == Accepted {
			p.stored = append(p.stored, id)
		}
	}
}

// callerRetryDelay is the time after which a caller that got no answer sends its submission again.
const callerRetryDelay = 1300 * time.Millisecond

// attempt is a caller that waits for the answer to a transient submission.
type caller struct {
	id       submission.ID
	work     runhost.Work
	at       int // index of its VM in names
	out      chan Outcome
	attempts int
	retryAt  time.Time // when it sends the submission again; zero: it waits for an answer
	outcome  *Outcome
}

// submitWithRetries sends a transient submission. Its caller sends it again, to the next VM, each time that it
// gets no answer.
func (p *evacuationRun) submitWithRetries(at int, id submission.ID, work runhost.Work) {
	p.callers = append(p.callers, &caller{id: id, work: work, at: at, attempts: 1, out: p.submit(vmNames[at], id, p.tasks[id], work, true)})
}

// pollCallers lets the callers receive their answers and make the retries that are due.
func (p *evacuationRun) pollCallers() {
	for _, a := range p.callers {
		if a.outcome != nil {
			continue
		}
		if !a.retryAt.IsZero() {
			if !time.Now().Before(a.retryAt) {
				a.at = (a.at + 1) % len(vmNames)
				a.attempts++
				a.retryAt = time.Time{}
				a.out = p.submit(vmNames[a.at], a.id, p.tasks[a.id], a.work, true)
			}
			continue
		}
		select {
		case o := <-a.out:
			if o.Kind == Indeterminate && a.attempts < 5 {
				a.retryAt = time.Now().Add(callerRetryDelay)
				continue
			}
			a.outcome = &o
		default:
		}
	}
}

// killVM kills a VM. The callers that wait for its answers retry later at other VMs.
func (p *evacuationRun) killVM(name string) {
	p.recordFault()
	p.kill(name)
	for _, a := range p.callers {
		if a.outcome == nil && a.retryAt.IsZero() && vmNames[a.at] == name {
			a.retryAt = time.Now().Add(callerRetryDelay)
		}
	}
}

// restartAll kills all VMs at once and starts them again.
func (p *evacuationRun) restartAll() {
	for _, name := range vmNames {
		p.killVM(name)
	}
	time.Sleep(300 * ms)
	for _, name := range vmNames {
		p.boot(name)
	}
}

// finish ends all faults, lets the submissions end, and returns an error if a guarantee was broken.
func (p *evacuationRun) finish() error {
	for _, domain := range p.domains {
		p.stopEvacuation(domain)
		if s := p.cuts[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
			p.toggleCut(domain)
		}
	}
	p.do(randomEvacuationEvent{Op: 6})
	p.do(randomEvacuationEvent{Op: 8})
	for range 60 {
		time.Sleep(500 * ms)
		p.pollCallers()
	}
	for _, a := range p.callers {
		switch {
		case a.outcome == nil:
			return fmt.Errorf("%s has no answer after %d attempts", a.id, a.attempts)
		case a.outcome.Kind == Refused && a.attempts == 1 && p.fleet.Starts(a.id) > 0:
			return fmt.Errorf("%s was refused (%s), but has run", a.id, a.outcome.Reason)
		case a.outcome.Kind == Ended && !p.allCompleted(a.id):
			return fmt.Errorf("%s ended as %s, but not all of its tasks have completed", a.id, a.outcome.State)
		}
	}
	for _, id := range p.stored {
		if s := p.state("a1", id); s != submission.Done || !p.allCompleted(id) {
			return fmt.Errorf("%s was accepted, but its state is %s or not all of its tasks have completed", id, s)
		}
	}
	if f := p.fleet.Violations(); len(f) > 0 {
		return fmt.Errorf("%v", f)
	}
	for _, domain := range p.domains {
		for _, s := range p.log.inDomain(domain, time.Time{}, time.Now()) {
			if err := errors.Join(p.checkStart(s), p.checkLeaveNotice(s)); err != nil {
				return err
			}
		}
	}
	return nil
}

// allCompleted reports whether each task of a submission has completed.
func (p *evacuationRun) allCompleted(id submission.ID) bool {
	for i := range p.tasks[id] {
		if p.fleet.Completions(submission.TaskRef{ID: id, Task: submission.Task{Index: i}}) == 0 {
			return false
		}
	}
	return true
}

// checkStart returns an error if a start broke an evacuation of its domain.
func (p *evacuationRun) checkStart(s observedStart) error {
	for _, c := range p.cuts[s.domain] {
		if c.contains(s.at) || !c.to.IsZero() && s.at.After(c.to) && s.at.Sub(c.to) < faultSettleTime {
			return nil // the domain's VMs could not know of the evacuation
		}
	}
	for _, evacuation := range p.evacuated[s.domain] {
		maxDelay := maxEvacuationDelay
		for _, f := range p.faults {
			if f.After(evacuation.from.Add(-faultSettleTime)) && f.Before(s.at) {
				maxDelay = maxEvacuationDelayAfterFault
			}
		}
		if evacuation.contains(s.at) && s.at.Sub(evacuation.from) > maxDelay {
			return fmt.Errorf("%v starts in domain %s %v after its evacuation was acknowledged", s.task, s.domain, s.at.Sub(evacuation.from))
		}
	}
	return nil
}

// Evacuates one domain or both, again and again, during kills and restarts of VMs, partitions, a store that
// refuses calls, does not answer, loses its replies or compacts its history, and late starts. Checks that
// no task starts in an evacuated domain or on a worker that has announced that it leaves, that no task runs
// twice at once, that no refused submission has run, and that no accepted submission is lost.
func TestEvacuationsHoldBesideRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	events := gen.SliceOfN(30, gen.Struct(reflect.TypeOf(randomEvacuationEvent{}), map[string]gopter.Gen{
		"Op": gen.IntRange(0, 16),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("evacuations and announcements hold, nothing is lost", prop.ForAll(func(events []randomEvacuationEvent) (ok bool, err error) {
		synctest.Test(t, func(t *testing.T) {
			p := &evacuationRun{
				world:     newTwoDomainWorld(t),
				evacuated: make(map[string][]span),
				cuts:      make(map[string][]span),
				tasks:     make(map[submission.ID]int),

				leavingSince: make(map[string]time.Time),
			}
			p.log = watchStarts(p.world)
			p.delayWorkerList(100 * ms)
			for _, ev := range events {
				p.do(ev)
			}
			err = p.finish()
			for name := range p.vms {
				p.kill(name)
			}
		})
		return err == nil, err
	}, events))
	properties.TestingRun(t)
}
