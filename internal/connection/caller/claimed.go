package caller

import (
	"fmt"
	"net/http"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

const (
	// idempotencyHeader carries a caller's own key for a submission.
	idempotencyHeader = "Idempotency-Key"
	// maxKeyBytes bounds a caller's own key.
	maxKeyBytes = 255
)

// submitClaimed submits under a caller's own key, for any template.
//
// "Not run" is said only when the caller says that it never sent this key
// before: while the store is out, nothing else tells whether an earlier request
// under the key ran.
func (s *Server) submitClaimed(w http.ResponseWriter, r *http.Request, account, key string, body *SubmitBody) {
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
	// Between the claim and this submission another request under the key may
	// already have attached to the ticket and been driven.
	body.First = body.First && bound == token
	s.run(w, r, body, t, bound)
}
