package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// decode reads a JSON body strictly. It returns an empty code when it worked.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) (reason.Code, string) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reason.BodyTooLarge, fmt.Sprintf("the body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return reason.MalformedRequest, "the body ended early"
	}
	return parse(text, into)
}

// parse decodes one JSON value and refuses unknown fields and what follows it.
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

// check looks at what the form of a submission can tell.
func (b *SubmitBody) check(s *Settings) (reason.Code, string) {
	switch {
	case b.Template == "":
		return reason.MalformedRequest, "template is missing"
	case len(b.Tasks) == 0:
		return reason.MalformedRequest, "tasks is empty"
	case len(b.Tasks) > s.MaxTasks:
		return reason.TooManyTasks, fmt.Sprintf("%d tasks, at most %d are allowed", len(b.Tasks), s.MaxTasks)
	}
	for i, task := range b.Tasks {
		if depth(task) > s.MaxDepth {
			return reason.MalformedRequest, fmt.Sprintf("task %d nests more than %d levels", i, s.MaxDepth)
		}
	}
	return "", ""
}

// depth is how far valid JSON nests.
func depth(text []byte) int {
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
