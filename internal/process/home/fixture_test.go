package home

import (
	"errors"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

const (
	self      = 9 // incarnation of the home under test
	recoverer = 5 // of an entry VM that recovers
)

// fixture is a Home whose messages and calls are kept until the test answers
// them. Worker w1 is held by owner "a", w2 by "b".
type fixture struct {
	t       testing.TB
	h       *Home
	now     time.Time
	batches []batch
	seals   []*sealCall
	live    map[uint64]bool // other incarnations that can be reached
	answers []*job.Answer
}

type batch struct {
	owner string
	*pb.RunGroup
}

type sealCall struct {
	worker string
	req    *pb.SealRequest
	done   func(*pb.SealResponse, error)
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), live: map[uint64]bool{}}
	f.h = New(Config{
		Settings: Defaults(), Name: "a", Domain: "brno", Incarnation: self,
		Owners: f, Workers: f, Peers: f, Observer: f, Timelines: timeline.NewStore(100),
	})
	f.up("a", "w1")
	f.up("b", "w2")
	return f
}

// up lets the home hear an owner that holds one worker.
func (f *fixture) up(owner, worker string) {
	f.h.OwnerUp(owner, 1)
	f.h.Advert(owner, &pb.Advert{Domain: "brno", Slots: 8, FreeSlots: 8, WorkersVersion: 1, Workers: []*pb.HeldWorker{{Id: worker}}})
	f.pass(0)
}

func (f *fixture) Send(owner string, m *pb.RunRequest) bool {
	for _, g := range m.Groups {
		f.batches = append(f.batches, batch{owner, g})
	}
	return true
}

func (f *fixture) Seal(worker string, req *pb.SealRequest, done func(*pb.SealResponse, error)) {
	f.seals = append(f.seals, &sealCall{worker, req, done})
}

func (f *fixture) Follow(string, *pb.FollowRequest, func(*pb.FollowResponse, error)) {}
func (f *fixture) StopSubmission(string, *pb.StopSubmissionRequest)                  {}
func (f *fixture) Lives(incarnation uint64) bool                                     { return f.live[incarnation] }
func (f *fixture) Answered(string, string, *job.Answer, int, time.Duration)          {}

// pass lets time go on and the home do a round.
func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.h.round(f.now)
}

// submission is one of n tasks under ticket c.
func (f *fixture) submission(c uint64, n int) Submission {
	return Submission{
		Ticket:     ticket.Ticket{ID: ticket.ID{Incarnation: self, Counter: c}, Expiry: f.now.Add(time.Minute), Account: "desk"},
		Template:   "check",
		Inputs:     make([][]byte, n),
		Deadline:   f.now.Add(5 * time.Second),
		Each:       &pb.Resources{Slots: 1},
		Expected:   50 * time.Millisecond,
		Weight:     1,
		Candidates: []ownership.WorkerRef{{ID: "w1", Incarnation: 11}, {ID: "w2", Incarnation: 12}},
	}
}

// ask submits and does a round.
func (f *fixture) ask(s Submission) {
	if !f.h.Submit(s, func(a *job.Answer) { f.answers = append(f.answers, a) }) {
		f.t.Fatal("the home took nothing")
	}
	f.pass(0)
}

// takeBatch returns the only batch sent since the last call.
func (f *fixture) takeBatch() batch {
	f.t.Helper()
	if len(f.batches) != 1 {
		f.t.Fatalf("%d batches, want 1: %v", len(f.batches), f.batches)
	}
	b := f.batches[0]
	f.batches = nil
	return b
}

// noBatch fails when a batch was sent since the last call.
func (f *fixture) noBatch() {
	f.t.Helper()
	f.pass(f.h.cfg.Settings.HoldBack)
	if len(f.batches) > 0 {
		f.t.Fatalf("tasks were handed out: %v", f.batches)
	}
}

// takeSeals returns the seals asked since the last call, which have to be for
// the given workers, in any order.
func (f *fixture) takeSeals(workers ...string) map[string]*sealCall {
	f.t.Helper()
	calls := make(map[string]*sealCall)
	for _, c := range f.seals {
		calls[c.worker] = c
	}
	for _, w := range workers {
		if calls[w] == nil {
			f.t.Fatalf("%s was not asked", w)
		}
	}
	if len(f.seals) != len(workers) {
		f.t.Fatalf("%d seals, want %d", len(f.seals), len(workers))
	}
	f.seals = nil
	return calls
}

// accepts answers a seal as a worker that knows the given results.
func (f *fixture) accepts(c *sealCall, results ...*pb.TaskResult) {
	c.done(&pb.SealResponse{Sealed: true, Generation: c.req.Generation, Results: results}, nil)
	f.pass(0)
}

// refuses answers a seal as a worker on which a higher generation was first.
func (f *fixture) refuses(c *sealCall, higher ticket.Generation) {
	c.done(&pb.SealResponse{Generation: wire.GenerationMessage(higher)}, nil)
	f.pass(0)
}

func (f *fixture) silent(c *sealCall) {
	c.done(nil, errors.New("silent"))
	f.pass(0)
}

// reports brings an owner's results on a batch.
func (f *fixture) reports(b batch, results ...*pb.TaskResult) {
	f.h.RunResults(b.owner, []*pb.RunResult{{Submission: b.Submission, Generation: b.Generation, Results: results}})
	f.pass(0)
}

func result(index uint32, state pb.TaskState, code reason.Code) *pb.TaskResult {
	return &pb.TaskResult{Index: index, State: state, Reason: string(code), Worker: "w1", Output: []byte{byte(index)}}
}

func done(index uint32) *pb.TaskResult { return result(index, pb.TaskState_TASK_STATE_DONE, "") }

func refusedBy(code reason.Code) *pb.TaskResult {
	return result(0, pb.TaskState_TASK_STATE_NOT_RUN, code)
}

// takeAnswers returns the answers since the last call, which have to be of the
// given outcomes.
func (f *fixture) takeAnswers(outcomes ...reason.Outcome) []*job.Answer {
	f.t.Helper()
	if len(f.answers) != len(outcomes) {
		f.t.Fatalf("%d answers, want %v", len(f.answers), outcomes)
	}
	for i, a := range f.answers {
		if a.Outcome != outcomes[i] {
			f.t.Fatalf("answer %+v, want %s", a, outcomes[i])
		}
	}
	out := f.answers
	f.answers = nil
	return out
}

// below reports whether generation a is older than b.
func below(a, b *pb.Generation) bool { return wire.Generation(a).Less(wire.Generation(b)) }
