package bound

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
	"github.com/pumiceyard/pumiceyard/internal/tool/losses"
)

// Attempt is an attempt at a submission with what became of it.
type Attempt struct {
	Work
	Cause  losses.Cause
	Reason string
	Cut    bool // the deadline is before the end of the objective: its caller left, or its VM ended
}

// endSlack is the time after its caller's timeout in which the end of an attempt is logged at the latest.
const endSlack = time.Second

// Day is what the logs of all entry VMs say about a day.
type Day struct {
	ByRunTime bool // objectives are by run times, not by callers' estimates
	Attempts  []Attempt
	Workers   []Worker
	Pace      float64 // run time on a worker of speed 1, by the estimate
	To        float64 // of the last line, seconds
	Dark      []Span  // times in which no VM was up
	Unknown   int     // attempts whose demands are not in the logs, or that have several steps: left out
	Runs      int     // completed runs whose times are known
	Unlogged  int     // tasks without a completed run: that of siblings or the estimate is taken
	Endless   int     // attempts without an end though their VM lived on, as the line was cut: left out

	FailedRuns    int     // runs that ended otherwise
	FailedSeconds float64 // of these runs
	LostSeconds   float64 // worker-seconds in which a worker was lost or no more listed, which are not room
}

var messages = slices.Concat(losses.Messages, []string{"received", "run ended", "worker added", "worker lost", "worker dropped", "started", "stopped"})

// run is one run of a task, as the holder saw it.
type run struct {
	worker     string
	start, end time.Duration // of the order, and of the notice of its end; end 0: none
	how        string
	attempt    *read
}

// read is an attempt while the logs are read.
type read struct {
	*losses.Attempt
	demand *logstory.Event // its line "received"; nil: none
	at     time.Duration   // acceptance
	runs   map[string]*run // completed, by step and index
}

