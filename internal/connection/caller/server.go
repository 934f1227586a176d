package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumiceyard/pumiceyard/internal/process/router"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Server handles callers' requests.
type Server struct {
	settings      Settings
	router        Router
	timelines     Timelines
	configuration Documents
	claims        Claims
}

// NewServer returns a server.
func NewServer(s Settings, r Router, t Timelines, d Documents, c Claims) *Server {
	return &Server{settings: s, router: r, timelines: t, configuration: d, claims: c}
}

// Handler returns the HTTP handler of the interface.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/tickets", s.authenticated(s.issueTickets)).Methods(http.MethodPost)
	m.HandleFunc("/v1/submissions", s.authenticated(s.submitNew)).Methods(http.MethodPost)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.submit)).Methods(http.MethodPut)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.attach)).Methods(http.MethodGet)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.cancel)).Methods(http.MethodDelete)
	m.HandleFunc(submissionPath+"{ticket}/timeline", s.authenticated(s.timeline)).Methods(http.MethodGet)
	m.NotFoundHandler = problemHandler(http.StatusNotFound, "no such path")
	m.MethodNotAllowedHandler = problemHandler(http.StatusMethodNotAllowed, "method not allowed here")
	return s.limitWriteTime(m)
}

// problemHandler answers every request with the same problem.
func problemHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, Problem{Status: status, Outcome: refusedOutcome(r), Reason: reason.MalformedRequest, Detail: detail})
	})
}

// refusedOutcome is the outcome to report if a submission whose body was read is
// refused.
func (b *SubmitBody) refusedOutcome(r *http.Request) reason.Outcome {
	if b.First {
		return reason.NotRun
	}
	return refusedOutcome(r)
}

// submissionPath is the prefix of the paths that contain a ticket.
const submissionPath = "/v1/submissions/"

// refusedOutcome is the outcome to report if a request is refused before its
// submission is looked up. A request that names a ticket or an idempotency key may
// be a retry, so its outcome is unknown. For example, the answer to a submission is
// lost and the account's key is rotated before the caller retries: "not run"
// would make the caller submit again work that the first request has run.
func refusedOutcome(r *http.Request) reason.Outcome {
	if strings.HasPrefix(r.URL.Path, submissionPath) || r.Header.Get(idempotencyHeader) != "" {
		return reason.Unknown
	}
	return reason.NotRun
}

// accountHandler handles a request of an authenticated client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

// authenticated finds the client account of a request's bearer token and refuses
// requests without one.
func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		doc := s.configuration()
		if doc == nil {
			refuse(w, r, reason.NoConfiguration, "no configuration revision is known yet")
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			refuse(w, r, reason.WrongKey, "send the client account's key as a bearer token")
			return
		}
		account := doc.AccountOfKey(key)
		if account == nil {
			refuse(w, r, reason.WrongKey, "the key belongs to no client account")
			return
		}
		next(w, r, account.Name)
	}
}

// refuse answers a request that had no effect. It reports "not run" only if no
// earlier request can have run the same submission.
func refuse(w http.ResponseWriter, r *http.Request, code reason.Code, detail string) {
	refuseAs(w, refusedOutcome(r), code, detail)
}

// refuseAs answers a request that had no effect, with a given outcome.
func refuseAs(w http.ResponseWriter, outcome reason.Outcome, code reason.Code, detail string) {
	if outcome == reason.Unknown {
		detail += "; this request ran nothing, an earlier one under the same ticket or key may have"
	}
	writeProblem(w, Problem{
		Status:  statusOf(code, outcome),
		Outcome: outcome,
		Reason:  code,
		Detail:  detail,
	})
}

// refuseTicket answers a request whose token is not a valid ticket of the account.
// The outcome is "not run", because no submission of the account can ever have run
// under that token.
func refuseTicket(w http.ResponseWriter, err *ticket.Error) {
	refuseAs(w, reason.NotRun, err.Code, err.Detail)
}

func writeProblem(w http.ResponseWriter, p Problem) {
	p.Type = "about:blank"
	p.Title = strings.ReplaceAll(string(p.Reason), "_", " ")
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// issueTickets handles POST /v1/tickets.
func (s *Server) issueTickets(w http.ResponseWriter, r *http.Request, account string) {
	var body TicketsBody
	if code, detail := s.decode(w, r, &body); code != "" {
		refuse(w, r, code, detail)
		return
	}
	if body.Count < 1 || body.Count > s.settings.MaxTickets {
		refuse(w, r, reason.MalformedRequest, fmt.Sprintf("count is %d, allowed is 1 to %d", body.Count, s.settings.MaxTickets))
		return
	}
	if s.router.Leaving() {
		refuse(w, r, reason.Draining, "the entry VM is stopping: ask another one")
		return
	}
	out := Tickets{Tickets: make([]IssuedTicket, 0, body.Count)}
	for range body.Count {
		t, token := s.router.Mint(account)
		out.Tickets = append(out.Tickets, IssuedTicket{token, t.ID.String(), t.Expiry.UnixMilli()})
	}
	writeJSON(w, out)
}

// submitNew accepts a submission without a ticket. The template must be idempotent
// unless the request has an idempotency key: if the answer is lost, a caller that
// has neither ticket nor key can only retry by running the work a second time.
func (s *Server) submitNew(w http.ResponseWriter, r *http.Request, account string) {
	body, ok := s.readSubmission(w, r)
	if !ok {
		return
	}
	t := s.configuration().Template(body.Template)
	if t == nil {
		refuseAs(w, body.refusedOutcome(r), reason.UnknownTemplate, "no template has that name")
		return
	}
	if key := r.Header.Get(idempotencyHeader); key != "" {
		s.submitWithKey(w, r, account, key, body)
		return
	}
	if !t.Idempotent {
		refuse(w, r, reason.TicketRequired, "the template is not idempotent: PUT it under a ticket, or send an "+idempotencyHeader)
		return
	}
	tk, token := s.router.Mint(account)
	body.First = true
	s.submitAndAnswer(w, r, body, tk, token)
}

// submit handles PUT of a submission under a ticket.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	body, ok := s.readSubmission(w, r)
	if !ok {
		return
	}
	s.submitAndAnswer(w, r, body, t, token)
}

