package power

import "time"

// Milliwatts is a draw or a part of the cap.
type Milliwatts int64

// permilleFull is full speed, or the whole of something, in thousandths.
const permilleFull = 1000

// VM names one run of an entry VM. An incarnation is never reused.
type VM struct {
	Name        string
	Incarnation uint64
}

// TaskKey names one task of one submission.
type TaskKey struct {
	SubmissionIncarnation uint64
	SubmissionCounter     uint64
	Index                 uint32
}

// Load is what one running task may draw and how dear it is to end it.
type Load struct {
	Milliwatts Milliwatts // draw above idle
	Urgent     bool       // urgent class; bulk is ended first
	Ends       time.Time  // expected end
}

// Refusal says why a charge was not made. The task was not started.
type Refusal string

// Refusals of [Ledger.Charge].
const (
	// Charged is the zero value: there was no refusal.
	Charged Refusal = ""
	// NotLeased means that this entry VM does not hold the worker's lease.
	NotLeased Refusal = "power_not_leased"
	// DuplicateCharge means that the task is charged at this worker already.
	DuplicateCharge Refusal = "power_duplicate_charge"
	// OverCeiling means that the worker could not run the task when empty.
	OverCeiling Refusal = "power_over_ceiling"
	// Shedding means that the worker has to lower its draw first.
	Shedding Refusal = "power_shedding"
	// NoWatts means that the worker's allotment is spent for now.
	NoWatts Refusal = "power_no_watts"
)

// Reason says why an action was decided or a state was entered.
type Reason string

// Reasons of the actions and of [Status].
const (
	// PlanLowered means that a new plan gives the worker less than it has.
	PlanLowered Reason = "plan_lowered"
	// PlanApplied means that a worker is brought under the current plan.
	PlanApplied Reason = "plan_applied"
	// ShareRestored means that every present worker is under the plan, so
	// that a worker gets what is missing of its share.
	ShareRestored Reason = "share_restored"
	// DrawAboveCharge means that a report showed more than was charged.
	DrawAboveCharge Reason = "draw_above_charge"
	// DrawBackUnder means that the draw is back within the charge.
	DrawBackUnder Reason = "draw_back_under"
	// DemandHere means that watts go to a worker that refused charges.
	DemandHere Reason = "demand_here"
	// DemandElsewhere means that an unused allotment is lowered for another
	// worker or entry VM.
	DemandElsewhere Reason = "demand_elsewhere"
	// PoolSettled means that watts without a use go back onto a worker, where
	// they survive the death of this entry VM.
	PoolSettled Reason = "pool_settled"
	// PeerAsked means that an entry VM of the domain asked for watts.
	PeerAsked Reason = "peer_asked"
	// WattsRecoverable means that a new plan would bring back stranded watts.
	WattsRecoverable Reason = "watts_recoverable"
	// AnswerMissing means that a transfer is sent again.
	AnswerMissing Reason = "answer_missing"
	// WattsReceived means that a transfer was taken into the pool.
	WattsReceived Reason = "watts_received"
	// LeaseLapsed means that a worker's lease was lost with its watts.
	LeaseLapsed Reason = "lease_lapsed"
	// LeaseGiven means that a worker's lease was handed over with its watts.
	LeaseGiven Reason = "lease_given"
	// LeaseTaken means that a worker's lease was acquired with its watts.
	LeaseTaken Reason = "lease_taken"
)

// Record is what a worker stores about its allotment.
type Record struct {
	Known    bool       // false: the worker was restarted and has no record
	Revision uint64     // plan the worker was last brought under
	Granted  Milliwatts // part of its share that it was given under that plan
	Allotted Milliwatts // allotment in force, idle included
}

// Running is one task that a worker reports as running.
type Running struct {
	Key  TaskKey
	Load Load
}

// Grant is a worker's answer when it grants its lease.
type Grant struct {
	Epoch       uint64
	Incarnation uint64     // grows when the worker restarts
	Idle        Milliwatts // draw without any task
	Record      Record
	Permille    int64     // speed it is throttled to, 0 for full speed
	Running     []Running // tasks of earlier holders that still run
}

// Action is something the ledger wants done. The wrapper carries it out and
// reports the effect as an event.
type Action interface{ isAction() }

// Allot asks a worker to put an allotment in force and store the record. The
// answer goes to [Ledger.Allotted] with the same sequence. A worker refuses it
// under an old epoch or a lower revision than its record's.
type Allot struct {
	Worker   string
	Epoch    uint64
	Sequence uint64
	Record   Record
	Reason   Reason
}

// StopStarts tells that a worker takes no new task until its draw fits.
type StopStarts struct {
	Worker string
	Within time.Duration // always 0: in force when the action is returned
	Reason Reason
}

// Throttle asks a worker to run at Permille thousandths of full speed. The
// worker's answer goes to [Ledger.Throttled].
type Throttle struct {
	Worker   string
	Epoch    uint64
	Permille int64
	Within   time.Duration // until the next step is taken
	Reason   Reason
}

// Checkpoint asks a worker to save a task and end it there.
type Checkpoint struct {
	Worker string
	Epoch  uint64
	Task   TaskKey
	Within time.Duration // until the task is stopped instead
	Reason Reason
}

// Stop asks a worker to end a task.
type Stop struct {
	Worker string
	Epoch  uint64
	Task   TaskKey
	Within time.Duration // until the task is reported as overdue
	Reason Reason
}

// Request asks a peer of the same failure domain for watts. Losing it costs
// nothing but time.
type Request struct {
	From, To   VM
	Milliwatts Milliwatts
	Reason     Reason
}

// Send hands watts to a peer; it is repeated until [Ledger.Acked].
type Send struct {
	Transfer Transfer
	Reason   Reason
}

// PlanWanted asks for a plan with the next revision, built by [Build] from
// what is known of the workers and published with compare-and-set.
type PlanWanted struct {
	After      uint64 // revision the request is based on
	Milliwatts Milliwatts
	Reason     Reason
}

// EstimateLow tells that a worker drew more than was charged, so that the
// estimates of what runs there are raised.
type EstimateLow struct {
	Worker   string
	Reported Milliwatts // whole worker, idle included
	Charged  Milliwatts // greatest charge in the report's window, idle included
}

func (EstimateLow) isAction() {}
func (Allot) isAction()       {}
func (StopStarts) isAction()  {}
func (Throttle) isAction()    {}
func (Checkpoint) isAction()  {}
func (Stop) isAction()        {}
func (Request) isAction()     {}
func (Send) isAction()        {}
func (PlanWanted) isAction()  {}
