package caller

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/router"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// fixedRouter returns the same answer for every submission.
type fixedRouter struct{ answer *job.Answer }

func (fixedRouter) Mint(string) (ticket.Ticket, string)                      { return ticket.Ticket{}, "t" }
func (fixedRouter) Leaving() bool                                            { return false }
func (fixedRouter) Parse(string, string) (ticket.Ticket, *ticket.Error)      { return ticket.Ticket{}, nil }
func (f fixedRouter) Submit(context.Context, router.Request) *job.Answer     { return f.answer }
func (fixedRouter) Cancel(context.Context, string, ticket.Ticket, bool) bool { return false }
func (f fixedRouter) Attach(context.Context, string, ticket.Ticket, bool) *job.Answer {
	return f.answer
}

// Guards against goroutines and memory that pile up in an entry VM: a caller
// requests a large answer and does not read it, and the write has no deadline.
func TestConnectionOfNonReadingCallerIsClosed(t *testing.T) {
	const outputBytes = 24 << 20 // more than the sockets' buffers hold
	answer := &job.Answer{Outcome: reason.Complete, Outputs: [][]byte{append(bytes.Repeat([]byte("1"), outputBytes), ' ')}}
	doc := &document.Document{Accounts: []document.Account{{Name: "desk", KeyHashes: []string{document.KeyHash("k")}}}}
	s := Defaults()
	s.WriteTimeout = 100 * time.Millisecond
	handler := NewServer(s, fixedRouter{answer}, nil, func() *document.Document { return doc }, nil).Handler()
	returned := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		close(returned)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET /v1/submissions/t HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n\r\n")
	select {
	case <-returned:
	case <-time.After(20 * time.Second):
		t.Error("the handler is still writing to a caller that does not read")
	}
}
