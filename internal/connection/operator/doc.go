// Package operator serves the HTTP/JSON interface for operators, on a listener
// that is separate from the one for callers.
//
//	GET  /healthz, /readyz, /metrics
//	GET  /v1/status               status of this entry VM
//	GET  /v1/fleet                the platform's list of VMs, and which peers answer
//	GET  /v1/explain/{ticket}     timeline of one submission from all entry VMs
//	GET  /v1/configuration        the configuration in force, or ?revision=N
//	POST /v1/configuration        publish a configuration document
//	POST /v1/rollback             publish a stored revision again
//	GET  /v1/history              the stored publications
//	GET  /v1/diff?from=N&to=M     the differences between two stored revisions
//
// Refusals are RFC 9457 problem details with a stable reason.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// VM is the entry VM that serves the interface.
type VM interface {
	Ready() bool
	Status() Status
	Fleet() Fleet
	// ParseTicket parses a ticket of any client account.
	ParseTicket(token string) (ticket.Ticket, *ticket.Error)
	// Collect returns the steps of a submission from all entry VMs.
	Collect(ctx context.Context, id ticket.ID) []caller.NamedStep
}

// Publisher publishes configuration documents and reads the published ones.
type Publisher interface {
	Publish(ctx context.Context, change publication.Change) (publication.Receipt, error)
	Rollback(ctx context.Context, revision uint64, change publication.Change) (publication.Receipt, error)
	Current(ctx context.Context) (*document.Document, error)
	Revision(ctx context.Context, revision uint64) (*document.Document, error)
	History(ctx context.Context) ([]publication.Summary, error)
	Diff(ctx context.Context, from, to uint64) ([]document.Difference, error)
}

// Status is the status of one entry VM.
type Status struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	Ready       bool     `json:"ready"`
	Draining    bool     `json:"draining"`
	StoreUp     bool     `json:"store_up"`     // the last calls to the platform were answered
	Revision    uint64   `json:"revision"`     // of the configuration in force; 0: none yet
	ListVersion uint64   `json:"list_version"` // of the platform's list of VMs
	Workers     []string `json:"workers"`      // whose leases this VM holds
	FreeSlots   uint32   `json:"free_slots"`
	Slots       uint32   `json:"slots"`
	QueuedTasks uint32   `json:"queued_tasks"`
	Peers       []string `json:"peers"` // entry VMs that answer this one
	Power       Power    `json:"power"`

	// Unreachable are the entry VMs on the platform's list that do not answer this
	// one.
	Unreachable     []Unreachable     `json:"unreachable,omitempty"`
	WorkerStanding  []WorkerStanding  `json:"worker_standing"` // of the workers above
	AccountStanding []AccountStanding `json:"account_standing"`

	// Isolated reports that other entry VMs are known but none of them is heard.
	Isolated bool `json:"isolated"`
	// MayAct reports whether this VM may place work and acquire leases. It is false
	// for about a second after the process was paused, and permanently once another
	// process has started under this VM's name.
	MayAct bool `json:"may_act"`
	// Suspected are the entry VMs that may be down.
	Suspected []SuspectedVM `json:"in_doubt,omitempty"`
}

// Power is one entry VM's part of the failure domain's power cap. All figures are
// in milliwatts and include the workers' idle draw.
type Power struct {
	Revision  uint64 `json:"revision"` // of the failure domain's power plan; 0: none yet
	Complete  bool   `json:"complete"` // the plan covers every worker of the domain
	Part      int64  `json:"part_milliwatts"`
	Allotted  int64  `json:"allotted_milliwatts"`  // to the workers whose leases this VM holds
	Committed int64  `json:"committed_milliwatts"` // to idle draw and running tasks
	Free      int64  `json:"free_milliwatts"`      // available to new tasks now
	Stranded  int64  `json:"stranded_milliwatts"`  // unusable until a new plan is made
	// LastDecision is the most recent decision about power.
	LastDecision PowerDecision `json:"last"`
}

// PowerDecision is a decision about power and its reason.
type PowerDecision struct {
	At         time.Time `json:"at"`
	Reason     string    `json:"reason"`
	Concerns   string    `json:"concerns,omitempty"` // the worker or entry VM affected
	Milliwatts int64     `json:"milliwatts"`
}

// Unreachable is an entry VM that does not answer the reporting one.
type Unreachable struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
}

