// Package bound works out, from the logs of entry VMs, how many of a day's submissions any dispatcher could have had in time on the
// workers that there were, all work known beforehand, beside what was reached.
//
// Fluid is an upper bound, Schedule a lower estimate of it: the truth lies between. Both are pure; Read takes arrivals, run times and
// workers from lines of log level 1. Times are in seconds since the first line, work and room in core-seconds of the worker of
// median speed.
package bound

import "github.com/pumiceyard/pumiceyard/internal/tool/losses"

// Verdict is what the bound and the schedule say of an attempt.
type Verdict struct {
	TooShort  bool    // no worker could have it in time
	Scheduled bool    // the schedule has it in time
	Short     float64 // share of it that the bound leaves undone, in one best solution of the relaxation
}

// Result sets what was reached beside the schedule and the bound. Reached is at most Bound but for errors in what is read from the logs;
// Schedule is at most Bound always.
type Result struct {
	Day       *Day
	Verdicts  []Verdict // as Day.Attempts
	Reached   int       // answered in time
	Schedule  int       // in time in the schedule
	Bound     int       // at most in time
	TooShort  int
	CutShort  int         // of TooShort: their caller left, or their VM ended, before the end of the objective
	Whole     int         // bound if no worker had been lost or had turned slow
	BoundOnly map[int]int // by priority: at most in time if no work of other priorities came
}

// Judge works out bound and schedule of a day.
func Judge(d *Day) *Result {
	r := &Result{Day: d, Verdicts: make([]Verdict, len(d.Attempts)), BoundOnly: make(map[int]int)}
	var works []Work
	var of []int // attempt of each work
	byPriority := make(map[int][]Work)
	for i := range d.Attempts {
		a := &d.Attempts[i]
		if a.Cause == losses.InTime {
			r.Reached++
		} else if TooShort(&a.Work, d.Workers) {
			r.Verdicts[i].TooShort = true
			r.TooShort++
			if a.Cut {
				r.CutShort++
			}
			continue
		}
		works, of = append(works, a.Work), append(of, i)
		byPriority[a.Priority] = append(byPriority[a.Priority], a.Work)
	}
	b := Fluid(works, d.Workers)
	r.Bound = b.Count
	r.Whole = max(Fluid(works, undisturbed(d.Workers)).Count, b.Count)
	for w, served := range Schedule(works, proven(d.Workers)) {
		v := &r.Verdicts[of[w]]
		v.Scheduled, v.Short = served, b.Short[w]
		if served {
			r.Schedule++
		}
	}
	for p, own := range byPriority {
		r.BoundOnly[p] = Fluid(own, d.Workers).Count
	}
	return r
}
