package operate

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// printStanding prints which entry VMs do not reach each other, the workers that
// are not trusted in full, and the client accounts that have or want something.
func printStanding(w io.Writer, all []VMStatus) error {
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	printUnreachable(table, all)
	printWorkers(table, all)
	printAccounts(table, all)
	return table.Flush()
}

func printUnreachable(w io.Writer, all []VMStatus) {
	header := "\nENTRY VM\tDOMAIN\tDOES NOT REACH\tDOMAIN\n"
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, u := range v.Status.Unreachable {
			fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\n", header, v.Status.Name, v.Status.Domain, u.Name, u.Domain)
			header = ""
		}
	}
}

// distrusted is a worker that is not healthy, with its holder.
type distrusted struct {
	operator.WorkerStanding
	holder string
}

func printWorkers(w io.Writer, all []VMStatus) {
	var workers []distrusted
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, s := range v.Status.WorkerStanding {
			if s.Tier != placement.Healthy.String() {
				workers = append(workers, distrusted{s, v.Status.Name})
			}
		}
	}
	if len(workers) == 0 {
		return
	}
	slices.SortStableFunc(workers, func(a, b distrusted) int { return cmp.Compare(b.Score, a.Score) })
	fmt.Fprintln(w, "\nWORKER\tHELD BY\tTIER\tREASON\tRUNNING\tEJECTIONS\tPACE")
	for _, s := range workers[:min(len(workers), screen)] {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\n", s.Worker, s.holder, s.Tier, s.Reason, s.Running, s.Ejections, s.Pace)
	}
	if more := len(workers) - screen; more > 0 {
		fmt.Fprintf(w, "... %d more workers, all with --json\n", more)
	}
}

// account sums a client account up over entry VMs.
type account struct {
	operator.AccountStanding
	waits []string // reasons, of the entry VMs where it has work queued
}

func printAccounts(w io.Writer, all []VMStatus) {
	accounts := make(map[string]*account)
	var names []string
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, s := range v.Status.AccountStanding {
			if accounts[s.Account] == nil {
				accounts[s.Account] = &account{}
				names = append(names, s.Account)
			}
			accounts[s.Account].add(s)
		}
	}
	slices.Sort(names)
	if len(names) > 0 {
		fmt.Fprintln(w, "\nACCOUNT\tSLOTS\tQUOTA\tQUEUED TASKS\tJOBS\tSERVICE/DUE\tWAITS FOR")
	}
	for _, name := range names {
		a := accounts[name]
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\t%s\n", name, a.Slots, quota(a.QuotaSlots),
			a.QueuedTasks, a.QueuedJobs, serviceOverDue(a), orNone(strings.Join(a.waits, " ")))
	}
}

func (a *account) add(s operator.AccountStanding) {
	a.Slots += s.Slots
	a.QuotaSlots = max(a.QuotaSlots, s.QuotaSlots)
	a.QueuedTasks += s.QueuedTasks
	a.QueuedJobs += s.QueuedJobs
	a.ServiceReceived += s.ServiceReceived
	a.ServiceDue += s.ServiceDue
	if why := string(s.WaitReason); s.WaitReason != fairness.Idle && !slices.Contains(a.waits, why) {
		a.waits = append(a.waits, why)
	}
}

func quota(slots uint32) string {
	if slots == 0 {
		return "-"
	}
	return fmt.Sprint(slots)
}

func serviceOverDue(a *account) string {
	if a.ServiceDue == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a.ServiceReceived/a.ServiceDue)
}
