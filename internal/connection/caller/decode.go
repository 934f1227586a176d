package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// decode reads a JSON body and refuses unknown fields. It returns an empty code on
// success.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) (reason.Code, string) {
	text, err := s.readBody(w, r)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return reason.BodyTooLarge, fmt.Sprintf("the body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reason.BodyTooSlow, fmt.Sprintf("the body did not come within %s", s.settings.BodyTimeout)
	case err != nil:
		return reason.MalformedRequest, "the body ended early"
	}
	return parse(text, into)
}

// readBody reads a body within the limits on its size and time.
//
// Without the time limit, a caller that sends a byte now and then, or that
// disappears without closing its connection, keeps a goroutine and a connection
// forever, and both accumulate. The deadline applies to the connection, so it is
// removed after the body; otherwise it would end the wait for the answer.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return text, err
}

// parse decodes one JSON value. It refuses unknown fields and data after the value.
func parse(text []byte, into any) (reason.Code, string) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return reason.MalformedRequest, "not the JSON that is expected here: " + err.Error()
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return reason.MalformedRequest, "something follows the JSON value"
	}
	return "", ""
}

// validate checks a submission without looking at the configuration.
func (b *SubmitBody) validate(s *Settings) (reason.Code, string) {
	switch {
	case b.Template == "":
		return reason.MalformedRequest, "template is missing"
	case len(b.Tasks) == 0:
		return reason.MalformedRequest, "tasks is empty"
	case len(b.Tasks) > s.MaxTasks:
		return reason.TooManyTasks, fmt.Sprintf("%d tasks, at most %d are allowed", len(b.Tasks), s.MaxTasks)
	}
	for i, task := range b.Tasks {
		if nestingDepth(task) > s.MaxDepth {
			return reason.MalformedRequest, fmt.Sprintf("task %d nests more than %d levels", i, s.MaxDepth)
		}
	}
	return "", ""
}

// nestingDepth returns the nesting depth of valid JSON: the largest number of
// objects and arrays that are open at the same time.
func nestingDepth(text []byte) int {
	level, deepest := 0, 0
	inString, escaped := false, false
	for _, c := range text {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}
