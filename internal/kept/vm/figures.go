package vm

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

const metricsInterval = time.Second // between counters and the scrape registry

// timeBuckets spread from a millisecond to half a minute.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// figures counts what an entry VM does. Queues, reasons and outcomes are few and known,
// so the number of series is bounded. The engine alone counts by queue; counters without
// labels may be used from any goroutine.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	queues   map[string]*queueMetrics
	shards   map[string]*shardMetrics

	starts           map[string]tally.Counter // by the worker's answer
	ends             map[string]tally.Counter // of runs, by how
	shardsTaken      tally.Counter
	shardsLost       tally.Counter
	adopted          tally.Counter
	resumed          tally.Counter
	peersLost        tally.Counter
	workersLost      tally.Counter
	workersRestarted tally.Counter          // that started again under their ID
	storeCalls       map[bool]tally.Counter // answered or not
	heldShards       tally.Gauge
	heldWorkers      tally.Gauge
	openSubmissions  tally.Gauge
	droppedEvents    tally.Counter
	evacuated        map[string]tally.Gauge   // by failure domain: 1 while nothing may start there
	sentAway         tally.Counter            // tasks and stored submissions, from evacuated domains
	tasksGivenUp     tally.Counter            // as the workers that start them are lost
	lostTasks        map[string]tally.Counter // tasks whose worker was lost, by what it says of them
}

// queueMetrics are those of one queue.
type queueMetrics struct {
	taken      tally.Counter
	firstStart tally.Histogram // from the holder's knowledge to the first start
	response   tally.Histogram // from the caller's request to its answer
	stored     tally.Histogram // from the caller's request to the record in the store
	outcomes   map[string]tally.Counter
	scope      tally.Scope
}

func newMetrics(entryVM string) *metrics {
	registry := prometheus.NewRegistry()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pumiceyard_kept",
		Tags:   map[string]string{"entry_vm": entryVM},
		CachedReporter: tallyprom.NewReporter(tallyprom.Options{
			Registerer:       registry,
			DefaultTimerType: tallyprom.HistogramTimerType,
		}),
		Separator: tallyprom.DefaultSeparator,
	}, metricsInterval)
	f := &metrics{
		scope:            scope,
		closer:           closer,
		registry:         registry,
		queues:           make(map[string]*queueMetrics),
		shards:           make(map[string]*shardMetrics),
		starts:           make(map[string]tally.Counter),
		ends:             make(map[string]tally.Counter),
		shardsTaken:      scope.Counter("shards_taken_total"),
		shardsLost:       scope.Counter("shards_lost_total"),
		adopted:          scope.Counter("submissions_adopted_total"),
		resumed:          scope.Counter("submissions_resumed_total"),
		peersLost:        scope.Counter("peers_lost_total"),
		workersLost:      scope.Counter("workers_lost_total"),
		workersRestarted: scope.Counter("workers_restarted_total"),
		heldShards:       scope.Gauge("shards_held"),
		heldWorkers:      scope.Gauge("workers_held"),
		openSubmissions:  scope.Gauge("submissions_open"),
		droppedEvents:    scope.Counter("events_dropped_total"),
		evacuated:        make(map[string]tally.Gauge),
		sentAway:         scope.Counter("sent_away_total"),
		tasksGivenUp:     scope.Counter("tasks_given_up_total"),
		lostTasks:        make(map[string]tally.Counter),
	}
	f.storeCalls = map[bool]tally.Counter{
		true:  scope.Tagged(map[string]string{"answered": "true"}).Counter("store_calls_total"),
		false: scope.Tagged(map[string]string{"answered": "false"}).Counter("store_calls_total"),
	}
	return f
}

func (f *metrics) close() { _ = f.closer.Close() }

func (f *metrics) handler() http.Handler {
	return promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{})
}

func (f *metrics) queue(name string) *queueMetrics {
	q := f.queues[name]
	if q == nil {
		scope := f.scope.Tagged(map[string]string{"queue": name})
		q = &queueMetrics{
			taken:      scope.Counter("submissions_taken_total"),
			firstStart: scope.Histogram("first_start_seconds", timeBuckets),
			response:   scope.Histogram("response_seconds", timeBuckets),
			stored:     scope.Histogram("stored_seconds", timeBuckets),
			outcomes:   make(map[string]tally.Counter),
			scope:      scope,
		}
		f.queues[name] = q
	}
	return q
}

// shardMetrics are those of a shard that this VM holds, or held: all 0.
type shardMetrics struct {
	workers, room, free, queued tally.Gauge
}

func (f *metrics) shard(name string) *shardMetrics {
	s := f.shards[name]
	if s == nil {
		scope := f.scope.Tagged(map[string]string{"shard": name})
		s = &shardMetrics{
			workers: scope.Gauge("shard_workers"),
			room:    scope.Gauge("shard_room_cores"),
			free:    scope.Gauge("shard_free_cores"),
			queued:  scope.Gauge("shard_queued_cores"),
		}
		f.shards[name] = s
	}
	return s
}

// set shows the workers of a shard and their room.
func (s *shardMetrics) set(workers int, l *shard.Load) {
	var free int64
	for _, milli := range l.FreeMilli {
		free += milli
	}
	s.workers.Update(float64(workers))
	s.room.Update(float64(l.CapacityMilli) / submission.MilliPerCore)
	s.free.Update(float64(free) / submission.MilliPerCore)
	queued, _ := l.QueuedAhead(0, true)
	s.queued.Update(float64(queued) / submission.MilliPerCore)
}

// ended counts a submission's answer: done, failed, refused, given_up or abandoned.
func (q *queueMetrics) countEnd(outcome string, took time.Duration) {
	count(q.outcomes, q.scope, "submissions_ended_total", "outcome", outcome)
	q.response.RecordDuration(took)
}

// setEvacuated shows whether anything may start in a failure domain.
func (f *metrics) setEvacuated(domain string, evacuated bool) {
	g := f.evacuated[domain]
	if g == nil {
		g = f.scope.Tagged(map[string]string{"domain": domain}).Gauge("domain_evacuated")
		f.evacuated[domain] = g
	}
	if evacuated {
		g.Update(1)
		return
	}
	g.Update(0)
}

// start counts a worker's answer to a start.
func (f *metrics) countStart(answer string) {
	count(f.starts, f.scope, "starts_total", "answer", answer)
}

// end counts the end of a run.
func (f *metrics) countRunEnd(how string) { count(f.ends, f.scope, "runs_ended_total", "how", how) }

// countLostTasks counts the tasks of a lost worker: suspects, unless other workers were lost at the same moment.
func (f *metrics) countLostTasks(unrelated bool, tasks int) {
	as := "suspects"
	if unrelated {
		as = "unrelated"
	}
	for range tasks {
		count(f.lostTasks, f.scope, "tasks_lost_total", "as", as)
	}
}

// count adds one to the counter of a tag's value, which is made when it comes first.
func count(known map[string]tally.Counter, scope tally.Scope, name, tag, value string) {
	c := known[value]
	if c == nil {
		c = scope.Tagged(map[string]string{tag: value}).Counter(name)
		known[value] = c
	}
	c.Inc(1)
}
