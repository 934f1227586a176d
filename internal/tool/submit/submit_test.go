package submit_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/exit"
	"github.com/pumiceyard/pumiceyard/internal/tool/submit"
)

func TestReadTasks(t *testing.T) {
	for _, c := range []struct {
		text  string
		tasks int // 0: refused
	}{
		{`[1,{"a":2},[3]]`, 3},
		{`{"a":1} {"a":2}`, 2},
		{"1\n2\n3\n", 3},
		{`[1] [2]`, 2}, // two tasks that are arrays
		{`[]`, 0},
		{``, 0},
		{`{"a":`, 0},
		{`[1,2`, 0},
	} {
		tasks, err := submit.ReadTasks(strings.NewReader(c.text))
		if len(tasks) != c.tasks || (err != nil) != (c.tasks == 0) {
			t.Errorf("%q: %q, %v; want %d tasks", c.text, tasks, err, c.tasks)
		}
	}
}

// Each outcome has its own exit code, on which scripts rely, and its error says
// what to do.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		name, answer, says string
		code               int
	}{
		{"complete", `{"outcome":"complete","outputs":[1]}`, "", exit.Complete},
		{"not run", `{"outcome":"not_run","reason":"never_fits","detail":"too large"}`, "declared size", exit.NotRun},
		{"failed", `{"outcome":"failed","reason":"task_failed","detail":"no"}`, "pumiceyard explain t1", exit.Failed},
		{"unknown", `{"outcome":"unknown","reason":"worker_gone","detail":"gone"}`, "by the work itself", exit.Unknown},
		{"no answer in time", "", "--ticket t1", exit.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					_, _ = io.WriteString(w, `{"tickets":[{"ticket":"t1","expiry_unix_millis":9999999999999}]}`)
					return
				}
				if c.answer == "" {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, c.answer)
			}))
			defer server.Close()
			var out strings.Builder
			tasks, _ := submit.ReadTasks(strings.NewReader("1"))
			err := submit.Run(t.Context(), submit.Options{
				Client:  client.Options{Endpoints: []string{server.URL}, Key: "k", Prefetch: 1},
				Job:     client.Job{Template: "quote", Tasks: tasks},
				Timeout: time.Second,
				Out:     &out,
			})
			if got := exit.Code(err); got != c.code {
				t.Errorf("exit code %d, want %d: %v", got, c.code, err)
			}
			if err != nil && !strings.Contains(err.Error(), c.says) {
				t.Errorf("%q does not say %q", err, c.says)
			}
			if c.answer != "" && !strings.Contains(out.String(), `"ticket": "t1"`) {
				t.Errorf("printed %s", out.String())
			}
		})
	}
}
