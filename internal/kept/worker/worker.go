// Package worker says what an entry VM and a worker tell each other: what the
// worker is, the orders it takes and the listing of what runs there.
package worker

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Incarnation names one life of a worker, from its start to its end. A worker that starts
// again may keep its ID.
type Incarnation struct {
	ID   string
	Born int64 // Unix time of its start in milliseconds; 0: not known
}

func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Succeeds reports whether it is a later incarnation under the same ID.
func (i Incarnation) Succeeds(earlier Incarnation) bool {
	return i.ID == earlier.ID && earlier.Born > 0 && i.Born > earlier.Born
}

// Info is what a worker says about itself in the list of workers.
type Info struct {
	ID       string
	Born     int64 // Unix time of its start in milliseconds; 0: it does not say
	Service  string
	Address  string
	Domain   string // its failure domain
	Labels   []string
	Rack     string
	CPUMilli int64
	MemMB    int64
	GPU      int64
	Leaving  bool   // takes nothing new, and stops soon
	Cold     bool   // tasks take longer there for some time after its start
	Revision uint64 // of its entry in the list of workers
}

// Incarnation returns which life of the worker it is.
func (w *Info) Incarnation() Incarnation { return Incarnation{ID: w.ID, Born: w.Born} }

// HasLabel reports whether the worker carries a label; "" is carried by all.
func (w *Info) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// EntryError says why an entry of the list of workers names no worker to use.
type EntryError struct {
	Key    string
	Reason string
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry %s: %s", e.Key, e.Reason) }

// Room that no worker has. Sums over a site stay far below what an int64 holds.
const (
	maxCPUMilli = 1 << 31 // thousandths of a core
	maxGPU      = 1 << 31
	maxMemMB    = 1 << 40 // megabytes
)

// Problem says why an entry of the list of workers names no worker to use; "": it names one.
// Other writers may put entries into the list: one without room would count as a worker that
// is always full, one without a service as room that nobody can use.
func (w *Info) Problem() string {
	switch {
	case w.ID == "":
		return "it has no ID"
	case w.Service == "":
		return "it names no service"
	case w.Domain == "":
		return "it names no failure domain"
	case w.Address == "":
		return "it names no address"
	case w.Born < 0:
		return "its start is not a time"
	case w.CPUMilli <= 0 || w.CPUMilli > maxCPUMilli, w.MemMB <= 0 || w.MemMB > maxMemMB, w.GPU < 0 || w.GPU > maxGPU:
		return "its room is not that of a worker"
	default:
		return ""
	}
}

// Verdict is a worker's answer to an order.
type Verdict uint8

// The answers to an order.
const (
	Accepted       Verdict = iota
	Fenced                 // a higher token was seen; nothing was done
	Superseded             // a run as high was stopped or has ended there; it never starts
	DeadlinePassed         // the order's deadline has passed; it never starts
	NoRoom                 // nothing was done
	Malformed              // nothing was done, and it would fail again
	Unavailable            // nothing was done; the worker is not in order
	Replaced               // another incarnation answers at the address
	NoAnswer               // no answer: it may have been done, or be done later
)

var verdictNames = [...]string{"accepted", "fenced", "outrun", "late", "no room", "malformed", "unwell", "gone", "silent"}

func (v Verdict) String() string { return verdictNames[v] }

// How says how a run ended.
type EndReason uint8

// The ends of a run.
const (
	Completed    EndReason = iota
	Failed                 // by its own fault or the worker's
	Stopped                // on an order
	LeaseExpired           // its lease ran out
	GangBroken             // another member of its gang ended
	GangTimeout            // it waited too long for the rest of its gang
)

var endReasonNames = [...]string{"completed", "failed", "stopped", "lapsed", "broken", "alone"}

func (h EndReason) String() string { return endReasonNames[h] }

// Start is the order to run a task.
type Start struct {
	Task       submission.TaskRef
	Run        uint64 // numbers the task's starts
	Spec       string
	Checkpoint string        // to resume from; "": none
	Token      uint64        // fencing token
	Deadline   time.Duration // on the worker's clock; the order is void later
}

// Stop is the order to end a run.
type Stop struct {
	Task  submission.TaskRef
	Run   uint64
	Token uint64
}

// Hold extends the lease of all that runs on a worker and asks what does.
type Hold struct {
	Token    uint64
	AckedEnd uint64        // ends up to this number need not be listed again
	Deadline time.Duration // on the worker's clock; 0: no extension
	Wait     time.Duration // for the next end, before it answers
}

// Running is a run under way.
type Running struct {
	Task       submission.TaskRef
	Run        uint64
	Checkpoint string
	Percent    int // of its work
}

// Ended is a run that is over.
type Ended struct {
	Seq        uint64 // numbers the ends of this worker
	Task       submission.TaskRef
	Run        uint64
	Reason     EndReason
	Checkpoint string
}

// Listing is the answer to a hold.
type Listing struct {
	Clock   time.Duration // the worker's, when it answered
	Born    int64         // of the incarnation that answers, as in Info; 0: it does not say
	Running []Running
	Ended   []Ended
}

// Reply is the answer to an order. Clock is 0 if the worker did not say.
type Reply struct {
	Verdict Verdict
	Clock   time.Duration
	Born    int64 // of the incarnation that answers, as in Info; 0: it does not say
	// Successor is the incarnation that answers in place of one that is gone; without ID: not known.
	Successor Incarnation
}

// Orders reaches workers. Calls return Silent when ctx ends first.
type Client interface {
	Start(ctx context.Context, to Info, order Start) Reply
	Stop(ctx context.Context, to Info, order Stop) Reply
	Hold(ctx context.Context, to Info, order Hold) (Listing, Reply)
}
