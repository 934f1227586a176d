package site_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const (
	testTicketKey = "a-ticket-key-of-the-tests"
	deskKey       = "demo-desk-key"
	foremenKey    = "demo-foremen-key"
	bodyLimit     = 16 << 10
	startTimeout  = 10 * time.Second
)

// testSite is a small site with the base URL of its first entry VM.
type testSite struct {
	t    *testing.T
	site *site.Site
	url  string
}

func newTestSite(t *testing.T) *testSite {
	text, err := deploy.Files.ReadFile("tsagaan-shavar/document.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	opt := site.Defaults([]string{"ub-bayangol", "ub-khan-uul"})
	opt.EntryVMs, opt.Workers, opt.ListLag = 2, 4, 0
	opt.Behaviour = func(_ string, input []byte) worker.Outcome {
		return worker.Outcome{Run: time.Millisecond, Output: input}
	}
	opt.AdjustSettings = func(s *entry.Settings) {
		s.TicketKey = testTicketKey
		s.MaxBodyBytes = bodyLimit
		s.BodyTimeoutMillis = 200
		s.ListPollMillis = 50
		s.UnreadyMillis, s.ShutdownMillis = 60_000, 61_000
	}
	s, err := site.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if _, err := s.Publish(ctx, doc, "test", "first"); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return &testSite{t: t, site: s, url: s.Endpoints()[0]}
}

// reply is an HTTP response with either a problem or a result as its body.
type reply struct {
	status  int
	kind    string
	ticket  string
	problem caller.Problem
	result  caller.Result
}

func (r *testSite) do(method, path, key, body string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	return r.read(resp)
}

func (r *testSite) read(resp *http.Response) reply {
	r.t.Helper()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	out := reply{status: resp.StatusCode, kind: resp.Header.Get("Content-Type")}
	if out.kind == "application/problem+json" {
		err = json.Unmarshal(text, &out.problem)
		out.ticket = out.problem.Ticket
	} else if len(bytes.TrimSpace(text)) > 0 {
		err = json.Unmarshal(text, &out.result)
		out.ticket = out.result.Ticket
	}
	if err != nil {
		r.t.Fatalf("%s: %v in %q", resp.Request.URL, err, text)
	}
	return out
}

func (r *testSite) ticket(key string) string {
	r.t.Helper()
	req, _ := http.NewRequest(http.MethodPost, r.url+"/v1/tickets", strings.NewReader(`{"count":1}`))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	var got caller.Tickets
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil || len(got.Tickets) != 1 {
		r.t.Fatalf("tickets: %v, %d of them", err, len(got.Tickets))
	}
	return got.Tickets[0].Ticket
}

func (r *testSite) starts() int {
	_, starts, _ := r.site.Starts()
	return starts
}

const (
	oneTask   = `{"template":"crew-assignment","tasks":[1]}`
	oneCheck  = `{"template":"availability-check","tasks":[1]}`
	firstTask = `{"template":"crew-assignment","tasks":[1],"first":true}`
)

// usedTicket returns a ticket under which oneTask has run.
func (r *testSite) usedTicket() string {
	r.t.Helper()
	token := r.ticket(deskKey)
	if got := r.do(http.MethodPut, "/v1/submissions/"+token, deskKey, oneTask); got.status != http.StatusOK {
		r.t.Fatalf("a good submission: %+v", got)
	}
	return token
}

func (r *testSite) expiredTicket() string {
	vm := r.site.Entries()[0]
	mint := ticket.NewMinter([]byte(testTicketKey), vm.Name, vm.Domain, vm.VM.Incarnation())
	_, token := mint.Mint("desk", time.Now().Add(-time.Second), 1, 1)
	return token
}

func (r *testSite) tamperedTicket() string {
	token := []byte(r.ticket(deskKey))
	token[len(token)/2] ^= 1
	return string(token)
}

func (r *testSite) freshTicket() string   { return r.ticket(deskKey) }
func (r *testSite) foreignTicket() string { return r.ticket(foremenKey) }

func nestedTask(levels int) string {
	return fmt.Sprintf(`{"template":"crew-assignment","tasks":[%s%s],"first":true}`, strings.Repeat("[", levels), strings.Repeat("]", levels))
}

func manyTasks(tasks int) string {
	return fmt.Sprintf(`{"template":"crew-assignment","tasks":[%s1],"first":true}`, strings.Repeat("1,", tasks-1))
}

// For every invalid request, the caller gets a problem with the right status, a
// stable reason and a correct outcome. No task is started, and the daemon goes on to
// serve requests.
func TestInvalidRequestsGetCorrectProblems(t *testing.T) {
	r := newTestSite(t)
	const (
		notRun  = reason.NotRun
		unknown = reason.Unknown
		put     = http.MethodPut
		post    = http.MethodPost
	)
	for _, c := range []struct {
		name    string
		method  string
		token   func() string // nil: POST without a ticket
		key     string
		body    string
		headers []string
		status  int
		outcome reason.Outcome
		code    reason.Code
	}{
		{"malformed JSON", put, r.freshTicket, deskKey, `{"template":`, nil, 400, unknown, reason.MalformedRequest},
		{"malformed JSON, no ticket", post, nil, deskKey, `{"template":`, nil, 400, notRun, reason.MalformedRequest},
		{"empty body", post, nil, deskKey, ``, nil, 400, notRun, reason.MalformedRequest},
		{"unknown field", post, nil, deskKey, `{"template":"availability-check","tasks":[1],"frist":true}`, nil, 400, notRun, reason.MalformedRequest},
		{"two values", post, nil, deskKey, oneCheck + oneCheck, nil, 400, notRun, reason.MalformedRequest},
		{"not an object", post, nil, deskKey, `[1]`, nil, 400, notRun, reason.MalformedRequest},
		{"negative deadline", post, nil, deskKey, `{"template":"availability-check","tasks":[1],"deadline_millis":-1}`, nil, 400, notRun, reason.MalformedRequest},
		{"body over the limit", put, r.freshTicket, deskKey, `"` + strings.Repeat("x", bodyLimit) + `"`, nil, 413, unknown, reason.BodyTooLarge},
		{"nesting too deep", put, r.freshTicket, deskKey, nestedTask(33), nil, 400, notRun, reason.MalformedRequest},
		{"nesting beyond the parser's limit", post, nil, deskKey, strings.Repeat("[", bodyLimit-1), nil, 400, notRun, reason.MalformedRequest},
		{"unknown template", put, r.freshTicket, deskKey, `{"template":"no-such","tasks":[1],"first":true}`, nil, 404, notRun, reason.UnknownTemplate},
		{"unknown template, not declared as first request", put, r.freshTicket, deskKey, `{"template":"no-such","tasks":[1]}`, nil, 404, unknown, reason.UnknownTemplate},
		{"template missing", post, nil, deskKey, `{"tasks":[1]}`, nil, 400, notRun, reason.MalformedRequest},
		{"empty tasks", put, r.freshTicket, deskKey, `{"template":"crew-assignment","tasks":[],"first":true}`, nil, 400, notRun, reason.MalformedRequest},
		{"too many tasks for the template", put, r.freshTicket, deskKey, manyTasks(9), nil, 400, notRun, reason.TooManyTasks},
		{"too many tasks for any template", post, nil, deskKey, manyTasks(4097), nil, 400, notRun, reason.TooManyTasks},
		{"wrong key", post, nil, "no-such-key", oneCheck, nil, 401, notRun, reason.WrongKey},
		{"wrong key, not declared as first request", put, r.usedTicket, "no-such-key", oneTask, nil, 401, unknown, reason.WrongKey},
		{"missing key", post, nil, "", oneCheck, nil, 401, notRun, reason.WrongKey},
		{"bad ticket", put, func() string { return "no-ticket" }, deskKey, oneTask, nil, 400, notRun, reason.BadTicket},
		{"tampered ticket", put, r.tamperedTicket, deskKey, oneTask, nil, 400, notRun, reason.BadTicket},
		{"expired ticket", put, r.expiredTicket, deskKey, firstTask, nil, 400, notRun, reason.TicketExpired},
		{"expired ticket, not declared as first request", put, r.expiredTicket, deskKey, oneTask, nil, 400, unknown, reason.TicketExpired},
		{"foreign ticket", put, r.foreignTicket, deskKey, oneTask, nil, 403, notRun, reason.ForeignTicket},
		{"foreign ticket's answer", http.MethodGet, r.foreignTicket, deskKey, "", nil, 403, notRun, reason.ForeignTicket},
		{"foreign ticket's timeline", http.MethodGet, func() string { return r.foreignTicket() + "/timeline" }, deskKey, "", nil, 403, notRun, reason.ForeignTicket},
		{"cancel of a foreign ticket", http.MethodDelete, r.foreignTicket, deskKey, "", nil, 403, notRun, reason.ForeignTicket},
		{"cancel of an unused ticket", http.MethodDelete, r.freshTicket, deskKey, "", nil, 404, unknown, reason.NoSuchSubmission},
		{"answer of an unused ticket", http.MethodGet, r.freshTicket, deskKey, "", nil, 404, unknown, reason.NoSuchSubmission},
		{"not idempotent, no ticket", post, nil, deskKey, oneTask, nil, 422, notRun, reason.TicketRequired},
		{"same ticket, other tasks", put, r.usedTicket, deskKey, `{"template":"crew-assignment","tasks":[2]}`, nil, 409, unknown, reason.PayloadMismatch},
		{"same ticket, other template", put, r.usedTicket, deskKey, oneCheck, nil, 409, unknown, reason.PayloadMismatch},
		{"same ticket, unknown template", put, r.usedTicket, deskKey, `{"template":"no-such","tasks":[1]}`, nil, 409, unknown, reason.PayloadMismatch},
		{"idempotency key too long", post, nil, deskKey, oneTask, []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, unknown, reason.MalformedRequest},
		{"no such path", post, func() string { return "x/y/z" }, deskKey, oneTask, nil, 404, unknown, reason.MalformedRequest},
		{"no such method", http.MethodPatch, nil, deskKey, oneTask, nil, 405, notRun, reason.MalformedRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := "/v1/submissions"
			if c.token != nil {
				path += "/" + c.token()
			}
			before := r.starts()
			got := r.do(c.method, path, c.key, c.body, c.headers...)
			p := got.problem
			if got.status != c.status || p.Outcome != c.outcome || p.Reason != c.code {
				t.Errorf("got %d %q %q (%s), want %d %q %q", got.status, p.Outcome, p.Reason, p.Detail, c.status, c.outcome, c.code)
			}
			if got.kind != "application/problem+json" || p.Status != got.status || p.Type == "" || p.Title == "" || p.Detail == "" {
				t.Errorf("incomplete problem: %s %+v", got.kind, p)
			}
			if n := r.starts() - before; n != 0 {
				t.Errorf("%d tasks were started", n)
			}
		})
	}
	r.usedTicket()
}

