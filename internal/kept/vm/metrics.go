package vm

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

const metricsInterval = time.Second // between updates of the scrape registry from the counters

// timeBuckets range from a millisecond to about half a minute.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metrics are the metrics of an entry VM. Queues, reasons and outcomes are few and known, so
// the number of series is bounded. Metrics with labels may only be used by the engine; counters
// without labels may be used from any goroutine.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	queues   map[string]*queueMetrics
	shards   map[string]*shardMetrics

	starts             map[string]tally.Counter // by the worker's answer
	ends               map[string]tally.Counter // of runs, by how they ended
	shardsAcquired     tally.Counter
	shardsLost         tally.Counter
	adoptedSubmissions tally.Counter
	resumedSubmissions tally.Counter
	peersLost          tally.Counter
	workersLost        tally.Counter
	workersRestarted   tally.Counter // under the same ID
	workersTurnedSlow  tally.Counter
	storeCalls         map[bool]tally.Counter // by whether they were answered
	heldShards         tally.Gauge
	heldWorkers        tally.Gauge
	openSubmissions    tally.Gauge
	droppedEvents      tally.Counter
	delayedEvents      tally.Counter
	ordersRepeated     tally.Counter          // stops and listings that were sent again before they were answered
	evacuated          map[string]tally.Gauge // by failure domain: 1 while nothing may start there
	reassigned         tally.Counter          // tasks and stored submissions, away from evacuated domains
	tasksGivenUp       tally.Counter          // because workers that started them were lost
	waitingTasks       tally.Gauge            // that wait here for grants
	demands            tally.Counter          // told to pools
	grantsUsed         tally.Counter
	grantsDeclined     tally.Counter
	grants             tally.Counter
	grantedTasks       tally.Counter
	grantedAbove       tally.Counter            // of groups that have got their floor
	shortReplies       tally.Counter            // to grants, of homes that took less than was granted
	lapsedReservations tally.Counter            // for grants without a reply
	poolDemands        tally.Gauge              // submissions with tasks that wait for grants of this VM
	lostTasks          map[string]tally.Counter // tasks whose worker was lost: suspects or unrelated
	startDelay         tally.Histogram          // from the decision of a start to its sending
	roundDuration      tally.Histogram
	roundLateness      tally.Histogram          // from when a round was due to its begin
	roundsLate         tally.Counter            // that began much later than due
	roundsLong         tally.Counter            // that took long
	unconfirmedParts   tally.Counter            // ended here, as their home VMs have not confirmed them
	heldLeases         tally.Counter            // not extended in time, as a home VM had not confirmed what runs there
	unwantedParts      tally.Counter            // of which holders had not heard that this VM does not wait for them
	unexpectedRuns     tally.Counter            // listed though their tasks were released or have other runs
	releases           map[string]tally.Counter // of tasks of which a start was ordered, by reason
}

// queueMetrics are the metrics of one queue.
type queueMetrics struct {
	accepted   tally.Counter
	firstStart tally.Histogram // from when the holder learned of the submission to the first start
	response   tally.Histogram // from the caller's request to its answer
	stored     tally.Histogram // from the caller's request to the record in the store
	outcomes   map[string]tally.Counter
	forecasts  map[string]tally.Counter // on arrival, of submissions that cannot start at once
	scope      tally.Scope
}

// newMetrics registers the metrics of an entry VM, tagged with its name.
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
	m := &metrics{
		scope:              scope,
		closer:             closer,
		registry:           registry,
		queues:             make(map[string]*queueMetrics),
		shards:             make(map[string]*shardMetrics),
		starts:             make(map[string]tally.Counter),
		ends:               make(map[string]tally.Counter),
		shardsAcquired:     scope.Counter("shards_taken_total"),
		shardsLost:         scope.Counter("shards_lost_total"),
		adoptedSubmissions: scope.Counter("submissions_adopted_total"),
		resumedSubmissions: scope.Counter("submissions_resumed_total"),
		peersLost:          scope.Counter("peers_lost_total"),
		workersLost:        scope.Counter("workers_lost_total"),
		workersRestarted:   scope.Counter("workers_restarted_total"),
		workersTurnedSlow:  scope.Counter("workers_turned_slow_total"),
		heldShards:         scope.Gauge("shards_held"),
		heldWorkers:        scope.Gauge("workers_held"),
		openSubmissions:    scope.Gauge("submissions_open"),
		droppedEvents:      scope.Counter("events_dropped_total"),
		delayedEvents:      scope.Counter("events_delayed_total"),
		ordersRepeated:     scope.Counter("orders_repeated_total"),
		evacuated:          make(map[string]tally.Gauge),
		reassigned:         scope.Counter("sent_away_total"),
		tasksGivenUp:       scope.Counter("tasks_given_up_total"),
		waitingTasks:       scope.Gauge("tasks_waiting_for_grants"),
		demands:            scope.Counter("demands_told_total"),
		grantsUsed:         scope.Counter("grants_used_total"),
		grantsDeclined:     scope.Counter("grants_declined_total"),
		grants:             scope.Counter("grants_total"),
		grantedTasks:       scope.Counter("granted_tasks_total"),
		grantedAbove:       scope.Counter("granted_tasks_above_floor_total"),
		shortReplies:       scope.Counter("grant_replies_short_total"),
		lapsedReservations: scope.Counter("reservations_lapsed_total"),
		poolDemands:        scope.Gauge("pool_demands"),
		lostTasks:          make(map[string]tally.Counter),
		startDelay:         scope.Histogram("start_delay_seconds", timeBuckets),
		roundDuration:      scope.Histogram("round_seconds", timeBuckets),
		roundLateness:      scope.Histogram("round_late_seconds", timeBuckets),
		roundsLate:         scope.Tagged(map[string]string{"how": "late"}).Counter("slow_rounds_total"),
		roundsLong:         scope.Tagged(map[string]string{"how": "long"}).Counter("slow_rounds_total"),
		unconfirmedParts:   scope.Counter("unconfirmed_parts_total"),
		heldLeases:         scope.Counter("leases_held_back_total"),
		unwantedParts:      scope.Counter("unwanted_parts_total"),
		unexpectedRuns:     scope.Counter("unexpected_runs_total"),
		releases:           make(map[string]tally.Counter),
	}
	m.storeCalls = map[bool]tally.Counter{
		true:  scope.Tagged(map[string]string{"answered": "true"}).Counter("store_calls_total"),
		false: scope.Tagged(map[string]string{"answered": "false"}).Counter("store_calls_total"),
	}
	return m
}

