// Package top shows the present state of a site's entry VMs at regular intervals: the holder
// of each shard, the capacity of its workers, the queued work, and the rate of store calls. It
// reads only the VMs' metrics endpoints.
package top

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Sample holds the metrics of one entry VM at one time.
type Sample struct {
	EntryVM              string
	At                   time.Time
	Shards               map[string]Shard // those that the VM holds, by name
	Queues               map[string]Queue
	OpenSubmissions      float64  // submissions that the VM tracks: those it accepted or was asked about
	StoreCalls           float64  // since it started
	UnansweredStoreCalls float64  // part of StoreCalls without an answer, since it started
	ShardTakeovers       float64  // since it started
	PeersLost            float64  // since it started
	Evacuated            []string // failure domains that it knows to be evacuated: nothing may start there
}

// Shard holds the capacity and queued work of a shard.
type Shard struct {
	Workers       float64
	CapacityCores float64 // of all usable workers together
	FreeCores     float64
	QueuedCores   float64 // needed by the tasks that wait for capacity
}

// Queue holds the numbers of a queue's submissions since the VM started.
type Queue struct {
	Accepted, Done, Failed, Refused float64
}

// ReadError reports that a VM's metrics could not be read.
type ReadError struct {
	URL string
	Err error
}

func (e *ReadError) Error() string { return fmt.Sprintf("metrics of %s: %v", e.URL, e.Err) }
func (e *ReadError) Unwrap() error { return e.Err }

// Read reads a sample from a metrics URL.
func Read(ctx context.Context, client *http.Client, url string) (*Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &ReadError{url, err}
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, &ReadError{url, err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, &ReadError{url, fmt.Errorf("status %s", res.Status)}
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return nil, &ReadError{url, err}
	}
	return newSample(families, time.Now()), nil
}

// metricPrefix is the common prefix of the metrics that are read.
const metricPrefix = "pumiceyard_kept_"

func newSample(families map[string]*dto.MetricFamily, at time.Time) *Sample {
	s := &Sample{At: at, Shards: make(map[string]Shard), Queues: make(map[string]Queue)}
	each := func(name string, take func(value float64, labels map[string]string)) {
		f := families[metricPrefix+name]
		if f == nil {
			return // the VM exports a metric only after its first value
		}
		for _, m := range f.Metric {
			labels := make(map[string]string, len(m.Label))
			for _, l := range m.Label {
				labels[l.GetName()] = l.GetValue()
			}
			s.EntryVM = labels["entry_vm"]
			take(m.GetCounter().GetValue()+m.GetGauge().GetValue(), labels)
		}
	}
	sum := func(to *float64) func(float64, map[string]string) {
		return func(v float64, _ map[string]string) { *to += v }
	}
	each("submissions_open", sum(&s.OpenSubmissions))
	each("shards_taken_total", sum(&s.ShardTakeovers))
	each("peers_lost_total", sum(&s.PeersLost))
	each("domain_evacuated", func(v float64, labels map[string]string) {
		if v > 0 {
			s.Evacuated = append(s.Evacuated, labels["domain"])
		}
	})
	each("store_calls_total", func(v float64, labels map[string]string) {
		s.StoreCalls += v
		if labels["answered"] != "true" {
			s.UnansweredStoreCalls += v
		}
	})
	shard := func(set func(*Shard, float64)) func(float64, map[string]string) {
		return func(v float64, labels map[string]string) {
			sh := s.Shards[labels["shard"]]
			set(&sh, v)
			s.Shards[labels["shard"]] = sh
		}
	}
	each("shard_workers", shard(func(sh *Shard, v float64) { sh.Workers = v }))
	each("shard_room_cores", shard(func(sh *Shard, v float64) { sh.CapacityCores = v }))
	each("shard_free_cores", shard(func(sh *Shard, v float64) { sh.FreeCores = v }))
	each("shard_queued_cores", shard(func(sh *Shard, v float64) { sh.QueuedCores = v }))
	each("submissions_taken_total", func(v float64, labels map[string]string) {
		q := s.Queues[labels["queue"]]
		q.Accepted += v
		s.Queues[labels["queue"]] = q
	})
	each("submissions_ended_total", func(v float64, labels map[string]string) {
		q := s.Queues[labels["queue"]]
		q.addEnded(labels["outcome"], v)
		s.Queues[labels["queue"]] = q
	})
	for name, sh := range s.Shards {
		if sh.Workers == 0 {
			delete(s.Shards, name) // the VM no longer holds it
		}
	}
	return s
}

// addEnded adds n submissions that ended with the given outcome.
func (q *Queue) addEnded(outcome string, n float64) {
	switch outcome {
	case "done":
		q.Done += n
	case "failed", "cancelled":
		q.Failed += n
	default:
		q.Refused += n // refused, given up or abandoned
	}
}
