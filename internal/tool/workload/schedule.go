package workload

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Arrival is one job of a schedule.
type Arrival struct {
	Stream *Stream
	At     time.Duration // after the start of the load
	// First is the number of the job's first task. No two tasks of a schedule
	// have the same.
	First int
	Runs  []time.Duration // of each task
	// ResubmitAfter is when the job is submitted again under its ticket, after
	// its submission; 0: never.
	ResubmitAfter time.Duration
	// CancelAfter is when the job is cancelled, after its submission; 0: never.
	CancelAfter time.Duration
}

// Longest is the run time of the job's longest task.
func (a *Arrival) Longest() time.Duration { return slices.Max(a.Runs) }

// Task run times are spread evenly over this part of their mean and on.
const (
	leastRun  = 0.6
	runSpread = 0.8
)

// Schedule draws all arrivals of a profile, in the order of their times. It
// depends on the profile alone: what the site does moves no arrival.
func Schedule(p *Profile) []Arrival {
	var out []Arrival
	for i := range p.Streams {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		out = append(out, p.Streams[i].arrivals(rng, p.Duration())...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	first := 0
	for i := range out {
		out[i].First = first
		first += len(out[i].Runs)
	}
	return out
}

func (s *Stream) arrivals(rng *rand.Rand, end time.Duration) []Arrival {
	var out []Arrival
	at := s.next(rng, millis(s.StartMillis), end)
	for at < end {
		out = append(out, s.draw(rng, at))
		at = s.next(rng, at, end)
	}
	return out
}

// draw draws what one job is. It takes as many random numbers whatever the
// shares are, so that a changed share moves no arrival.
func (s *Stream) draw(rng *rand.Rand, at time.Duration) Arrival {
	a := Arrival{Stream: s, At: at}
	tasks := s.Tasks.Min + uint32(rng.Float64()*float64(s.Tasks.Max-s.Tasks.Min+1))
	a.Runs = make([]time.Duration, min(tasks, s.Tasks.Max))
	for i := range a.Runs {
		a.Runs[i] = millis(s.RunMillis * (leastRun + runSpread*rng.Float64()))
	}
	lot, part := rng.Float64(), rng.Float64()
	after := max(time.Duration(part*float64(a.Longest())), 1)
	switch {
	case lot < s.ResubmitShare:
		a.ResubmitAfter = after
	case lot < s.ResubmitShare+s.CancelShare:
		a.CancelAfter = after
	}
	return a
}

// next draws the arrival after from. The gaps are those of a Poisson process
// whose rate is constant between the edges of bursts.
func (s *Stream) next(rng *rand.Rand, from, end time.Duration) time.Duration {
	left := rng.ExpFloat64() // arrivals to be expected until the next one
	for from < end {
		rate, until := s.rate(from, end)
		expected := rate * (until - from).Seconds()
		if left < expected {
			return from + time.Duration(left/rate*float64(time.Second))
		}
		left -= expected
		from = until
	}
	return end
}

// rate returns the jobs per second at a time, and until when they stay so.
func (s *Stream) rate(at, end time.Duration) (perSecond float64, until time.Duration) {
	perSecond, until = s.JobsPerSecond, end
	for i := range s.Bursts {
		from, to := s.Bursts[i].At(), s.Bursts[i].End()
		switch {
		case at < from:
			until = min(until, from)
		case at < to:
			perSecond *= s.Bursts[i].Factor
			until = min(until, to)
		}
	}
	return perSecond, until
}

// Held is what the bound on jobs under way kept back.
type Held struct {
	Jobs    int           // that waited for another job to end
	Longest time.Duration // such wait
}

// Drive calls submit for each arrival at its time, each in a goroutine of its
// own, and returns when all have returned. A slow site does not slow the
// arrivals down: a job waits only while most others are under way. Submit gets
// the time at which its job was due.
func Drive(ctx context.Context, arrivals []Arrival, most int, submit func(a *Arrival, due time.Time)) Held {
	var held Held
	var jobs sync.WaitGroup
	defer jobs.Wait()
	places := make(chan struct{}, most)
	began := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		due := began.Add(a.At)
		if !pause.For(ctx, time.Until(due)) || !held.enter(ctx, places) {
			return held
		}
		jobs.Go(func() {
			defer func() { <-places }()
			submit(a, due)
		})
	}
	return held
}

// enter takes a place and notes the wait when there is none free.
func (h *Held) enter(ctx context.Context, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	default:
	}
	from := time.Now()
	select {
	case places <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	h.Jobs++
	h.Longest = max(h.Longest, time.Since(from))
	return true
}
