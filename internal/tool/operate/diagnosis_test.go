package operate_test

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const (
	membersKey   = "members-key-for-tests" // of the account with a quota
	sharedKey    = "shared-key-for-tests"  // of the account without a quota
	testTimeout  = 20 * time.Second        // for a cause to show
	pollInterval = 20 * time.Millisecond
	longTaskRun  = 5 * time.Second // run time of a task that is declared as short
)

// diagnosis is a small site with a fault, and the operator tool that has to show its
// cause.
type diagnosis struct {
	t    *testing.T
	ctx  context.Context
	site *site.Site
	tool *operate.Site
	doc  *document.Document // revision 1
}

func newDiagnosis(t *testing.T, domains ...string) *diagnosis {
	opt := site.Defaults(domains)
	opt.EntryVMs, opt.Workers = len(domains), 4*len(domains)
	opt.Behaviour = func(template string, input []byte) worker.Outcome {
		if template == "check" {
			return worker.Outcome{Run: time.Millisecond, Output: input}
		}
		return worker.Outcome{Run: longTaskRun, Output: input}
	}
	s, err := site.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	template := func(name string, slots, milliwatts uint32) document.Template {
		return document.Template{
			Name: name, Class: document.Normal, Idempotent: true, DeadlineMillis: 60_000, MaxTasks: 16,
			Declared: document.Declared{Slots: slots, MilliCPU: 100, MemoryMiB: 16, Milliwatts: milliwatts, RunMillis: 5},
		}
	}
	doc := &document.Document{
		Templates: []document.Template{template("check", 1, 1000), template("build", 1, 1000), template("manifold", 64, 1000), template("press", 1, 100_000)},
		Accounts: []document.Account{
			{Name: "members", Weight: 1, QuotaSlots: 2, KeyHashes: []string{document.KeyHash(membersKey)}},
			{Name: "shared", Weight: 1, KeyHashes: []string{document.KeyHash(sharedKey)}},
		},
		Site: document.Site{PowerCapMilliwatts: 10_000_000 * uint64(len(domains)), Domains: make(map[string]uint64)},
	}
	for _, d := range domains {
		doc.Site.Domains[d] = 10_000_000
	}
	if _, err := s.Publish(ctx, doc, "radka", "causes-1"); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	tool, err := operate.NewSite(operatorURLs(s), "1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &diagnosis{t, ctx, s, tool, doc}
}

func (c *diagnosis) client(key string, endpoints ...string) *client.Client {
	if len(endpoints) == 0 {
		endpoints = c.site.Endpoints()
	}
	cl, err := client.New(client.Options{Endpoints: endpoints, Key: key})
	if err != nil {
		c.t.Fatal(err)
	}
	return cl
}

// submit runs a job to its end and returns its ticket and outcome.
func (c *diagnosis) submit(template string) (ticket string, outcome client.Outcome) {
	a, err := c.client(sharedKey).Submit(c.ctx, client.Job{Template: template, Tasks: []json.RawMessage{json.RawMessage("1")}})
	if err != nil {
		c.t.Fatal(err)
	}
	return a.Ticket, a.Outcome
}

// submitAsync submits a job and returns its ticket without waiting for its end.
func (c *diagnosis) submitAsync(key, template string, tasks int) string {
	tickets := make(chan string, 1)
	j := client.Job{Template: template, Tasks: make([]json.RawMessage, tasks), OnTicket: func(ticket, _ string) { tickets <- ticket }}
	for i := range j.Tasks {
		j.Tasks[i] = json.RawMessage("1")
	}
	cl := c.client(key)
	go func() { _, _ = cl.Submit(c.ctx, j) }()
	select {
	case ticket := <-tickets:
		return ticket
	case <-c.ctx.Done():
		c.t.Fatal("no ticket before the test's deadline")
		return ""
	}
}

// runWithFailingWorker lets one worker fail every task and submits jobs until the
// worker is ejected. It returns the ticket of a failed job.
func (c *diagnosis) runWithFailingWorker() string {
	c.site.Workers()[2].SetFaults(worker.Faults{FailEverything: true})
	failed := ""
	for {
		ticket, outcome := c.submit("check")
		if outcome == client.Failed {
			failed = ticket
		}
		if failed != "" && strings.Contains(c.status(), "fails_what_others_complete") {
			return failed
		}
	}
}

func (c *diagnosis) submitOversized() string {
	ticket, _ := c.submit("manifold")
	return ticket
}

// submitOverQuota submits more tasks than the account's quota lets run at once.
func (c *diagnosis) submitOverQuota() string { return c.submitAsync(membersKey, "build", 4) }

// submitShortOfPower submits tasks so large that a worker has power for only one
// at a time. It first completes jobs until no worker is on probation, where a
// worker gets only one task at a time whatever its power.
func (c *diagnosis) submitShortOfPower() string {
	for strings.Contains(c.status(), "probation") {
		c.submit("check")
	}
	return c.submitAsync(sharedKey, "press", 6)
}

// resumeFromCutOffDomain cuts off e2's domain and resumes a job at e1
// under a ticket that e2 issued.
func (c *diagnosis) resumeFromCutOffDomain() string {
	endpoints := c.site.Endpoints()
	tickets, err := c.client(sharedKey, endpoints[1]).Tickets(c.ctx, 1)
	if err != nil {
		c.t.Fatal(err)
	}
	c.site.CutDomain("ostrava")
	ticket := tickets[0].Token
	j := client.Job{Template: "check", Tasks: []json.RawMessage{json.RawMessage("1")}}
	cl := c.client(sharedKey, endpoints[0])
	go func() { _, _ = cl.Resume(c.ctx, ticket, j) }()
	return ticket
}

// submitToStaleVM cuts off e2, publishes a template, and submits a job of it to e2.
func (c *diagnosis) submitToStaleVM() string {
	c.site.CutDomain("ostrava")
	c.doc.Templates = append(c.doc.Templates, c.doc.Templates[0])
	c.doc.Templates[len(c.doc.Templates)-1].Name = "price"
	text, err := json.Marshal(c.doc)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.tool.Publish(c.ctx, text, operate.Change{Author: "ota", BaseRevision: 1}, io.Discard); err != nil {
		c.t.Fatal(err)
	}
	cl := c.client(sharedKey, c.site.Endpoints()[1])
	a, err := cl.Submit(c.ctx, client.Job{Template: "price", Tasks: []json.RawMessage{json.RawMessage("1")}})
	if err != nil || a.Outcome != client.NotRun {
		c.t.Fatalf("%+v, %v", a, err)
	}
	return a.Ticket
}

func (c *diagnosis) status() string {
	var out strings.Builder
	if err := c.tool.Status(c.ctx, false, &out); err != nil {
		c.t.Fatal(err)
	}
	return out.String()
}

func (c *diagnosis) explain(ticket string) string {
	var out strings.Builder
	if err := c.tool.Explain(c.ctx, ticket, false, &out); err != nil {
		c.t.Fatal(err)
	}
	return out.String()
}

// await waits until a page has a line that contains all the given parts.
func (c *diagnosis) await(name string, page func() string, parts ...string) {
	for {
		text := page()
		if hasLine(text, parts) {
			return
		}
		select {
		case <-c.ctx.Done():
			c.t.Fatalf("%s has no line with %q:\n%s", name, parts, text)
		case <-time.After(pollInterval):
		}
	}
}

func hasLine(text string, parts []string) bool {
	for line := range strings.Lines(text) {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			return true
		}
	}
	return false
}

