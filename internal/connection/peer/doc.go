// Package peer connects entry VMs with each other: a link per direction that
// carries batches of tasks to an owner of worker leases and results back, and
// calls that forward a caller's request to the home of its submission.
//
// A link is addressed to one incarnation of the owner. When the owner is
// replaced or silent, the link reports OwnerLost before it connects again, and
// whatever had no result by then has an unknown fate. A link never sends a
// batch a second time.
package peer

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
)

const logPrefix = "peer: "

// Settings are the bounds of peer connections.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats, both ways
	SilenceTimeout    time.Duration // without any message: the connection is left
	RedialDelay       time.Duration
	QueueSize         int // messages waiting to be written to one peer
}

// Defaults returns bounds that suit failure domains 0.5 ms apart.
func Defaults() Settings {
	return Settings{
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    1500 * time.Millisecond,
		RedialDelay:       100 * time.Millisecond,
		QueueSize:         8192,
	}
}

// Events is told what happens on the links to owners.
type Events interface {
	// OwnerUp: the link works and leads to this incarnation.
	OwnerUp(owner string, incarnation uint64)
	// Advert says what the owner can take.
	Advert(owner string, m *pb.Advert)
	// RunResults of tasks that were sent on this link.
	RunResults(owner string, results []*pb.RunResult)
	// OwnerLost: tasks without a result have an unknown fate.
	OwnerLost(owner, why string)
}

// Owner takes the batches of homes. The server of this package calls it.
type Owner interface {
	// Join starts a session. It returns false to refuse.
	Join(s holder.Session) bool
	// Offer hands over batches. Each task gets one result on the session.
	Offer(s holder.Session, groups []*pb.RunGroup)
	// Withdraw takes back what has not started of the submissions.
	Withdraw(s holder.Session, ids []*pb.SubmissionID)
	// Leave ends a session: its tasks that have not started never will.
	Leave(s holder.Session)
	// Advert describes the owner now.
	Advert() *pb.Advert
	// Power takes what an entry VM of the failure domain says about watts.
	Power(m *pb.Power)
}

// Home answers requests that other entry VMs forward.
type Home interface {
	// Submit waits for the final answer, or for ctx.
	Submit(done <-chan struct{}, m *pb.SubmitRequest) *pb.Answer
	// Cancel gives a submission up.
	Cancel(m *pb.CancelRequest) *pb.CancelResponse
	// Timeline returns the steps known here.
	Timeline(m *pb.TimelineRequest) *pb.TimelineResponse
}
