// Package holder is the duty of an entry VM as owner of worker leases: it queues
// the tasks that homes hand over, chooses what goes next and where, sends starts
// under the leases, and returns one result for each task.
//
// Contract. A task that a session offered gets exactly one result on that
// session, while the session lives:
//
//   - its end, as the worker reported it;
//   - NotRun, when it was not sent to a worker and never will be, or when the
//     worker refused it;
//   - Lost, when it was sent and the worker's connection or lease ended without
//     an answer. The holder does not ask the worker again: only the home knows
//     the submission's generation, which has to advance first.
//
// A session that ends takes its waiting tasks with it. Tasks that run go on;
// nobody is told of their end, since homes ask the worker.
//
// Power. A task is charged at the ledger of watts before its start is sent, and
// released when its end is known, see power.go. Nothing that draws power starts
// on a worker before it has an allotment under a plan.
//
// One goroutine, Holder.Run, owns the state. Each round handles all waiting
// events, then places, then sends one message per worker and per session.
package holder

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/estimate"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/health"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
)

// Settings bound a Holder.
type Settings struct {
	Ring      int           // events waiting for the loop
	Tick      time.Duration // deadlines and statistics
	MaxQueued int           // tasks waiting for a slot
	// QuotaRound is how often quotas are divided among the entry VMs. It has to
	// be longer than two heartbeats between them.
	QuotaRound time.Duration
	Order      fairness.Settings
	Placement  placement.Settings
	Health     health.Settings
	Estimate   estimate.Settings
	Power      power.Settings
}

// Defaults returns settings for an entry VM of 2 cores.
func Defaults() Settings {
	return Settings{
		Ring:       1 << 14,
		Tick:       10 * time.Millisecond,
		MaxQueued:  100_000,
		QuotaRound: 1100 * time.Millisecond,
		Order:      fairness.Defaults(),
		Placement:  placement.Defaults(),
		Health:     health.Defaults(),
		Estimate:   estimate.DefaultSettings(),
		Power:      power.DefaultSettings(),
	}
}

// Session is a home that hands over tasks. Implementations are compared by
// identity.
type Session interface {
	// Report queues results for the home and does not block.
	Report(m *pb.RunResponse)
	// AddTaken counts tasks of an offer that show in the advert from now on.
	AddTaken(tasks int)
}

// Workers sends messages under leases.
type Workers interface {
	// Send queues a message to a worker whose lease is held. False: nothing was
	// sent.
	Send(worker string, m *pb.HoldRequest) bool
}

// PowerPeers sends to entry VMs of the same failure domain. Messages may be
// lost.
type PowerPeers interface {
	// Broadcast sends to each of them.
	Broadcast(m *pb.Power)
	// SendTo sends to one.
	SendTo(name string, m *pb.Power)
}

// Observer is told of starts and ends, for metrics.
type Observer interface {
	Started(account, template string, tasks int, waited time.Duration)
	Ended(account, template, worker string, r *pb.TaskResult)
}