// For each of these faults the output of `explain` and `status` alone has to show
// an operator the cause.
func TestStatusAndExplainShowCause(t *testing.T) {
	one, two := []string{"brno"}, []string{"brno", "ostrava"}
	for _, c := range []struct {
		name    string
		domains []string
		trigger func(*diagnosis) (ticket string)
		explain []string // parts of one line
		status  []string // the same
	}{
		// Symptom: some jobs of one template fail, most complete. Sequence: a worker
		// fails every task at once, so its slots are always free and it keeps getting
		// tasks. Cause: worker w002.
		{"sick worker", one, (*diagnosis).runWithFailingWorker, []string{"placed", "w002"}, []string{"w002", "ejected", "fails_what_others_complete"}},
		// Symptom: all jobs of one template are refused. Cause: its tasks are
		// declared larger than any worker.
		{"job that never fits", one, (*diagnosis).submitOversized, []string{"refused", "never_fits", "needs 64 slots", "largest worker has 8"}, []string{"e1", "yes", "/32"}},
		// Symptom: a job does not end although slots are free. Sequence: its tasks
		// run far longer than declared. Cause: the account uses its whole quota.
		{"account over quota", one, (*diagnosis).submitOverQuota, []string{"waiting", "quota_exceeded", "members"}, []string{"members", " 2 ", "quota_exceeded"}},
		// Symptom: a job waits while 28 of 32 slots are free. Cause: each of its
		// tasks is charged at least 100 W, and a worker has 160 W above idle.
		{"shortage of watts", one, (*diagnosis).submitShortOfPower, []string{"waiting", "short_of_milliwatts", "shared"}, []string{"shared", " 4 ", "short_of_milliwatts"}},
		// Symptom: a caller gets no answer, or "unknown". Cause: neither the home
		// VM of its ticket nor the workers held there can be reached.
		{"domain that is cut off", two, (*diagnosis).resumeFromCutOffDomain, []string{"recovering", "home_unreachable"}, []string{"e1", "brno", "e2", "ostrava"}},
		// Symptom: a template that was just published is sometimes refused. Cause:
		// one entry VM reaches neither the store nor a peer and still has the
		// previous revision.
		{"stale VM", two, (*diagnosis).submitToStaleVM, []string{"e2", "refused", "unknown_template", "revision 1"}, []string{"e2", "ostrava", "down", " 1 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newDiagnosis(t, c.domains...)
			ticket := c.trigger(s)
			s.await("explain", func() string { return s.explain(ticket) }, c.explain...)
			s.await("status", s.status, c.status...)
		})
	}
}