// A request whose body does not arrive within the read timeout is answered with an
// error.
func TestSlowBodyIsRefused(t *testing.T) {
	r := newTestSite(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "PUT /v1/submissions/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", r.freshTicket(), deskKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPut})
	if err != nil {
		t.Fatal(err)
	}
	var p caller.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestTimeout || p.Reason != reason.BodyTooSlow || p.Outcome != reason.Unknown {
		t.Errorf("got %d %+v", resp.StatusCode, p)
	}
	r.usedTicket()
}

// A caller repeats a request with an idempotency key after the answer was lost: the
// repeat attaches to the first request, and the work runs once. Different work under
// the same key is refused. While the store is down, nothing runs under idempotency
// keys, and the outcome is "not run" only if the caller declares that it has not sent
// the key before.
func TestIdempotencyKey(t *testing.T) {
	r := newTestSite(t)
	submit := func(key, body string) reply {
		return r.do(http.MethodPost, "/v1/submissions", deskKey, body, "Idempotency-Key", key)
	}
	first, again := submit("k1", firstTask), submit("k1", oneTask)
	if first.status != http.StatusOK || again.status != http.StatusOK || first.ticket != again.ticket {
		t.Errorf("first %+v, again %+v", first, again)
	}
	r.url = r.site.Endpoints()[1]
	if elsewhere := submit("k1", oneTask); elsewhere.status != http.StatusOK || elsewhere.ticket != first.ticket {
		t.Errorf("at another entry VM: %+v", elsewhere)
	}
	if n := r.starts(); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
	if other := submit("k1", `{"template":"crew-assignment","tasks":[2]}`); other.problem.Reason != reason.PayloadMismatch {
		t.Errorf("other work: %+v", other)
	}
	if second := submit("k2", oneTask); second.status != http.StatusOK || second.ticket == first.ticket {
		t.Errorf("another key: %+v", second)
	}
	tooMany := manyTasks(9)
	for body, outcome := range map[string]reason.Outcome{tooMany: reason.NotRun, strings.Replace(tooMany, "true", "false", 1): reason.Unknown} {
		if p := submit("k-"+string(outcome), body).problem; p.Reason != reason.TooManyTasks || p.Outcome != outcome {
			t.Errorf("refused under a new key: %+v, want %s", p, outcome)
		}
	}
	r.site.Platform.SetFaults(platform.Faults{Outage: true})
	for body, outcome := range map[string]reason.Outcome{firstTask: reason.NotRun, oneTask: reason.Unknown} {
		p := submit("k3", body).problem
		if p.Status != http.StatusServiceUnavailable || p.Reason != reason.ClaimStoreDown || p.Outcome != outcome || p.RetryAfterMillis == 0 {
			t.Errorf("store out: %+v", p)
		}
	}
	if n := r.starts(); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
	r.usedTicket() // submissions under tickets do not need the store
}

