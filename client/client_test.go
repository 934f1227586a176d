package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
)

// put is one submission that reached an entry VM.
type put struct {
	endpoint, ticket string
	first            bool
}

// fakeSite simulates the entry VMs. answer returns the response to the n-th submission,
// counted from 0.
type fakeSite struct {
	answer func(n int, p put) (string, error)

	mu      sync.Mutex
	batches int
	minted  int
	puts    []put
}

var errBroken = errors.New("connection reset")

// RoundTrip makes fakeSite a transport without sockets, which synctest bubbles need.
func (s *fakeSite) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	text, err := s.serve(r, body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
}

// ServeHTTP makes fakeSite a server. If answer returns an error, the connection is closed.
func (s *fakeSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	text, err := s.serve(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *fakeSite) serve(r *http.Request, body []byte) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/tickets" {
		return s.mint(body), nil
	}
	var sent struct{ First bool }
	if err := json.Unmarshal(body, &sent); err != nil {
		return "", err
	}
	p := put{r.Host, strings.TrimPrefix(r.URL.Path, "/v1/submissions/"), sent.First}
	s.puts = append(s.puts, p)
	return s.answer(len(s.puts)-1, p)
}

func (s *fakeSite) mint(body []byte) string {
	var want struct{ Count int }
	_ = json.Unmarshal(body, &want)
	s.batches++
	var tickets []string
	for range want.Count {
		s.minted++
		expiry := time.Now().Add(10 * time.Minute).UnixMilli()
		tickets = append(tickets, fmt.Sprintf(`{"ticket":"t%d","expiry_unix_millis":%d}`, s.minted, expiry))
	}
	return `{"tickets":[` + strings.Join(tickets, ",") + `]}`
}

const (
	done     = `{"outcome":"complete","outputs":[1],"revision":7}`
	failed   = `{"outcome":"failed","reason":"task_failed","detail":"no","retry_after_millis":1000}`
	unknown  = `{"outcome":"unknown","reason":"worker_gone","detail":"gone","retry_after_millis":1000}`
	busy     = `{"outcome":"not_run","reason":"queue_full","detail":"full","retry_after_millis":1000}`
	refused  = `{"outcome":"not_run","reason":"never_fits","detail":"too large"}`
	stopping = `{"outcome":"not_run","reason":"draining","detail":"stopping","retry_after_millis":100}`
	passing  = `{"outcome":"unknown","reason":"home_unreachable","detail":"wait"}`
	partial  = `{"outcome":"complete","outputs":[]}`
	cutShort = `{"outcome":"complete","outputs":[1`
)

func always(text string) func(int, put) (string, error) {
	return func(int, put) (string, error) { return text, nil }
}

// script returns one answer after the other; an empty text breaks the connection.
func script(texts ...string) func(int, put) (string, error) {
	return func(n int, _ put) (string, error) {
		if texts[n] == "" {
			return "", errBroken
		}
		return texts[n], nil
	}
}

func newClient(t *testing.T, s *fakeSite, opt client.Options) *client.Client {
	t.Helper()
	if opt.HTTP == nil {
		opt.HTTP = &http.Client{Transport: s}
		opt.Endpoints = []string{"http://a", "http://b"}
	}
	c, err := client.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var oneTask = client.Job{Template: "quote", Tasks: []json.RawMessage{json.RawMessage("1")}}

// Tickets are fetched in batches before their jobs, and each job gets its own ticket.
func TestPrefetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSite{answer: always(done)}
		c := newClient(t, s, client.Options{Prefetch: 8})
		const jobs = 48
		used := make(map[string]bool)
		for range jobs {
			a, err := c.Submit(t.Context(), oneTask)
			if err != nil || a.Sent != 1 {
				t.Fatalf("%+v, %v", a, err)
			}
			used[a.Ticket] = true
			synctest.Wait() // until a refill has ended
		}
		if len(used) != jobs {
			t.Errorf("%d tickets for %d jobs", len(used), jobs)
		}
		if most := jobs/8 + 2; s.batches > most {
			t.Errorf("%d requests for tickets, want at most %d", s.batches, most)
		}
	})
}

// The connection breaks after the job was accepted, and the SDK asks again. Under a new
// ticket the job would run twice; it has to use the same ticket at another endpoint.
func TestBrokenConnectionAttachesAgain(t *testing.T) {
	s := &fakeSite{answer: script("", done)}
	a, b := httptest.NewServer(s), httptest.NewServer(s)
	defer a.Close()
	defer b.Close()
	c := newClient(t, s, client.Options{HTTP: &http.Client{}, Endpoints: []string{a.URL, b.URL}})
	got, err := c.Submit(t.Context(), oneTask)
	if err != nil || got.Outcome != client.Complete || got.Sent != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	first, again := s.puts[0], s.puts[1]
	if first.ticket != again.ticket || first.endpoint == again.endpoint {
		t.Errorf("first %+v, again %+v: want the same ticket elsewhere", first, again)
	}
	if !first.first || again.first {
		t.Errorf("first %+v, again %+v: only the first request may have first set", first, again)
	}
}

