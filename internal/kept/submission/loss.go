package submission

import "cmp"

// Loss records that a worker was lost while a task ran there.
type Loss struct {
	Worker string `json:"w"` // ID of its incarnation
	Run    uint64 `json:"r"` // the run of the task there; it identifies the loss
	Weight int    `json:"e"` // as evidence against the task
	// Address is that of the worker; "": not known. Another incarnation that answers there shows that this one has
	// ended.
	Address string `json:"a,omitempty"`
	// Certain says that the incarnation is known to have ended. A worker that is only cut off from the
	// network looks the same until it, or its next incarnation, answers.
	Certain bool `json:"c,omitempty"`
	// Under says that the run is known to have begun, and that its worker ended before its lease could. A worker that falls
	// silent may have ended long after the run.
	Under bool `json:"u,omitempty"`
}

// AddLoss adds a loss to a list, or updates the one with the same run: several VMs may report it, and
// whether it is certain may be learnt later.
func AddLoss(losses []Loss, l Loss) []Loss {
	for i := range losses {
		if losses[i].Run == l.Run {
			l.Certain = l.Certain || losses[i].Certain
			l.Under = l.Under || losses[i].Under
			l.Address = cmp.Or(l.Address, losses[i].Address)
			losses[i] = l
			return losses
		}
	}
	return append(losses, l)
}

// Attempt is a start of a task that a holder is about to order.
type Attempt struct {
	Token   uint64 `json:"k"` // fencing token of the holder
	Worker  string `json:"w"` // ID of its incarnation
	Address string `json:"a"` // of the worker
}

// RecordAttempt records that a task is about to start.
func (p *Progress) RecordAttempt(t Task, a Attempt) {
	if p.Attempts == nil {
		p.Attempts = make(map[Task]Attempt)
	}
	p.Attempts[t] = a
}

// RecordLosses records losses of workers that ran a task.
func (p *Progress) RecordLosses(t Task, losses []Loss) {
	if len(losses) == 0 {
		return
	}
	if p.Losses == nil {
		p.Losses = make(map[Task][]Loss)
	}
	for _, l := range losses {
		p.Losses[t] = AddLoss(p.Losses[t], l)
	}
}
