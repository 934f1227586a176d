package vm

import (
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Symptom: one task runs twice at once, both as its first run. Sequence: a shard gets a
// new holder, the home hands a submission over as one that may have runs; the message is
// lost, the holder says that it does not know it, and the home hands it over again.
// Cause: the second time it was handed over as new, as this holder had been told of it.
func TestResentPartStaysResumed(t *testing.T) {
	e := &engine{now: time.Hour, shards: map[string]*heldShard{}, frames: map[string]*pb.KeptFrame{}}
	p := &part{record: &submission.Record{ID: "job", Steps: []submission.Step{{Count: 1}}}, shard: "a/0"}
	last := func(holder string) *pb.KeptAssign {
		a := e.frame(holder).Assign
		return a[len(a)-1]
	}
	e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "first", token: 3})
	if last("first").Resumed {
		t.Error("its first holder is to look for runs of an earlier one")
	}
	for range 2 {
		e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "second", token: 4})
		if !last("second").Resumed {
			t.Error("the second holder is told that nothing of it has run")
		}
	}
	e.sendPart(&transientSubmission{}, p, &knownLoad{holder: "third", token: 5})
	if r, err := submission.DecodeRecord("job", last("third").Record); err != nil || r.Token != 3 || !last("third").Resumed {
		t.Errorf("the third holder gets %+v, %v", r, err)
	}
}

// Symptom: a caller is told that its submission has not run, and it runs. Sequence: a
// shard gets a new holder, which is given the submission; the earlier one does not know
// yet that it was replaced, and rejects what waits in its queue. Cause: the home took the
// word of whoever named the shard.
func TestRejectionByAnEarlierHolderCountsForNothing(t *testing.T) {
	p := &part{record: &submission.Record{ID: "job", Token: 3}, shard: "a/0", holderToken: 4, holder: "second", state: submission.Queued}
	tr := &transientSubmission{record: p.record, parts: []*part{p}, outcomeWaiters: []chan Outcome{make(chan Outcome, 1)}}
	e := &engine{now: time.Hour, transients: map[submission.ID]*transientSubmission{"job": tr}, loads: map[string]*knownLoad{"a/0": {token: 4}}}
	for _, state := range []submission.State{submission.Rejected, submission.Cancelled, submission.Unknown, submission.Running} {
		e.applyStateReport("job", stateReport{shard: "a/0", token: 3, state: state})
	}
	if len(tr.outcomeWaiters[0]) > 0 || p.state != submission.Queued || e.transients["job"] == nil {
		t.Errorf("the home believed it: %s", p.state)
	}
}

// Symptom: a caller is told that its submission has not run, and it runs. Sequence: a part
// was rejected by a holder and is handed to it again; the holder is asked before that has
// come. Cause: its answer was of the hand-in before.
func TestRejectionOfAnEarlierAttemptIsIgnored(t *testing.T) {
	p := &part{record: &submission.Record{ID: "job", Token: 3, Serial: 8}, shard: "a/0", holderToken: 3, holder: "a1", state: submission.Queued}
	tr := &transientSubmission{record: p.record, parts: []*part{p}, outcomeWaiters: []chan Outcome{make(chan Outcome, 1)}}
	e := &engine{now: time.Hour, transients: map[submission.ID]*transientSubmission{"job": tr}, loads: map[string]*knownLoad{"a/0": {token: 3}}}
	e.applyStateReport("job", stateReport{shard: "a/0", token: 3, state: submission.Rejected, serial: 7})
	if len(tr.outcomeWaiters) == 0 || len(tr.outcomeWaiters[0]) > 0 || p.state != submission.Queued {
		t.Errorf("the home believed it: %s", p.state)
	}
}
