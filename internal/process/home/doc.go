// Package home drives submissions: it takes them from callers, hands their tasks
// to owners of worker leases, asks workers when an answer is missing, and keeps
// final answers for callers that ask again.
//
// One goroutine, Home.Run, owns all submissions. Everything else pushes typed
// events into its ring and is called back. The decisions on one submission are
// made by package job; this package looks after many of them, and carries out
// their actions through the interfaces below.
package home

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/admission"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
	"github.com/pumiceyard/pumiceyard/internal/process/spill"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Settings bound what a Home keeps and how long it waits.
type Settings struct {
	Ring        int           // events waiting for the loop
	Tick        time.Duration // deadlines and held-back hand-outs
	HoldBack    time.Duration // before tasks that came back are handed out again
	SettleFor   time.Duration // to learn whether anything ran, once given up
	FollowWait  time.Duration // one wait for a running task at its worker
	RetainBytes int           // answers kept for callers that ask again
	MaxJobs     int           // submissions that have no answer yet
	// GroupTasks bounds the tasks in one batch to one owner.
	GroupTasks int
	// Backlog is the tasks handed to the own holder beyond its free slots, per
	// slot.
	Backlog   int
	Admission admission.Settings
	Spill     spill.Settings
}

// Defaults returns settings for an entry VM of 2 cores.
func Defaults() Settings {
	return Settings{
		Ring:        1 << 14,
		Tick:        10 * time.Millisecond,
		HoldBack:    30 * time.Millisecond,
		SettleFor:   250 * time.Millisecond,
		FollowWait:  5 * time.Second,
		RetainBytes: 64 << 20,
		MaxJobs:     20_000,
		GroupTasks:  256,
		Backlog:     1,
		Admission:   admission.Defaults(),
		Spill:       spill.Defaults(),
	}
}

// Owners sends batches to owners of worker leases.
type Owners interface {
	// Send queues a message to an owner. False: nothing was sent.
	Send(owner string, m *pb.RunRequest) bool
}

// Workers asks workers directly. Calls return at once; done is called later
// from any goroutine, with an error when the worker could not be reached.
type Workers interface {
	Seal(worker string, req *pb.SealRequest, done func(*pb.SealResponse, error))
	Follow(worker string, req *pb.FollowRequest, done func(*pb.FollowResponse, error))
	StopSubmission(worker string, req *pb.StopSubmissionRequest)
}

// Peers tells which drivers live.
type Peers interface {
	// Lives reports whether the entry VM of this incarnation can be reached.
	Lives(incarnation uint64) bool
}

// Submission is a caller's request, checked and complete.
type Submission struct {
	Ticket     ticket.Ticket
	Template   string
	Inputs     [][]byte
	Deadline   time.Time
	Each       *pb.Resources
	Expected   time.Duration // run time of one task
	Revision   uint64
	Candidates []ownership.WorkerRef // workers that may run its tasks
	// Incomplete: Candidates is not known to be all of them.
	Incomplete bool
	// Class of the template, and the limits of its account.
	Class      admission.Class
	Weight     uint32
	QuotaSlots uint32
	// First: the caller says that it never sent this ticket before.
	First bool
	// Recover: this entry VM is not the home, which can not be reached.
	Recover bool
}

// Reply is called once with the final answer, from the loop.
type Reply func(*job.Answer)
