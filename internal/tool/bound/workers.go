package bound

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

const (
	speedPhase    = 2.0 // seconds for which a worker has one speed
	minPhaseRuns  = 5   // completed runs that tell the speed of a phase
	speedsDiffer  = 1.6 // factor from which the speed of a phase is told apart from that of the day
	minRunSeconds = 0.005
	maxSilence    = 1.0 // seconds without a run after which a worker is not proven to be up
)

// sighting is what is known of a worker while the logs are read.
type sighting struct {
	Worker
	up     bool              // it is not known as lost
	since  float64           // of the life in progress, or of the loss
	lives  []Span            // in which it was not known as lost
	ratios map[int][]float64 // estimate by run time of completed runs, by phase; -1: of the day
}

// readWorkers reads which workers there were, when they were up, and how fast they were. Day d is told the times in which they were lost or
// no more listed.
func readWorkers(all []logstory.Event, runs []*run, first time.Time, d *Day) []Worker {
	seen := make(map[string]*sighting)
	for i := range all {
		ev := &all[i]
		at := ev.At.Sub(first).Seconds()
		id, born, _ := strings.Cut(ev.Field("worker"), "@")
		w := seen[id]
		switch {
		case id == "":
		case ev.Message == "worker added" && w == nil:
			from := math.Min(bornAt(born, ev.At, first), at)
			seen[id] = &sighting{Worker: Worker{ID: id, Cores: ev.Number("cpu_milli") / 1000, MemoryMB: ev.Number("memory_mb")}, up: true, since: from,
				ratios: make(map[int][]float64)}
		case w == nil:
		case (ev.Message == "worker lost" || ev.Message == "worker dropped") && w.up:
			w.lives = append(w.lives, Span{From: w.since, To: at})
			w.up, w.since = false, at
		case (ev.Message == "worker added" || ev.Message == "run ended") && !w.up:
			w.comeBack(at, d)
		}
	}
	for _, r := range runs {
		d.learn(seen[r.worker], r)
	}
	return finish(seen, provenSpans(runs), d)
}

// comeBack begins another life. A short absence is none: the worker went from one shard to another.
func (w *sighting) comeBack(at float64, d *Day) {
	w.up = true
	if last := len(w.lives) - 1; at-w.since <= maxSilence {
		w.since = w.lives[last].From
		w.lives = w.lives[:last]
		return
	}
	d.LostSeconds += at - w.since
	w.since = at
}

// bornAt returns when a worker began, in seconds since the first line: when its process started if that is in the day, otherwise
// long before.
func bornAt(born string, seenAt, first time.Time) float64 {
	ms, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return seenAt.Sub(first).Seconds()
	}
	at := time.UnixMilli(ms).UTC()
	return time.Date(first.Year(), at.Month(), at.Day(), at.Hour(), at.Minute(), at.Second(), at.Nanosecond(), time.UTC).Sub(first).Seconds()
}

// learn takes in the run time of a completed run.
func (d *Day) learn(w *sighting, r *run) {
	switch {
	case r.end == 0:
		return
	case r.how != "completed":
		d.FailedRuns++
		d.FailedSeconds += (r.end - r.start).Seconds()
		return
	}
	d.Runs++
	took := (r.end - r.start).Seconds()
	if w == nil || took < minRunSeconds || r.attempt == nil || r.attempt.demand == nil {
		return
	}
	ratio := r.attempt.demand.Duration("estimate").Seconds() / took
	if ratio > 0 {
		phase := int(r.start.Seconds() / speedPhase)
		w.ratios[phase] = append(w.ratios[phase], ratio)
		w.ratios[-1] = append(w.ratios[-1], ratio)
	}
}

// finish ends the lives in progress, and divides lives into periods of one speed. The worker of the median speed gets speed 1.
func finish(seen map[string]*sighting, proven map[string][]Span, d *Day) []Worker {
	var out []Worker
	usual := usualSpeed(seen)
	d.Pace = 1 / usual
	for _, id := range sortedKeys(seen) {
		w := seen[id]
		if w.up {
			w.lives = append(w.lives, Span{From: w.since, To: d.To})
		} else {
			d.LostSeconds += d.To - w.since
		}
		w.Periods = w.periods(w.lives, usual)
		w.Proven = w.periods(intersect(w.lives, proven[id]), usual)
		w.Usual = w.speed(-1, usual) / usual
		out = append(out, w.Worker)
	}
	return out
}

// periods divides spans where the speed changes.
func (w *sighting) periods(spans []Span, usual float64) (out []Period) {
	for _, l := range spans {
		for from := math.Max(l.From, 0); from < l.To; {
			phase := int(from / speedPhase)
			p := Period{From: from, To: math.Min(l.To, float64(phase+1)*speedPhase), Speed: w.speed(phase, usual) / usual}
			if n := len(out); n > 0 && out[n-1].Speed == p.Speed && out[n-1].To == p.From {
				out[n-1].To = p.To
			} else {
				out = append(out, p)
			}
			from = p.To
		}
	}
	return out
}

// usualSpeed returns the median speed of the workers on which runs completed, where a task takes as long as estimated at 1.
func usualSpeed(seen map[string]*sighting) float64 {
	var all []float64
	for _, w := range seen {
		if r := w.ratios[-1]; len(r) > 0 {
			all = append(all, median(r))
		}
	}
	if len(all) == 0 {
		return 1
	}
	return median(all)
}

// provenSpans returns when workers are proven to be up: runs that completed were in progress, with at most maxSilence between them.
func provenSpans(runs []*run) map[string][]Span {
	out := make(map[string][]Span)
	for _, r := range runs { // by start
		if r.how != "completed" {
			continue
		}
		s := Span{From: r.start.Seconds(), To: r.end.Seconds()}
		spans := out[r.worker]
		if n := len(spans); n > 0 && s.From <= spans[n-1].To+maxSilence {
			spans[n-1].To = math.Max(spans[n-1].To, s.To)
		} else {
			out[r.worker] = append(spans, s)
		}
	}
	return out
}

// intersect returns the times that are in both a and b, which are each sorted and do not overlap.
func intersect(a, b []Span) (out []Span) {
	for _, s := range a {
		for _, t := range b {
			if from, to := math.Max(s.From, t.From), math.Min(s.To, t.To); from < to {
				out = append(out, Span{From: from, To: to})
			}
		}
	}
	return out
}

// speed returns the speed in a phase: that of the day, unless enough runs of the phase show another one.
func (w *sighting) speed(phase int, usual float64) float64 {
	if len(w.ratios[-1]) == 0 {
		return usual
	}
	day := median(w.ratios[-1])
	if len(w.ratios[phase]) < minPhaseRuns {
		return day
	}
	now := median(w.ratios[phase])
	if now > day*speedsDiffer || now*speedsDiffer < day {
		return now
	}
	return day
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// speedAt returns a worker's speed at a time; 1 if it is not known.
func speedAt(workers []Worker, id string, at float64) float64 {
	i, found := slices.BinarySearchFunc(workers, id, func(w Worker, id string) int { return cmp.Compare(w.ID, id) })
	if !found {
		return 1
	}
	speed := 1.0
	for n, p := range workers[i].Periods {
		if n > 0 && p.From > at {
			break
		}
		speed = p.Speed
	}
	return speed
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
