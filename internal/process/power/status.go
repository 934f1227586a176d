package power

import "time"

// Decision is one decision and why it was made.
type Decision struct {
	At         time.Time
	Reason     Reason
	Worker     string // worker or entry VM concerned, may be empty
	Milliwatts Milliwatts
}

// WorkerStatus is one leased worker's watts.
type WorkerStatus struct {
	Worker    string
	Idle      Milliwatts
	Allotted  Milliwatts // the most that may be in force, idle included
	Committed Milliwatts // charged to running tasks
	Overrun   Milliwatts // reported above the charge
	Free      Milliwatts // can be charged
	Permille  int64      // speed in thousandths
	Shedding  Reason     // empty when the load fits
	Frozen    bool       // the plan does not reach the worker
	Waiting   bool       // an allotment is sent and not confirmed
}

// Status is a ledger's state for operators.
type Status struct {
	VM         VM
	Revision   uint64
	Complete   bool // every present worker of the domain is under the plan
	Part       Milliwatts
	Held       Milliwatts // allotted and in the pool of this VM
	Free       Milliwatts
	Pool       Milliwatts
	InTransfer Milliwatts
	// Stranded is what a new plan would bring back for the domain, as far as
	// this VM hears of its peers.
	Stranded Milliwatts
	Workers  []WorkerStatus
	Last     Decision
}

// Status describes the ledger at the given time.
func (l *Ledger) Status(now time.Time) Status {
	s := Status{
		VM:         l.self,
		Revision:   l.plan.Revision,
		Complete:   l.complete,
		Part:       l.plan.Part,
		Held:       l.held(),
		Pool:       l.pool,
		InTransfer: l.inTransfer(),
		Stranded:   l.recoverable(now),
		Last:       l.last,
	}
	for _, a := range l.order {
		w := a.status()
		s.Free += w.Free
		s.Workers = append(s.Workers, w)
	}
	return s
}

// status describes one worker.
func (a *account) status() WorkerStatus {
	w := WorkerStatus{
		Worker:    a.name,
		Idle:      a.idle,
		Allotted:  a.record.Allotted,
		Committed: a.committed,
		Overrun:   a.overrun,
		Free:      max(0, a.headroom()),
		Permille:  a.permille,
		Frozen:    a.frozen,
		Waiting:   a.pending,
	}
	if a.shed.active {
		w.Shedding = a.shed.reason
	}
	return w
}
