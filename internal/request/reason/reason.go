// Package reason defines the reason codes of refusals, failures and decisions, and
// the outcomes of submissions.
//
// Codes are part of the API: callers and operators match on them, so a code is never
// renamed or reused with another meaning.
package reason

// Code is the reason for a refusal, a failure or a decision.
type Code string

// Outcome is the kind of final result that a caller gets for a submission.
type Outcome string

const (
	// Complete means that every task completed and the answer has all outputs.
	Complete Outcome = "complete"
	// Failed means that the submission ended and at least one task may have run.
	Failed Outcome = "failed"
	// NotRun means that no task of the submission has started or will start.
	NotRun Outcome = "not_run"
	// Unknown means that it cannot be proven whether a task ran.
	Unknown Outcome = "unknown"
)

// Reasons for refusing a request before any task has run.
const (
	MalformedRequest   Code = "malformed_request"
	BodyTooLarge       Code = "body_too_large"
	BodyTooSlow        Code = "body_too_slow"
	TooManyTasks       Code = "too_many_tasks"
	UnknownTemplate    Code = "unknown_template"
	UnknownAccount     Code = "unknown_account"
	WrongKey           Code = "wrong_key"
	BadTicket          Code = "bad_ticket"
	ForeignTicket      Code = "foreign_ticket"
	TicketExpired      Code = "ticket_expired"
	TicketRequired     Code = "ticket_required"
	NoSuchSubmission   Code = "no_such_submission"
	NeverFits          Code = "never_fits"
	QuotaExceeded      Code = "quota_exceeded"
	QueueFull          Code = "queue_full"
	DeadlineTooShort   Code = "deadline_too_short"
	BrownOut           Code = "brown_out"
	Draining           Code = "draining"
	NoConfiguration    Code = "no_configuration"
	ClaimStoreDown     Code = "claim_store_down"
	ClaimRateExceeded  Code = "claim_rate_exceeded"
	PayloadMismatch    Code = "payload_mismatch"
	HomeUnreachable    Code = "home_unreachable"
	NoWorkers          Code = "no_workers"
	ListTooOld         Code = "list_too_old"
	RecoveredElsewhere Code = "recovered_elsewhere"
)

// Reasons why an accepted submission did not complete, or one of its tasks was not
// started.
const (
	DeadlineExceeded Code = "deadline_exceeded"
	Cancelled        Code = "cancelled"
	TaskFailed       Code = "task_failed"
	WorkerGone       Code = "worker_gone"
	AnswerDiscarded  Code = "answer_discarded"
	Stopped          Code = "stopped"
	Sealed           Code = "sealed"
	StaleEpoch       Code = "stale_epoch"
	DuplicateTask    Code = "duplicate_task"
	LeaseLost        Code = "lease_lost"
	Withdrawn        Code = "withdrawn"
	NotAllowedHere   Code = "not_allowed_here"
	WorkerBusy       Code = "worker_busy"
	WorkerRestarted  Code = "worker_restarted"
	PowerRefused     Code = "power_refused"
)