// readSubmission reads and validates the body of a submission. If the body is
// refused, it has answered the request and returns false.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request) (*SubmitBody, bool) {
	var body SubmitBody
	if code, detail := s.decode(w, r, &body); code != "" {
		refuse(w, r, code, detail)
		return nil, false
	}
	if code, detail := body.validate(&s.settings); code != "" {
		refuseAs(w, body.refusedOutcome(r), code, detail)
		return nil, false
	}
	return &body, true
}

// submitAndAnswer routes a valid submission, waits for its answer and writes it.
func (s *Server) submitAndAnswer(w http.ResponseWriter, r *http.Request, body *SubmitBody, t ticket.Ticket, token string) {
	req := router.Request{Token: token, Ticket: t, Template: body.Template, First: body.First, Inputs: make([][]byte, len(body.Tasks))}
	for i, task := range body.Tasks {
		req.Inputs[i] = task
	}
	if body.DeadlineMillis > 0 {
		req.Deadline = time.Now().Add(time.Duration(body.DeadlineMillis) * time.Millisecond)
	}
	s.writeAnswer(w, token, s.awaitAnswer(w, r, func() *job.Answer { return s.router.Submit(r.Context(), req) }))
}

// attach handles GET of a submission: it waits for the answer, at most for
// AttachTimeout, and responds with 204 if there is none by then.
func (s *Server) attach(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.settings.AttachTimeout)
	defer cancel()
	a := s.awaitAnswer(w, r, func() *job.Answer { return s.router.Attach(ctx, token, t, false) })
	if a == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.writeAnswer(w, token, a)
}

// cancel handles DELETE of a submission. A 202 says that the cancellation was
// passed on, not that the submission has ended.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	if !s.router.Cancel(r.Context(), token, t, false) {
		writeProblem(w, Problem{
			Status:  http.StatusNotFound,
			Outcome: reason.Unknown,
			Reason:  reason.NoSuchSubmission,
			Detail:  "no entry VM that can be reached drives this submission",
			Ticket:  token,
		})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// writeAnswer writes the final answer as a Result or a Problem.
func (s *Server) writeAnswer(w http.ResponseWriter, token string, a *job.Answer) {
	if a == nil {
		return // the caller has disconnected
	}
	if a.Outcome == reason.Complete {
		writeResult(w, token, a)
		return
	}
	p := Problem{
		Status:           statusOf(a.Reason, a.Outcome),
		Detail:           a.Detail,
		Outcome:          a.Outcome,
		Reason:           a.Reason,
		RetryAfterMillis: a.RetryAfter.Milliseconds(),
		Ticket:           token,
	}
	if a.Outcome == reason.Failed && a.Reason == reason.TaskFailed {
		p.Task = &a.FailedTask
	}
	writeProblem(w, p)
}

// writeResult writes a Result. Outputs that are valid JSON are copied into the
// body without encoding them again; any other output is sent as a JSON string.
func writeResult(w http.ResponseWriter, token string, a *job.Answer) {
	size := resultOverhead + len(token)
	for _, o := range a.Outputs {
		size += len(o) + 1
	}
	b := make([]byte, 0, size)
	b = fmt.Appendf(b, `{"ticket":%q,"outcome":%q,"revision":%d,"outputs":[`, token, a.Outcome, a.Revision)
	for i, o := range a.Outputs {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendOutput(b, o)
	}
	b = append(b, "]}\n"...)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

// resultOverhead is the space reserved in bytes for a result's fields around the
// ticket and the outputs.
const resultOverhead = 96

// appendOutput appends one output as a JSON value.
func appendOutput(b, output []byte) []byte {
	switch {
	case len(output) == 0:
		return append(b, "null"...)
	case json.Valid(output):
		return append(b, output...)
	}
	quoted, _ := json.Marshal(string(output))
	return append(b, quoted...)
}

// timeline handles GET of a submission's timeline.
func (s *Server) timeline(w http.ResponseWriter, r *http.Request, account string) {
	t, err := s.router.Parse(mux.Vars(r)["ticket"], account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	writeJSON(w, NewTimeline(t.ID, s.timelines.Collect(r.Context(), t.ID)))
}

// NewTimeline returns the response body for the steps of a submission.
func NewTimeline(id ticket.ID, steps []NamedStep) TimelineBody {
	out := TimelineBody{ID: id.String(), Steps: []TimelineStep{}}
	for _, step := range steps {
		out.Steps = append(out.Steps, TimelineStep{
			UnixMicros: step.At.UnixMicro(),
			EntryVM:    step.EntryVM,
			Step:       step.Event,
			Reason:     step.Reason,
			Detail:     step.Detail,
		})
	}
	return out
}
