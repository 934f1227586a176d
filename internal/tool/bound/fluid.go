package bound

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Work is one attempt at a submission: equal demands on room for tasks of known length.
type Work struct {
	Name       string
	Priority   int
	ReceivedAt float64   // seconds
	Deadline   float64   // seconds; an answer later than this is not in time
	Tasks      []float64 // run time of each task on a worker of speed 1, seconds
	Cores      float64   // of each task
	MemoryMB   float64   // of each task
}

// size returns the work of all tasks, in core-seconds at speed 1.
func (w *Work) size() float64 {
	sum := 0.0
	for _, t := range w.Tasks {
		sum += t
	}
	return sum * w.Cores
}

// TooShort reports whether no worker could run the longest task in the time, even if it were started at once and ran alone: then no
// dispatcher can have the work in time.
func TooShort(w *Work, workers []Worker) bool {
	return slices.Max(w.Tasks) > longestRun(workers, w)+tolerance
}

const (
	tolerance = 1e-9 // for rounding, seconds or core-seconds
	groups    = 400  // of works of about the same size, see Fluid
)

// Bound is an upper bound of how many works any dispatcher can have in time.
type Bound struct {
	Count int       // of works in time, at most
	Short []float64 // of each work, the share of it that the relaxation leaves undone: where the loss falls in one best solution
}

// Fluid returns an upper bound of the number of works in time, all work known beforehand.
//
// Relaxation: all workers together are one machine that does as many core-seconds as they do; work can be cut into parts of any size,
// stopped and resumed, and counts by the share of it that is done between its arrival and its deadline. Any real schedule is one
// of these: its runs of a work take the work's core-seconds from the machine between the two times, and it counts the work whole
// only if it is done whole. So the most that the relaxation reaches is at least what any dispatcher reaches.
//
// The relaxation is solved exactly but for rounding in its favour. Let f be what is done of each work and W its size.
//
//  1. For a set S of works, rank(S), the most core-seconds that can be done of it, is what earliest deadline first does, dropping what is past
//     its deadline: cut into equal small pieces this is the matching of pieces with times in intervals, for which that rule (Glover's) is
//     the largest.
//  2. The vectors f that can be done are those of a flow from works to times, so they form a polymatroid whose rank is that of 1.
//  3. What is lost is the sum of (W-f)/W. Sort works by size into groups and put the largest size of its group in the
//     place of each W: the loss only gets smaller. Over a polymatroid a linear sum is best reached by the greedy order, the smallest
//     sizes first (most works in time a core-second), and its value needs only ranks: group g loses
//     size(g) - (rank(groups to g) - rank(groups before g)).
//
// The number is rounded down, as a schedule has a whole number in time. Works that are TooShort have to be left out before.
func Fluid(works []Work, workers []Worker) Bound {
	b := Bound{Short: make([]float64, len(works))}
	r := newRoom(workers)
	pieces := make([]piece, 0, len(works))
	for i := range works {
		w := &works[i]
		pieces = append(pieces, piece{work: i, size: w.size(), from: r.by(w.ReceivedAt), to: r.by(w.Deadline)})
	}
	slices.SortFunc(pieces, func(a, b piece) int { return cmp.Compare(a.size, b.size) })
	lost := 0.0
	before := make([]float64, len(works)) // undone of each work with the groups before
	sizeBefore, doneBefore := 0.0, 0.0
	for g := range groups {
		end := len(pieces) * (g + 1) / groups
		if begin := len(pieces) * g / groups; begin == end {
			continue
		}
		undone := make([]float64, len(works))
		done := earliestDeadlineFirst(pieces[:end], undone)
		size := 0.0
		for _, p := range pieces[:end] {
			size += p.size
		}
		largest := math.Max(pieces[end-1].size, tolerance)
		lost += math.Max(0, (size-sizeBefore)-(done-doneBefore)) / largest
		for i := range undone {
			b.Short[i] += (undone[i] - before[i]) / largest
		}
		before, sizeBefore, doneBefore = undone, size, done
	}
	b.Count = min(len(works), int(math.Floor(float64(len(works))-lost+1e-6)))
	return b
}

// piece is a work on one machine of speed 1, on which time is the core-seconds that could have been done.
type piece struct {
	work     int
	size     float64
	from, to float64
}

// earliestDeadlineFirst returns how much is done of the pieces, and sets what is left undone of each work.
func earliestDeadlineFirst(pieces []piece, undone []float64) (done float64) {
	byArrival := slices.Clone(pieces)
	slices.SortFunc(byArrival, func(a, b piece) int { return cmp.Compare(a.from, b.from) })
	var waiting pieceHeap
	now := 0.0
	for i := 0; i < len(byArrival) || len(waiting) > 0; {
		if len(waiting) == 0 {
			now = math.Max(now, byArrival[i].from)
		}
		for i < len(byArrival) && byArrival[i].from <= now {
			heap.Push(&waiting, byArrival[i])
			i++
		}
		next := math.Inf(1)
		if i < len(byArrival) {
			next = byArrival[i].from
		}
		p := &waiting[0]
		until := math.Min(math.Min(now+p.size, p.to), next)
		if until > now {
			p.size -= until - now
			done += until - now
			now = until
		}
		if p.size <= tolerance || now >= p.to {
			undone[p.work] = math.Max(p.size, 0)
			heap.Pop(&waiting)
		}
	}
	return done
}

// pieceHeap orders pieces by their deadlines.
type pieceHeap []piece

func (h pieceHeap) Len() int           { return len(h) }
func (h pieceHeap) Less(i, j int) bool { return h[i].to < h[j].to }
func (h pieceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pieceHeap) Push(x any)        { *h = append(*h, x.(piece)) }
func (h *pieceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
