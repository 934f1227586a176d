package submissions_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/connection/submissions"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/vm"
)

// fakeEntry returns fixed answers and records the last submission.
type fakeEntry struct {
	catalog  *catalog.Catalog
	outcome  vm.Outcome
	state    submission.State
	err      error
	received *submission.Record
}

func (e *fakeEntry) Catalog() *catalog.Catalog { return e.catalog }

func (e *fakeEntry) Submit(_ context.Context, r *submission.Record) vm.Outcome {
	e.received = r
	return e.outcome
}

func (e *fakeEntry) State(context.Context, submission.ID) (submission.State, error) {
	return e.state, e.err
}

func (e *fakeEntry) Cancel(context.Context, submission.ID) (submission.State, error) {
	return e.state, e.err
}

func (e *fakeEntry) Waiting(context.Context, string) (int, error) { return 7, e.err }

func newEntry() *fakeEntry {
	return &fakeEntry{catalog: &catalog.Catalog{Queues: []catalog.Queue{{Name: "q", Terms: submission.Terms{Service: "desk", Attempts: 2}}}}}
}

func serve(t *testing.T, e submissions.Entry) string {
	t.Helper()
	path, h := submissions.Handler(e)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

func work(key string) client.Work {
	return client.Work{Queue: "q", Key: key, Spec: "s", Steps: []client.WorkStep{
		{Count: 2, CPUMilli: 500, Estimate: 40 * time.Millisecond},
		{Count: 1, DependsOn: []uint32{0}},
	}}
}

func TestSubmissionReachesEntryVMUnchanged(t *testing.T) {
	e := newEntry()
	k, err := client.NewKeptClient(serve(t, e))
	if err != nil {
		t.Fatal(err)
	}
	state, err := k.Submit(t.Context(), work("a-1"))
	if err != nil || state != client.StateQueued {
		t.Fatalf("%s, %v", state, err)
	}
	r := e.received
	if r.ID != "a-1" || r.Queue != "q" || r.TaskCount() != 3 || r.Terms.Service != "desk" || r.Steps[0].Estimate != 40*time.Millisecond || len(r.Steps[1].DependsOn) != 1 {
		t.Errorf("the entry VM received %+v", r)
	}
	if n, err := k.Waiting(t.Context(), "q"); n != 7 || err != nil {
		t.Errorf("%d submissions wait (%v), want 7", n, err)
	}
}

func TestInvalidSubmissionIsRejected(t *testing.T) {
	e := newEntry()
	k, err := client.NewKeptClient(serve(t, e))
	if err != nil {
		t.Fatal(err)
	}
	cyclic := work("b")
	cyclic.Steps[0].DependsOn = []uint32{1}
	unknownQueue := work("b")
	unknownQueue.Queue = "none"
	for name, w := range map[string]client.Work{"key": work("a b"), "empty": {Queue: "q", Key: "b"}, "circle": cyclic, "queue": unknownQueue} {
		if _, err := k.Submit(t.Context(), w); err == nil {
			t.Errorf("a submission with an invalid %s was accepted", name)
		}
	}
	if e.received != nil {
		t.Error("an invalid submission reached the entry VM")
	}
}

// Guards against a client that takes a refusal for an unknown outcome. A refusal
// means that nothing has run, and says when to retry.
func TestRefusalHasRetryAfter(t *testing.T) {
	e := newEntry()
	e.outcome = vm.Outcome{Kind: vm.Refused, RetryAfter: 1500 * time.Millisecond, Reason: "no room"}
	k, err := client.NewKeptClient(serve(t, e))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	_, err = k.Submit(ctx, work("a"))
	var refused *client.NotRunError
	if !errors.As(err, &refused) || refused.RetryAfter != 2*time.Second {
		t.Errorf("got error %v, want a NotRunError with a retry after 2 s", err)
	}
}

// If one VM does not answer, the client asks the next one.
func TestClientFallsBackToNextVM(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	e := newEntry()
	e.state = submission.Done
	k, err := client.NewKeptClient(dead.URL, serve(t, e))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := k.Wait(t.Context(), "a"); s != client.StateDone || err != nil {
		t.Errorf("state %s, error %v", s, err)
	}
}
