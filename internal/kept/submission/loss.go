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

// RecordLosses takes the losses of workers under a task.
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
