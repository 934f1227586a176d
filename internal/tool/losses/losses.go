// Package losses counts, from the logs of entry VMs, the submissions that were not answered
// within their latency objective, by cause.
//
// It reads the lines "accepted transient" (older builds log it as "taken"), "forecast", "start", "answered", "refused",
// "given up" and "abandoned", and follows each attempt at a submission through them. If a caller submits again after
// the end of an attempt, a new attempt begins; each attempt is counted once, under its own cause.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

// Cause is why an attempt was not answered within its objective.
type Cause string

// The causes. A late answer gets the first that applies of RunLostOrFailed, WaitedForCapacity and SlowRun.
const (
	InTime            Cause = "in time"
	RefusedAtOnce     Cause = "refused at once"
	RefusedAfterWait  Cause = "refused after a wait"
	GivenUp           Cause = "given up"
	CallerGone        Cause = "its caller had gone"
	NoEndLogged       Cause = "no end in the logs"
	RunLostOrFailed   Cause = "a run was lost or failed"
	WaitedForCapacity Cause = "waited for room"
	SlowRun           Cause = "a run took long"
)

// immediateRefusalLimit is the time after acceptance up to which a refusal counts as RefusedAtOnce: half of
// all refusals should be given within it.
const immediateRefusalLimit = 20 * time.Millisecond

// minWaitShare is the share of a late attempt's total time that must have passed before its last start
// for the cause to be WaitedForCapacity.
const minWaitShare = 0.25

// Row identifies the attempts that are counted together.
type Row struct {
	Phase  time.Duration // start of the phase, since the first line
	Queue  string
	Cause  Cause
	Reason string // as logged
}

// Report holds the number of attempts by phase, queue, cause and reason.
type Report struct {
	PhaseLength   time.Duration
	Counts        map[Row]int
	TotalAttempts int
	Forecasts     []ForecastOutcome
}

// Attempt is an attempt at a submission, with its end.
type Attempt struct {
	ID         string
	Queue      string
	Source     string // of the line that tells its acceptance or refusal, as in logstory.Event
	AcceptedAt time.Time
	Objective  time.Duration // 0: not known
	Cause      Cause
	Reason     string        // as logged
	After      time.Duration // from when it was received to its end; 0: not known
	lastStart  time.Duration // since acceptance
	wasRerun   bool
	forecast   float64 // as a multiple of the objective; 0: none was logged
}

// Messages are those of the lines that Follow needs.
var Messages = []string{"accepted transient", "taken", "forecast", "start", "answered", "refused", "given up", "abandoned"}

// Read reads the logs of all entry VMs and counts the attempts by cause. It compares times
// of different VMs, so their clocks should agree to within a few milliseconds.
func Read(logs []io.Reader, phaseLength time.Duration) (*Report, error) {
	all, err := logstory.ReadEvents(logs, Messages...)
	if err != nil {
		return nil, err
	}
	report := &Report{PhaseLength: phaseLength, Counts: make(map[Row]int)}
	if len(all) == 0 {
		return report, nil
	}
	for _, att := range Follow(all) {
		report.count(all[0].At, att)
	}
	return report, nil
}

func (a *Report) count(first time.Time, att *Attempt) {
	a.TotalAttempts++
	if att.forecast > 0 {
		a.Forecasts = append(a.Forecasts, ForecastOutcome{Ratio: att.forecast, Cause: att.Cause})
	}
	a.Counts[Row{Phase: att.AcceptedAt.Sub(first).Truncate(max(a.PhaseLength, 1)), Queue: att.Queue, Cause: att.Cause, Reason: att.Reason}]++
}

