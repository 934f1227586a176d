package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const killKey = "kill-key-for-tests"

// newKillSite returns a new site of the size of Tsagaan Shavar's, and a client of it.
// The input of a task is its run time in microseconds.
func newKillSite(b *testing.B) (*Site, *client.Client) {
	b.Helper()
	opt := Defaults([]string{"d1", "d2", "d3", "d4"})
	opt.Behaviour = func(_ string, input []byte) worker.Outcome {
		var micros int64
		_ = json.Unmarshal(input, &micros)
		return worker.Outcome{Run: time.Duration(micros) * time.Microsecond, Output: input}
	}
	s, err := Start(opt)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	doc := &document.Document{
		Templates: []document.Template{{
			Name: "t", Class: document.Normal, Idempotent: true,
			Declared:       document.Declared{Slots: 1, MilliCPU: 100, MemoryMiB: 16, Milliwatts: 1000, RunMillis: 100},
			DeadlineMillis: 30_000, MaxTasks: 920,
		}},
		Accounts: []document.Account{{Name: "a", Weight: 1, KeyHashes: []string{document.KeyHash(killKey)}}},
		Site:     document.Site{PowerCapMilliwatts: 40_000_000, Domains: map[string]uint64{"d1": 10_000_000, "d2": 10_000_000, "d3": 10_000_000, "d4": 10_000_000}},
	}
	if _, err := s.Publish(ctx, doc, "bench", "bench-1"); err != nil {
		b.Fatal(err)
	}
	if err := s.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	c, err := client.New(client.Options{Endpoints: s.Endpoints(), Key: killKey, Prefetch: 8})
	if err != nil {
		b.Fatal(err)
	}
	return s, c
}

// killResults counts the outcomes of the jobs that the kill affected.
type killResults struct {
	mu                          sync.Mutex
	killedAt                    time.Time
	affected, complete, unknown int
	failed, notRun, unresolved  int
	delays                      []float64 // of complete jobs: ms above the run time of the longest task
	sent                        int
	maxDelay                    float64 // the largest of delays, of the job worstTicket
	worstTicket                 string
}

// recordAnswer counts the answer of a job if it was in flight at the kill and the kill
// can have affected it.
func (r *killResults) recordAnswer(began time.Time, longest time.Duration, a *client.Answer, err error, touched func(home string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.killedAt.IsZero() || now.Before(r.killedAt) || began.After(r.killedAt) {
		return
	}
	if err != nil {
		r.affected++
		r.unresolved++
		return
	}
	t, _ := ticket.Parse([]byte(ticketKey), a.Ticket)
	if !touched(t.Home) {
		return
	}
	r.affected++
	r.sent += a.Sent - 1
	switch a.Outcome {
	case client.Complete:
		r.complete++
		delay := float64((now.Sub(began) - longest).Microseconds()) / 1000
		r.delays = append(r.delays, delay)
		if delay > r.maxDelay {
			r.maxDelay, r.worstTicket = delay, a.Ticket
		}
	case client.Unknown:
		r.unknown++
	case client.NotRun:
		r.notRun++
	default:
		r.failed++
	}
}

// runLoad keeps 60 jobs in flight until stop is closed. Most have 2 tasks of about
// 50 ms, some 8 tasks of 300 ms, and few 60 tasks of one second.
func (r *killResults) runLoad(c *client.Client, stop <-chan struct{}, touched func(home string) bool) {
	var jobs sync.WaitGroup
	for i := range 60 {
		jobs.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for {
				select {
				case <-stop:
					return
				default:
				}
				tasks, run := 2, 50*time.Millisecond
				switch n := rng.IntN(50); {
				case n == 0:
					tasks, run = 60, time.Second
				case n < 8:
					tasks, run = 8, 300*time.Millisecond
				}
				j := client.Job{Template: "t"}
				var longest time.Duration
				for range tasks {
					d := time.Duration(float64(run) * (0.6 + 0.8*rng.Float64()))
					longest = max(longest, d)
					text, _ := json.Marshal(d.Microseconds())
					j.Tasks = append(j.Tasks, text)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				began := time.Now()
				a, err := c.Submit(ctx, j)
				cancel()
				r.recordAnswer(began, longest, a, err, touched)
			}
		})
	}
	jobs.Wait()
}

