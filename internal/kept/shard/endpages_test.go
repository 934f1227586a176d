package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a task that starts again after it has completed: while the store is away, ended runs pile up beyond the
// 500 that a worker lists at a time, and a run whose end is not among them is taken for one that has vanished.
func TestTaskWhoseEndIsOnALaterPageDoesNotStartAgain(t *testing.T) {
	p := newPlay(t)
	p.unreachable["w1"], p.unreachable["w2"] = true, true
	p.advance(100 * ms)
	p.records.delay = 5 * time.Second
	stored := StoredRecord{Record: p.storedSubmission("stored", 3, runhost.Work{Time: 10 * ms}), Revision: 1}
	p.records.open["stored"] = stored
	p.shard.Assign(p.now, stored)
	p.advance(50 * ms)
	p.assign(p.submission("a", 600, runhost.Work{Time: 20 * ms, CPUMilli: 200}))
	p.advance(7 * time.Second)
	for ref, n := range p.ledger.Starts {
		if n > 1 {
			t.Errorf("%v started %d times", ref, n)
		}
	}
	p.expectState("a", submission.Done)
	if p.records.final["stored"] != submission.Done || len(p.ledger.Violations) > 0 {
		t.Errorf("the stored submission is %s; violations: %v", p.records.final["stored"], p.ledger.Violations)
	}
}
