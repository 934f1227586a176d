package vm

import (
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Guards against a task that runs twice at once, both times as its first run: a shard gets a new
// holder, and the home VM sends it a part as resumed, that is, with possible runs; the message is
// lost, the holder reports that it does not know the part, and the home VM sends it again. The
// second time it was sent as new because it had been sent to this holder before.
func TestResentPartStaysResumed(t *testing.T) {
	e := &engine{now: time.Hour, shards: map[string]*heldShard{}, frames: map[string]*pb.KeptFrame{}}
	p := &part{record: &submission.Record{ID: "job", Steps: []submission.Step{{Count: 1}}}, shard: "a/0"}
	last := func(holder string) *pb.KeptAssign {
		a := e.frame(holder).Assign
		return a[len(a)-1]
	}
	e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "first", token: 3})
	if last("first").Resumed {
		t.Error("the part is sent to its first holder as resumed")
	}
	for range 2 {
		e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "second", token: 4})
		if !last("second").Resumed {
			t.Error("the part is sent to the second holder as one that has not run")
		}
	}
	e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "third", token: 5})
	if r, err := submission.DecodeRecord("job", last("third").Record); err != nil || r.Token != 3 || !last("third").Resumed {
		t.Errorf("the third holder gets the record %+v, error %v", r, err)
	}
}

// Guards against a caller that is told that its submission has not run while it runs: a shard gets a
// new holder, which is sent the submission; the earlier holder does not know yet that it was
// replaced, and rejects what waits in its queue. The home VM accepted reports about the shard from
// any VM, whatever their fencing token.
func TestRejectionByAnEarlierHolderCountsForNothing(t *testing.T) {
	p := &part{record: &submission.Record{ID: "job", Token: 3}, shard: "a/0", holderToken: 4, holder: "second", state: submission.Queued}
	tr := &transientSubmission{record: p.record, parts: []*part{p}, outcomeWaiters: []chan Outcome{make(chan Outcome, 1)}}
	e := &engine{now: time.Hour, transients: map[submission.ID]*transientSubmission{"job": tr}, loads: map[string]*knownLoad{"a/0": {token: 4}}}
	for _, state := range []submission.State{submission.Rejected, submission.Cancelled, submission.Unknown, submission.Running} {
		e.applyStateReport("job", stateReport{shard: "a/0", token: 3, state: state})
	}
	if len(tr.outcomeWaiters[0]) > 0 || p.state != submission.Queued || e.transients["job"] == nil {
		t.Errorf("the home VM applied an outdated report; the state of the part is %s", p.state)
	}
}

// Guards against a caller that is told that its submission has not run while it runs: a holder
// rejected a part and is sent it again; it is asked for the state before the part has arrived, and
// its answer is about the previous attempt.
func TestRejectionOfAnEarlierAttemptIsIgnored(t *testing.T) {
	p := &part{record: &submission.Record{ID: "job", Token: 3, Serial: 8}, shard: "a/0", holderToken: 3, holder: "a1", state: submission.Queued}
	tr := &transientSubmission{record: p.record, parts: []*part{p}, outcomeWaiters: []chan Outcome{make(chan Outcome, 1)}}
	e := &engine{now: time.Hour, transients: map[submission.ID]*transientSubmission{"job": tr}, loads: map[string]*knownLoad{"a/0": {token: 3}}}
	e.applyStateReport("job", stateReport{shard: "a/0", token: 3, state: submission.Rejected, serial: 7})
	if len(tr.outcomeWaiters) == 0 || len(tr.outcomeWaiters[0]) > 0 || p.state != submission.Queued {
		t.Errorf("the home VM applied an outdated report; the state of the part is %s", p.state)
	}
}
