package holder

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/health"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// Standing is how workers and client accounts stand at this entry VM.
type Standing struct {
	Workers  []health.WorkerStatus    // whose lease is held, by id
	Accounts []fairness.AccountStatus // by name
}

type standingEvent struct{ answer chan Standing }

// Standing describes workers and client accounts now. It is empty when the loop
// has ended. It is safe for concurrent use.
func (h *Holder) Standing() Standing {
	answer := make(chan Standing, 1)
	if !h.events.Push(standingEvent{answer}) {
		return Standing{}
	}
	select {
	case s := <-answer:
		return s
	case <-h.ended:
		return Standing{}
	}
}

func (ev standingEvent) apply(h *Holder) {
	ev.answer <- Standing{Workers: h.health.Status(), Accounts: h.order.Snapshot(h.now)}
}

// longWait is how long a submission waits before its timeline says why.
const longWait = 500 * time.Millisecond

// noteWaits tells the timelines of submissions that have waited for long what
// they wait for. Without it a submission that never got a slot would end as
// deadline_exceeded, with nothing to tell a quota from a full site.
func (h *Holder) noteWaits() {
	for key, w := range h.works {
		g := w.groups[0]
		if w.noted || h.now.Sub(g.received) < longWait {
			continue
		}
		w.noted = true
		h.cfg.Timelines.Add(key.id, timeline.Step{
			At: h.now, Event: "waiting", Reason: h.order.WaitReason(g.m.Account), Detail: "client account " + g.m.Account,
		})
	}
}