// WorkerStanding is the health tier of a worker, with its reason.
type WorkerStanding struct {
	Worker       string      `json:"worker"`
	Tier         string      `json:"tier"`
	Reason       reason.Code `json:"reason"`
	Running      int         `json:"running"`         // tasks
	Ejections    int         `json:"ejections"`       // consecutive
	EjectedUntil time.Time   `json:"until,omitzero"`  // end of the ejection
	Pace         float64     `json:"pace,omitempty"`  // run time relative to other workers; 1: the same
	Score        float64     `json:"score,omitempty"` // confirmed failures, reduced by successes
}

// AccountStanding is what a client account uses and waits for at one entry VM.
type AccountStanding struct {
	Account         string      `json:"account"`
	Slots           int         `json:"slots"`       // in use
	QuotaSlots      uint32      `json:"quota_slots"` // 0: no limit
	QueuedTasks     int         `json:"queued_tasks"`
	QueuedJobs      int         `json:"queued_jobs"`
	ServiceReceived float64     `json:"service"` // in share-seconds
	ServiceDue      float64     `json:"due"`     // service that its weight entitled it to while it was active
	WaitReason      reason.Code `json:"why"`     // why its tasks wait
}

// SuspectedVM is an entry VM that the reporting one suspects to be down.
type SuspectedVM struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Reason string `json:"reason"` // such as silent_to_several, domain_unreachable
	// Live reports that the VM still counts as live because others hear it.
	Live bool `json:"live"`
}

// Fleet is the platform's list of VMs as one entry VM knows it.
type Fleet struct {
	Version uint64    `json:"version"`
	Entries []EntryVM `json:"entry_vms"`
	Workers int       `json:"workers"`
}

// EntryVM is an entry VM on the platform's list.
type EntryVM struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Address     string `json:"address"` // for connections from peers
	Leaving     bool   `json:"leaving,omitempty"`
	IsReachable bool   `json:"answers"` // it answers the reporting entry VM
}

// PublishBody is the request body for publishing a document.
type PublishBody struct {
	ChangeID     string          `json:"change_id"`
	Author       string          `json:"author"`
	BaseRevision uint64          `json:"base"` // the revision that the document was edited from
	Document     json.RawMessage `json:"document"`
}

// RollbackBody is the request body for publishing a stored revision again.
type RollbackBody struct {
	ChangeID     string `json:"change_id"`
	Author       string `json:"author"`
	BaseRevision uint64 `json:"base"`
	Revision     uint64 `json:"revision"`
}

// History is the list of stored publications, newest first.
type History struct {
	Publications []publication.Summary `json:"publications"`
}

// Differences is the list of differences between two revisions.
type Differences struct {
	Differences []document.Difference `json:"differences"`
}

// Reasons for refusing an operator's request.
const (
	// Conflict means that another change was published since the base revision.
	Conflict reason.Code = "conflict"
	// ChangeReused means that the change id was used for another document.
	ChangeReused reason.Code = "change_reused"
	// InvalidDocument means that the document is invalid and no part of it was
	// applied. Problem.Fields lists the invalid fields.
	InvalidDocument reason.Code = "invalid_document"
	// NoRevision means that the revision is not stored.
	NoRevision reason.Code = "no_revision"
	// StoreDown means that the platform's store did not answer. Nothing changed.
	StoreDown reason.Code = "store_down"
	// StoreUnresolved means that a write was sent but its answer was lost. The
	// change may be in force.
	StoreUnresolved reason.Code = "store_unresolved"
	// DamagedValue means that a stored value cannot be decoded.
	DamagedValue reason.Code = "damaged_value"
)

// Problem is the RFC 9457 response body for a request that had no effect or whose
// effect is unknown.
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail"`
	Reason reason.Code `json:"reason"`
	// Fields lists the invalid fields of a document.
	Fields []Field `json:"fields,omitempty"`
}

// Field is an invalid field of a document.
type Field struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error implements error, so that the command-line tool can return a Problem.
func (p *Problem) Error() string { return string(p.Reason) + ": " + p.Detail }

// statusOfReason maps a reason to the HTTP status of its Problem.
var statusOfReason = map[reason.Code]int{
	reason.MalformedRequest: http.StatusBadRequest,
	reason.BadTicket:        http.StatusBadRequest,
	Conflict:                http.StatusConflict,
	ChangeReused:            http.StatusConflict,
	InvalidDocument:         http.StatusUnprocessableEntity,
	NoRevision:              http.StatusNotFound,
	StoreDown:               http.StatusServiceUnavailable,
	StoreUnresolved:         http.StatusServiceUnavailable,
	DamagedValue:            http.StatusInternalServerError,
}
