package top

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Options of Run.
type Options struct {
	URLs     []string      // metrics addresses of the entry VMs
	Interval time.Duration // between two snapshots
	Count    int           // number of snapshots; 0: until the context ends
	Out      io.Writer
}

// Validate returns an error if an option is missing or out of range.
func (o *Options) Validate() error {
	switch {
	case len(o.URLs) == 0:
		return errors.New("no metrics URL of an entry VM is given")
	case o.Interval <= 0:
		return fmt.Errorf("refresh interval %v: must be above 0", o.Interval)
	case o.Count < 0:
		return fmt.Errorf("%d refreshes: must not be below 0", o.Count)
	default:
		return nil
	}
}

// readTimeout limits reading the metrics, so that a VM that hangs does not delay the display.
const readTimeout = 900 * time.Millisecond

// Run writes a snapshot of the site at each interval. A VM whose metrics cannot be read is
// listed with the error.
func Run(ctx context.Context, o Options) error {
	if err := o.Validate(); err != nil {
		return err
	}
	before := make(map[string]*Sample)
	tick := time.NewTicker(o.Interval)
	defer tick.Stop()
	for n := 0; o.Count == 0 || n < o.Count; n++ {
		now, errs := readAll(ctx, o.URLs)
		if err := writeSnapshot(o.Out, before, now, errs); err != nil {
			return err
		}
		maps.Copy(before, now)
		if n+1 == o.Count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
	return nil
}

// readAll reads the metrics of all VMs in parallel. It returns samples and errors by URL.
func readAll(ctx context.Context, urls []string) (map[string]*Sample, map[string]error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	samples := make(map[string]*Sample)
	errs := make(map[string]error)
	var mu sync.Mutex
	var reads sync.WaitGroup
	for _, url := range urls {
		reads.Go(func() {
			s, err := Read(ctx, http.DefaultClient, url)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs[url] = err
				return
			}
			samples[url] = s
		})
	}
	reads.Wait()
	return samples, errs
}

// writeSnapshot prints the VMs, the shards and the queues. Rates are averages since the
// previous sample of the same VM; without one, "-" is shown.
func writeSnapshot(out io.Writer, before, now map[string]*Sample, errs map[string]error) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\n", time.Now().Format(time.TimeOnly))
	fmt.Fprintln(w, "ENTRY VM\tSHARDS\tOPEN\tSTORE/S\tUNANSWERED/S\tTAKEN OVER\tPEERS LOST")
	for _, url := range slices.Sorted(maps.Keys(now)) {
		s := now[url]
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%s\t%s\t%.0f\t%.0f\n", s.EntryVM, len(s.Shards), s.OpenSubmissions,
			vmRate(before[url], s, func(s *Sample) float64 { return s.StoreCalls }),
			vmRate(before[url], s, func(s *Sample) float64 { return s.UnansweredStoreCalls }), s.ShardTakeovers, s.PeersLost)
	}
	for _, url := range slices.Sorted(maps.Keys(errs)) {
		fmt.Fprintf(w, "no answer: %v\n", errs[url])
	}
	for _, line := range evacuatedLines(now) {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "\nSHARD\tHOLDER\tWORKERS\tROOM cores\tFREE\tWAITING")
	for _, r := range shardRows(now) {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\n", r.name, r.holder, r.Workers, r.CapacityCores, r.FreeCores, r.QueuedCores)
	}
	fmt.Fprintln(w, "\nQUEUE\tTAKEN/S\tDONE/S\tFAILED/S\tREFUSED/S")
	for _, name := range queueNames(now) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name,
			queueRate(before, now, name, func(q Queue) float64 { return q.Accepted }),
			queueRate(before, now, name, func(q Queue) float64 { return q.Done }),
			queueRate(before, now, name, func(q Queue) float64 { return q.Failed }),
			queueRate(before, now, name, func(q Queue) float64 { return q.Refused }))
	}
	fmt.Fprintln(w)
	return w.Flush()
}

// evacuatedLines returns a line for each evacuated domain. If only some VMs know of the
// evacuation, it was requested or cancelled a moment ago, or the other VMs are cut off.
func evacuatedLines(now map[string]*Sample) []string {
	knownAt := make(map[string]int)
	for _, s := range now {
		for _, domain := range s.Evacuated {
			knownAt[domain]++
		}
	}
	var lines []string
	for _, domain := range slices.Sorted(maps.Keys(knownAt)) {
		lines = append(lines, fmt.Sprintf("evacuated: %s, known at %d of %d VMs", domain, knownAt[domain], len(now)))
	}
	return lines
}

type shardRow struct {
	name, holder string
	Shard
}

func shardRows(now map[string]*Sample) []shardRow {
	var rows []shardRow
	for _, s := range now {
		for name, sh := range s.Shards {
			rows = append(rows, shardRow{name: name, holder: s.EntryVM, Shard: sh})
		}
	}
	slices.SortFunc(rows, func(a, b shardRow) int {
		// A shard can briefly have two rows, until its former holder notices the loss.
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.holder, b.holder))
	})
	return rows
}

func queueNames(now map[string]*Sample) []string {
	names := make(map[string]bool)
	for _, s := range now {
		for name := range s.Queues {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// unknownRate is shown in place of a rate that is not known.
const unknownRate = "-"

// ratePerSecond returns the average rate of a counter between two samples. The rate is
// unknown without an earlier sample, or if the counter decreased because the VM restarted.
func ratePerSecond(before, now *Sample, count func(*Sample) float64) (perSecond float64, known bool) {
	if before == nil || count(now) < count(before) {
		return 0, false
	}
	return (count(now) - count(before)) / now.At.Sub(before.At).Seconds(), true
}

func vmRate(before, now *Sample, count func(*Sample) float64) string {
	return formatRate(ratePerSecond(before, now, count))
}

// queueRate returns the sum of a queue's rates over the VMs whose rate is known.
func queueRate(before, now map[string]*Sample, name string, count func(Queue) float64) string {
	sum, read := 0.0, false
	for url, s := range now {
		v, known := ratePerSecond(before[url], s, func(s *Sample) float64 { return count(s.Queues[name]) })
		sum += v
		read = read || known
	}
	return formatRate(sum, read)
}

func formatRate(v float64, known bool) string {
	if !known {
		return unknownRate
	}
	return fmt.Sprintf("%.1f", v)
}
