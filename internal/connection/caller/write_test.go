package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// statusRecorder records every status code that is written.
type statusRecorder struct {
	http.ResponseWriter
	written []int
}

func (s *statusRecorder) WriteHeader(status int) { s.written = append(s.written, status) }

// A caller that requested heartbeats gets one per interval until its answer. Other
// callers get none, because their HTTP client may take a heartbeat for the answer.
func TestHeartbeatsOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{settings: Defaults()}
		for header, want := range map[string]int{"1": 3, "": 0} {
			w := &statusRecorder{ResponseWriter: httptest.NewRecorder()}
			r := httptest.NewRequest(http.MethodPut, "/", nil)
			r.Header.Set(heartbeatHeader, header)
			s.awaitAnswer(w, r, func() *job.Answer {
				time.Sleep(3*s.settings.HeartbeatInterval + s.settings.HeartbeatInterval/2)
				return &job.Answer{}
			})
			if len(w.written) != want {
				t.Errorf("header %q: wrote %v, want %d heartbeats", header, w.written, want)
			}
		}
	})
}
