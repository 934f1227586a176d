// Package upstream manages the connections to workers: one Link per worker whose
// lease this entry VM should hold, and Control for short calls to any worker.
//
// A link acquires the worker's lease, renews it with heartbeats, and reports
// Granted and Lost to its Events. One of its goroutines reads the worker's
// messages; the other merges the queued messages into one and writes it. After
// Lost, the results of starts that were sent under the lease are unknown.
//
// If no message arrives within the silence time-out, the link closes the
// connection, reports Lost and asks for the lease on a new connection. It never
// retries on the old one.
package upstream

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// Settings are the intervals, time-outs and limits of links and control calls.
type Settings struct {
	LeaseTTL          time.Duration // requested from the worker
	HeartbeatInterval time.Duration // between heartbeats
	SilenceTimeout    time.Duration // the connection is closed after this time without a message
	RedialDelay       time.Duration // minimum time between attempts to acquire the lease
	CallTimeout       time.Duration // of one control call, without the wait it asks for
	CallAttempts      int           // attempts per control call
	QueueSize         int           // messages that wait to be written to one worker
	// MaxDeniedRetryDelay limits the wait before the next attempt if another entry VM
	// holds the lease. The worker tells when that lease expires, but in a planned
	// handover the lease is released long before, and the worker would be idle until
	// the expiry.
	MaxDeniedRetryDelay time.Duration
	// MayAcquire is called before each attempt to acquire a lease. The attempt is
	// skipped if it returns false. Nil means always true.
	MayAcquire func() bool
}

// Defaults returns settings for a site with round trips below 5 ms.
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

// Events receives the events of links. Its methods are called from the links'
// goroutines and must not block for long.
type Events interface {
	// Granted reports that the lease was acquired with the epoch m.Epoch.
	Granted(worker string, m *pb.Granted)
	// Lost reports that a lease is no longer held or that the worker is silent. The
	// outcome of starts without a result is unknown. A link that is being released may
	// report it after the next link to the same worker has reported a later lease.
	Lost(worker string, lease *pb.Granted, reason string)
	// Results reports the results of tasks, in the order in which the worker sent
	// them.
	Results(worker string, groups []*pb.ResultGroup)
	// Usage reports the usage that the worker measured.
	Usage(worker string, m *pb.Usage)
	// Confirmed reports the worker's answer to an allotment or a throttle that was
	// sent under this epoch. One of the two may be nil.
	Confirmed(worker string, epoch uint64, allotment *pb.AllotmentAnswer, throttled *pb.Throttle)
}
