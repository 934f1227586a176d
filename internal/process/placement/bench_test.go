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

// BenchmarkPlaceWide places a job of 920 tasks on 96 allowed workers.
func BenchmarkPlaceWide(b *testing.B) {
	large := standard
	large.Slots = 16
	p := fleet(153, large)
	set := p.Allow(ids(p, 96))
	buf := make([]Assignment, 0, 96)
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = p.Place(Request{Count: 920, Each: small, Allowed: set}, buf)
		for _, a := range buf {
			p.Free(a.Worker, small, a.Count)
		}
	}
}

// BenchmarkPlaceShort asks for a place while every worker has free slots and
// too few watts, which is the ordinary state of a site at its power cap. One
// task ends between two calls.
func BenchmarkPlaceShort(b *testing.B) {
	heavy := Resources{Milliwatts: 60000}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := fleet(n, standard)
			p.Place(Request{Count: n * 3, Each: heavy}, nil)
			buf := make([]Assignment, 0, 64)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				p.Free(p.workers[i%n].ID, heavy, 1)
				buf, _ = p.Place(Request{Count: 4, Each: heavy}, buf)
				if len(buf) != 1 {
					b.Fatalf("placed %v", buf)
				}
			}
		})
	}
}

// BenchmarkPolicies compares the policies at 3/4 of 153 workers' slots in use,
// with jobs of 8 tasks that end in the order in which they came.
func BenchmarkPolicies(b *testing.B) {
	for _, policy := range []Policy{Spread, Random} {
		b.Run(string(policy), func(b *testing.B) {
			settings := Defaults()
			settings.Policy = policy
			p := New(settings)
			for _, w := range fleet(153, standard).workers {
				p.SetWorker(w.Worker)
			}
			var running []Assignment
			messages := 0
			for b.Loop() {
				out, _ := p.Place(Request{Count: 8, Each: small}, nil)
				running = append(running, out...)
				messages += len(out)
				for p.FreeSlots() < 153*2 {
					p.Free(running[0].Worker, small, running[0].Count)
					running = running[1:]
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/job")
		})
	}
}
