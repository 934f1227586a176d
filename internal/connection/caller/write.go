package caller

import (
	"net/http"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// limitWriteTime limits how long a caller may take to read an answer. The time
// starts with the first write, so waiting for the answer does not count.
//
// Without the limit, a caller that stops reading or loses its connection in the
// middle of a large answer keeps a goroutine and the answer in memory until the
// kernel gives up many minutes later, and both accumulate.
func (s *Server) limitWriteTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A reused connection still has the deadline of the previous answer.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, timeout: s.settings.WriteTimeout}, r)
	})
}

// deadlineWriter sets the write deadline at the first write of an answer.
type deadlineWriter struct {
	http.ResponseWriter
	timeout time.Duration
	started bool
}

// Unwrap gives http.ResponseController access to the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *deadlineWriter) WriteHeader(status int) {
	w.startDeadline()
	w.ResponseWriter.WriteHeader(status)
	// A heartbeat (1xx) does not count as the start of the answer, so the next
	// write sets a new deadline.
	w.started = status >= http.StatusOK
}

func (w *deadlineWriter) Write(b []byte) (int, error) {
	w.startDeadline()
	return w.ResponseWriter.Write(b)
}

// startDeadline sets the write deadline unless it is set already.
func (w *deadlineWriter) startDeadline() {
	if w.started {
		return
	}
	w.started = true
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// heartbeatHeader is the request header that enables heartbeats.
const heartbeatHeader = "Pumiceyard-Heartbeat"

// awaitAnswer runs f, which waits for an answer, and sends heartbeats in the
// meantime if the caller requested them.
//
// Without heartbeats, a caller hangs if a device between it and the entry VM
// drops the connection's state: neither end notices, and the answer to the job
// never arrives. A caller that misses heartbeats retries on a new connection.
func (s *Server) awaitAnswer(w http.ResponseWriter, r *http.Request, f func() *job.Answer) *job.Answer {
	if r.Header.Get(heartbeatHeader) == "" {
		return f()
	}
	answer := make(chan *job.Answer, 1)
	go func() { answer <- f() }()
	heartbeats := time.NewTicker(s.settings.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		select {
		case a := <-answer:
			return a
		case <-heartbeats.C:
			w.WriteHeader(http.StatusProcessing)
		}
	}
}
