package submission

// Loss is a worker that was lost while a task ran there.
type Loss struct {
	Worker string `json:"w"` // ID of its incarnation
	Run    uint64 `json:"r"` // of the task; it names the loss
	Weight int    `json:"e"` // as evidence against the task
	// Certain says that its life has ended. One that is only cut off looks the same until it, or its next
	// incarnation, answers.
	Certain bool `json:"c,omitempty"`
}

// AddLoss adds a loss, or what is newly known of it: several VMs may learn of one.
func AddLoss(losses []Loss, l Loss) []Loss {
	for i := range losses {
		if losses[i].Run == l.Run {
			l.Certain = l.Certain || losses[i].Certain
			losses[i] = l
			return losses
		}
	}
	return append(losses, l)
}

// NoteLosses takes the losses of workers under a task.
func (p *Progress) NoteLosses(t Task, losses []Loss) {
	if len(losses) == 0 {
		return
	}
	if p.Lost == nil {
		p.Lost = make(map[Task][]Loss)
	}
	for _, l := range losses {
		p.Lost[t] = AddLoss(p.Lost[t], l)
	}
}
