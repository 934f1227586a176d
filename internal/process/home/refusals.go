package home

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Bounds of the refusals that are remembered.
const (
	maxRefusals = 4096
	// refusalRetention covers the time for which another request under the ticket may be on its way. After it a
	// caller whose key is bound to the ticket may try again.
	refusalRetention = 5 * time.Second
)

// refusals remembers submissions that were refused as not run. A caller may have sent another request under the
// ticket before it received the refusal: if that one ran the submission, the refusal would not be true.
type refusals struct {
	byID map[ticket.ID]refusal
	ids  [maxRefusals]ticket.ID // in the order of the refusals
	next int                    // index in ids of the oldest, which the next one replaces
}

type refusal struct {
	answer *job.Answer
	at     time.Time
}

// add remembers a refusal, in place of the oldest if there are maxRefusals.
func (r *refusals) add(now time.Time, id ticket.ID, a *job.Answer) {
	if r.byID == nil {
		r.byID = make(map[ticket.ID]refusal)
	}
	delete(r.byID, r.ids[r.next])
	r.ids[r.next] = id
	r.next = (r.next + 1) % maxRefusals
	r.byID[id] = refusal{a, now}
}

// answer returns the answer to a submission that was refused a short time ago, nil if it was not. A caller that is
// told to retry is told to do so when the refusal is forgotten.
func (r *refusals) answer(now time.Time, id ticket.ID) *job.Answer {
	past, known := r.byID[id]
	left := refusalRetention - now.Sub(past.at)
	if !known || left <= 0 {
		return nil
	}
	a := *past.answer
	if a.RetryAfter > 0 {
		a.RetryAfter = max(a.RetryAfter, left)
	}
	return &a
}
