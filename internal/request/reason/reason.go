// Package reason holds the stable codes that explain each refusal, failure and
// decision, and the outcomes a caller can be given.
//
// Codes are part of the interface: callers and operators match on them, so a
// code is never renamed and never reused for something else.
package reason

// Code says why something was refused, failed or decided.
type Code string

// Outcome is the final result of a submission as its caller sees it.
type Outcome string

const (
	// Complete: every task ran to its end, and the answer holds every output.
	Complete Outcome = "complete"
	// Failed: the submission ended and at least one task may have run.
	Failed Outcome = "failed"
	// NotRun: no task of the submission has started or will start.
	NotRun Outcome = "not_run"
	// Unknown: it cannot be proven whether some task ran.
	Unknown Outcome = "unknown"
)

// Reasons for a request that was refused before anything ran.
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

// Reasons for a submission that was accepted and did not complete.
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