// benchKill measures the effect of one kill on the jobs in flight.
func benchKill(b *testing.B, kill func(s *Site) (touched func(home string) bool)) {
	total := &killResults{}
	var seals, follows int
	var reacquireTime time.Duration
	for range b.N {
		s, c := newKillSite(b)
		r := &killResults{}
		var touched func(string) bool
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			r.runLoad(c, stop, func(home string) bool { return touched(home) })
			close(done)
		}()
		time.Sleep(1500 * time.Millisecond)
		before := s.ControlCalls()
		r.mu.Lock()
		r.killedAt = time.Now()
		touched = kill(s)
		r.mu.Unlock()
		reacquireTime += awaitLeases(b, s)
		close(stop)
		<-done
		after := s.ControlCalls()
		seals += after.Seals - before.Seals
		follows += after.Follows - before.Follows
		if testing.Verbose() {
			logWorstTimeline(b, c, r)
		}
		if _, _, highest := s.Starts(); highest > 1 {
			b.Errorf("a task was started %d times", highest)
		}
		s.Stop()
		total.affected += r.affected
		total.complete += r.complete
		total.unknown += r.unknown
		total.failed += r.failed
		total.notRun += r.notRun
		total.unresolved += r.unresolved
		total.sent += r.sent
		total.delays = append(total.delays, r.delays...)
	}
	per := func(n int, unit string) { b.ReportMetric(float64(n)/float64(b.N), unit) }
	per(total.affected, "affected")
	per(total.complete, "complete")
	per(total.unknown, "unknown")
	per(total.failed, "failed")
	per(total.notRun, "not-run")
	per(total.unresolved, "no-answer")
	per(total.sent, "repeats")
	per(seals, "seals")
	per(follows, "follows")
	b.ReportMetric(float64(reacquireTime.Milliseconds())/float64(b.N), "rehold-ms")
	slices.Sort(total.delays)
	if n := len(total.delays); n > 0 {
		b.ReportMetric(total.delays[n/2], "delay-p50-ms")
		b.ReportMetric(total.delays[n-1], "delay-max-ms")
	}
}

// awaitLeases waits until every running worker is leased by a running entry VM and
// returns how long that took. It takes at least 1.5 s in all.
func awaitLeases(b *testing.B, s *Site) time.Duration {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.awaitLeases(ctx); err != nil {
		b.Error(err)
	}
	took := time.Since(began)
	time.Sleep(max(0, 1500*time.Millisecond-took))
	return took
}

// logWorstTimeline logs the timeline of the job with the largest delay.
func logWorstTimeline(b *testing.B, c *client.Client, r *killResults) {
	steps, err := c.Timeline(context.Background(), r.worstTicket)
	if err != nil || len(steps) == 0 {
		return
	}
	b.Logf("delay %.0f ms:", r.maxDelay)
	for _, s := range steps {
		b.Logf("%9.1f ms  %s %s %s %s", float64(s.UnixMicros-steps[0].UnixMicros)/1000, s.EntryVM, s.Step, s.Reason, s.Detail)
	}
}

// BenchmarkKillEntryVM kills one of eight entry VMs. The affected jobs are those in
// flight whose home it was.
func BenchmarkKillEntryVM(b *testing.B) {
	benchKill(b, func(s *Site) func(string) bool {
		victim := s.Entries()[2]
		s.KillEntry(victim)
		return func(home string) bool { return home == victim.Name }
	})
}

// BenchmarkKillWorker kills one of fifty workers. All jobs in flight count as
// affected, since each may have had a task there.
func BenchmarkKillWorker(b *testing.B) {
	benchKill(b, func(s *Site) func(string) bool {
		s.KillWorker(s.Workers()[7])
		return func(string) bool { return true }
	})
}
