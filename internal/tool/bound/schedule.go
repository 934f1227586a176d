package bound

import (
	"cmp"
	"math"
	"slices"
)

// Schedule returns which works are in time in the better of two schedules of whole tasks on the workers, made with all work known
// beforehand. It is a lower estimate of what can be reached: a task keeps its cores and memory on one worker from its start
// to its end, and a work counts only if all its tasks end by its deadline.
//
// The schedules take the works by size and by deadline, and put the longest task of each first; a work that does not fit as a
// whole gets nothing.
func Schedule(works []Work, workers []Worker) []bool {
	best, most := make([]bool, len(works)), -1
	for _, before := range []func(a, b *Work) int{
		func(a, b *Work) int { return cmp.Compare(a.size(), b.size()) },
		func(a, b *Work) int { return cmp.Compare(a.Deadline, b.Deadline) },
	} {
		served, count := scheduleInOrder(works, workers, before)
		if count > most {
			best, most = served, count
		}
	}
	return best
}

func scheduleInOrder(works []Work, workers []Worker, before func(a, b *Work) int) (served []bool, count int) {
	order := make([]*Work, len(works))
	index := make(map[*Work]int, len(works))
	for i := range works {
		order[i] = &works[i]
		index[order[i]] = i
	}
	slices.SortStableFunc(order, before)
	var plan []*timetable
	for _, w := range workers {
		for _, p := range w.Periods {
			plan = append(plan, newTimetable(&w, p))
		}
	}
	served = make([]bool, len(works))
	for _, w := range order {
		if placeAll(plan, w) {
			served[index[w]] = true
			count++
		}
	}
	return served, count
}

// placement is where a task would run.
type placement struct {
	at         *timetable
	start, end float64 // seconds
	waste      float64 // cores that stay free beside it, as many of speed 1
}

// placeAll puts all tasks of a work into the plan, or none.
func placeAll(plan []*timetable, w *Work) bool {
	tasks := slices.Clone(w.Tasks)
	slices.SortFunc(tasks, func(a, b float64) int { return cmp.Compare(b, a) })
	var made []placement
	for _, length := range tasks {
		p, found := bestPlacement(plan, w, length)
		if !found {
			for _, m := range made {
				m.at.add(m.start, m.end, -w.Cores, -w.MemoryMB)
			}
			return false
		}
		p.at.add(p.start, p.end, w.Cores, w.MemoryMB)
		made = append(made, p)
	}
	return true
}

// bestPlacement returns the placement that ends in time and leaves the least room free beside it, and of these the one that ends
// first.
func bestPlacement(plan []*timetable, w *Work, length float64) (best placement, found bool) {
	for _, t := range plan {
		if t.from >= w.Deadline || t.to <= w.ReceivedAt {
			continue
		}
		p, ok := t.earliest(w, length/t.speed)
		if !ok {
			continue
		}
		if !found || cmp.Or(cmp.Compare(p.waste, best.waste), cmp.Compare(p.end, best.end)) < 0 {
			best, found = p, true
		}
	}
	return best, found
}

// timetable is what is planned on a worker in one of its periods. cores[i] and memory[i] are in use from times[i] to times[i+1];
// the last entry ends the period.
type timetable struct {
	from, to      float64
	speed         float64
	ofCores, ofMB float64
	times         []float64
	cores, memory []float64
}

func newTimetable(w *Worker, p Period) *timetable {
	return &timetable{
		from: p.From, to: p.To, speed: p.Speed, ofCores: w.Cores, ofMB: w.MemoryMB,
		times: []float64{p.From, p.To}, cores: []float64{0, math.Inf(1)}, memory: []float64{0, 0},
	}
}

// earliest returns the first placement of a task that runs for length seconds.
func (t *timetable) earliest(w *Work, length float64) (placement, bool) {
	start := math.Max(w.ReceivedAt, t.from)
	limit := math.Min(w.Deadline, t.to) + tolerance
	i, exact := slices.BinarySearch(t.times, start)
	if !exact {
		i--
	}
	waste := math.Inf(1)
	for ; start+length <= limit; i++ {
		if t.cores[i]+w.Cores > t.ofCores+tolerance || t.memory[i]+w.MemoryMB > t.ofMB+tolerance {
			if i+1 >= len(t.times) {
				break
			}
			start, waste = t.times[i+1], math.Inf(1)
			continue
		}
		waste = math.Min(waste, (t.ofCores-t.cores[i]-w.Cores)*t.speed)
		if start+length <= t.times[i+1]+tolerance {
			return placement{at: t, start: start, end: math.Min(start+length, t.to), waste: waste}, true
		}
	}
	return placement{}, false
}

// add adds to what is in use between two times.
func (t *timetable) add(start, end, cores, memory float64) {
	from, to := t.split(start), t.split(end)
	if from > to { // a run of no length
		return
	}
	for i := from; i < to; i++ {
		t.cores[i] += cores
		t.memory[i] += memory
	}
}

// split makes a time an entry of its own, if it is none, and returns its index.
func (t *timetable) split(at float64) int {
	i, exact := slices.BinarySearch(t.times, at)
	if exact {
		return i
	}
	t.times = slices.Insert(t.times, i, at)
	t.cores = slices.Insert(t.cores, i, t.cores[i-1])
	t.memory = slices.Insert(t.memory, i, t.memory[i-1])
	return i
}