// Guards against callers being refused at each planned stop. After the entry VM has
// become unready, the load balancer goes on sending requests to it until the next
// health check. In that time the entry VM must still accept submissions, but issue no
// tickets, as it would refuse them afterwards.
func TestPlannedStopAcceptsSubmissionsUntilUnreadyIsSeen(t *testing.T) {
	r := newTestSite(t)
	token, vm := r.freshTicket(), r.site.Entries()[0]
	ctx, seen := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.site.StopEntry(ctx, vm)
	}()
	for ready := true; ready; {
		resp, err := http.Get("http://" + vm.VM.OperatorAddress() + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		ready = resp.StatusCode == http.StatusOK
	}
	if got := r.do(http.MethodPut, "/v1/submissions/"+token, deskKey, oneTask); got.status != http.StatusOK {
		t.Errorf("submission before the load balancer has noticed: %+v", got)
	}
	if p := r.do(http.MethodPost, "/v1/tickets", deskKey, `{"count":1}`).problem; p.Reason != reason.Draining || p.Outcome != reason.NotRun {
		t.Errorf("tickets: %+v", p)
	}
	seen()
	<-stopped
}

// The platform's list may lack incarnations, where daemons are started by hand and
// choose their own. Entry VMs then find the home of a ticket by the incarnation that
// their peers report.
func TestListWithoutIncarnations(t *testing.T) {
	r := newTestSite(t)
	entries := r.site.Entries()
	var listed []*pb.VM
	for _, e := range entries {
		listed = append(listed, &pb.VM{Id: e.Name, Role: pb.VMRole_VM_ROLE_ENTRY, Domain: e.Domain, Address: e.VM.PeerAddress()})
	}
	before := entries[1].VM.Status().ListVersion
	r.site.Platform.SetVMs(listed)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for st := entries[1].VM.Status(); st.ListVersion == before || len(st.Peers) == 0; st = entries[1].VM.Status() {
		if ctx.Err() != nil {
			t.Fatalf("no peer is connected under the new list: %+v", st)
		}
		runtime.Gosched()
	}
	token := r.freshTicket()
	r.url = r.site.Endpoints()[1]
	ask := func() reply {
		return r.do(http.MethodPut, "/v1/submissions/"+token, deskKey, `{"template":"no-such","tasks":[1],"first":true}`)
	}
	got := ask()
	// The new list takes effect shortly before the link that was opened under the
	// old one is replaced. Until then the home is unreachable and the outcome is
	// "unknown".
	for got.problem.Outcome == reason.Unknown && ctx.Err() == nil {
		runtime.Gosched()
		got = ask()
	}
	if got.problem.Outcome != reason.NotRun || got.problem.Reason != reason.UnknownTemplate {
		t.Errorf("got %+v, want the answer of the ticket's home", got)
	}
}
