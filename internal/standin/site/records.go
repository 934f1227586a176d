package site

import "github.com/pumiceyard/pumiceyard/internal/request/ticket"

// Records are the start counts that the workers themselves keep, summed over
// workers, including killed ones.
type Records struct {
	tasks, starts, highest int

	bySubmission map[ticket.ID]int
}

type taskKey struct {
	id    ticket.ID
	index uint32
}

// Records returns the start counts of all workers.
func (s *Site) Records() *Records {
	return s.RecordsWhere(func(*Worker) bool { return true })
}

// RecordsWhere returns the start counts of the matching workers.
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

// Starts returns how many distinct tasks were started, how many starts there were in
// total, and the highest number of starts of one task.
func (r *Records) Starts() (tasks, starts, highest int) { return r.tasks, r.starts, r.highest }

// StartsOf returns how many task starts there were under a ticket of the site.
func (r *Records) StartsOf(token string) int { return r.bySubmission[SubmissionID(token)] }

// SubmissionID returns the submission ID in a ticket of the site. It panics if the
// ticket was not issued by the site.
func SubmissionID(token string) ticket.ID {
	t, err := ticket.Parse([]byte(ticketKey), token)
	if err != nil {
		panic("not a ticket of this site: " + err.Error())
	}
	return t.ID
}
