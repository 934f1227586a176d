package operate

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/tool/advice"
)

// Status prints the status of all entry VMs.
func (s *Site) Status(ctx context.Context, asJSON bool, w io.Writer) error {
	all := s.Statuses(ctx)
	if asJSON {
		return json.NewEncoder(w).Encode(all)
	}
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY VM\tDOMAIN\tREADY\tSTORE\tREVISION\tLEASES\tFREE/SLOTS\tQUEUED\tPEERS")
	for _, v := range all {
		st := v.Status
		if st == nil {
			fmt.Fprintf(table, "%s\t-\tcan not be reached at %s: %s\n", orNone(v.Name), v.URL, v.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%d\t%d\n",
			st.Name, st.Domain, readiness(st.Ready, st.Draining), upOrDown(st.StoreUp), st.Revision,
			len(st.Workers), st.FreeSlots, st.Slots, st.QueuedTasks, len(st.Peers))
	}
	fmt.Fprintln(table, "\nENTRY VM\tDOMAIN\tPLAN\tALLOTTED\tCOMMITTED\tFREE\tSTRANDED\tLAST POWER DECISION")
	for _, v := range all {
		if v.Status != nil {
			printPower(table, v.Status)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printSuspicions(all, w)
	return printStanding(w, all)
}

// printSuspicions prints the entry VMs that hear no other entry VM, and those that
// others suspect to be down, with the reason and the VMs that report it.
func printSuspicions(all []VMStatus, w io.Writer) {
	for _, v := range all {
		if v.Status != nil && v.Status.Isolated {
			fmt.Fprintf(w, "%s is isolated: it hears no other entry VM\n", v.Name)
		}
	}
	for _, d := range joinSuspicions(all) {
		fmt.Fprintf(w, "%s (%s) is suspected to be down by %s: %s\n", d.Name, d.Domain, strings.Join(d.reportedBy, ", "), d.Reason)
	}
}

// suspicion is an entry VM that is suspected to be down, with the names of the
// entry VMs that report it.
type suspicion struct {
	operator.SuspectedVM
	reportedBy []string
}

// joinSuspicions groups the suspicions of all entry VMs by the suspected VM and
// the reason, and sorts them by name and reason.
func joinSuspicions(all []VMStatus) []suspicion {
	joined := make(map[operator.SuspectedVM]*suspicion)
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, d := range v.Status.Suspected {
			if joined[d] == nil {
				joined[d] = &suspicion{SuspectedVM: d}
			}
			joined[d].reportedBy = append(joined[d].reportedBy, v.Name)
		}
	}
	out := make([]suspicion, 0, len(joined))
	for _, d := range joined {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b suspicion) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Reason, b.Reason))
	})
	return out
}

// printPower prints the power budget of one entry VM as a table row.
func printPower(w io.Writer, s *operator.Status) {
	p := &s.Power
	plan := "none"
	if p.Revision > 0 {
		plan = fmt.Sprintf("%d", p.Revision)
	}
	if p.Revision > 0 && !p.Complete {
		plan += " (not complete)"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%d W\t%d W\t%d W\t%d W\t%s %s %d W\n", s.Name, s.Domain, plan,
		p.Allotted/milliwattsPerWatt, p.Committed/milliwattsPerWatt, p.Free/milliwattsPerWatt, p.Stranded/milliwattsPerWatt,
		p.LastDecision.Reason, p.LastDecision.Concerns, p.LastDecision.Milliwatts/milliwattsPerWatt)
}

const milliwattsPerWatt = 1000

func readiness(ready, draining bool) string {
	switch {
	case draining:
		return "stopping"
	case ready:
		return "yes"
	}
	return "no"
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

// clearScreen is the ANSI sequence that moves the cursor home and clears the
// terminal.
const clearScreen = "\x1b[H\x1b[2J"

// Watch prints the status at every interval until ctx ends.
func (s *Site) Watch(ctx context.Context, interval time.Duration, w io.Writer) error {
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for {
		fmt.Fprint(w, clearScreen)
		if err := s.Status(ctx, false, w); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// Explain prints the timeline of a submission, merged from all entry VMs.
func (s *Site) Explain(ctx context.Context, ticket string, asJSON bool, w io.Writer) error {
	out, err := s.timeline(ctx, ticket)
	if err != nil {
		return WithAdvice(err)
	}
	if asJSON {
		return json.NewEncoder(w).Encode(out)
	}
	PrintTimeline(w, out.ID, out.Steps)
	return nil
}

// timeline merges the timelines of a submission from all given entry VMs. Each
// entry VM asks its peers too, but the steps of one that is partitioned from its
// peers can be had from that VM only.
func (s *Site) timeline(ctx context.Context, ticket string) (caller.TimelineBody, error) {
	var all caller.TimelineBody
	var errs []error
	for _, base := range s.operators {
		var one caller.TimelineBody
		if err := s.call(ctx, http.MethodGet, base+"/v1/explain/"+url.PathEscape(ticket), nil, &one); err != nil {
			errs = append(errs, err)
			continue
		}
		all.ID = one.ID
		for _, step := range one.Steps {
			if !slices.Contains(all.Steps, step) {
				all.Steps = append(all.Steps, step)
			}
		}
	}
	if all.ID == "" {
		return all, errors.Join(errs...)
	}
	slices.SortStableFunc(all.Steps, func(a, b caller.TimelineStep) int { return cmp.Compare(a.UnixMicros, b.UnixMicros) })
	return all, nil
}

// maxRows is the most timeline steps or workers that are printed for one screen.
// The middle of a longer timeline and the end of a longer worker list are omitted.
const maxRows = 18

// PrintTimeline prints the steps of a submission as text that fits one screen,
// followed by the meaning of the last step's reason code.
func PrintTimeline(w io.Writer, id string, steps []caller.TimelineStep) {
	if len(steps) == 0 {
		fmt.Fprintf(w, "submission %s: not known to any reachable entry VM\n", id)
		return
	}
	start := time.UnixMicro(steps[0].UnixMicros)
	fmt.Fprintf(w, "submission %s, first seen %s\n", id, start.Format(time.DateTime))
	for i, st := range steps {
		if omitted := len(steps) - maxRows; omitted > 0 && i >= maxRows/2 && i < maxRows/2+omitted {
			if i == maxRows/2 {
				fmt.Fprintf(w, "  ... %d more steps, all with --json\n", omitted)
			}
			continue
		}
		after := float64(st.UnixMicros-steps[0].UnixMicros) / float64(time.Millisecond/time.Microsecond)
		fmt.Fprintf(w, "%9.1fms  %-8s %-11s %s %s\n", after, st.EntryVM, st.Step, st.Reason, st.Detail)
	}
	if e, ok := advice.For(lastReason(steps)); ok {
		fmt.Fprintf(w, "%s: %s\n  what to do: %s\n", e.Code, e.Meaning, e.Action)
	}
}

func lastReason(steps []caller.TimelineStep) reason.Code {
	return steps[len(steps)-1].Reason
}
