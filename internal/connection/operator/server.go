package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

const (
	// maxBodyBytes allows for the largest document and the fields around it.
	maxBodyBytes = document.MaxEncodedBytes + 4096
	// bodyTimeout limits how long a request's body may take to arrive.
	bodyTimeout = 10 * time.Second
)

// Server handles operators' requests.
type Server struct {
	vm        VM
	publisher Publisher
	metrics   http.Handler
}

// NewServer returns a server.
func NewServer(vm VM, p Publisher, metrics http.Handler) *Server {
	return &Server{vm: vm, publisher: p, metrics: metrics}
}

// Handler returns the HTTP handler of the interface.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.HandleFunc("/readyz", s.ready)
	m.Handle("/metrics", s.metrics)
	m.HandleFunc("/v1/status", jsonHandler(func(*http.Request) (any, error) { return s.vm.Status(), nil })).Methods(http.MethodGet)
	m.HandleFunc("/v1/fleet", jsonHandler(func(*http.Request) (any, error) { return s.vm.Fleet(), nil })).Methods(http.MethodGet)
	m.HandleFunc("/v1/explain/{ticket}", jsonHandler(s.explain)).Methods(http.MethodGet)
	m.HandleFunc("/v1/configuration", jsonHandler(s.configuration)).Methods(http.MethodGet)
	m.HandleFunc("/v1/configuration", jsonHandler(s.publish)).Methods(http.MethodPost)
	m.HandleFunc("/v1/rollback", jsonHandler(s.rollback)).Methods(http.MethodPost)
	m.HandleFunc("/v1/history", jsonHandler(s.history)).Methods(http.MethodGet)
	m.HandleFunc("/v1/diff", jsonHandler(s.diff)).Methods(http.MethodGet)
	m.NotFoundHandler = jsonHandler(func(r *http.Request) (any, error) { return nil, noSuchPath(r.URL.Path) })
	return m
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.vm.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// jsonHandler returns a handler that reads the request's body, calls answer and
// writes the result as JSON, or the error as a Problem.
func jsonHandler(answer func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeProblem(w, malformedRequest("the body is over %d bytes, came too slowly or ended early", maxBodyBytes))
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(text))
		out, err := answer(r)
		if err != nil {
			writeProblem(w, problemFromError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	p.Type = "about:blank"
	p.Title = strings.ReplaceAll(string(p.Reason), "_", " ")
	if p.Status == 0 {
		p.Status = statusOfReason[p.Reason]
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func malformedRequest(format string, args ...any) *Problem {
	return &Problem{Reason: reason.MalformedRequest, Detail: fmt.Sprintf(format, args...)}
}

func noSuchPath(path string) *Problem {
	p := malformedRequest("no such path: %s", path)
	p.Status = http.StatusNotFound
	return p
}

// problemFromError returns the Problem that describes an error of the Publisher.
func problemFromError(err error) *Problem {
	var (
		problem    *Problem
		conflict   *publication.ConflictError
		reused     *publication.ChangeReusedError
		missing    *publication.MissingFieldError
		none       *publication.NoRevisionError
		damaged    *publication.DamagedError
		syntax     *document.SyntaxError
		invalid    *document.InvalidError
		unresolved *storeclient.UnresolvedError
	)
	p := &Problem{Detail: err.Error()}
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflict):
		p.Reason = Conflict
	case errors.As(err, &reused):
		p.Reason = ChangeReused
	case errors.As(err, &missing):
		p.Reason = reason.MalformedRequest
	case errors.As(err, &none):
		p.Reason = NoRevision
	case errors.As(err, &damaged):
		p.Reason = DamagedValue
	case errors.As(err, &syntax):
		p.Reason = InvalidDocument
	case errors.As(err, &invalid):
		p.Reason = InvalidDocument
		for _, f := range invalid.Fields {
			p.Fields = append(p.Fields, Field(f))
		}
	case errors.As(err, &unresolved):
		p.Reason = StoreUnresolved
	default:
		p.Reason = StoreDown
	}
	return p
}

// explain handles GET /v1/explain/{ticket}.
func (s *Server) explain(r *http.Request) (any, error) {
	t, err := s.vm.ParseTicket(mux.Vars(r)["ticket"])
	if err != nil {
		return nil, &Problem{Reason: err.Code, Detail: err.Detail}
	}
	return caller.NewTimeline(t.ID, s.vm.Collect(r.Context(), t.ID)), nil
}

// configuration handles GET /v1/configuration.
func (s *Server) configuration(r *http.Request) (any, error) {
	if !r.URL.Query().Has("revision") {
		doc, err := s.publisher.Current(r.Context())
		if err == nil && doc == nil {
			return nil, &Problem{Reason: NoRevision, Detail: "nothing was published yet"}
		}
		return doc, err
	}
	revision, err := revisionParam(r, "revision")
	if err != nil {
		return nil, err
	}
	return s.publisher.Revision(r.Context(), revision)
}

func (s *Server) history(r *http.Request) (any, error) {
	publications, err := s.publisher.History(r.Context())
	return History{publications}, err
}

func (s *Server) diff(r *http.Request) (any, error) {
	from, err := revisionParam(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := revisionParam(r, "to")
	if err != nil {
		return nil, err
	}
	differences, err := s.publisher.Diff(r.Context(), from, to)
	return Differences{differences}, err
}

// revisionParam parses a query parameter that is a revision number.
func revisionParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, malformedRequest("%s is %q, allowed is a revision number", name, text)
	}
	return n, nil
}

func (s *Server) publish(r *http.Request) (any, error) {
	var body PublishBody
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	doc, err := document.Parse(body.Document)
	if err != nil {
		return nil, err
	}
	return s.publisher.Publish(r.Context(), publication.Change{
		ID: body.ChangeID, Author: body.Author, BaseRevision: body.BaseRevision, Document: doc,
	})
}

func (s *Server) rollback(r *http.Request) (any, error) {
	var body RollbackBody
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	return s.publisher.Rollback(r.Context(), body.Revision, publication.Change{
		ID: body.ChangeID, Author: body.Author, BaseRevision: body.BaseRevision,
	})
}

// decode reads a JSON body and refuses unknown fields and data after the value.
func decode(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return malformedRequest("not the JSON that is expected here: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return malformedRequest("something follows the JSON value")
	}
	return nil
}
