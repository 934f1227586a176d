// Package worker defines the interface between entry VMs and workers: a worker's
// description of itself, the orders that it accepts, and the listing of its runs.
package worker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Incarnation identifies one process lifetime of a worker. A worker that restarts may keep its
// ID.
type Incarnation struct {
	ID   string
	Born int64 // start time, Unix milliseconds; 0: not known
}

func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Succeeds reports whether i is a later incarnation than another one with the same ID. It is false if
// the start of the other one is not known.
func (i Incarnation) Succeeds(earlier Incarnation) bool {
	return i.ID == earlier.ID && earlier.Born > 0 && i.Born > earlier.Born
}

// Info is a worker's entry in the list of workers.
type Info struct {
	ID       string
	Born     int64 // start time, Unix milliseconds; 0: not given
	Service  string
	Address  string
	Domain   string // its failure domain
	Labels   []string
	Rack     string
	CPUMilli int64
	MemMB    int64
	GPU      int64
	Leaving  bool   // accepts no new tasks and stops soon
	Cold     bool   // tasks still take longer there, as it has started recently
	Revision uint64 // store revision of its entry in the list of workers
}

// Incarnation returns the incarnation that the entry describes.
func (w *Info) Incarnation() Incarnation { return Incarnation{ID: w.ID, Born: w.Born} }

// HasLabel reports whether the worker has a label; all workers have "".
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

// Suits reports whether the worker, without other tasks, has what a task needs: the service, a label, CPU in thousandths of a
// core, memory and GPUs.
func (w *Info) Suits(service, label string, cpuMilli, memMB, gpu int64) bool {
	return w.Service == service && w.HasLabel(label) && w.CPUMilli >= cpuMilli && w.MemMB >= memMB && w.GPU >= gpu
}

// SuitsStep reports the same for a task of a step of a submission to a service.
func (w *Info) SuitsStep(service string, s *submission.Step) bool {
	return w.Suits(service, s.RequiredLabel, s.CPUMilli, s.MemMB, s.GPU)
}

// EntryError reports an entry of the list of workers that describes no usable worker.
type EntryError struct {
	Key    string
	Reason string
}

// maxReasonBytes bounds the message of an EntryError: a reason may quote a part of the entry.
const maxReasonBytes = 200

func (e *EntryError) Error() string {
	reason := e.Reason
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	return fmt.Sprintf("entry %s: %s", e.Key, reason)
}

// Upper bounds of a worker's capacity. Sums over a site stay far below the range of an int64.
const (
	maxCPUMilli = 1 << 31 // thousandths of a core
	maxGPU      = 1 << 31
	maxMemMB    = 1 << 40 // megabytes
)

// Upper bounds of the other fields. Holders keep entries in memory, store them, and send them to each other.
const (
	maxNameBytes = 256     // of a name, an address or a label
	maxLabels    = 64      // of a worker
	maxBorn      = 1 << 53 // Unix milliseconds; the largest whole number that every JSON decoder keeps
)

// Problem describes why the entry is not a usable worker; "": it is usable. Other writers may put
// entries into the list: one without capacity would count as a worker that is always full, one
// without a service as capacity that nobody can use.
func (w *Info) Problem() string {
	switch {
	case w.ID == "":
		return "the ID is empty"
	case w.Service == "":
		return "the service is empty"
	case w.Domain == "":
		return "the failure domain is empty"
	case w.Address == "":
		return "the address is empty"
	case max(len(w.ID), len(w.Service), len(w.Domain), len(w.Address), len(w.Rack)) > maxNameBytes:
		return "a name is too long"
	case len(w.Labels) > maxLabels || slices.ContainsFunc(w.Labels, func(l string) bool { return len(l) > maxNameBytes }):
		return "it has too many labels, or one that is too long"
	case w.Born < 0 || w.Born > maxBorn:
		return "the start time is out of range"
	case w.CPUMilli <= 0 || w.CPUMilli > maxCPUMilli, w.MemMB <= 0 || w.MemMB > maxMemMB, w.GPU < 0 || w.GPU > maxGPU:
		return "the capacity is out of range"
	default:
		return addressProblem(w.Address)
	}
}

