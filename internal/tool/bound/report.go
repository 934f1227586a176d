package bound

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/pumiceyard/pumiceyard/internal/tool/losses"
)

// fullestSeconds is how many seconds are printed.
const fullestSeconds = 10

// afterDark is the time after one without VMs in which the submissions that waited for it arrive, in seconds.
const afterDark = 1.0

// tally counts the attempts of a group.
type tally struct {
	all, reached, scheduled int
	bound                   float64
	work                    float64 // core-seconds
}

func (t *tally) add(a *Attempt, v *Verdict) {
	t.all++
	t.work += a.size()
	if a.Cause == losses.InTime {
		t.reached++
	}
	if v.Scheduled {
		t.scheduled++
	}
	if !v.TooShort {
		t.bound += 1 - v.Short
	}
}

func (t *tally) shares() string {
	share := func(n float64) float64 { return n / float64(max(t.all, 1)) }
	return fmt.Sprintf("%d\t%.3f\t%.3f\t%.3f", t.all, share(float64(t.reached)), share(float64(t.scheduled)), share(t.bound))
}

// Write prints the result.
func (r *Result) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.writeTotals(w)
	r.writeReasons(w)
	r.writeDark(w)
	r.writePriorities(w)
	r.writeSeconds(w)
	r.writeWinnable(w)
	r.writeAssumptions(w)
	return w.Flush()
}

func (r *Result) writeTotals(w io.Writer) {
	n := float64(max(len(r.Day.Attempts), 1))
	fmt.Fprintf(w, "submissions\t%d\t\n", len(r.Day.Attempts))
	for _, row := range []struct {
		name  string
		count int
	}{{"in time, reached", r.Reached}, {"in time, schedule", r.Schedule}, {"in time, bound", r.Bound}} {
		fmt.Fprintf(w, "%s\t%d\t%.4f\n", row.name, row.count, float64(row.count)/n)
	}
}

func (r *Result) writeReasons(w io.Writer) {
	n := len(r.Day.Attempts)
	eligible := n - r.TooShort
	fmt.Fprintf(w, "\nnot in time\tsubmissions\tshare\n")
	for _, row := range []struct {
		name  string
		count int
	}{
		{"beyond the bound: objective shorter than a run on the fastest worker", r.TooShort - r.CutShort},
		{"beyond the bound: the same, as its caller left or its VM ended", r.CutShort},
		{"beyond the bound: no room, even with all workers up at their usual speed", eligible - r.Whole},
		{"beyond the bound: room gone (workers lost or slow)", r.Whole - r.Bound},
		{"between bound and schedule", r.Bound - r.Schedule},
		{"between schedule and what was reached", r.Schedule - r.Reached},
	} {
		fmt.Fprintf(w, "%s\t%d\t%.4f\n", row.name, row.count, float64(row.count)/float64(max(n, 1)))
	}
}

// writeDark prints the times in which no VM was up, and what came of the submissions that arrived right after.
func (r *Result) writeDark(w io.Writer) {
	for _, s := range r.Day.Dark {
		var t tally
		for i := range r.Day.Attempts {
			if a := &r.Day.Attempts[i]; a.ReceivedAt >= s.To && a.ReceivedAt < s.To+afterDark {
				t.add(a, &r.Verdicts[i])
			}
		}
		fmt.Fprintf(w, "no VM up %.2f to %.2f s; of the %d received in the second after: reached %d, schedule %d, bound's share %.0f\n",
			s.From, s.To, t.all, t.reached, t.scheduled, t.bound)
	}
}

func (r *Result) writePriorities(w io.Writer) {
	groups := make(map[int]*tally)
	for i := range r.Day.Attempts {
		a := &r.Day.Attempts[i]
		entry(groups, a.Priority).add(a, &r.Verdicts[i])
	}
	fmt.Fprintf(w, "\npriority\tsubmissions\treached\tschedule\tits share of the bound\tbound without the others\n")
	for _, p := range slices.Sorted(maps.Keys(groups)) {
		fmt.Fprintf(w, "%d\t%s\t%.3f\n", p, groups[p].shares(), float64(r.BoundOnly[p])/float64(groups[p].all))
	}
}

