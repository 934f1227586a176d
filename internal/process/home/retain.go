package home

import (
	"container/heap"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/job"
)

// retention keeps final answers within a bound of memory, oldest first out.
type retention struct {
	limit int
	bytes int
	queue []*entry
}

// perAnswer is charged for an answer besides its outputs.
const perAnswer = 256

// add keeps an entry's answer and returns those that have to go for it.
func (r *retention) add(e *entry, a *job.Answer) []*entry {
	e.bytes = perAnswer
	for _, out := range a.Outputs {
		e.bytes += len(out)
	}
	r.bytes += e.bytes
	r.queue = append(r.queue, e)
	var dropped []*entry
	for r.bytes > r.limit && len(r.queue) > 0 {
		oldest := r.queue[0]
		r.queue[0] = nil
		r.queue = r.queue[1:]
		if oldest.bytes > 0 {
			r.bytes -= oldest.bytes
			oldest.bytes = 0
			dropped = append(dropped, oldest)
		}
	}
	return dropped
}

// forget gives back what an entry was charged.
func (r *retention) forget(e *entry) {
	r.bytes -= e.bytes
	e.bytes = 0
}

// dueQueue orders entries by the time they want attention next.
type dueQueue struct{ items dueHeap }

type dueItem struct {
	at time.Time
	e  *entry
}

type dueHeap []dueItem

func (q dueHeap) Len() int           { return len(q) }
func (q dueHeap) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q dueHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *dueHeap) Push(x any)        { *q = append(*q, x.(dueItem)) }
func (q *dueHeap) Pop() any {
	old := *q
	last := len(old) - 1
	item := old[last]
	old[last] = dueItem{}
	*q = old[:last]
	return item
}

// push asks for attention at the given time. An earlier time replaces a later
// one; the later item stays in the heap and is passed over by pop.
func (q *dueQueue) push(e *entry, at time.Time) {
	if !e.dueAt.IsZero() && !at.Before(e.dueAt) {
		return
	}
	e.dueAt = at
	heap.Push(&q.items, dueItem{at, e})
}

// pop returns an entry whose time has come, or nil.
func (q *dueQueue) pop(now time.Time) *entry {
	for len(q.items) > 0 && !q.items[0].at.After(now) {
		item := heap.Pop(&q.items).(dueItem)
		if item.e.dueAt.Equal(item.at) {
			item.e.dueAt = time.Time{}
			return item.e
		}
	}
	return nil
}
