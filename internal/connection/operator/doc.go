// Package operator is the HTTP/JSON interface to operators, on a listener of its
// own that callers do not reach.
//
//	GET  /healthz, /readyz, /metrics
//	GET  /v1/status               this entry VM
//	GET  /v1/fleet                the platform's list, and which peers answer
//	GET  /v1/explain/{ticket}     one submission's timeline over all entry VMs
//	GET  /v1/configuration        the document in force, or ?revision=N
//	POST /v1/configuration        publish a document
//	POST /v1/rollback             publish a kept revision again
//	GET  /v1/history              the publications that are kept
//	GET  /v1/diff?from=N&to=M     what changed between two kept revisions
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

// VM is the entry VM as operators see it.
type VM interface {
	Ready() bool
	Status() Status
	Fleet() Fleet
	// ParseTicket reads a ticket of any client account.
	ParseTicket(token string) (ticket.Ticket, *ticket.Error)
	// Collect joins the steps of a submission over all entry VMs.
	Collect(ctx context.Context, id ticket.ID) []caller.NamedStep
}

// Publisher publishes documents and reads what was published.
type Publisher interface {
	Publish(ctx context.Context, change publication.Change) (publication.Receipt, error)
	Rollback(ctx context.Context, revision uint64, change publication.Change) (publication.Receipt, error)
	Current(ctx context.Context) (*document.Document, error)
	Revision(ctx context.Context, revision uint64) (*document.Document, error)
	History(ctx context.Context) ([]publication.Summary, error)
	Diff(ctx context.Context, from, to uint64) ([]document.Difference, error)
}

// Status is what an operator sees of one entry VM.
type Status struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	Ready       bool     `json:"ready"`
	Draining    bool     `json:"draining"`
	StoreUp     bool     `json:"store_up"`     // the last calls to the platform were answered
	Revision    uint64   `json:"revision"`     // in force; 0: none yet
	ListVersion uint64   `json:"list_version"` // of the platform's list of VMs
	Workers     []string `json:"workers"`      // whose lease it holds
	FreeSlots   uint32   `json:"free_slots"`
	Slots       uint32   `json:"slots"`
	QueuedTasks uint32   `json:"queued_tasks"`
	Peers       []string `json:"peers"` // entry VMs that answer
	Power       Power    `json:"power"`

	// Unreachable are the listed entry VMs that do not answer this one.
	Unreachable     []Unreachable     `json:"unreachable,omitempty"`
	WorkerStanding  []WorkerStanding  `json:"worker_standing"` // of the workers above
	AccountStanding []AccountStanding `json:"account_standing"`

	// Isolated: no other entry VM is heard, though some are known.
	Isolated bool `json:"isolated"`
	// MayAct: it places work and takes leases. False for about a second after a
	// pause, and for good once another start has taken its name.
	MayAct bool `json:"may_act"`
	// Suspected are the entry VMs of which it is in doubt whether they live.
	Suspected []SuspectedVM `json:"in_doubt,omitempty"`
}

// Power is one entry VM's part of the cap. Watts are in thousandths and include
// the workers' idle draw.
type Power struct {
	Revision  uint64 `json:"revision"` // of the failure domain's plan; 0: none yet
	Complete  bool   `json:"complete"` // every worker of the domain is under it
	Part      int64  `json:"part_milliwatts"`
	Allotted  int64  `json:"allotted_milliwatts"`  // of the workers held here
	Committed int64  `json:"committed_milliwatts"` // idle draw and running tasks
	Free      int64  `json:"free_milliwatts"`      // tasks can be charged now
	Stranded  int64  `json:"stranded_milliwatts"`  // a new plan would bring back
	// Last is the last decision about watts.
	LastDecision PowerDecision `json:"last"`
}

// PowerDecision is one decision about watts and why it was made.
type PowerDecision struct {
	At         time.Time `json:"at"`
	Reason     string    `json:"reason"`
	Concerns   string    `json:"concerns,omitempty"` // worker or entry VM
	Milliwatts int64     `json:"milliwatts"`
}

// Unreachable is an entry VM that does not answer another.
type Unreachable struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
}

// WorkerStanding is how far a worker is trusted, and why.
type WorkerStanding struct {
	Worker       string      `json:"worker"`
	Tier         string      `json:"tier"`
	Reason       reason.Code `json:"reason"`
	Running      int         `json:"running"`         // tasks
	Ejections    int         `json:"ejections"`       // in a row
	EjectedUntil time.Time   `json:"until,omitzero"`  // end of the ejection
	Pace         float64     `json:"pace,omitempty"`  // run time against other workers, 1 is equal
	Score        float64     `json:"score,omitempty"` // confirmed failures, less what successes took off
}

// AccountStanding is what a client account has and waits for at one entry VM.
type AccountStanding struct {
	Account         string      `json:"account"`
	Slots           int         `json:"slots"`       // in use
	QuotaSlots      uint32      `json:"quota_slots"` // 0: no bound
	QueuedTasks     int         `json:"queued_tasks"`
	QueuedJobs      int         `json:"queued_jobs"`
	ServiceReceived float64     `json:"service"` // given, in share-seconds
	ServiceDue      float64     `json:"due"`     // that its weight entitled it to while it was active
	WaitReason      reason.Code `json:"why"`     // it waits
}

// Doubt is an entry VM in doubt, as another one sees it.
type SuspectedVM struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Reason string `json:"reason"` // such as silent_to_several, domain_unreachable
	// Live: it still counts as live, since others hear it.
	Live bool `json:"live"`
}

// Fleet is the platform's list as one entry VM knows it.
type Fleet struct {
	Version uint64    `json:"version"`
	Entries []EntryVM `json:"entry_vms"`
	Workers int       `json:"workers"`
}

// EntryVM is one listed entry VM.
type EntryVM struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Address     string `json:"address"` // for its peers
	Leaving     bool   `json:"leaving,omitempty"`
	IsReachable bool   `json:"answers"` // to the entry VM that was asked
}

// PublishBody is a document to be put in force.
type PublishBody struct {
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Base     uint64          `json:"base"` // revision that the author started from
	Document json.RawMessage `json:"document"`
}

// RollbackBody names a kept revision to be put in force again.
type RollbackBody struct {
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"`
}

// History lists publications, newest first.
type History struct {
	Publications []publication.Summary `json:"publications"`
}

// Differences lists what changed.
type Differences struct {
	Differences []document.Difference `json:"differences"`
}

// Reasons for a request of an operator that was refused.
const (
	// Conflict: another change came first.
	Conflict reason.Code = "conflict"
	// ChangeReused: the change id belongs to another document.
	ChangeReused reason.Code = "change_reused"
	// InvalidDocument: the document was refused whole; fields says why.
	InvalidDocument reason.Code = "invalid_document"
	// NoRevision: the revision is not kept.
	NoRevision reason.Code = "no_revision"
	// StoreDown: the platform's store could not be asked; nothing changed.
	StoreDown reason.Code = "store_down"
	// StoreUnresolved: a write was sent and its answer lost; it may be in force.
	StoreUnresolved reason.Code = "store_unresolved"
	// DamagedValue: a stored value cannot be read.
	DamagedValue reason.Code = "damaged_value"
)

// Problem tells why a request had no effect, or that its effect is not known
// (RFC 9457).
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail"`
	Reason reason.Code `json:"reason"`
	// Fields name what is not allowed in a document.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one field of a document that is not allowed.
type Field struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Problem makes Problem an error of the command-line tool.
func (p *Problem) Error() string { return string(p.Reason) + ": " + p.Detail }

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