// Follow follows the attempts through the events, which are sorted by time, and returns them by their ends. Those without
// an end come last.
func Follow(all []logstory.Event) []*Attempt {
	var ended []*Attempt
	open := make(map[string]*Attempt)
	forecasts := make(map[string]float64) // of the next attempt, by ID
	begin := func(ev *logstory.Event, id string) *Attempt {
		att := &Attempt{ID: id, Queue: ev.Field("queue"), Source: ev.Source, AcceptedAt: ev.At, forecast: forecasts[id]}
		delete(forecasts, id)
		return att
	}
	for i := range all {
		ev := &all[i]
		id := ev.Field("id")
		att := open[id]
		switch {
		case (ev.Message == "accepted transient" || ev.Message == "taken") && att == nil:
			att = begin(ev, id)
			att.Objective = ev.Duration("objective")
			open[id] = att
			continue
		case ev.Message == "refused" && att == nil:
			att = begin(ev, id)
			att.Cause, att.Reason, att.After = RefusedAtOnce, ev.Field("why"), ev.Duration("after")
			ended = append(ended, att)
			continue
		case ev.Message == "forecast":
			if r, known := forecastRatio(ev); known && att == nil {
				forecasts[id] = r
			}
			continue
		case att == nil:
			continue // its acceptance is not in these logs
		}
		if ev.Message == "start" {
			att.lastStart = ev.At.Sub(att.AcceptedAt)
			att.wasRerun = att.wasRerun || ev.Field("run") != "1"
			continue
		}
		if att.classifyEnd(ev) {
			ended = append(ended, att)
			delete(open, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(open)) {
		open[id].Cause = NoEndLogged
		ended = append(ended, open[id])
	}
	return ended
}

// classifyEnd sets the cause and reason from an event that ends the attempt; it reports whether the event does.
func (att *Attempt) classifyEnd(ev *logstory.Event) (ended bool) {
	after := ev.Duration("after")
	switch ev.Message {
	case "refused":
		att.Cause, att.Reason = RefusedAfterWait, ev.Field("why")
		if after <= immediateRefusalLimit {
			att.Cause = RefusedAtOnce
		}
	case "given up":
		att.Cause, att.Reason = GivenUp, ev.Field("why")
	case "abandoned":
		att.Cause = CallerGone
	case "answered":
		att.Cause = att.classifyAnswer(after)
	default:
		return false
	}
	att.After = after
	return true
}

// WithObjective judges an attempt that was answered by another objective.
func (att *Attempt) WithObjective(objective time.Duration) {
	switch att.Cause {
	case InTime, RunLostOrFailed, WaitedForCapacity, SlowRun:
		att.Objective = objective
		att.Cause = att.classifyAnswer(att.After)
	}
}

// classifyAnswer returns InTime, or the cause of an answer after the objective.
func (att *Attempt) classifyAnswer(after time.Duration) Cause {
	switch {
	case att.Objective == 0 || after <= att.Objective:
		return InTime
	case att.wasRerun:
		return RunLostOrFailed
	case float64(att.lastStart) > minWaitShare*float64(after):
		return WaitedForCapacity
	default:
		return SlowRun
	}
}

// Write prints a table with one line for each cause and reason, the most frequent first, and one
// column for each queue. With phases, the lines are given for each phase separately.
func (a *Report) Write(out io.Writer, phases bool) error {
	queues := make(map[string]bool)
	lines := make(map[Row]map[string]int)
	for row, n := range a.Counts {
		queues[row.Queue] = true
		key := Row{Cause: row.Cause, Reason: row.Reason}
		if phases {
			key.Phase = row.Phase
		}
		if lines[key] == nil {
			lines[key] = make(map[string]int)
		}
		lines[key][row.Queue] += n
	}
	names := slices.Sorted(maps.Keys(queues))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "from\tcause\twhy\tall\tshare\t%s\n", strings.Join(names, "\t"))
	for _, key := range sortedRows(lines) {
		cells := []string{key.Phase.String(), string(key.Cause), key.Reason, strconv.Itoa(sum(lines[key])),
			fmt.Sprintf("%.4f", float64(sum(lines[key]))/float64(max(a.TotalAttempts, 1)))}
		for _, q := range names {
			cells = append(cells, strconv.Itoa(lines[key][q]))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func sortedRows(lines map[Row]map[string]int) []Row {
	return slices.SortedFunc(maps.Keys(lines), func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Phase, b.Phase),
			cmp.Compare(sum(lines[b]), sum(lines[a])),
			cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}

func sum(byQueue map[string]int) int {
	n := 0
	for _, c := range byQueue {
		n += c
	}
	return n
}
