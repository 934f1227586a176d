package demo

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/verdict"
)

// tally counts how jobs ended.
type tally struct {
	jobs       int
	outcomes   map[client.Outcome]int
	reasons    map[string]int
	unresolved int
	wrong      int                  // complete answers that were not the job's own, whole answer
	sent       int                  // requests
	responses  map[string][]float64 // response over ideal, by template
}

// record counts one job's end.
func (r *run) record(j job, took time.Duration, err error) {
	a, arrival := j.answer, j.arrival
	j.complete = err == nil && a.Outcome == client.Complete && arrival.Answered(a.Outputs)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
	t := &r.tally
	if t.outcomes == nil {
		t.outcomes = make(map[client.Outcome]int)
		t.reasons = make(map[string]int)
		t.responses = make(map[string][]float64)
	}
	t.jobs++
	if err != nil {
		t.unresolved++
		t.reasons[err.Error()]++
		return
	}
	t.sent += a.Sent
	t.outcomes[a.Outcome]++
	if a.Outcome != client.Complete {
		t.reasons[string(a.Outcome)+" "+a.Reason+": "+a.Detail]++
		return
	}
	if !j.complete {
		t.wrong++
	}
	ideal := arrival.Longest() + r.profile.RoundTrip()
	s := arrival.Stream
	if ratio := float64(took) / float64(ideal); ratio > r.slowest.ratio && (r.opt.Explain == "" || r.opt.Explain == s.Template) {
		r.slowest = slowest{ratio, s.Account, s.Template, a.Ticket}
	}
	t.responses[s.Template] = append(t.responses[s.Template], float64(took)/float64(ideal))
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// slowest is the complete job with the worst response over ideal.
type slowest struct {
	ratio             float64
	account, template string
	ticket            string
}

// explainSlowest prints what the entry VMs noted of the slowest job.
func (r *run) explainSlowest() {
	c := r.all.clients[r.slowest.account]
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	steps, err := c.Timeline(ctx, r.slowest.ticket)
	if err != nil || len(steps) == 0 {
		r.say("the slowest job can not be explained: %v", err)
		return
	}
	r.say("the slowest job: %s of %s, %.1f times its ideal, step by step:", r.slowest.template, r.slowest.account, r.slowest.ratio)
	for i, s := range steps {
		if i >= maxExplained {
			fmt.Fprintf(r.opt.Out, "          ... %d more steps\n", len(steps)-i)
			break
		}
		after := time.Duration(s.UnixMicros-steps[0].UnixMicros) * time.Microsecond
		fmt.Fprintf(r.opt.Out, "  %8.1fms  %-4s %-11s %s %s\n", float64(after)/float64(time.Millisecond), s.EntryVM, s.Step, s.Reason, s.Detail)
	}
}

// maxExplained bounds the steps that are printed.
const maxExplained = 16

// report prints the table and says whether the promises held.
func (r *run) report() error {
	t := &r.tally
	tasks, starts, highest := r.site.Starts()
	overCap := r.watch.overCap()
	r.say("done, results:")
	w := tabwriter.NewWriter(r.opt.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(w, "\njobs\t%d\n", t.jobs)
	fmt.Fprintf(w, "  complete\t%d\n", t.outcomes[client.Complete])
	fmt.Fprintf(w, "  failed\t%d\n", t.outcomes[client.Failed])
	fmt.Fprintf(w, "  not run\t%d\n", t.outcomes[client.NotRun])
	fmt.Fprintf(w, "  outcome unknown\t%d\n", t.outcomes[client.Unknown])
	fmt.Fprintf(w, "  no answer\t%d\n", t.unresolved)
	fmt.Fprintf(w, "tasks started / starts / most starts of one task\t%d / %d / %d\n", tasks, starts, highest)
	fmt.Fprintf(w, "wrong or partial answers\t%d\n", t.wrong)
	fmt.Fprintf(w, "requests beyond one per job (wasted)\t%.4f per job\n", float64(t.sent-t.jobs+t.unresolved)/float64(max(t.jobs, 1)))
	fmt.Fprintf(w, "peak draw over cap\t%.3f\n", overCap)
	r.watch.report(w)
	for template, rs := range sortedTemplates(t.responses) {
		fmt.Fprintf(w, "response over ideal, %s\tp50 %.2f  p99 %.2f  (%d jobs)\n", template, quantile(rs, 0.5), quantile(rs, 0.99), len(rs))
	}
	_ = w.Flush()
	for reason, n := range t.reasons {
		fmt.Fprintf(r.opt.Out, "  %4d x %s\n", n, reason)
	}
	r.explainSlowest()
	return verdict.Counts{
		MaxStartsPerTask: highest,
		WrongAnswers:     t.wrong,
		Unanswered:       t.unresolved,
		PeakToCapRatio:   overCap,
	}.Check()
}

// sortedTemplates yields the templates by name, their values sorted.
func sortedTemplates(m map[string][]float64) func(func(string, []float64) bool) {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return func(yield func(string, []float64) bool) {
		for _, name := range names {
			slices.Sort(m[name])
			if !yield(name, m[name]) {
				return
			}
		}
	}
}
