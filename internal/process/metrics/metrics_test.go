package metrics

import (
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Every metric that is served is in docs/METRICS.md, and no other.
func TestEveryMetricIsDocumented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("e1")
		defer m.Close()
		m.Started("desk", "quote", 1, time.Millisecond)
		m.Ended("desk", "quote", "w1", &pb.TaskResult{State: pb.TaskState_TASK_STATE_DONE, RunMicros: 1000, Milliwatts: 2000})
		m.Answered("desk", "quote", &job.Answer{Outcome: reason.Complete}, 1, time.Millisecond)
		time.Sleep(2 * reportEvery)
		scrape := httptest.NewRecorder()
		m.Handler().ServeHTTP(scrape, httptest.NewRequest("GET", "/metrics", nil))
		served := names(`(?m)^# TYPE (pumiceyard_\w+)`, scrape.Body.String())
		page, err := os.ReadFile("../../../docs/METRICS.md")
		if err != nil {
			t.Fatal(err)
		}
		if documented := names("(?m)^\\| `(pumiceyard_\\w+)`", string(page)); len(served) == 0 || !slices.Equal(served, documented) {
			t.Errorf("served\n%q\ndocumented\n%q", served, documented)
		}
	})
}

// names returns the first group of each match, sorted.
func names(pattern, text string) []string {
	var out []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, match[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}
