package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a refusal that says "not run" of a submission that runs: an earlier attempt has stored it, and the VM that
// gets the next one has no room for it.
func TestSubmissionThatIsStoredIsNotRefused(t *testing.T) {
	for name, play := range map[string]struct {
		before func(w *world)
		want   submission.State
	}{
		"running":   {func(*world) {}, submission.Running},
		"done":      {func(*world) { time.Sleep(3 * time.Second) }, submission.Done},
		"cancelled": {func(w *world) { w.cancelAt("b2", "job") }, submission.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			testWorld(t, func(w *world) {
				w.wantAccepted(w.submit("a1", "job", 2, runhost.Work{Time: 2 * time.Second}, false))
				time.Sleep(200 * ms)
				play.before(w)
				w.evacuate("a")
				w.evacuate("b")
				time.Sleep(time.Second)
				w.wantAccepted(w.submit("b1", "job", 2, runhost.Work{Time: 2 * time.Second}, false))
				if o := <-w.submit("b1", "other", 2, runhost.Work{Time: 2 * time.Second}, false); o.Kind != Refused {
					t.Errorf("the outcome of another submission is %+v, want Refused", o)
				}
				time.Sleep(100 * ms)
				if s := w.state("b1", "job"); play.want.Final() && s != play.want {
					t.Errorf("it is %s, want %s", s, play.want)
				}
			})
		})
	}
}