// Read reads the logs of all entry VMs of one day. It needs the lines of log level 1. It compares times of different VMs, so their
// clocks should agree to within a few milliseconds. With byRunTime, objectives are those that the queues' terms give for the run times of the
// longest tasks at speed 1, in place of those by the callers' estimates.
func Read(logs []io.Reader, byRunTime bool) (*Day, error) {
	all, err := logstory.ReadEvents(logs, messages...)
	if err != nil || len(all) == 0 {
		return &Day{}, err
	}
	first := all[0].At
	since := func(ev *logstory.Event) time.Duration { return ev.At.Sub(first) }
	attempts := joinDemands(all, losses.Follow(all), first)
	runs := joinRuns(all, attempts, since)
	d := &Day{ByRunTime: byRunTime, To: since(&all[len(all)-1]).Seconds()}
	d.Workers = readWorkers(all, runs, first, d)
	lives, queues := readLives(all), readTerms(all)
	d.Dark = darkSpans(lives, first)
	for _, id := range sortedKeys(attempts) {
		for _, r := range attempts[id] {
			d.addAttempt(r, lives, queues, byRunTime)
		}
	}
	slices.SortStableFunc(d.Attempts, func(a, b Attempt) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	return d, nil
}

// joinDemands finds for each attempt, by ID in the order of their beginnings, the line that tells what it asks for.
func joinDemands(all []logstory.Event, followed []*losses.Attempt, first time.Time) map[string][]*read {
	out := make(map[string][]*read)
	for _, a := range followed {
		out[a.ID] = append(out[a.ID], &read{Attempt: a, at: a.AcceptedAt.Sub(first), runs: make(map[string]*run)})
	}
	for i := range all {
		ev := &all[i]
		if ev.Message != "received" {
			continue
		}
		for _, r := range out[ev.Field("id")] {
			if !ev.At.After(r.AcceptedAt) && r.Source == ev.Source {
				r.demand = ev // the last one before its acceptance
			}
		}
	}
	return out
}

// joinRuns pairs starts with ends, and hands completed runs to their attempts.
func joinRuns(all []logstory.Event, attempts map[string][]*read, since func(*logstory.Event) time.Duration) []*run {
	var out []*run
	open := make(map[string]*run)
	for i := range all {
		ev := &all[i]
		if ev.Message != "start" && ev.Message != "run ended" {
			continue
		}
		id, task := ev.Field("id"), ev.Field("step")+"/"+ev.Field("index")
		key := id + "/" + task + "/" + ev.Field("run") + "@" + ev.Field("worker")
		if ev.Message == "start" {
			r := &run{worker: ev.Field("worker"), start: since(ev), attempt: attemptAt(attempts[id], since(ev))}
			open[key] = r
			out = append(out, r)
			continue
		}
		r := open[key]
		if r == nil {
			continue // its start is not in these logs
		}
		delete(open, key)
		r.end, r.how = since(ev), ev.Field("how")
		if r.attempt != nil && r.how == "completed" {
			r.attempt.runs[task] = r
		}
	}
	return out
}

// attemptAt returns the attempt that was open at a time: the last that had begun.
func attemptAt(attempts []*read, at time.Duration) (found *read) {
	for _, r := range attempts {
		if r.at <= at && (found == nil || r.at >= found.at) {
			found = r
		}
	}
	return found
}

// addAttempt adds an attempt with its deadline and the run times of its tasks.
func (d *Day) addAttempt(r *read, lives map[string][]life, terms map[string]terms, byRunTime bool) {
	if r.demand == nil || r.demand.Number("steps") != 1 || r.demand.Number("tasks") < 1 {
		d.Unknown++
		return
	}
	tasks := d.taskTimes(r)
	objective := r.demand.Duration("objective")
	if t, known := terms[r.Queue]; known && byRunTime {
		objective = t.objective(time.Duration(slices.Max(tasks) * float64(time.Second)))
		r.WithObjective(objective)
	}
	timeLeft := objective
	switch {
	case r.Cause == losses.CallerGone && r.After > 0:
		timeLeft = min(objective, r.After)
	case r.Cause == losses.NoEndLogged:
		left := lifeLeft(lives[r.Source], r.AcceptedAt)
		if left > r.demand.Duration("timeout")+endSlack {
			d.Endless++
			return
		}
		timeLeft = min(objective, left)
	}
	receivedAt := (r.at - r.demand.Duration("ago")).Seconds()
	d.Attempts = append(d.Attempts, Attempt{Cause: r.Cause, Reason: r.Reason, Cut: timeLeft < objective, Work: Work{
		Name:       r.ID,
		Priority:   int(r.demand.Number("priority")),
		ReceivedAt: receivedAt,
		Deadline:   receivedAt + timeLeft.Seconds(),
		Tasks:      tasks,
		Cores:      r.demand.Number("cpu_milli") / 1000,
		MemoryMB:   r.demand.Number("memory_mb"),
	}})
}

// taskTimes returns how long each task takes on a worker of speed 1, in seconds, shortest first. Tasks without a completed run take
// as long as the mean of the others, or as estimated and corrected by the day's pace.
func (d *Day) taskTimes(r *read) (tasks []float64) {
	sum := 0.0
	for _, run := range r.runs {
		length := (run.end - run.start).Seconds() * speedAt(d.Workers, run.worker, run.start.Seconds())
		tasks = append(tasks, length)
		sum += length
	}
	typical := r.demand.Duration("estimate").Seconds() * d.Pace
	if len(tasks) > 0 {
		typical = sum / float64(len(tasks))
	}
	for len(tasks) < int(r.demand.Number("tasks")) {
		tasks = append(tasks, typical)
		d.Unlogged++
	}
	slices.Sort(tasks)
	return tasks
}

// terms are those of a queue: its objective is stretch times the estimate, and target more.
type terms struct {
	stretch float64
	target  time.Duration
}

func (t *terms) objective(estimate time.Duration) time.Duration {
	return time.Duration(t.stretch*float64(estimate)) + t.target
}

// readTerms finds the terms of each queue from pairs of a short and a long estimate with their objectives. Medians, as lines may be
// cut.
func readTerms(all []logstory.Event) map[string]terms {
	type point struct{ estimate, objective time.Duration }
	points := make(map[string][]point)
	for i := range all {
		ev := &all[i]
		p := point{ev.Duration("estimate"), ev.Duration("objective")}
		if ev.Message == "received" && p.estimate > 0 && p.objective > 0 {
			points[ev.Field("queue")] = append(points[ev.Field("queue")], p)
		}
	}
	out := make(map[string]terms)
	for queue, all := range points {
		slices.SortFunc(all, func(a, b point) int { return cmp.Compare(a.estimate, b.estimate) })
		var stretches, targets []float64
		for i, short := range all[:len(all)/2] {
			if long := all[i+len(all)/2]; long.estimate > short.estimate {
				stretches = append(stretches, float64(long.objective-short.objective)/float64(long.estimate-short.estimate))
			}
		}
		if len(stretches) == 0 {
			continue // all estimates are the same
		}
		stretch := median(stretches)
		for _, p := range all {
			targets = append(targets, float64(p.objective)-stretch*float64(p.estimate))
		}
		out[queue] = terms{stretch: stretch, target: time.Duration(median(targets))}
	}
	return out
}
