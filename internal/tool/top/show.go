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

// Options of a show.
type Options struct {
	URLs     []string      // metrics addresses of the entry VMs
	Interval time.Duration // between two pictures
	Count    int           // pictures; 0: until the context ends
	Out      io.Writer
}

// Validate says what is missing.
func (o *Options) Validate() error {
	switch {
	case len(o.URLs) == 0:
		return errors.New("no metrics URL of an entry VM is given")
	case o.Interval <= 0:
		return fmt.Errorf("pictures every %v: it must be above 0", o.Interval)
	case o.Count < 0:
		return fmt.Errorf("%d pictures: it must not be below 0", o.Count)
	default:
		return nil
	}
}

// readWithin bounds a VM's answer, so that one that hangs does not hold up the others.
const readWithin = 900 * time.Millisecond

// Run shows a picture of the site at each interval. A VM that does not answer is named
// with the reason.
func Run(ctx context.Context, o Options) error {
	if err := o.Validate(); err != nil {
		return err
	}
	before := make(map[string]*Sample)
	tick := time.NewTicker(o.Interval)
	defer tick.Stop()
	for n := 0; o.Count == 0 || n < o.Count; n++ {
		now, errs := readAll(ctx, o.URLs)
		if err := show(o.Out, before, now, errs); err != nil {
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

// readAll asks all VMs at once. Its results are by URL.
func readAll(ctx context.Context, urls []string) (map[string]*Sample, map[string]error) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
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

// show prints the VMs, the shards and the queues. Rates are since the earlier sample of
// the same VM, and are left out without one.
func show(out io.Writer, before, now map[string]*Sample, errs map[string]error) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\n", time.Now().Format(time.TimeOnly))
	fmt.Fprintln(w, "ENTRY VM\tSHARDS\tOPEN\tSTORE/S\tUNANSWERED/S\tTAKEN OVER\tPEERS LOST")
	for _, url := range slices.Sorted(maps.Keys(now)) {
		s := now[url]
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%s\t%s\t%.0f\t%.0f\n", s.EntryVM, len(s.Shards), s.OpenSubmissions,
			rate(before[url], s, func(s *Sample) float64 { return s.StoreCalls }),
			rate(before[url], s, func(s *Sample) float64 { return s.UnansweredStoreCalls }), s.ShardTakeovers, s.PeersLost)
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

// evacuatedLines name the evacuated domains. One that only some VMs know of was asked for, or
// returned, a moment ago, or the others are cut off.
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
		// Two rows of one shard, for a moment: the earlier holder has not heard yet.
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

// unknown stands where there is no earlier sample to count from.
const unknown = "-"

// growth is how fast a count grew. It is not known without an earlier sample, or if the
// count fell: then the VM has started again.
func growth(before, now *Sample, count func(*Sample) float64) (perSecond float64, known bool) {
	if before == nil || count(now) < count(before) {
		return 0, false
	}
	return (count(now) - count(before)) / now.At.Sub(before.At).Seconds(), true
}

func rate(before, now *Sample, count func(*Sample) float64) string {
	return perSecond(growth(before, now, count))
}

// queueRate sums a queue's rate over the VMs that were read twice.
func queueRate(before, now map[string]*Sample, name string, count func(Queue) float64) string {
	sum, read := 0.0, false
	for url, s := range now {
		v, known := growth(before[url], s, func(s *Sample) float64 { return count(s.Queues[name]) })
		sum += v
		read = read || known
	}
	return perSecond(sum, read)
}

func perSecond(v float64, known bool) string {
	if !known {
		return unknown
	}
	return fmt.Sprintf("%.1f", v)
}
