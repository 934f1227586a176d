package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// newPlayWithManyEnds returns a play in which one worker answers and, as the store is away for 5 s, does not hear that the
// end of a stored submission is acknowledged. 600 tasks of a transient one, "a", are about to end behind it.
func newPlayWithManyEnds(t *testing.T) *randomPlay {
	p := newPlay(t)
	p.unreachable["w1"], p.unreachable["w2"] = true, true
	p.advance(100 * ms)
	p.records.delay = 5 * time.Second
	stored := StoredRecord{Record: p.storedSubmission("stored", 3, runhost.Work{Time: 10 * ms}), Revision: 1}
	p.records.open["stored"] = stored
	p.shard.Assign(p.now, stored)
	p.advance(50 * ms)
	p.assign(p.submission("a", 600, runhost.Work{Time: 20 * ms, CPUMilli: 200}))
	return p
}

// expectSingleStarts checks that no task was started twice.
func (p *randomPlay) expectSingleStarts() {
	p.t.Helper()
	for ref, n := range p.ledger.Starts {
		if n > 1 {
			p.t.Errorf("%v started %d times", ref, n)
		}
	}
}

// Guards against a task that starts again after it has completed: while the store is away, ended runs pile up beyond the
// 500 that a worker lists at a time, and a run whose end is not among them is taken for one that has vanished.
func TestTaskWhoseEndIsOnALaterPageDoesNotStartAgain(t *testing.T) {
	p := newPlayWithManyEnds(t)
	p.advance(time.Second)
	p.assign(p.submission("b", 1, runhost.Work{Time: 20 * ms, CPUMilli: 200}))
	p.advance(time.Second)
	if n := p.startCount("b"); n != 0 {
		t.Errorf("%d starts on a worker whose ends cannot be seen", n)
	}
	p.advance(5 * time.Second)
	p.expectSingleStarts()
	p.expectState("a", submission.Done)
	if p.records.final["stored"] != submission.Done || len(p.ledger.Violations) > 0 {
		t.Errorf("the stored submission is %s; violations: %v", p.records.final["stored"], p.ledger.Violations)
	}
}

// Guards against the same after a change of the holder, which takes the tasks that no worker lists for startable.
func TestNewHolderWaitsForEndsOnLaterPages(t *testing.T) {
	p := newPlay(t)
	p.unreachable["w1"], p.unreachable["w2"] = true, true
	p.advance(100 * ms)
	p.records.delay = time.Minute
	stored := StoredRecord{Record: p.storedSubmission("stored", 600, runhost.Work{Time: 20 * ms, CPUMilli: 200}), Revision: 1}
	stored.Record.Steps[0].Estimate = 20 * ms
	p.records.open["stored"] = stored
	p.shard.Assign(p.now, stored)
	p.advance(250 * ms)
	for p.ledger.CountRunning("stored") > 0 {
		p.step()
	}
	before := p.startCount("stored")
	if before <= 500 {
		t.Fatalf("%d runs, want more than a page of ends", before)
	}
	p.records.delay = 0
	p.takeOver(true) // its writes take no time, but each page of ends is stored first
	p.advance(5 * time.Second)
	p.expectSingleStarts()
	if p.records.final["stored"] != submission.Done || len(p.ledger.Violations) > 0 {
		t.Errorf("the submission is %s; violations: %v", p.records.final["stored"], p.ledger.Violations)
	}
}

// Guards against a task that starts on another worker though its end is on a later page.
func TestTaskWhoseEndIsOnALaterPageStartsNowhereElse(t *testing.T) {
	p := newPlayWithManyEnds(t)
	p.advance(100 * ms)
	p.unreachable["w1"] = false
	p.advance(7 * time.Second)
	p.expectSingleStarts()
}
