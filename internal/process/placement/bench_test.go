package placement

import (
	"fmt"
	"testing"
)

// benchmarkPlace places 4 tasks and frees them again, at 3/4 of the slots in
// use when primed.
func benchmarkPlace(b *testing.B, workers, allowed int, each Resources) {
	p := fleet(workers, standard)
	p.Place(Request{Count: workers * 6, Each: each}, nil)
	var set AllowedSet
	if allowed > 0 {
		set = p.Allow(ids(p, allowed))
	}
	buf := make([]Assignment, 0, 64)
	req := Request{Count: 4, Each: each, Allowed: set}
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = p.Place(req, buf)
		for _, a := range buf {
			p.Free(a.Worker, each, a.Count)
		}
	}
}

func ids(p *Placer, n int) []string {
	var ids []string
	for i := range min(n, len(p.workers)) {
		ids = append(ids, p.workers[i*len(p.workers)/n].ID)
	}
	return ids
}

var sizes = []int{50, 153, 2900}

func BenchmarkPlace(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPlace(b, n, 0, small) })
	}
}

func BenchmarkPlaceAllowed(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPlace(b, n, 48, small) })
	}
}

func BenchmarkAllow96(b *testing.B) {
	p := fleet(2900, standard)
	names := ids(p, 96)
	b.ReportAllocs()
	for b.Loop() {
		p.Allow(names)
	}
}
