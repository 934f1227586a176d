package holder

import (
	"slices"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

var now = time.Unix(1000, 0)

// home is a session that keeps its results.
type home struct{ results []*pb.TaskResult }

func (s *home) AddTaken(int) {}
func (s *home) Report(m *pb.RunResponse) {
	for _, r := range m.Results {
		s.results = append(s.results, r.Results...)
	}
}

// workers keeps what is sent, and hears of starts.
type workers struct{ sent []*pb.HoldRequest }

func (w *workers) Send(_ string, m *pb.HoldRequest) bool {
	w.sent = append(w.sent, m)
	return true
}
func (w *workers) Started(string, string, int, time.Duration)   {}
func (w *workers) Ended(string, string, string, *pb.TaskResult) {}

// workers is an entry VM without peers, too.
func (w *workers) Broadcast(*pb.Power)      {}
func (w *workers) SendTo(string, *pb.Power) {}

// starts is the number of tasks sent to workers.
func (w *workers) starts() (n int) {
	for _, m := range w.sent {
		for _, g := range m.Starts {
			n += len(g.Index)
		}
	}
	return n
}

func newHolder() (*Holder, *workers) {
	w := &workers{}
	h := New(Config{
		Settings: Defaults(), Domain: "brno", Workers: w, Observer: w, Timelines: timeline.NewStore(10),
		Peers: w,
		Rack:  func(string) string { return "r1" },
		Class: func(string) fairness.Class { return 0 },
	})
	h.Granted("w1", &pb.Granted{Epoch: 1, Capacity: &pb.Resources{Slots: 8}})
	h.round(now)
	h.placer.SetTier("w1", placement.Healthy)
	return h, w
}

func group(author uint64) []*pb.RunGroup {
	return []*pb.RunGroup{{
		Submission: &pb.SubmissionID{Counter: 1}, Generation: &pb.Generation{Author: author},
		Template: "check", DeadlineMillis: 10_000, Index: []uint32{0}, Input: [][]byte{nil},
		Workers: []string{"w1"}, Each: &pb.Resources{Slots: 1}, ExpectedMicros: 1000,
	}}
}

// Symptom: a task runs on two workers. Sequence: the home's start is under way to
// a worker when the home dies; the entry VM that recovers hands the same task to
// the same owner, whose stream is slower than the recovery's call; the worker
// refuses the first start as busy. Cause: the owner took that for the refusal of
// the second start, which was still under way and could begin.
func TestSecondStartOfATaskUnderWayIsHeldBack(t *testing.T) {
	h, w := newHolder()
	first, second := &home{}, &home{}
	h.Offer(first, group(1))
	h.round(now)
	h.Offer(second, group(2))
	h.round(now)
	if w.starts() != 1 {
		t.Fatalf("%d starts of one task are under way to one worker", w.starts())
	}
	if len(second.results) != 1 || second.results[0].Reason != string(reason.DuplicateTask) || second.results[0].Worker != "w1" {
		t.Fatalf("the second home got %v", second.results)
	}
	h.Results("w1", []*pb.ResultGroup{{Submission: &pb.SubmissionID{Counter: 1}, Results: []*pb.TaskResult{notRun(0, reason.WorkerBusy, "")}}})
	h.round(now)
	if len(first.results) != 1 || len(second.results) != 1 {
		t.Fatalf("results %v and %v, want one each", first.results, second.results)
	}
	if free := h.placer.FreeSlots(); free != 8 {
		t.Fatalf("%d free slots, want all 8", free)
	}
}

// Symptom: tasks wait or run that nobody asks for. Sequence: a home dies with a
// task waiting and one running; its session ends. Cause would be an owner that
// starts what waits, or reports to a session that ended.
func TestHomeLeaves(t *testing.T) {
	h, w := newHolder()
	s := &home{}
	h.Offer(s, group(1))
	h.round(now)
	late := group(1)
	late[0].Index[0] = 1
	h.Offer(s, late)
	h.Leave(s)
	h.round(now)
	h.Results("w1", []*pb.ResultGroup{{Submission: late[0].Submission, Results: []*pb.TaskResult{{State: pb.TaskState_TASK_STATE_DONE}}}})
	h.round(now)
	if w.starts() != 1 || len(s.results) != 0 || h.placer.FreeSlots() != 8 {
		t.Fatalf("%d starts, results %v, %d free slots", w.starts(), s.results, h.placer.FreeSlots())
	}
}

// Symptom: an account occupies its quota many times over, seen by the load tool as
// 2.5 times the quota in a burst. Sequence: a burst of one account reaches two
// entry VMs at once, before either hears what the other started. Cause: each took
// the whole rest of the quota for itself.
func TestQuotaIsDividedAmongEntryVMs(t *testing.T) {
	h, w := newHolder()
	h.SetAccounts([]fairness.Account{{Name: "planning", Weight: 1, QuotaSlots: 4}})
	h.round(now)
	burst := group(1)
	burst[0].Account = "planning"
	burst[0].Index, burst[0].Input = make([]uint32, 8), make([][]byte, 8)
	for i := range burst[0].Index {
		burst[0].Index[i] = uint32(i)
	}
	h.Offer(&home{}, burst)
	h.SetRemote(Remote{Slots: 8, Waiting: map[string]int{"planning": 1}})
	h.round(now.Add(2 * time.Second))
	if got := w.starts(); got != 2 {
		t.Errorf("%d tasks started, want half of the quota of 4", got)
	}
	h.SetRemote(Remote{Slots: 8, Usage: []fairness.Usage{{Account: "planning", Slots: 1}}})
	h.round(now.Add(4 * time.Second))
	if got := w.starts(); got != 3 {
		t.Errorf("%d tasks started, want what the other entry VM left of the quota", got)
	}
}

// Guards against a worker whose lease is renewed but that gets no tasks: a link that is being released reports the loss of
// its lease after the next link to the same worker has reported a later one.
func TestLossOfAnEarlierLeaseLeavesTheWorker(t *testing.T) {
	lease := func(incarnation, epoch uint64) *pb.Granted {
		return &pb.Granted{Incarnation: incarnation, Epoch: epoch, Capacity: &pb.Resources{Slots: 8}}
	}
	for _, c := range []struct {
		name           string
		earlier, later *pb.Granted
		overtaken      bool // the later lease is reported before the earlier one
	}{
		{"another lease of the incarnation", lease(0, 2), lease(0, 3), false},
		{"the same epoch of the next incarnation", lease(1, 1), lease(2, 1), false},
		{"a lease that was reported first", lease(0, 2), lease(0, 3), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, w := newHolder()
			reports := []*pb.Granted{c.earlier, c.later}
			if c.overtaken {
				slices.Reverse(reports)
			}
			for _, m := range reports {
				h.Granted("w1", m)
			}
			h.Lost("w1", c.earlier, "released")
			h.round(now)
			h.Offer(&home{}, group(1))
			h.round(now)
			if w.starts() != 1 {
				t.Fatalf("%d tasks were started, want 1", w.starts())
			}
			if epoch := w.sent[len(w.sent)-1].Epoch; epoch != c.later.Epoch {
				t.Errorf("the task was started under epoch %d, want %d", epoch, c.later.Epoch)
			}
		})
	}
}

// Guards against a submission that waits for a task of an earlier lease, whose loss is reported after the next lease.
func TestNextLeaseEndsTheTasksOfTheEarlierOne(t *testing.T) {
	h, _ := newHolder()
	s := &home{}
	h.Offer(s, group(1))
	h.round(now)
	h.Granted("w1", &pb.Granted{Epoch: 2, Capacity: &pb.Resources{Slots: 8}})
	h.Lost("w1", &pb.Granted{Epoch: 1}, "released")
	h.round(now)
	if len(s.results) != 1 || s.results[0].Reason != string(reason.LeaseLost) {
		t.Errorf("results %v, want that the task was lost with its lease", s.results)
	}
}
