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

// printStanding prints the entry VMs that cannot reach each other, the workers
// that are not healthy, and the client accounts with their use and queues.
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

// unhealthyWorker is a worker that is not healthy, with the entry VM that holds
// its lease.
type unhealthyWorker struct {
	operator.WorkerStanding
	holder string
}

func printWorkers(w io.Writer, all []VMStatus) {
	var workers []unhealthyWorker
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, s := range v.Status.WorkerStanding {
			if s.Tier != placement.Healthy.String() {
				workers = append(workers, unhealthyWorker{s, v.Status.Name})
			}
		}
	}
	if len(workers) == 0 {
		return
	}
	slices.SortStableFunc(workers, func(a, b unhealthyWorker) int { return cmp.Compare(b.Score, a.Score) })
	fmt.Fprintln(w, "\nWORKER\tHELD BY\tTIER\tREASON\tRUNNING\tEJECTIONS\tPACE")
	for _, s := range workers[:min(len(workers), maxRows)] {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\n", s.Worker, s.holder, s.Tier, s.Reason, s.Running, s.Ejections, s.Pace)
	}
	if more := len(workers) - maxRows; more > 0 {
		fmt.Fprintf(w, "... %d more workers, all with --json\n", more)
	}
}

// accountTotals is a client account's standing, summed over all entry VMs.
type accountTotals struct {
	operator.AccountStanding
	waitReasons []string // distinct wait reasons, from entry VMs where the account is not idle
}

func printAccounts(w io.Writer, all []VMStatus) {
	accounts := make(map[string]*accountTotals)
	var names []string
	for _, v := range all {
		if v.Status == nil {
			continue
		}
		for _, s := range v.Status.AccountStanding {
			if accounts[s.Account] == nil {
				accounts[s.Account] = &accountTotals{}
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
			a.QueuedTasks, a.QueuedJobs, serviceOverDue(a), orNone(strings.Join(a.waitReasons, " ")))
	}
}

func (a *accountTotals) add(s operator.AccountStanding) {
	a.Slots += s.Slots
	a.QuotaSlots = max(a.QuotaSlots, s.QuotaSlots)
	a.QueuedTasks += s.QueuedTasks
	a.QueuedJobs += s.QueuedJobs
	a.ServiceReceived += s.ServiceReceived
	a.ServiceDue += s.ServiceDue
	if reason := string(s.WaitReason); s.WaitReason != fairness.Idle && !slices.Contains(a.waitReasons, reason) {
		a.waitReasons = append(a.waitReasons, reason)
	}
}

func quota(slots uint32) string {
	if slots == 0 {
		return "-"
	}
	return fmt.Sprint(slots)
}

func serviceOverDue(a *accountTotals) string {
	if a.ServiceDue == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a.ServiceReceived/a.ServiceDue)
}
