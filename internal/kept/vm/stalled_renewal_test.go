package vm

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// stalledRenewals holds up the renewals that are under way at a time, without an answer, until a later time. The workers
// answer the next ones one after the other.
type stalledRenewals struct {
	worker.Client
	time atomic.Pointer[stallTime] // nil: none are held up
}

type stallTime struct{ from, until time.Time }

func (c *stalledRenewals) Hold(ctx context.Context, to worker.Info, o worker.Hold) (worker.Listing, worker.Reply) {
	l, r := c.Client.Hold(ctx, to, o)
	stall, now := c.time.Load(), time.Now()
	switch {
	case stall == nil:
	case now.After(stall.from) && now.Before(stall.until):
		time.Sleep(stall.until.Sub(now))
		return worker.Listing{}, worker.Reply{Verdict: worker.NoAnswer}
	case to.ID == "w-a0":
		time.Sleep(20 * ms)
	}
	return l, r
}

// Guards against work that is done twice: a VM stands still, takes all its workers for lost when it goes on, and starts
// tasks that have completed meanwhile before the workers have told it so.
func TestVMThatStoodStillAsksBeforeItTakesWorkersForLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		stall := &stalledRenewals{}
		w.workers = func(c worker.Client) worker.Client {
			stall.Client = c
			return stall
		}
		w.addDeskWorker("a0", "a")
		w.addDeskWorker("a1", "a")
		w.boot("a1")
		time.Sleep(3 * time.Second)
		out := w.submit("a1", "job", 4, runhost.Work{Time: 700 * ms}, true)
		time.Sleep(100 * ms)
		stall.time.Store(&stallTime{from: time.Now(), until: time.Now().Add(1600 * ms)})
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 4 {
			t.Errorf("%d runs of 4 tasks that had completed", n)
		}
		w.end()
	})
}
