package caller

import (
	"fmt"
	"net/http"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

const (
	// idempotencyHeader is the header with a caller's own key for a submission.
	idempotencyHeader = "Idempotency-Key"
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
)

// submitWithKey submits under a caller's idempotency key, for any template.
//
// A refusal reports "not run" only if the caller asserts that it has never sent
// this key before: during a store outage there is no other way to tell whether an
// earlier request with the key ran.
func (s *Server) submitWithKey(w http.ResponseWriter, r *http.Request, account, key string, body *SubmitBody) {
	if len(key) > maxKeyBytes {
		refuseAs(w, body.refusedOutcome(r), reason.MalformedRequest, fmt.Sprintf("%s is over %d bytes", idempotencyHeader, maxKeyBytes))
		return
	}
	_, token := s.router.Mint(account)
	bound, refusal := s.claims.Claim(r.Context(), account, key, token)
	if refusal != nil {
		outcome := body.refusedOutcome(r)
		writeProblem(w, Problem{
			Status:           statusOf(refusal.Code, outcome),
			Outcome:          outcome,
			Reason:           refusal.Code,
			Detail:           refusal.Detail,
			RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
		})
		return
	}
	t, err := s.router.Parse(bound, account)
	if err != nil {
		refuse(w, r, err.Code, "the ticket that the key is bound to: "+err.Detail)
		return
	}
	// If the key is bound to another ticket, an earlier request with this key may
	// already have been run.
	body.First = body.First && bound == token
	s.submitAndAnswer(w, r, body, t, bound)
}
