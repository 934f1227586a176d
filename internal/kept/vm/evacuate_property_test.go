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
	evacuateWithin = 5 * time.Second // whatever happens, but for VMs that are cut off
	touchFor       = 4 * time.Second // without a fault, for a VM to count as in touch
)

// span is a time; its end is zero while it goes on.
type span struct{ from, to time.Time }

func (s span) has(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// evacuations is a play of random requests of operators beside random faults.
type evacuations struct {
	*world
	log      *startLog
	asked    map[string][]span // evacuations, from the acknowledgement
	cuts     map[string][]span
	faults   []time.Time
	away     span                 // the store was, for some VM
	notices  map[string]time.Time // of workers that leave
	hand     int
	attempts []*attempt
	tasks    map[submission.ID]int
	stored   []submission.ID
}

// evacuationAct is one random event: Op says what happens, N how much of it.
type evacuationAct struct{ Op, N int }

var names = []string{"a1", "a2", "b1", "b2"}

func (p *evacuations) do(a evacuationAct) {
	domain := []string{"a", "b"}[a.N%2]
	name := names[a.N%len(names)]
	switch a.Op {
	case 0, 1:
		p.ask(domain)
	case 2:
		p.withdraw(domain)
	case 3:
		p.cutOff(name)
		p.boot(name)
	case 4:
		p.toggleCut(domain)
	case 5:
		p.fault()
		p.beginAway()
		p.doors[name].Set([]kvstore.Fault{kvstore.Refuses, kvstore.Silent, kvstore.LosesReply}[a.N%3])
	case 6:
		p.fault()
		p.endAway()
		for _, d := range p.doors {
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
		p.notice("w-" + domain + "0")
	default:
		p.load(a.N)
	}
	time.Sleep(time.Duration(a.N%5) * 150 * ms)
	p.callers()
}

func (p *evacuations) fault() { p.faults = append(p.faults, time.Now()) }

// beginAway notes that the store does not serve a VM.
func (p *evacuations) beginAway() {
	if p.away.from.IsZero() || !p.away.to.IsZero() {
		p.away = span{from: time.Now()}
	}
}

// endAway notes that the store serves all VMs again. What VMs did while it did not, and soon after, is not
// held against them.
func (p *evacuations) endAway() {
	if !p.away.from.IsZero() && p.away.to.IsZero() {
		p.away.to = time.Now()
	}
}

// notice has a worker leave, which serves on.
func (p *evacuations) notice(id string) {
	if p.notices[id].IsZero() {
		p.giveNotice(id)
		p.notices[id] = time.Now()
	}
}

// judgeNotice holds a start against its worker's notice.
func (p *evacuations) judgeNotice(s startSeen) error {
	asked, left := p.notices[s.worker]
	if !left || s.at.Sub(asked) <= leavingWithin || p.unsettled(s) {
		return nil
	}
	return fmt.Errorf("%v starts at %s %v after its notice", s.task, s.worker, s.at.Sub(asked))
}

// unsettled reports whether the store was away, or the domain cut off, within a time before a start.
func (p *evacuations) unsettled(s startSeen) bool {
	spans := append(slices.Clone(p.cuts[s.domain]), p.away)
	return slices.ContainsFunc(spans, func(c span) bool {
		return !c.from.IsZero() && s.at.After(c.from) && (c.to.IsZero() || s.at.Sub(c.to) < touchFor)
	})
}

func (p *evacuations) ask(domain string) {
	p.evacuate(domain)
	if s := p.asked[domain]; len(s) == 0 || !s[len(s)-1].to.IsZero() {
		p.asked[domain] = append(s, span{from: time.Now()})
	}
}

func (p *evacuations) withdraw(domain string) {
	p.giveBack(domain)
	if s := p.asked[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
		s[len(s)-1].to = time.Now()
	}
}

func (p *evacuations) toggleCut(domain string) {
	p.fault()
	if s := p.cuts[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
		p.cut(domain, false)
		s[len(s)-1].to = time.Now()
		return
	}
	p.cut(domain, true)
	p.cuts[domain] = append(p.cuts[domain], span{from: time.Now()})
}

// load hands in a few submissions at a VM, every third of them a stored one.
func (p *evacuations) load(n int) {
	for range 1 + n%4 {
		p.hand++
		id := submission.ID(fmt.Sprintf("s%d", p.hand))
		transient := p.hand%3 > 0
		work := runhost.Work{Time: time.Duration(30+n%6*40) * ms}
		at := (n + p.hand) % len(names)
		p.tasks[id] = 1 + n%5
		if transient {
			p.insist(at, id, work)
			continue
		}
		out := p.submit(names[at], id, p.tasks[id], work, false)
		if o := <-out; o.Kind == Accepted {
			p.stored = append(p.stored, id)
		}
	}
}

// sendAgain is after how long a caller without an answer sends its submission again.
const sendAgain = 1300 * time.Millisecond

// attempt is a caller that waits for the answer to a transient submission.
type attempt struct {
	id      submission.ID
	work    runhost.Work
	at      int // index of its VM in names
	out     chan Outcome
	tries   int
	againAt time.Time // zero: it waits for its answer
	end     *Outcome
}

// insist hands a transient submission in. Its caller sends it again, to the next VM, each time that
// it gets no answer.
func (p *evacuations) insist(at int, id submission.ID, work runhost.Work) {
	p.attempts = append(p.attempts, &attempt{id: id, work: work, at: at, tries: 1, out: p.submit(names[at], id, p.tasks[id], work, true)})
}

// callers lets the callers take their answers, and those whose time has come try again.
func (p *evacuations) callers() {
	for _, a := range p.attempts {
		if a.end != nil {
			continue
		}
		if !a.againAt.IsZero() {
			if !time.Now().Before(a.againAt) {
				a.at = (a.at + 1) % len(names)
				a.tries++
				a.againAt = time.Time{}
				a.out = p.submit(names[a.at], a.id, p.tasks[a.id], a.work, true)
			}
			continue
		}
		select {
		case o := <-a.out:
			if o.Kind == Indeterminate && a.tries < 5 {
				a.againAt = time.Now().Add(sendAgain)
				continue
			}
			a.end = &o
		default:
		}
	}
}

// cutOff is told of a VM whose connections break.
func (p *evacuations) cutOff(name string) {
	p.fault()
	p.kill(name)
	for _, a := range p.attempts {
		if a.end == nil && a.againAt.IsZero() && names[a.at] == name {
			a.againAt = time.Now().Add(sendAgain)
		}
	}
}

// restartAll has all VMs lose power at once, and start again.
func (p *evacuations) restartAll() {
	for _, name := range names {
		p.cutOff(name)
	}
	time.Sleep(300 * ms)
	for _, name := range names {
		p.boot(name)
	}
}

// finish lets all faults end, and says what is wrong.
func (p *evacuations) finish() error {
	for _, domain := range p.domains {
		p.withdraw(domain)
		if s := p.cuts[domain]; len(s) > 0 && s[len(s)-1].to.IsZero() {
			p.toggleCut(domain)
		}
	}
	p.do(evacuationAct{Op: 6})
	p.do(evacuationAct{Op: 8})
	for range 60 {
		time.Sleep(500 * ms)
		p.callers()
	}
	for _, a := range p.attempts {
		switch {
		case a.end == nil:
			return fmt.Errorf("%s has no answer after %d tries", a.id, a.tries)
		case a.end.Kind == Refused && a.tries == 1 && p.fleet.Starts(a.id) > 0:
			return fmt.Errorf("%s was refused as not run (%s), and has run", a.id, a.end.Reason)
		case a.end.Kind == Ended && !p.whole(a.id):
			return fmt.Errorf("%s was answered as %s, and not all of its tasks have completed", a.id, a.end.State)
		}
	}
	for _, id := range p.stored {
		if s := p.state("a1", id); s != submission.Done || !p.whole(id) {
			return fmt.Errorf("%s was accepted and is %s", id, s)
		}
	}
	if f := p.fleet.Faults(); len(f) > 0 {
		return fmt.Errorf("%v", f)
	}
	for _, domain := range p.domains {
		for _, s := range p.log.in(domain, time.Time{}, time.Now()) {
			if err := errors.Join(p.judge(s), p.judgeNotice(s)); err != nil {
				return err
			}
		}
	}
	return nil
}

// whole reports whether each task of a submission has completed.
func (p *evacuations) whole(id submission.ID) bool {
	for i := range p.tasks[id] {
		if p.fleet.Done(submission.TaskRef{ID: id, Task: submission.Task{Index: i}}) == 0 {
			return false
		}
	}
	return true
}

// judge holds a start against the evacuations of its domain.
func (p *evacuations) judge(s startSeen) error {
	for _, c := range p.cuts[s.domain] {
		if c.has(s.at) || !c.to.IsZero() && s.at.After(c.to) && s.at.Sub(c.to) < touchFor {
			return nil // its VMs could not know
		}
	}
	for _, asked := range p.asked[s.domain] {
		within := inForce
		for _, f := range p.faults {
			if f.After(asked.from.Add(-touchFor)) && f.Before(s.at) {
				within = evacuateWithin
			}
		}
		if asked.has(s.at) && s.at.Sub(asked.from) > within {
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
	acts := gen.SliceOfN(30, gen.Struct(reflect.TypeOf(evacuationAct{}), map[string]gopter.Gen{
		"Op": gen.IntRange(0, 16),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("nothing starts, nothing is lost", prop.ForAll(func(acts []evacuationAct) (ok bool, err error) {
		synctest.Test(t, func(t *testing.T) {
			p := &evacuations{
				world: newTwoDomains(t),
				asked: make(map[string][]span),
				cuts:  make(map[string][]span),
				tasks: make(map[submission.ID]int),

				notices: make(map[string]time.Time),
			}
			p.log = watchStarts(p.world)
			p.slowLists(100 * ms)
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
