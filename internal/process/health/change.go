package health

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// Outcome is how a task ended on a worker.
type Outcome uint8

const (
	// OK: the task ran to its end and returned its output.
	OK Outcome = iota
	// Failed: the worker reported a failure.
	Failed
	// Lost: the worker cannot say what became of the task.
	Lost
)

// Reason says why a worker has its tier.
type Reason string

const (
	NewWorker        Reason = "new_worker"        // probation: joined, or back after silence
	EjectionOver     Reason = "ejection_over"     // probation: the backoff has passed
	SuspicionOver    Reason = "suspicion_over"    // probation: no failure for some time
	Proven           Reason = "proven"            // healthy: enough successes
	Cleared          Reason = "cleared"           // healthy: charges dropped or outweighed
	AwaitingEvidence Reason = "awaiting_evidence" // ejected until an open charge is decided
	Failing          Reason = "failing"           // suspect: an open charge that nothing decides
	OnTrial          Reason = "on_trial"          // probation: a confirmed failure, not outweighed yet
	FailsAcross      Reason = "fails_what_others_complete"
	EjectionFloor    Reason = "ejection_floor" // suspect: ejecting it would empty the domain
	SlowerThanOthers Reason = "slower_than_others"
	Stalled          Reason = "stalled"        // suspect: busy, and nothing ends
	WorkerSilent     Reason = "worker_silent"  // ejected until it answers again
	WorkerLeaving    Reason = "worker_leaving" // ejected for good
)

// Change is one change of a worker's tier.
type Change struct {
	Worker   string
	From, To placement.Tier
	Reason   Reason
	Template string    // that failed last, where failures are the reason
	Score    float64   // confirmed failures, weighed
	Until    time.Time // end of an ejection by failures
}

// WorkerStatus is what is known of one worker.
type WorkerStatus struct {
	Worker    string
	Domain    string
	Tier      placement.Tier
	Reason    Reason
	Score     float64
	Charges   int       // open
	Ejections int       // in a row
	Until     time.Time // end of the ejection, if ejected by failures
	Pace      float64   // run time against other workers, 1 is equal
	Running   int       // tasks
}

// TemplateStatus is what is known of one template.
type TemplateStatus struct {
	Template  string
	FailRate  float64 // on workers that are not suspect, lately
	Suspended bool    // its failures are charged to no worker
}
