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
}

// NewServer returns a server.
func NewServer(s Settings, r Router, t Timelines, d Documents) *Server {
	return &Server{settings: s, router: r, timelines: t, document: d}
}

// Handler serves the interface.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/tickets", s.authenticated(s.tickets)).Methods(http.MethodPost)
	m.HandleFunc("/v1/submissions", s.authenticated(s.submitNew)).Methods(http.MethodPost)
	m.HandleFunc("/v1/submissions/{ticket}", s.authenticated(s.submit)).Methods(http.MethodPut)
	m.HandleFunc("/v1/submissions/{ticket}", s.authenticated(s.attach)).Methods(http.MethodGet)
	m.HandleFunc("/v1/submissions/{ticket}", s.authenticated(s.cancel)).Methods(http.MethodDelete)
	m.HandleFunc("/v1/submissions/{ticket}/timeline", s.authenticated(s.timeline)).Methods(http.MethodGet)
	m.NotFoundHandler = problemHandler(http.StatusNotFound, "no such path")
	m.MethodNotAllowedHandler = problemHandler(http.StatusMethodNotAllowed, "method not allowed here")
	return m
}

func problemHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, Problem{Status: status, Outcome: reason.NotRun, Reason: reason.MalformedRequest, Detail: detail})
	})
}

// accountHandler handles a request of a known client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		doc := s.document()
		if doc == nil {
			refuse(w, reason.NoConfiguration, "no configuration revision is known yet")
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			refuse(w, reason.WrongKey, "send the client account's key as a bearer token")
			return
		}
		account := doc.AccountOfKey(key)
		if account == nil {
			refuse(w, reason.WrongKey, "the key belongs to no client account")
			return
		}
		next(w, r, account.Name)
	}
}

// refuse answers that nothing was run.
func refuse(w http.ResponseWriter, code reason.Code, detail string) {
	writeProblem(w, Problem{
		Status:  statusOf(code, reason.NotRun),
		Outcome: reason.NotRun,
		Reason:  code,
		Detail:  detail,
	})
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
		refuse(w, code, detail)
		return
	}
	if body.Count < 1 || body.Count > s.settings.MaxTickets {
		refuse(w, reason.MalformedRequest, "count has to be from 1 to 256")
		return
	}
	out := Tickets{Tickets: make([]IssuedTicket, 0, body.Count)}
	for range body.Count {
		t, token := s.router.Mint(account)
		out.Tickets = append(out.Tickets, IssuedTicket{token, t.ID.String(), t.Expiry.UnixMilli()})
	}
	writeJSON(w, out)
}

// submitNew takes a submission without a ticket. Only idempotent templates may:
// were the answer lost, the caller could not ask again without running the work
// a second time.
func (s *Server) submitNew(w http.ResponseWriter, r *http.Request, account string) {
	body, ok := s.submission(w, r)
	if !ok {
		return
	}
	t := s.document().Template(body.Template)
	if t == nil {
		refuse(w, reason.UnknownTemplate, "no template has that name")
		return
	}
	if !t.Idempotent {
		refuse(w, reason.TicketRequired, "the template is not idempotent: take a ticket and PUT the submission under it")
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
		refuse(w, err.Code, err.Detail)
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
		refuse(w, code, detail)
		return nil, false
	}
	if code, detail := body.check(&s.settings); code != "" {
		refuse(w, code, detail)
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
	s.answer(w, token, s.router.Submit(r.Context(), req))
}

func (s *Server) attach(w http.ResponseWriter, r *http.Request, account string) {
	token := mux.Vars(r)["ticket"]
	t, err := s.router.Parse(token, account)
	if err != nil {
		refuse(w, err.Code, err.Detail)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.settings.Wait)
	defer cancel()
	a := s.router.Attach(ctx, token, t, false)
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
		refuse(w, err.Code, err.Detail)
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
		refuse(w, err.Code, err.Detail)
		return
	}
	out := TimelineBody{ID: t.ID.String(), Steps: []TimelineStep{}}
	for _, step := range s.timelines.Collect(r.Context(), t.ID) {
		out.Steps = append(out.Steps, TimelineStep{
			UnixMicros: step.At.UnixMicro(),
			EntryVM:    step.EntryVM,
			Step:       step.What,
			Reason:     step.Reason,
			Detail:     step.Detail,
		})
	}
	writeJSON(w, out)
}
