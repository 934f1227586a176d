package home

import (
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// maxRefusals is how many refused submissions are remembered.
const maxRefusals = 4096

// refusals remembers submissions that were refused as not run. A caller may have sent another request under the
// ticket before it received the refusal: if that one ran the submission, the refusal would not be true.
type refusals struct {
	answers map[ticket.ID]*job.Answer
	ids     [maxRefusals]ticket.ID // in the order of the refusals
	next    int                    // index in ids of the oldest, which the next one replaces
}

// add remembers a refusal, in place of the oldest if there are maxRefusals.
func (r *refusals) add(id ticket.ID, a *job.Answer) {
	if r.answers == nil {
		r.answers = make(map[ticket.ID]*job.Answer)
	}
	delete(r.answers, r.ids[r.next])
	r.ids[r.next] = id
	r.next = (r.next + 1) % maxRefusals
	r.answers[id] = a
}

// answer returns the answer to a submission that was refused, nil if it was not.
func (r *refusals) answer(id ticket.ID) *job.Answer { return r.answers[id] }
