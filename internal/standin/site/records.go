package site

import "github.com/pumiceyard/pumiceyard/internal/request/ticket"

// Records are the workers' own records of starts, put together over all
// workers, dead ones too.
type Records struct {
	tasks, starts, highest int

	bySubmission map[ticket.ID]int
}

type taskKey struct {
	id    ticket.ID
	index uint32
}

// Records reads the records of starts.
func (s *Site) Records() *Records {
	return s.RecordsWhere(func(*Worker) bool { return true })
}

// RecordsWhere reads the records of the workers that match.
func (s *Site) RecordsWhere(match func(*Worker) bool) *Records {
	counts := make(map[taskKey]int)
	for _, w := range s.Workers() {
		if !match(w) {
			continue
		}
		w.EachStart(func(id ticket.ID, index uint32, n int) { counts[taskKey{id, index}] += n })
	}
	r := &Records{tasks: len(counts), bySubmission: make(map[ticket.ID]int)}
	for key, n := range counts {
		r.starts += n
		r.highest = max(r.highest, n)
		r.bySubmission[key.id] += n
	}
	return r
}

// Starts counts tasks and starts, and how often the task with the most starts
// was started.
func (r *Records) Starts() (tasks, starts, highest int) { return r.tasks, r.starts, r.highest }

// StartsOf returns how many starts there were under a ticket of the site.
func (r *Records) StartsOf(token string) int { return r.bySubmission[SubmissionID(token)] }

// SubmissionID returns the identity in a ticket of the site.
func SubmissionID(token string) ticket.ID {
	t, err := ticket.Parse([]byte(ticketKey), token)
	if err != nil {
		panic("not a ticket of this site: " + err.Error())
	}
	return t.ID
}