// writeSeconds prints the seconds with the most work for the room, by when submissions were received.
func (r *Result) writeSeconds(w io.Writer) {
	groups := make(map[int]*tally)
	for i := range r.Day.Attempts {
		a := &r.Day.Attempts[i]
		entry(groups, int(math.Floor(a.ReceivedAt))).add(a, &r.Verdicts[i])
	}
	fill := func(room *room, second int) float64 {
		return groups[second].work / math.Max(room.by(float64(second+1))-room.by(float64(second)), tolerance)
	}
	all, certain := newRoom(r.Day.Workers), newRoom(proven(r.Day.Workers))
	order := slices.SortedFunc(maps.Keys(groups), func(a, b int) int { return cmp.Or(cmp.Compare(fill(all, b), fill(all, a)), cmp.Compare(a, b)) })
	order = order[:min(len(order), fullestSeconds)]
	slices.Sort(order)
	fmt.Fprintf(w, "\nsecond\twork/room\twork/proven room\tsubmissions\treached\tschedule\tits share of the bound\n")
	for _, second := range order {
		fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%s\n", second, fill(all, second), fill(certain, second), groups[second].shares())
	}
}

// lostAs is what became of a submission that was not in time.
type lostAs struct {
	cause  losses.Cause
	reason string
}

// writeWinnable prints what became of those that were not in time but are in the schedule.
func (r *Result) writeWinnable(w io.Writer) {
	counts := make(map[lostAs]map[int]int)
	totals := make(map[lostAs]int)
	priorities := make(map[int]bool)
	for i := range r.Day.Attempts {
		a := &r.Day.Attempts[i]
		if a.Cause == losses.InTime || !r.Verdicts[i].Scheduled {
			continue
		}
		key := lostAs{a.Cause, a.Reason}
		if counts[key] == nil {
			counts[key] = make(map[int]int)
		}
		counts[key][a.Priority]++
		totals[key]++
		priorities[a.Priority] = true
	}
	columns := slices.Sorted(maps.Keys(priorities))
	fmt.Fprint(w, "\nnot in time, in the schedule\twhy\tsubmissions")
	for _, p := range columns {
		fmt.Fprintf(w, "\tpriority %d", p)
	}
	fmt.Fprintln(w)
	order := slices.SortedFunc(maps.Keys(totals), func(a, b lostAs) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a.cause, b.cause), cmp.Compare(a.reason, b.reason))
	})
	for _, key := range order {
		fmt.Fprintf(w, "%s\t%s\t%d", key.cause, key.reason, totals[key])
		for _, p := range columns {
			fmt.Fprintf(w, "\t%d", counts[key][p])
		}
		fmt.Fprintln(w)
	}
}

func (r *Result) writeAssumptions(w io.Writer) {
	d := r.Day
	from, objective := 0.0, "the caller's estimate"
	if len(d.Attempts) > 0 {
		from = d.Attempts[0].ReceivedAt
	}
	if d.ByRunTime {
		objective = "the run time of its longest task at speed 1"
	}
	fmt.Fprintf(w, `
Units: seconds since the first line (first submission: %.1f); work and room in core-seconds of the worker of
median speed, on which tasks take %.2f times their estimates (median).
Assumed: all work is known beforehand; a run lasts from its order to the notice of its end; the objective is by %s;
tasks without a completed run (%d, beside %d runs) last as long as siblings or as estimated; the bound's workers are there
from their start until they are known as lost or are no more listed (%.0f worker-seconds lost), also those that are cut off, hang or fail
tasks (%.0f worker-seconds in all), the schedule's while runs that completed are at most %.0f s apart (%.0f worker-seconds), each at one speed for %.0f s.
Missing: room that failed work took (%d runs, %.0f worker-seconds); time of orders and answers; cold starts;
what came while no VM was up; submissions that are stored, or whose demands (%d) or ends (%d) are not in the logs.
`, from, d.Pace, objective, d.Unlogged, d.Runs, d.LostSeconds, workerSeconds(d.Workers), maxSilence, workerSeconds(proven(d.Workers)), speedPhase, d.FailedRuns, d.FailedSeconds, d.Unknown, d.Endless)
}

func entry(groups map[int]*tally, key int) *tally {
	if groups[key] == nil {
		groups[key] = &tally{}
	}
	return groups[key]
}

func workerSeconds(workers []Worker) (sum float64) {
	for _, w := range workers {
		for _, p := range w.Periods {
			sum += p.To - p.From
		}
	}
	return sum
}