func (m *metrics) close() { _ = m.closer.Close() }

// handler serves the metrics to scrapers.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// queue returns the metrics of a queue.
func (m *metrics) queue(name string) *queueMetrics {
	q := m.queues[name]
	if q == nil {
		scope := m.scope.Tagged(map[string]string{"queue": name})
		q = &queueMetrics{
			accepted:   scope.Counter("submissions_taken_total"),
			firstStart: scope.Histogram("first_start_seconds", timeBuckets),
			response:   scope.Histogram("response_seconds", timeBuckets),
			stored:     scope.Histogram("stored_seconds", timeBuckets),
			outcomes:   make(map[string]tally.Counter),
			forecasts:  make(map[string]tally.Counter),
			scope:      scope,
		}
		m.queues[name] = q
	}
	return q
}

// shardMetrics are the metrics of a shard that this VM holds, or has held: then all are 0.
type shardMetrics struct {
	workers, room, free, queued, spread, above tally.Gauge
}

// shard returns the metrics of a shard.
func (m *metrics) shard(name string) *shardMetrics {
	s := m.shards[name]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"shard": name})
		s = &shardMetrics{
			workers: scope.Gauge("shard_workers"),
			room:    scope.Gauge("shard_room_cores"),
			free:    scope.Gauge("shard_free_cores"),
			queued:  scope.Gauge("shard_queued_cores"),
			spread:  scope.Gauge("shard_speed_spread"),
			above:   scope.Gauge("shard_groups_above_floor"),
		}
		m.shards[name] = s
	}
	return s
}

// set updates the number of workers of a shard, and their capacity and queue.
func (s *shardMetrics) set(workers int, l *shard.Load) {
	var free int64
	for _, milli := range l.FreeMilli {
		free += milli
	}
	s.workers.Update(float64(workers))
	s.spread.Update(l.SpeedSpread)
	s.room.Update(float64(l.CapacityMilli) / submission.MilliPerCore)
	s.free.Update(float64(free) / submission.MilliPerCore)
	above := 0
	for _, standing := range l.Standings {
		if standing == policy.AboveFloor {
			above++
		}
	}
	s.above.Update(float64(above))
	queued, _ := l.QueuedAhead(0, true)
	s.queued.Update(float64(queued) / submission.MilliPerCore)
}

// countEnd counts the end of a submission: done, failed, refused, given_up or abandoned.
func (q *queueMetrics) countEnd(outcome string, took time.Duration) {
	count(q.outcomes, q.scope, "submissions_ended_total", "outcome", outcome)
	q.response.RecordDuration(took)
}

// countForecast counts a forecast on arrival: in_time, late or refused.
func (q *queueMetrics) countForecast(forecast string) {
	count(q.forecasts, q.scope, "forecasts_total", "forecast", forecast)
}

// setEvacuated sets whether a failure domain is evacuated.
func (m *metrics) setEvacuated(domain string, evacuated bool) {
	g := m.evacuated[domain]
	if g == nil {
		g = m.scope.Tagged(map[string]string{"domain": domain}).Gauge("domain_evacuated")
		m.evacuated[domain] = g
	}
	if evacuated {
		g.Update(1)
		return
	}
	g.Update(0)
}

// countStart counts a worker's answer to a start.
func (m *metrics) countStart(answer string) {
	count(m.starts, m.scope, "starts_total", "answer", answer)
}

// countRunEnd counts the end of a run.
func (m *metrics) countRunEnd(how string) { count(m.ends, m.scope, "runs_ended_total", "how", how) }

// countLostTasks counts the tasks of a lost worker as suspects, or as unrelated if other workers were lost at
// the same moment.
func (m *metrics) countLostTasks(unrelated bool, tasks int) {
	as := "suspects"
	if unrelated {
		as = "unrelated"
	}
	for range tasks {
		count(m.lostTasks, m.scope, "tasks_lost_total", "as", as)
	}
}

// countRelease counts the release of a task of which a start was ordered.
func (m *metrics) countRelease(why string) {
	count(m.releases, m.scope, "tasks_released_total", "why", why)
}

// count adds one to the counter of a tag's value, and makes the counter when the value first occurs.
func count(known map[string]tally.Counter, scope tally.Scope, name, tag, value string) {
	c := known[value]
	if c == nil {
		c = scope.Tagged(map[string]string{tag: value}).Counter(name)
		known[value] = c
	}
	c.Inc(1)
}
