package caller

import (
	"net/http"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// boundWrites bounds the time for which a caller may take to read an answer.
//
// What goes wrong otherwise: a caller stops reading, or its connection goes
// silent, in the middle of a large answer; its goroutine and the answer stay
// until the kernel gives up after many minutes, and one would see both grow. The
// wait for the answer does not count: the time starts with the first write.
func (s *Server) boundWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A connection that is used again still has the last answer's deadline.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		next.ServeHTTP(&boundedWriter{ResponseWriter: w, timeout: s.settings.WriteTimeout}, r)
	})
}

// boundedWriter starts the write deadline with the first write.
type boundedWriter struct {
	http.ResponseWriter
	timeout time.Duration
	started bool
}

// Unwrap lets http.ResponseController find the connection.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *boundedWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
	// The time for the answer itself starts anew after a heartbeat.
	w.started = status >= http.StatusOK
}

func (w *boundedWriter) Write(b []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

func (w *boundedWriter) start() {
	if w.started {
		return
	}
	w.started = true
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// heartbeatHeader is sent by callers that want heartbeats while they wait.
const heartbeatHeader = "Pumiceyard-Heartbeat"

// wait runs f, which waits for an answer, and sends heartbeats meanwhile to a
// caller that asked for them.
//
// What goes wrong otherwise: something between caller and entry VM loses track of
// the connection, and both ends wait on it for good; the caller's job is answered,
// and one would see its caller hang. A caller that misses heartbeats asks again on
// a new connection.
func (s *Server) wait(w http.ResponseWriter, r *http.Request, f func() *job.Answer) *job.Answer {
	if r.Header.Get(heartbeatHeader) == "" {
		return f()
	}
	answer := make(chan *job.Answer, 1)
	go func() { answer <- f() }()
	beats := time.NewTicker(s.settings.HeartbeatInterval)
	defer beats.Stop()
	for {
		select {
		case a := <-answer:
			return a
		case <-beats.C:
			w.WriteHeader(http.StatusProcessing)
		}
	}
}
