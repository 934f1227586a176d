package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// statuses keeps every status that is written.
type statuses struct {
	http.ResponseWriter
	written []int
}

func (s *statuses) WriteHeader(status int) { s.written = append(s.written, status) }

// A caller that asked for heartbeats gets one at each beat until its answer; one
// that did not gets none, since its HTTP client may take them for the answer.
func TestHeartbeatsOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{settings: Defaults()}
		for header, want := range map[string]int{"1": 3, "": 0} {
			w := &statuses{ResponseWriter: httptest.NewRecorder()}
			r := httptest.NewRequest(http.MethodPut, "/", nil)
			r.Header.Set(heartbeatHeader, header)
			s.wait(w, r, func() *job.Answer {
				time.Sleep(3*s.settings.HeartbeatInterval + s.settings.HeartbeatInterval/2)
				return &job.Answer{}
			})
			if len(w.written) != want {
				t.Errorf("header %q: wrote %v, want %d heartbeats", header, w.written, want)
			}
		}
	})
}
