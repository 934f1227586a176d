package bound

import (
	"cmp"
	"math"
	"slices"
)

// Period is a time in which a worker is up, at one speed.
type Period struct {
	From, To float64 // seconds
	Speed    float64 // a task of 1 s takes 1/Speed seconds there
}

// Worker is a worker as the day had it.
type Worker struct {
	ID       string
	Cores    float64
	MemoryMB float64
	Periods  []Period // when it was not known as lost, by time; they do not overlap
	Proven   []Period // the part of Periods in which it is proven to be up, as runs completed
	Usual    float64  // its speed over the day
}

// proven returns the workers as far as they are proven to be up.
func proven(workers []Worker) []Worker {
	out := slices.Clone(workers)
	for i := range out {
		out[i].Periods = out[i].Proven
	}
	return out
}

// undisturbed returns the workers as if none had been lost or had turned slow after it was there first.
func undisturbed(workers []Worker) []Worker {
	to := 0.0
	for _, w := range workers {
		for _, p := range w.Periods {
			to = math.Max(to, p.To)
		}
	}
	out := slices.Clone(workers)
	for i := range out {
		if p := out[i].Periods; len(p) > 0 {
			out[i].Periods = []Period{{From: p[0].From, To: to, Speed: out[i].Usual}}
		}
	}
	return out
}

// room is the work that all workers together can have done by each time, in core-seconds at speed 1. It grows linearly between
// its points.
type room struct {
	times []float64 // seconds
	done  []float64 // core-seconds
}

func newRoom(workers []Worker) *room {
	type change struct{ at, rate float64 }
	var changes []change
	for _, w := range workers {
		for _, p := range w.Periods {
			if p.To > p.From {
				changes = append(changes, change{p.From, w.Cores * p.Speed}, change{p.To, -w.Cores * p.Speed})
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	r := &room{}
	var rate, done, last float64
	for _, c := range changes {
		done += max(rate, 0) * (c.at - last)
		rate += c.rate
		last = c.at
		r.times = append(r.times, c.at)
		r.done = append(r.done, done)
	}
	return r
}

// by returns the core-seconds that can be done by a time.
func (r *room) by(t float64) float64 {
	i, exact := slices.BinarySearch(r.times, t)
	switch {
	case exact:
		return r.done[i]
	case i == 0:
		return 0
	case i == len(r.times):
		return r.done[i-1]
	}
	from, to := r.times[i-1], r.times[i]
	return r.done[i-1] + (r.done[i]-r.done[i-1])*(t-from)/(to-from)
}

// longestRun returns the longest task, in seconds at speed 1, that any one worker with the room for it can do between the work's
// arrival and its deadline.
func longestRun(workers []Worker, w *Work) float64 {
	longest := 0.0
	for i := range workers {
		if workers[i].Cores < w.Cores || workers[i].MemoryMB < w.MemoryMB {
			continue
		}
		length := 0.0
		for _, p := range workers[i].Periods {
			length += p.Speed * math.Max(0, math.Min(p.To, w.Deadline)-math.Max(p.From, w.ReceivedAt))
		}
		longest = math.Max(longest, length)
	}
	return longest
}
