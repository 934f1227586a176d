package operate_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

func newSite(t *testing.T) (*site.Site, *operate.Site, []byte) {
	text, err := deploy.Files.ReadFile("tsagaan-shavar/document.json")
	if err != nil {
		t.Fatal(err)
	}
	opt := site.Defaults([]string{"ub-bayangol", "ub-khan-uul"})
	opt.EntryVMs, opt.Workers, opt.ListLag = 2, 2, 0
	opt.Behaviour = func(string, []byte) worker.Outcome { return worker.Outcome{Failure: "crew is on leave"} }
	s, err := site.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	tool, err := operate.NewSite(operatorURLs(s), "1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, tool, text
}

func operatorURLs(s *site.Site) []string {
	var urls []string
	for _, e := range s.Entries() {
		urls = append(urls, "http://"+e.VM.OperatorAddress())
	}
	return urls
}

// Runs the operator commands in sequence: the first publication, a retry of it, a
// change, a conflicting change, a rollback, the explanation of a failed job, a
// store outage and an entry VM that is down.
func TestOperate(t *testing.T) {
	s, tool, text := newSite(t)
	ctx := t.Context()
	changed := bytes.Replace(text, []byte(`"max_tasks": 16`), []byte(`"max_tasks": 17`), 1)
	newChange := func(base uint64, wait time.Duration) operate.Change {
		return operate.Change{Author: "radka", BaseRevision: base, Wait: wait}
	}
	run := func(want string, f func(w io.Writer) error) {
		t.Helper()
		var out strings.Builder
		if err := f(&out); err != nil {
			out.WriteString(err.Error())
		}
		for _, part := range strings.Split(want, "|") {
			if !strings.Contains(out.String(), part) {
				t.Errorf("want %q in\n%s", part, out.String())
			}
		}
	}
	publish := func(text []byte, c operate.Change) func(io.Writer) error {
		return func(w io.Writer) error { return tool.Publish(ctx, text, c, w) }
	}
	run("no_revision: nothing was published", func(w io.Writer) error { return tool.Get(ctx, 0, w) })
	run("revision 1|e1 |e2 |in force", publish(text, newChange(0, 10*time.Second)))
	run("revision 1|by an earlier request", publish(text, newChange(0, 0)))
	run("revision 2", publish(changed, newChange(1, 0)))
	run("conflict|as revision 2|what to do", publish(text, newChange(1, 0)))
	run("max_tusks", publish(bytes.Replace(text, []byte("max_tasks"), []byte("max_tusks"), 1), newChange(2, 0)))
	run("templates[availability-check].max_tasks: 16 -> 17", func(w io.Writer) error { return tool.Diff(ctx, 1, 2, w) })
	run("revision 3", func(w io.Writer) error { return tool.Rollback(ctx, 1, newChange(2, 0), w) })
	run(`"revision": 3|"max_tasks": 16`, func(w io.Writer) error { return tool.Get(ctx, 0, w) })
	run("no_revision", func(w io.Writer) error { return tool.Get(ctx, 77, w) })
	run("REVISION|radka", func(w io.Writer) error { return tool.History(ctx, false, w) })
	if err := s.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	run("e1|e2|ub-khan-uul|yes|STRANDED|share_restored", func(w io.Writer) error { return tool.Status(ctx, false, w) })
	run("task_failed|crew is on leave|what to do", func(w io.Writer) error { return tool.Explain(ctx, failedJob(t, s), false, w) })
	s.Platform.SetFaults(platform.Faults{Outage: true})
	run("store_down|same change id", publish(changed, newChange(3, 0)))
	s.Platform.SetFaults(platform.Faults{})
	s.KillEntry(s.Entries()[1])
	run("e1|yes|can not be reached", func(w io.Writer) error { return tool.Status(ctx, false, w) })
}

// failedJob submits a job whose task fails and returns its ticket.
func failedJob(t *testing.T, s *site.Site) string {
	c, err := client.New(client.Options{Endpoints: s.Endpoints(), Key: "demo-desk-key"})
	if err != nil {
		t.Fatal(err)
	}
	a, err := c.Submit(t.Context(), client.Job{Template: "crew-assignment", Tasks: []json.RawMessage{json.RawMessage("1")}})
	if err != nil || a.Outcome != client.Failed {
		t.Fatalf("%+v, %v", a, err)
	}
	return a.Ticket
}

// The operator listener answers every kind of bad request with a problem document
// and goes on serving.
func TestBadOperatorInput(t *testing.T) {
	s, _, text := newSite(t)
	base := operatorURLs(s)[0]
	document := string(text)
	for _, c := range []struct {
		method, path, body string
		status             int
		code               reason.Code
	}{
		{"POST", "/v1/configuration", `{`, 400, reason.MalformedRequest},
		{"POST", "/v1/configuration", `{"auhtor":"x"}`, 400, reason.MalformedRequest},
		{"POST", "/v1/configuration", `{"author":"x"} 1`, 400, reason.MalformedRequest},
		{"POST", "/v1/configuration", `{"author":"x","change_id":"c","document":{}}`, 422, operator.InvalidDocument},
		{"POST", "/v1/configuration", `{"author":"x","change_id":"c"}`, 422, operator.InvalidDocument},
		{"POST", "/v1/configuration", `{"author":"x","document":` + document + `}`, 400, reason.MalformedRequest},
		{"POST", "/v1/configuration", `{"author":"x","change_id":"c","base":7,"document":` + document + `}`, 404, operator.NoRevision},
		{"POST", "/v1/configuration", strings.Repeat(" ", 1<<20), 400, reason.MalformedRequest},
		{"POST", "/v1/rollback", `{"author":"x","change_id":"c","revision":9}`, 404, operator.NoRevision},
		{"GET", "/v1/configuration", "", 404, operator.NoRevision},
		{"GET", "/v1/configuration?revision=x", "", 400, reason.MalformedRequest},
		{"GET", "/v1/diff?from=1", "", 400, reason.MalformedRequest},
		{"GET", "/v1/explain/nonsense", "", 400, reason.BadTicket},
		{"GET", "/v1/nowhere", "", 404, reason.MalformedRequest},
	} {
		req, _ := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var p operator.Problem
		err = json.NewDecoder(resp.Body).Decode(&p)
		resp.Body.Close()
		if err != nil || resp.StatusCode != c.status || p.Status != c.status || p.Reason != c.code || p.Detail == "" {
			t.Errorf("%s %s %.40q: %d %+v, %v; want %d %s", c.method, c.path, c.body, resp.StatusCode, p, err, c.status, c.code)
		}
	}
}
