package ownership

import (
	"cmp"
	"slices"
)

// top keeps the workers of highest weight, in a heap with the lowest of them
// first.
type top struct {
	limit int
	best  []weighed
}

type weighed struct {
	weight uint64
	ref    *WorkerRef
}

func newTop(limit int) *top {
	limit = max(limit, 0)
	return &top{limit: limit, best: make([]weighed, 0, limit)}
}

// offer weighs every worker of d under the mixed seed and keeps the best.
func (t *top) offer(key uint64, d *domain) {
	if t.limit == 0 {
		return
	}
	floor := t.floor()
	for i, hash := range d.hashes {
		w := mix(key ^ hash)
		if w < floor {
			continue
		}
		t.keep(weighed{w, &d.refs[i]})
		floor = t.floor()
	}
}

// floor returns the weight below which nothing is kept.
func (t *top) floor() uint64 {
	if len(t.best) < t.limit {
		return 0
	}
	return t.best[0].weight
}

func (t *top) keep(w weighed) {
	if len(t.best) < t.limit {
		t.push(w)
		return
	}
	if compare(w, t.best[0]) > 0 {
		t.best[0] = w
		t.sink()
	}
}

// drain appends the workers to refs by falling weight. It uses up the heap.
func (t *top) drain(refs []WorkerRef) []WorkerRef {
	slices.SortFunc(t.best, func(a, b weighed) int { return compare(b, a) })
	for _, w := range t.best {
		refs = append(refs, *w.ref)
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
	return compareRefs(*b.ref, *a.ref)
}