// Every answer has a typed outcome. The SDK asks again under the same ticket after a
// temporary or truncated answer. A job that may have run never gets a new ticket.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		outcome client.Outcome
		reason  string
		tickets int
	}{
		{"complete", []string{done}, client.Complete, "", 1},
		{"failed", []string{failed}, client.Failed, "task_failed", 1},
		{"unknown", []string{unknown}, client.Unknown, "worker_gone", 1},
		{"not run, for good", []string{refused}, client.NotRun, "never_fits", 1},
		{"not run, for now", []string{busy, done}, client.Complete, "", 2},
		{"not run, again and again", []string{busy, busy, busy}, client.NotRun, "queue_full", 3},
		{"not run, then failed", []string{busy, failed}, client.Failed, "task_failed", 2},
		{"not run, entry VM stops", []string{stopping, done}, client.Complete, "", 2},
		{"not run, all entry VMs stop", []string{stopping, stopping}, client.NotRun, "draining", 2},
		{"unknown in passing", []string{passing, passing, done}, client.Complete, "", 1},
		{"broken, then not run", []string{"", busy, done}, client.Complete, "", 2},
		{"cut short", []string{cutShort, done}, client.Complete, "", 1},
		{"partial", []string{partial, done}, client.Complete, "", 1},
		{"without an outcome", []string{`{}`, done}, client.Complete, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSite{answer: script(c.answers...)}
				start := time.Now()
				a, err := newClient(t, s, client.Options{NotRunRetries: 2}).Submit(t.Context(), oneTask)
				if err != nil || a.Outcome != c.outcome || a.Reason != c.reason || a.Sent != len(c.answers) {
					t.Fatalf("%+v, %v", a, err)
				}
				tickets := make(map[string]bool)
				for _, p := range s.puts {
					if p.first == tickets[p.ticket] {
						t.Errorf("%+v: first has to be set on the first request of a ticket only", p)
					}
					tickets[p.ticket] = true
				}
				if len(tickets) != c.tickets {
					t.Errorf("%d tickets, want %d: %+v", len(tickets), c.tickets, s.puts)
				}
				if asked := strings.Count(strings.Join(c.answers[:len(c.answers)-1], ""), busy); time.Since(start) < time.Duration(asked)*time.Second/2 {
					t.Errorf("the retries ended after %s, the site asked %d times for a delay of at least half a second", time.Since(start), asked)
				}
				if (a.Outcome == client.Complete) != (len(a.Outputs) == 1) {
					t.Errorf("outputs %s with %s", a.Outputs, a.Outcome)
				}
			})
		})
	}
}

// Without an answer before the context ends, the caller gets an error that says that the
// outcome is not known and names the one ticket that was used. Resume works with it.
func TestUnresolvedThenResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSite{answer: func(int, put) (string, error) { return "", errBroken }}
		c := newClient(t, s, client.Options{NotRunRetries: 5})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := c.Submit(ctx, oneTask)
		var unresolved *client.UnresolvedError
		if !errors.As(err, &unresolved) || !errors.Is(err, errBroken) {
			t.Fatalf("got %v", err)
		}
		if len(s.puts) < 10 {
			t.Errorf("asked %d times in 20 s", len(s.puts))
		}
		s.answer = always(done)
		a, err := c.Resume(t.Context(), unresolved.Ticket, oneTask)
		if err != nil || a.Outcome != client.Complete {
			t.Fatalf("%+v, %v", a, err)
		}
		for i, p := range s.puts {
			if p.ticket != unresolved.Ticket || p.first != (i == 0) {
				t.Errorf("request %d: %+v", i, p)
			}
		}
	})
}

// Without a ticket nothing is submitted, and the error says why there was none.
func TestNoTicket(t *testing.T) {
	s := &fakeSite{}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"outcome":"not_run","reason":"wrong_key","detail":"the key belongs to no client account"}`)
	}
	server := httptest.NewServer(http.HandlerFunc(refuse))
	defer server.Close()
	c := newClient(t, s, client.Options{HTTP: &http.Client{}, Endpoints: []string{server.URL}})
	_, err := c.Submit(t.Context(), oneTask)
	var none *client.NoTicketError
	var why *client.RefusedError
	if !errors.As(err, &none) || !errors.As(err, &why) || why.Reason != "wrong_key" {
		t.Errorf("got %v", err)
	}
	if err := c.Cancel(t.Context(), "t1"); !errors.As(err, &why) {
		t.Errorf("cancel: %v", err)
	}
}
