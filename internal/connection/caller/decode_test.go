package caller

import (
	"encoding/json"
	"testing"
)

// FuzzSubmission checks that an accepted submission has a template, has tasks
// within the limits on number and nesting depth, and keeps its content when it is
// encoded and parsed again, and that a refusal has a reason and a detail.
func FuzzSubmission(f *testing.F) {
	for _, seed := range []string{
		`{"template":"quote","tasks":[{"room":1},[2,"x"],null],"deadline_millis":500,"first":true}`,
		`{"template":"quote","tasks":[]}`,
		`{"template":"quote","tasks":[[[[["too","deep"]]]]]}`,
		`{"template":"quote","tasks":["\"[{\\"]}`,
		`{"template":"quote","tasks":[1]}{"template":"other","tasks":[2]}`,
		`{"template":"quote","tasks":[1],"frist":true}`,
		`{"template":"quote","tasks":[1],"deadline_millis":-1}`,
		`{"template":`, ``, `null`, `[]`, "\xff\xfe",
	} {
		f.Add([]byte(seed))
	}
	limits := Settings{MaxTasks: 4, MaxDepth: 3}
	f.Fuzz(func(t *testing.T, text []byte) {
		var body SubmitBody
		code, detail := parse(text, &body)
		if code == "" {
			code, detail = body.validate(&limits)
		}
		if code != "" {
			if detail == "" {
				t.Errorf("%s without a detail", code)
			}
			return
		}
		if body.Template == "" || len(body.Tasks) == 0 || len(body.Tasks) > limits.MaxTasks {
			t.Errorf("accepted %+v", body)
		}
		for _, task := range body.Tasks {
			if decodedDepth(t, task) > limits.MaxDepth {
				t.Errorf("accepted a task that is nested too deeply: %s", task)
			}
		}
		var again SubmitBody
		encoded, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		if code, detail := parse(encoded, &again); code != "" || len(again.Tasks) != len(body.Tasks) || again.Template != body.Template {
			t.Errorf("%q reads back as %+v: %s %s", encoded, again, code, detail)
		}
	})
}

// decodedDepth returns the nesting depth of a task as decoded by encoding/json.
func decodedDepth(t *testing.T, task json.RawMessage) int {
	var value any
	if err := json.Unmarshal(task, &value); err != nil {
		t.Fatalf("accepted a task that is not JSON: %q", task)
	}
	return valueDepth(value)
}

func valueDepth(value any) int {
	deepest := 0
	switch value := value.(type) {
	case []any:
		for _, v := range value {
			deepest = max(deepest, valueDepth(v))
		}
	case map[string]any:
		for _, v := range value {
			deepest = max(deepest, valueDepth(v))
		}
	default:
		return 0
	}
	return deepest + 1
}