// addressProblem describes why no orders can be sent to an address, HOST:PORT; "": they can.
func addressProblem(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err.Error()
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "the port is out of range"
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		if ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
			return "the address is not that of one machine"
		}
		return ""
	}
	if host == "" || strings.ContainsFunc(host, isNotInHostName) {
		return "the host name has a character that is not allowed there"
	}
	return ""
}

func isNotInHostName(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_')
}

// Verdict is a worker's answer to an order.
type Verdict uint8

// The answers to an order.
const (
	Accepted       Verdict = iota
	Fenced                 // the worker has seen a higher fencing token; nothing was done
	Superseded             // a run with this number or a higher one was stopped or has ended there; this one never starts
	DeadlinePassed         // the deadline of the order has passed; the run never starts
	NoRoom                 // nothing was done
	Malformed              // nothing was done, and the order would fail again
	Unavailable            // the worker cannot carry out orders at present; nothing was done
	Replaced               // another incarnation answers at the address
	NoAnswer               // the order may have been carried out, or may be later
)

var verdictNames = [...]string{"accepted", "fenced", "outrun", "late", "no room", "malformed", "unwell", "gone", "silent"}

func (v Verdict) String() string { return verdictNames[v] }

// EndReason is how a run ended.
type EndReason uint8

// The ways in which a run ends.
const (
	Completed    EndReason = iota
	Failed                 // through its own fault or the worker's
	Stopped                // by a stop order
	LeaseExpired           // its lease was not renewed in time
	GangBroken             // another member of its gang has ended
	GangTimeout            // it waited too long for the other members of its gang
)

var endReasonNames = [...]string{"completed", "failed", "stopped", "lapsed", "broken", "alone"}

func (r EndReason) String() string { return endReasonNames[r] }

// StartValidity is how long after it was decided a start order may be carried out, on the worker's clock.
const StartValidity = 700 * time.Millisecond

// MaxClockDrift is the share by which a worker's clock may be slow.
const MaxClockDrift = 0.02

// Start is the order to run a task.
type Start struct {
	Task       submission.TaskRef
	Run        uint64 // number of the start, counted per task
	Spec       string
	Checkpoint string        // checkpoint to resume from; "": none
	Token      uint64        // fencing token
	Deadline   time.Duration // on the worker's clock; a later arrival is refused
}

// Stop is the order to end a run.
type Stop struct {
	Task  submission.TaskRef
	Run   uint64
	Token uint64
}

// Hold is the order to extend the lease of all runs on a worker and to list them. It is a long poll.
type Hold struct {
	Token    uint64
	AckedEnd uint64        // Seq of the last end that was received; ends up to it need not be listed again
	Deadline time.Duration // new end of the lease, on the worker's clock; 0: no extension
	Wait     time.Duration // how long the worker may wait for the next end before it answers
}

// Running is a run in progress.
type Running struct {
	Task       submission.TaskRef
	Run        uint64
	Checkpoint string
	Percent    int // share of its work that is done
}

// Ended is a run that has ended.
type Ended struct {
	Seq        uint64 // sequence number among the ends at this worker
	Task       submission.TaskRef
	Run        uint64
	Reason     EndReason
	Checkpoint string
}

// Listing is the answer to a hold.
type Listing struct {
	Clock   time.Duration // time on the worker's clock when it answered
	Born    int64         // start of the incarnation that answers, as in Info; 0: not given
	Running []Running
	Ended   []Ended // those with the lowest numbers
	// MoreEnded says that the worker may have more ended runs than it lists: a run that it lacks may have ended.
	MoreEnded bool
}

// Reply is the answer to an order.
type Reply struct {
	Verdict Verdict
	Clock   time.Duration // time on the worker's clock when it answered; 0: not given
	Born    int64         // start of the incarnation that answers, as in Info; 0: not given
	// Refused says, with NoAnswer, that nothing accepts connections at the worker's address: its process has ended.
	Refused bool
	// Successor is the incarnation that answered, if the verdict is Replaced; its ID is empty if not known.
	Successor Incarnation
}

// Client sends orders to workers. Its calls return NoAnswer if ctx ends first.
type Client interface {
	Start(ctx context.Context, to Info, order Start) Reply
	Stop(ctx context.Context, to Info, order Stop) Reply
	Hold(ctx context.Context, to Info, order Hold) (Listing, Reply)
}
