// Package losses says, from the logs of entry VMs, which submissions were not served within
// their objective, and why.
//
// It reads the lines "accepted transient" (older builds log it as "taken"), "start", "answered", "refused",
// "given up" and "abandoned" and follows each hand-in of a submission through them. A caller that hands a submission in
// again begins a new hand-in: what was lost by the first is counted once, under its cause.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

// Cause is why a hand-in was not served within its objective.
type Cause string

// The causes, in the order in which a hand-in is tried against them.
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

// soonWithin is up to when a refusal counts as given at once: half of the refusals should
// come within it.
const soonWithin = 20 * time.Millisecond

// waitShare is the share of its time beyond which a late hand-in is said to have waited.
const waitShare = 0.25

// Row counts the hand-ins of one phase, queue and cause.
type Row struct {
	Phase  time.Duration // since the first line
	Queue  string
	Cause  Cause
	Reason string // as the log gives it
}

// Account is what the logs tell of all hand-ins.
type Report struct {
	PhaseLength   time.Duration // length of a phase
	Counts        map[Row]int
	TotalAttempts int
}

// handIn is one hand-in of a submission, as far as it was read.
type handIn struct {
	queue     string
	at        time.Time
	objective time.Duration
	lastStart time.Duration // since the hand-in
	reran     bool
}

// event is one line of a log.
type event struct {
	at     time.Time
	what   string
	fields map[string]string
}

var (
	klogLine  = regexp.MustCompile(logstory.LinePrefixPattern + `"kept: (accepted transient|taken|start|answered|refused|given up|abandoned)" (.*)$`)
	fieldText = regexp.MustCompile(`(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S+))`)
)

const stamp = "0102 15:04:05.000000"

// Read takes the logs of all entry VMs and sorts what happened to the hand-ins into causes.
// Times are compared between VMs: their clocks should agree to some milliseconds.
func Read(logs []io.Reader, every time.Duration) (*Report, error) {
	var all []event
	for _, l := range logs {
		events, err := readLog(l)
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b event) int { return a.at.Compare(b.at) })
	account := &Report{PhaseLength: every, Counts: make(map[Row]int)}
	if len(all) == 0 {
		return account, nil
	}
	account.follow(all)
	return account, nil
}

func readLog(in io.Reader) ([]event, error) {
	var out []event
	s := logstory.NewScanner(in)
	for s.Scan() {
		m := klogLine.FindStringSubmatch(s.Text())
		if m == nil {
			continue // not a line about a submission
		}
		at, err := time.Parse(stamp, m[1])
		if err != nil {
			return nil, fmt.Errorf("time of a line: %w", err)
		}
		ev := event{at: at, what: m[2], fields: make(map[string]string)}
		for _, f := range fieldText.FindAllStringSubmatch(m[3], -1) {
			ev.fields[f[1]] = cmp.Or(f[2], f[3])
		}
		out = append(out, ev)
	}
	return out, s.Err()
}

func (a *Report) follow(all []event) {
	first := all[0].at
	open := make(map[string]*handIn)
	end := func(h *handIn, cause Cause, why string) {
		a.TotalAttempts++
		a.Counts[Row{Phase: h.at.Sub(first).Truncate(max(a.PhaseLength, 1)), Queue: h.queue, Cause: cause, Reason: why}]++
	}
	for _, ev := range all {
		id := ev.fields["id"]
		h := open[id]
		switch {
		case (ev.what == "accepted transient" || ev.what == "taken") && h == nil:
			open[id] = &handIn{queue: ev.fields["queue"], at: ev.at, objective: duration(ev.fields["objective"])}
			continue
		case ev.what == "refused" && h == nil:
			end(&handIn{queue: ev.fields["queue"], at: ev.at}, RefusedAtOnce, ev.fields["why"])
			continue
		case h == nil:
			continue // its beginning is not in these logs
		}
		if ev.what == "start" {
			h.lastStart = ev.at.Sub(h.at)
			h.reran = h.reran || ev.fields["run"] != "1"
			continue
		}
		if cause, why, ended := h.cause(ev); ended {
			end(h, cause, why)
			delete(open, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(open)) {
		end(open[id], NoEndLogged, "")
	}
}

// cause judges the line that ends a hand-in.
func (h *handIn) cause(ev event) (cause Cause, why string, ended bool) {
	after := duration(ev.fields["after"])
	switch ev.what {
	case "refused":
		if after <= soonWithin {
			return RefusedAtOnce, ev.fields["why"], true
		}
		return RefusedAfterWait, ev.fields["why"], true
	case "given up":
		return GivenUp, ev.fields["why"], true
	case "abandoned":
		return CallerGone, "", true
	case "answered":
		return h.late(after), "", true
	default:
		return "", "", false
	}
}

// late says why an answer came after the objective, or that it did not.
func (h *handIn) late(after time.Duration) Cause {
	switch {
	case h.objective == 0 || after <= h.objective:
		return InTime
	case h.reran:
		return RunLostOrFailed
	case float64(h.lastStart) > waitShare*float64(after):
		return WaitedForCapacity
	default:
		return SlowRun
	}
}

// duration reads a duration; 0 if a line has none, as those of other releases.
func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// Write prints one line for each cause with the hand-ins of each queue, the most frequent
// first, for the whole time or for each phase.
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
	for _, key := range sorted(lines) {
		cells := []string{key.Phase.String(), string(key.Cause), key.Reason, strconv.Itoa(sum(lines[key])),
			fmt.Sprintf("%.4f", float64(sum(lines[key]))/float64(max(a.TotalAttempts, 1)))}
		for _, q := range names {
			cells = append(cells, strconv.Itoa(lines[key][q]))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func sorted(lines map[Row]map[string]int) []Row {
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
