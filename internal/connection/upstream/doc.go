// Package upstream keeps the connections to workers: one link per worker whose
// lease this entry VM should hold, and short control calls to any worker.
//
// A link has two duties, each a goroutine: one reads what the worker says, one
// writes what waits in the link's ring as a single message. The link acquires
// the lease, renews it with heartbeats, and reports Granted and Lost to its
// Events. After Lost nothing that was sent counts as answered.
//
// A connection that goes silent is left, never used for a repeat: the link
// closes it, reports Lost, and asks for the lease again on a new one.
package upstream

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// Settings are the bounds of links and control calls.
type Settings struct {
	LeaseTTL          time.Duration // asked of the worker
	HeartbeatInterval time.Duration // between heartbeats
	SilenceTimeout    time.Duration // without any message: the connection is left
	RedialDelay       time.Duration // between attempts to get the lease
	CallTimeout       time.Duration // one control call
	CallAttempts      int           // control calls to a silent worker
	QueueSize         int           // messages waiting to be written to one worker
	// MaxDeniedRetryDelay bounds the wait after another holder was found on a worker. The
	// worker tells when that lease lapses, but in a planned hand-over the lease is
	// given back long before, and the worker would stand idle until then.
	MaxDeniedRetryDelay time.Duration
	// MayAcquire is asked before each attempt to get a lease; nil: always.
	MayAcquire func() bool
}

// Defaults returns bounds that suit a site whose round trip is below 5 ms.
func Defaults() Settings {
	return Settings{
		LeaseTTL:            2 * time.Second,
		HeartbeatInterval:   500 * time.Millisecond,
		SilenceTimeout:      1500 * time.Millisecond,
		RedialDelay:         100 * time.Millisecond,
		CallTimeout:         700 * time.Millisecond,
		CallAttempts:        3,
		QueueSize:           4096,
		MaxDeniedRetryDelay: 300 * time.Millisecond,
	}
}

// Events is told what happens on links. Calls come from the links' goroutines
// and must not block for long.
type Events interface {
	// Granted: the lease is held under m.Epoch.
	Granted(worker string, m *pb.Granted)
	// Lost: the lease is not held any more, or the connection is silent. Starts
	// without a result have an unknown fate.
	Lost(worker, why string)
	// Results of tasks, in the worker's order.
	Results(worker string, groups []*pb.ResultGroup)
	// Usage measured on the worker.
	Usage(worker string, m *pb.Usage)
	// Confirmed: the worker answered the allotment or the throttle that was sent
	// under this epoch. Either may be nil.
	Confirmed(worker string, epoch uint64, allotment *pb.AllotmentAnswer, throttled *pb.Throttle)
}
