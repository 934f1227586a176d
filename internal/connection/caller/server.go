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

// Server answers callers.
type Server struct {
	settings  Settings
	router    Router
	timelines Timelines
	document  Documents
	claims    Claims
}

// NewServer returns a server.
func NewServer(s Settings, r Router, t Timelines, d Documents, c Claims) *Server {
	return &Server{settings: s, router: r, timelines: t, document: d, claims: c}
}

// Handler serves the interface.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/tickets", s.authenticated(s.tickets)).Methods(http.MethodPost)
	m.HandleFunc("/v1/submissions", s.authenticated(s.submitNew)).Methods(http.MethodPost)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.submit)).Methods(http.MethodPut)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.attach)).Methods(http.MethodGet)
	m.HandleFunc(submissionPath+"{ticket}", s.authenticated(s.cancel)).Methods(http.MethodDelete)
	m.HandleFunc(submissionPath+"{ticket}/timeline", s.authenticated(s.timeline)).Methods(http.MethodGet)
	m.NotFoundHandler = problemHandler(http.StatusNotFound, "no such path")
	m.MethodNotAllowedHandler = problemHandler(http.StatusMethodNotAllowed, "method not allowed here")
	return s.boundWrites(m)
}

func problemHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, Problem{Status: status, Outcome: refusedOutcome(r), Reason: reason.MalformedRequest, Detail: detail})
	})
}

// refusedOutcome is what can be said of a submission whose body was read.
func (b *SubmitBody) refusedOutcome(r *http.Request) reason.Outcome {
	if b.First {
		return reason.NotRun
	}
	return refusedOutcome(r)
}

// submissionPath begins the paths that name a ticket.
const submissionPath = "/v1/submissions/"

// refusedOutcome is what can be said of a submission when the request is refused
// by its form. What goes wrong otherwise: a caller repeats a submission whose
// answer was lost, its key was rotated meanwhile, and "not run" makes it submit
// the work anew although the first request ran it.
func refusedOutcome(r *http.Request) reason.Outcome {
	if strings.HasPrefix(r.URL.Path, submissionPath) || r.Header.Get(idempotencyHeader) != "" {
		return reason.Unknown
	}
	return reason.NotRun
}

// accountHandler handles a request of a known client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		doc := s.document()
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

// refuse answers a request that had no effect. It says "not run" only where no
// earlier request can have run the same submission.
func refuse(w http.ResponseWriter, r *http.Request, code reason.Code, detail string) {
	refuseAs(w, refusedOutcome(r), code, detail)
}

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

// refuseTicket answers a token that is not a ticket of this account: nothing of
// the account's can ever have run under it.
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

func (s *Server) tickets(w http.ResponseWriter, r *http.Request, account string) {
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

// submitNew takes a submission without a ticket. Only idempotent templates may,
// unless the caller has a key of its own: were the answer lost, the caller could
// not ask again without running the work a second time.
func (s *Server) submitNew(w http.ResponseWriter, r *http.Request, account string) {
	body, ok := s.submission(w, r)
	if !ok {
		return
	}
	t := s.document().Template(body.Template)
	if t == nil {
		refuseAs(w, body.refusedOutcome(r), reason.UnknownTemplate, "no template has that name")
		return
	}
	if key := r.Header.Get(idempotencyHeader); key != "" {
		s.submitClaimed(w, r, account, key, body)
		return
	}
	if !t.Idempotent {
		refuse(w, r, reason.TicketRequired, "the template is not idempotent: PUT it under a ticket, or send an "+idempotencyHeader)
		return
	}
	tk, token := s.router.Mint(account)
	body.First = true
	s.run(w, r, body, tk, token)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	body, ok := s.submission(w, r)
	if !ok {
		return
	}
	s.run(w, r, body, t, token)
}

// submission reads and checks the form of a body.
func (s *Server) submission(w http.ResponseWriter, r *http.Request) (*SubmitBody, bool) {
	var body SubmitBody
	if code, detail := s.decode(w, r, &body); code != "" {
		refuse(w, r, code, detail)
		return nil, false
	}
	if code, detail := body.check(&s.settings); code != "" {
		refuseAs(w, body.refusedOutcome(r), code, detail)
		return nil, false
	}
	return &body, true
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, body *SubmitBody, t ticket.Ticket, token string) {
	req := router.Request{Token: token, Ticket: t, Template: body.Template, First: body.First, Inputs: make([][]byte, len(body.Tasks))}
	for i, task := range body.Tasks {
		req.Inputs[i] = task
	}
	if body.DeadlineMillis > 0 {
		req.Deadline = time.Now().Add(time.Duration(body.DeadlineMillis) * time.Millisecond)
	}
	s.answer(w, token, s.wait(w, r, func() *job.Answer { return s.router.Submit(r.Context(), req) }))
}

func (s *Server) attach(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.settings.AttachTimeout)
	defer cancel()
	a := s.wait(w, r, func() *job.Answer { return s.router.Attach(ctx, token, t, false) })
	if a == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.answer(w, token, a)
}

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

// answer writes a final answer.
func (s *Server) answer(w http.ResponseWriter, token string, a *job.Answer) {
	if a == nil {
		return // the caller went away
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
		p.Task = &a.Task
	}
	writeProblem(w, p)
}

// writeResult writes a Result. The outputs are JSON already, so they are joined
// and not encoded anew; one that is not JSON is sent as a string.
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

const resultOverhead = 96

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

func (s *Server) timeline(w http.ResponseWriter, r *http.Request, account string) {
	t, err := s.router.Parse(mux.Vars(r)["ticket"], account)
	if err != nil {
		refuseTicket(w, err)
		return
	}
	writeJSON(w, NewTimeline(t.ID, s.timelines.Collect(r.Context(), t.ID)))
}

// NewTimeline writes the steps of a submission.
func NewTimeline(id ticket.ID, steps []NamedStep) TimelineBody {
	out := TimelineBody{ID: id.String(), Steps: []TimelineStep{}}
	for _, step := range steps {
		out.Steps = append(out.Steps, TimelineStep{
			UnixMicros: step.At.UnixMicro(),
			EntryVM:    step.EntryVM,
			Step:       step.What,
			Reason:     step.Reason,
			Detail:     step.Detail,
		})
	}
	return out
}
