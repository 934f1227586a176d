package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/fleet"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
)

// Guards against work done twice that nobody hears of: a run ends on a worker that its holder does not hear from, and
// when the lease has lapsed the task starts elsewhere. The report must count such runs, and only those whose task had
// completed: a run that the lapse of the lease has ended is done once. One that starts while the lease of the completed
// run goes on must be told apart, also if the lease lapses afterwards.
func TestReportCountsRunsStartedAfterACompletion(t *testing.T) {
	ledger := runhost.NewLedger()
	f := fleet.New()
	f.Ledger = ledger
	host := func(name string) *runhost.Host {
		return runhost.New(worker.Info{ID: name, CPUMilli: 1000}, ledger, func(s worker.Start) runhost.Work { return runhost.ParseWork(s.Spec) })
	}
	first, second := host("w1"), host("w2")
	start := func(h *runhost.Host, at time.Duration, id submission.ID, run uint64, millis int) {
		t.Helper()
		s := worker.Start{Task: submission.TaskRef{ID: id}, Run: run, Token: 1, Deadline: at + time.Second, Spec: fmt.Sprintf(`{"run_millis":%d,"cpu_milli":100}`, millis)}
		if r := h.Start(at, s); r.Verdict != worker.Accepted {
			t.Fatalf("run %d of %s: %s", run, id, r.Verdict)
		}
	}
	s := &soak{site: &keptsite.Site{Fleet: f}}
	wantCounts := func(after string, again, withinLease int) {
		t.Helper()
		want := fmt.Sprintf(" %d runs started after another run of their task had completed (%d of them before", again, withinLease)
		if got := s.report(nil); !strings.Contains(got, want) || !strings.HasSuffix(got, "all guarantees held") {
			t.Errorf("after %s the report is %q, want in it %q", after, got, want)
		}
	}
	start(first, 0, "completed", 1, 200)
	start(first, 0, "repeated", 1, 200)
	start(first, 0, "lapsed", 1, 5000)
	first.Advance(500 * time.Millisecond)
	wantCounts("the first runs", 0, 0)
	start(second, 500*time.Millisecond, "repeated", 2, 200)
	wantCounts("a second run while the lease goes on", 1, 1)
	first.Advance(2 * time.Second)
	start(second, 2*time.Second, "lapsed", 2, 200)
	wantCounts("a second run of a task whose first one has lapsed", 1, 1)
	start(first, 2*time.Second, "other", 1, 200)
	start(second, 2*time.Second, "completed", 2, 200)
	wantCounts("a second run after the lease has lapsed and begun again", 2, 1)
	if v := f.Violations(); len(v) > 0 {
		t.Errorf("a start after a completed run is told as a violation: %v", v)
	}
}
