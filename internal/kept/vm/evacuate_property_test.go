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

// Bounds of the users' rule on evacuations.
const (
	maxEvacuationDelayAfterFault = 5 * time.Second // whatever happens, but for VMs that are cut off
	faultSettleTime              = 4 * time.Second // without a fault, for a VM to count as in touch
)

// span is a time; its end is zero while it goes on.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// evacuations is a play of random requests of operators beside random faults.
type evacuationRun struct {
	*world
	log          *startLog
	evacuated    map[string][]span // evacuations, from the acknowledgement
	cuts         map[string][]span
	faults       []time.Time
	storeOutage  span                 // the store was, for some VM
	leavingSince map[string]time.Time // of workers that leave
	lastID       int
	callers      []*caller
	tasks        map[submission.ID]int
	stored       []submission.ID
}

// randomEvacuationEvent is one random event: Op says what happens, N how much of it.
type randomEvacuationEvent struct{ Op, N int }

var vmNames = []string{"a1", "a2", "b1", "b2"}

func (p *evacuationRun) do(a randomEvacuationEvent) {
	domain := []string{"a", "b"}[a.N%2]
	name := vmNames[a.N%len(vmNames)]
	switch a.Op {
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
		p.storeDoors[name].Set([]kvstore.Fault{kvstore.Refuses, kvstore.Silent, kvstore.LosesReply}[a.N%3])
	case 6:
		p.recordFault()
		p.endStoreOutage()
		for _, d := range p.storeDoors {
			d.Set(kvstore.Serves)
		}
	case 7:
		p.fleet.DelayStarts(func(s worker.Start) time.Duration { return time.Duration((s.Task.Index+a.N)%3) * 250 * ms })
	case 8:
		p.fleet.DelayStarts(nil)
	case 9:
		p.store.Compact()
	case 10:
		if a.N%3 == 0 {
			p.restartAll()
		}
	case 11:
		p.letLeave("w-" + domain + "0")
	default:
		p.submitSome(a.N)
	}
	time.Sleep(time.Duration(a.N%5) * 150 * ms)
	p.pollCallers()
}

func (p *evacuationRun) recordFault() { p.faults = append(p.faults, time.Now()) }

// beginStoreOutage notes that the store does not serve a VM.
func (p *evacuationRun) beginStoreOutage() {
	if p.storeOutage.from.IsZero() || !p.storeOutage.to.IsZero() {
		p.storeOutage = span{from: time.Now()}
	}
}

// endStoreOutage notes that the store serves all VMs again. What VMs did while it did not, and soon after, is not
// held against them.
func (p *evacuationRun) endStoreOutage() {
	if !p.storeOutage.from.IsZero() && p.storeOutage.to.IsZero() {
		p.storeOutage.to = time.Now()
	}
}

// notice has a worker leave, which serves on.
func (p *evacuationRun) letLeave(id string) {
	if p.leavingSince[id].IsZero() {
		p.announceLeaving(id)
		p.leavingSince[id] = time.Now()
	}
}

// checkLeaveNotice holds a start against its worker's notice.
func (p *evacuationRun) checkLeaveNotice(s observedStart) error {
	asked, left := p.leavingSince[s.worker]
	if !left || s.at.Sub(asked) <= maxLeaveNoticeDelay || p.isUnsettled(s) {
		return nil
	}
	return fmt.Errorf("%v starts at %s %v after its notice", s.task, s.worker, s.at.Sub(asked))
}

// unsettled reports whether the store was away, or the domain cut off, within a time before a start.
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

// load hands in a few submissions at a VM, every third of them a stored one.
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

// callerRetryDelay is after how long a caller without an answer sends its submission again.
const callerRetryDelay = 1300 * time.Millisecond

// attempt is a caller that waits for the answer to a transient submission.
type caller struct {
	id       submission.ID
	work     runhost.Work
	at       int // index of its VM in names
	out      chan Outcome
	attempts int
	retryAt  time.Time // zero: it waits for its answer
	outcome  *Outcome
}

