// Package peer connects entry VMs with each other. In this package, an owner is the
// entry VM that holds the leases on some workers, and the home of a submission is
// the entry VM that accepted it and distributes its tasks to owners.
//
//   - A Link carries batches of tasks from a home to an owner, and the results back.
//   - Calls forward a caller's requests to the home of its submission.
//   - An Exchange sends the control messages of membership and configuration.
//   - A Server is the receiving end of all three.
//
// A link is addressed to one incarnation of the owner. If the owner is replaced or
// silent, the link reports OwnerLost before it connects again; the outcome of tasks
// without a result is then unknown. A link never sends a batch twice.
package peer

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
)

const logPrefix = "peer: "

// Settings are the intervals, time-outs and limits of peer connections.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats, in both directions
	SilenceTimeout    time.Duration // the connection is closed after this time without a message
	RedialDelay       time.Duration
	QueueSize         int // messages that wait to be written to one peer
}

// Defaults returns settings for failure domains with 0.5 ms between them.
func Defaults() Settings {
	return Settings{
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    1500 * time.Millisecond,
		RedialDelay:       100 * time.Millisecond,
		QueueSize:         8192,
	}
}

// Events receives the events of the links to owners.
type Events interface {
	// OwnerUp reports that the link is connected to this incarnation of the owner.
	OwnerUp(owner string, incarnation uint64)
	// Advert reports the owner's workers and free capacity.
	Advert(owner string, m *pb.Advert)
	// RunResults reports results of tasks that were sent on this link.
	RunResults(owner string, results []*pb.RunResult)
	// OwnerLost reports that the connection has ended. The outcome of tasks without a
	// result is unknown.
	OwnerLost(owner, reason string)
}

// Owner runs the batches that homes send. The Server calls it.
type Owner interface {
	// Join starts the session of one home. It returns false to refuse it.
	Join(s holder.Session) bool
	// Offer queues batches of tasks. Each task gets one result on the session.
	Offer(s holder.Session, groups []*pb.RunGroup)
	// Withdraw removes the tasks of these submissions that have not started.
	Withdraw(s holder.Session, ids []*pb.SubmissionID)
	// Leave ends a session. Its tasks that have not started will never start.
	Leave(s holder.Session)
	// Advert returns the owner's current workers and free capacity.
	Advert() *pb.Advert
	// Power handles a power message of an entry VM in the same failure domain.
	Power(m *pb.Power)
}

// Home handles the requests that other entry VMs forward.
type Home interface {
	// Submit waits for the final answer, or until done is closed.
	Submit(done <-chan struct{}, m *pb.SubmitRequest) *pb.Answer
	// Cancel cancels a submission.
	Cancel(m *pb.CancelRequest) *pb.CancelResponse
	// Timeline returns the steps recorded by this entry VM.
	Timeline(m *pb.TimelineRequest) *pb.TimelineResponse
}
