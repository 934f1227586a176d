package client_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
)

// waiting answers submissions after a while. Silent ones get nothing at all, the
// others heartbeats.
type waiting struct {
	*fakeSite
	takes  time.Duration
	silent int // submissions that stay silent
	seen   int
}

func (s *waiting) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodPut {
		return s.fakeSite.RoundTrip(r)
	}
	s.seen++
	resp, err := s.fakeSite.RoundTrip(r)
	if s.seen <= s.silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	trace := httptrace.ContextClientTrace(r.Context())
	for range int(s.takes / time.Second) {
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-time.After(time.Second):
			_ = trace.Got1xxResponse(http.StatusProcessing, nil)
		}
	}
	return resp, err
}

// Symptom: a caller waits on although its job was answered. Sequence: the
// connection goes silent for good after the submission; the job ends. Cause: the
// SDK could not tell a silent connection from a long job. The job is asked for
// under the same ticket on another endpoint; a long job with heartbeats is not.
func TestSilentConnectionIsLeft(t *testing.T) {
	for name, silent := range map[string]int{"heartbeats": 0, "silence": 1} {
		synctest.Test(t, func(t *testing.T) {
			site := &waiting{fakeSite: &fakeSite{answer: func(int, put) (string, error) {
				return `{"outcome":"complete","outputs":[1],"revision":1}`, nil
			}}, takes: 20 * time.Second, silent: silent}
			c, err := client.New(client.Options{Endpoints: []string{"http://e1", "http://e2"}, Key: "k", HTTP: &http.Client{Transport: site}})
			if err != nil {
				t.Fatal(err)
			}
			a, err := c.Submit(t.Context(), client.Job{Template: "check", Tasks: []json.RawMessage{json.RawMessage("1")}})
			if err != nil || a.Outcome != client.Complete || a.Sent != silent+1 {
				t.Fatalf("%s: %+v, %v", name, a, err)
			}
			if last := site.puts[len(site.puts)-1]; silent > 0 && (last.ticket != site.puts[0].ticket || last.endpoint == site.puts[0].endpoint || last.first) {
				t.Errorf("%s: asked again with %+v after %+v", name, last, site.puts[0])
			}
			synctest.Wait()
		})
	}
}
