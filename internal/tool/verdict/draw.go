package verdict

import (
	"context"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/site"
)

// DrawInterval is the time between two samples of a site's power draw.
const DrawInterval = 5 * time.Millisecond

// Draw sums up samples of a site's power draw, in milliwatts.
type Draw struct {
	Peak    uint64
	Sum     uint64 // over the samples
	Samples int    // number of samples
}

// Add adds one sample.
func (d *Draw) Add(milliwatts uint64) {
	d.Peak = max(d.Peak, milliwatts)
	d.Sum += milliwatts
	d.Samples++
}

// Mean returns the mean draw in milliwatts, or 0 without samples.
func (d *Draw) Mean() float64 { return float64(d.Sum) / float64(max(d.Samples, 1)) }

// SampleDraw passes a sample of the site's total power draw to add at every
// DrawInterval, until stop is called. Calls of add come from one goroutine, and
// none comes after stop has returned.
func SampleDraw(s *site.Site, add func(milliwatts uint64)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	ticker := time.NewTicker(DrawInterval)
	go func() {
		defer close(done)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				add(totalDraw(s))
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func totalDraw(s *site.Site) uint64 {
	var sum uint64
	for _, w := range s.Workers() {
		now, _ := w.Draw()
		sum += uint64(now)
	}
	return sum
}