// insist hands a transient submission in. Its caller sends it again, to the next VM, each time that
// it gets no answer.
func (p *evacuationRun) submitWithRetries(at int, id submission.ID, work runhost.Work) {
	p.callers = append(p.callers, &caller{id: id, work: work, at: at, attempts: 1, out: p.submit(vmNames[at], id, p.tasks[id], work, true)})
}

// callers lets the callers take their answers, and those whose time has come try again.
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

// killVM is told of a VM whose connections break.
func (p *evacuationRun) killVM(name string) {
	p.recordFault()
	p.kill(name)
	for _, a := range p.callers {
		if a.outcome == nil && a.retryAt.IsZero() && vmNames[a.at] == name {
			a.retryAt = time.Now().Add(callerRetryDelay)
		}
	}
}

// restartAll has all VMs lose power at once, and start again.
func (p *evacuationRun) restartAll() {
	for _, name := range vmNames {
		p.killVM(name)
	}
	time.Sleep(300 * ms)
	for _, name := range vmNames {
		p.boot(name)
	}
}

// finish lets all faults end, and says what is wrong.
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
			return fmt.Errorf("%s has no answer after %d tries", a.id, a.attempts)
		case a.outcome.Kind == Refused && a.attempts == 1 && p.fleet.Starts(a.id) > 0:
			return fmt.Errorf("%s was refused as not run (%s), and has run", a.id, a.outcome.Reason)
		case a.outcome.Kind == Ended && !p.allCompleted(a.id):
			return fmt.Errorf("%s was answered as %s, and not all of its tasks have completed", a.id, a.outcome.State)
		}
	}
	for _, id := range p.stored {
		if s := p.state("a1", id); s != submission.Done || !p.allCompleted(id) {
			return fmt.Errorf("%s was accepted and is %s", id, s)
		}
	}
	if f := p.fleet.Faults(); len(f) > 0 {
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

// whole reports whether each task of a submission has completed.
func (p *evacuationRun) allCompleted(id submission.ID) bool {
	for i := range p.tasks[id] {
		if p.fleet.Done(submission.TaskRef{ID: id, Task: submission.Task{Index: i}}) == 0 {
			return false
		}
	}
	return true
}

// judge holds a start against the evacuations of its domain.
func (p *evacuationRun) checkStart(s observedStart) error {
	for _, c := range p.cuts[s.domain] {
		if c.contains(s.at) || !c.to.IsZero() && s.at.After(c.to) && s.at.Sub(c.to) < faultSettleTime {
			return nil // its VMs could not know
		}
	}
	for _, asked := range p.evacuated[s.domain] {
		within := maxEvacuationDelay
		for _, f := range p.faults {
			if f.After(asked.from.Add(-faultSettleTime)) && f.Before(s.at) {
				within = maxEvacuationDelayAfterFault
			}
		}
		if asked.contains(s.at) && s.at.Sub(asked.from) > within {
			return fmt.Errorf("%v starts in domain %s %v after its evacuation was acknowledged", s.task, s.domain, s.at.Sub(asked.from))
		}
	}
	return nil
}

// Whatever operators ask for, one domain or both, again and again, beside kills, cuts, a store that
// turns VMs away or loses its history, and starts that are carried out late: nothing starts in an
// evacuated domain, or at a worker that has given notice, no task runs twice at once, no refusal is untrue, and no accepted work is lost.
func TestEvacuationsHoldBesideRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	acts := gen.SliceOfN(30, gen.Struct(reflect.TypeOf(randomEvacuationEvent{}), map[string]gopter.Gen{
		"Op": gen.IntRange(0, 16),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("nothing starts, nothing is lost", prop.ForAll(func(acts []randomEvacuationEvent) (ok bool, err error) {
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
			for _, a := range acts {
				p.do(a)
			}
			err = p.finish()
			for name := range p.vms {
				p.kill(name)
			}
		})
		return err == nil, err
	}, acts))
	properties.TestingRun(t)
}
