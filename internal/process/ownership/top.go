package ownership

import (
	"cmp"
	"slices"
)

// top keeps the entries of highest weight, in a heap with the lowest of them
// first.
type top struct {
	limit int
	best  []weighed
}

type weighed struct {
	weight uint64
	entry  *hashed
}

func newTop(limit int) *top {
	limit = max(limit, 0)
	return &top{limit: limit, best: make([]weighed, 0, limit)}
}

// offer weighs every entry and keeps the best.
func (t *top) offer(seed uint64, entries []hashed) {
	if t.limit == 0 {
		return
	}
	for i := range entries {
		w := weighed{weight(seed, entries[i].hash), &entries[i]}
		if len(t.best) < t.limit {
			t.push(w)
		} else if compare(w, t.best[0]) > 0 {
			t.best[0] = w
			t.sink()
		}
	}
}

// refs appends the entries to refs by falling weight. It uses up the heap.
func (t *top) refs(refs []WorkerRef) []WorkerRef {
	slices.SortFunc(t.best, func(a, b weighed) int { return compare(b, a) })
	for _, w := range t.best {
		refs = append(refs, w.entry.ref)
	}
	return refs
}

func (t *top) push(w weighed) {
	t.best = append(t.best, w)
	i := len(t.best) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if compare(t.best[parent], t.best[i]) <= 0 {
			return
		}
		t.best[parent], t.best[i] = t.best[i], t.best[parent]
		i = parent
	}
}

func (t *top) sink() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(t.best) {
			return
		}
		if child+1 < len(t.best) && compare(t.best[child+1], t.best[child]) < 0 {
			child++
		}
		if compare(t.best[i], t.best[child]) <= 0 {
			return
		}
		t.best[i], t.best[child] = t.best[child], t.best[i]
		i = child
	}
}

// compare orders by weight, and equal weights by worker.
func compare(a, b weighed) int {
	if c := cmp.Compare(a.weight, b.weight); c != 0 {
		return c
	}
	return compareRefs(b.entry.ref, a.entry.ref)
}
