// Package metrics counts and measures what an entry VM does, per client account
// and template, and serves the figures in the usual scrape format.
//
// Labels come from the configuration document only, so their number is bounded
// by it.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// metricsInterval is how often counters are handed to the scrape registry.
const reportEvery = time.Second

// Buckets of the time histograms, in seconds, and of task counts.
var (
	timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	sizeBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 11)
)

// Metrics holds one entry VM's figures. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct{ account, template string }

// series are the figures of one account's use of one template.
type series struct {
	queueTime   tally.Histogram
	serviceTime tally.Histogram
	response    tally.Histogram
	tasks       tally.Histogram
	milliwatts  tally.Histogram
	started     tally.Counter
	outcomes    [outcomes]tally.Counter
}

// New returns metrics labelled with the entry VM's name.
func New(entryVM string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pumiceyard",
		Tags:           map[string]string{"entry_vm": entryVM},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportEvery)
	return &Metrics{scope: scope, closer: closer, registry: registry, series: make(map[seriesKey]*series)}
}

// Close stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler serves the scrape format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) of(account, template string) *series {
	key := seriesKey{account, template}
	m.mu.RLock()
	s := m.series[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s = m.series[key]; s == nil {
		s = m.newSeries(key)
		m.series[key] = s
	}
	return s
}

func (m *Metrics) newSeries(key seriesKey) *series {
	scope := m.scope.Tagged(map[string]string{"account": key.account, "template": key.template})
	s := &series{
		queueTime:   scope.Histogram("task_queue_seconds", timeBuckets),
		serviceTime: scope.Histogram("task_service_seconds", timeBuckets),
		response:    scope.Histogram("submission_response_seconds", timeBuckets),
		tasks:       scope.Histogram("submission_tasks", sizeBuckets),
		milliwatts:  scope.Histogram("task_milliwatts", tally.MustMakeExponentialValueBuckets(500, 2, 10)),
		started:     scope.Counter("tasks_started_total"),
	}
	for state, name := range outcomeNames {
		s.outcomes[state] = scope.Tagged(map[string]string{"outcome": name}).Counter("tasks_ended_total")
	}
	return s
}

const outcomes = int(pb.TaskState_TASK_STATE_DISCARDED) + 1

var outcomeNames = map[pb.TaskState]string{
	pb.TaskState_TASK_STATE_DONE:      "done",
	pb.TaskState_TASK_STATE_FAILED:    "failed",
	pb.TaskState_TASK_STATE_STOPPED:   "stopped",
	pb.TaskState_TASK_STATE_NOT_RUN:   "not_run",
	pb.TaskState_TASK_STATE_LOST:      "lost",
	pb.TaskState_TASK_STATE_DISCARDED: "discarded",
}

// Started counts tasks sent to workers.
func (m *Metrics) Started(account, template string, tasks int, waited time.Duration) {
	s := m.of(account, template)
	s.started.Inc(int64(tasks))
	s.queueTime.RecordDuration(waited)
}

// Ended counts one task's end.
func (m *Metrics) Ended(account, template, _ string, r *pb.TaskResult) {
	s := m.of(account, template)
	if c := s.outcomes[r.State]; c != nil {
		c.Inc(1)
	}
	if r.State == pb.TaskState_TASK_STATE_DONE {
		s.serviceTime.RecordDuration(time.Duration(r.RunMicros) * time.Microsecond)
		s.milliwatts.RecordValue(float64(r.Milliwatts))
	}
}

// Answered counts one submission's final answer.
func (m *Metrics) Answered(account, template string, a *job.Answer, tasks int, took time.Duration) {
	s := m.of(account, template)
	s.response.RecordDuration(took)
	s.tasks.RecordValue(float64(tasks))
	m.scope.Tagged(map[string]string{
		"account":  account,
		"template": template,
		"outcome":  string(a.Outcome),
		"reason":   string(a.Reason),
	}).Counter("submissions_answered_total").Inc(1)
}
