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

// slowSite answers submissions after runTime and sends heartbeats until then. The first
// silentPuts submissions get neither.
type slowSite struct {
	*fakeSite
	runTime    time.Duration
	silentPuts int
	received   int
}

func (s *slowSite) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodPut {
		return s.fakeSite.RoundTrip(r)
	}
	s.received++
	resp, err := s.fakeSite.RoundTrip(r)
	if s.received <= s.silentPuts {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	trace := httptrace.ContextClientTrace(r.Context())
	for range int(s.runTime / time.Second) {
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-time.After(time.Second):
			_ = trace.Got1xxResponse(http.StatusProcessing, nil)
		}
	}
	return resp, err
}

// The connection goes silent for good after the submission, and the job ends. Without
// heartbeats the SDK cannot tell a silent connection from a long job, and the caller waits
// on although its job was answered. The SDK has to ask for the job under the same ticket at
// another endpoint, but not for a long job whose heartbeats arrive.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, silentPuts := range map[string]int{"heartbeats": 0, "silence": 1} {
		synctest.Test(t, func(t *testing.T) {
			site := &slowSite{fakeSite: &fakeSite{answer: func(int, put) (string, error) {
				return `{"outcome":"complete","outputs":[1],"revision":1}`, nil
			}}, runTime: 20 * time.Second, silentPuts: silentPuts}
			c, err := client.New(client.Options{Endpoints: []string{"http://e1", "http://e2"}, Key: "k", HTTP: &http.Client{Transport: site}})
			if err != nil {
				t.Fatal(err)
			}
			a, err := c.Submit(t.Context(), client.Job{Template: "check", Tasks: []json.RawMessage{json.RawMessage("1")}})
			if err != nil || a.Outcome != client.Complete || a.Sent != silentPuts+1 {
				t.Fatalf("%s: %+v, %v", name, a, err)
			}
			if last := site.puts[len(site.puts)-1]; silentPuts > 0 && (last.ticket != site.puts[0].ticket || last.endpoint == site.puts[0].endpoint || last.first) {
				t.Errorf("%s: asked again with %+v after %+v", name, last, site.puts[0])
			}
			synctest.Wait()
		})
	}
}
